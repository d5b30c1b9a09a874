package catalog

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stilemast/stilemast/src/core"
)

// at returns a revision.
func at(era Era, number uint64) Revision {
	r, _ := RevisionAt(era, number)
	return r
}

func TestLaterErasHaveLaterRevisions(t *testing.T) {
	for _, c := range []struct{ earlier, later Revision }{{at(0, 9), at(1, 1)}, {at(1, 44), at(2, 43)}, {at(1, 1<<43-1), at(2, 0)}, {at(7, 1), at(7, 2)}} {
		if c.earlier >= c.later || ConfigAt(c.earlier) >= ConfigAt(c.later) || ListAt(c.earlier) >= ListAt(c.later) {
			t.Errorf("%s is not before %s", c.earlier, c.later)
		}
	}
	if _, ok := RevisionAt(1, 1<<43); ok {
		t.Error("a number that overflows into the era was accepted")
	}
	if _, ok := RevisionAt(1<<20, 1); ok {
		t.Error("an era out of range was accepted")
	}
}

// Property: revisions survive encoding and decoding. A box of an earlier release, which knows no eras, orders
// encoded revisions correctly and sees the store's number until a restore.
func TestWireRevisionsRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		base := Era(rapid.Uint64Range(0, 9).Draw(rt, "base"))
		a := at(base+Era(rapid.Uint64Range(0, 3).Draw(rt, "era")), rapid.Uint64Range(1, 1<<40).Draw(rt, "number"))
		b := at(base+Era(rapid.Uint64Range(0, 3).Draw(rt, "other era")), rapid.Uint64Range(1, 1<<40).Draw(rt, "other number"))
		if RevisionFromWire(a.ToWire(base), base) != a || ConfigFromWire(ConfigToWire(ConfigAt(a), base), base) != ConfigAt(a) || ListFromWire(ListToWire(ListAt(a), base), base) != ListAt(a) {
			rt.Fatalf("%s is decoded as another revision", a)
		}
		if a < b != (a.ToWire(base) < b.ToWire(base)) || a < b != (ListToWire(ListAt(a), base) < ListToWire(ListAt(b), base)) {
			rt.Fatalf("%s and %s are encoded in another order", a, b)
		}
		if a.Era() == base && a.ToWire(base) != a.Number() {
			rt.Fatalf("%s is encoded as %d", a, a.ToWire(base))
		}
	})
}

// Guards against going back to an older configuration after a restore, and against refusing newer content
// whose revision was assigned before: the document's own version counts first, then the era.
func TestFeedOrdersByVersionThenEra(t *testing.T) {
	f := NewFeed("a")
	f.ApplyRead(start, ConfigAt(at(1, 44)), "v20", 20)
	f.HandleStatement(start, "b", core.Statement{Version: uint64(ConfigAt(at(2, 41))), Digest: "v18", Content: 18}, time.Time{})
	if since, _ := f.Behind(); !since.IsZero() || f.ApplyPull(start, ConfigAt(at(2, 41)), "v18", 18) || f.ApplyRead(start, ConfigAt(at(2, 41)), "v18", 18) {
		t.Error("an older configuration of a restored store counts as newer")
	}
	if f.ApplyRead(start, ConfigAt(at(2, 41)), "v20", 20) || f.AsOf() != ConfigAt(at(2, 41)) {
		t.Error("the same content in a later era is not confirmed")
	}
	if !f.ApplyRead(start, ConfigAt(at(2, 43)), "v24", 24) {
		t.Error("a newer configuration at a revision that was assigned before is rejected")
	}
	lists := NewFeed("a")
	lists.ApplyRead(start, ListAt(at(1, 44)), "x", 0)
	lists.HandleStatement(start, "b", core.Statement{Version: uint64(ListAt(at(2, 3))), Digest: "y"}, time.Time{})
	if lists.NextPull(start) != "b" || !lists.ApplyPull(start, ListAt(at(2, 3)), "y", 0) || lists.ApplyRead(start, ListAt(at(1, 50)), "x", 0) {
		t.Error("a list of a later era is rejected, or one of an earlier era accepted")
	}
}

// serverModel is the reference model of one server: whether it ever announced that it leaves, and when it was
// removed before the last restore.
type serverModel struct {
	leaves  bool
	removed time.Time
}

// storeCopy is the store's list at one moment.
type storeCopy struct {
	number uint64
	listed map[string]Server
}

// history simulates a store that is changed and restored, a box that applies its lists, and the reference
// model.
type history struct {
	rt       *rapid.T
	now      time.Time
	box      listFeeder
	era      Era
	number   uint64
	listed   map[string]Server
	copies   []storeCopy
	models   map[string]*serverModel
	restored time.Time       // when the box got the first list of the era
	missing  map[string]bool // servers in use that the restored copy lacks
}

func (h *history) server(id string) *serverModel {
	if h.models[id] == nil {
		h.models[id] = &serverModel{}
	}
	return h.models[id]
}

// take applies the current list to the box.
func (h *history) take() { h.box.take(h.now, maps.Clone(h.listed), at(h.era, h.number), time.Time{}) }

func (h *history) write(id string, change func()) {
	h.number++
	change()
	if s, ok := h.listed[id]; ok {
		s.Revision = at(h.era, h.number)
		h.listed[id] = s
	}
	h.take()
}

// allowed reports whether a server may be used, and whether it must be.
func (h *history) allowed(id string) (may, must bool) {
	s, listed := h.listed[id]
	p := h.server(id)
	quiet := h.now.Sub(h.restored) >= doubtDuration
	switch {
	case p.leaves:
		return false, false
	case !listed:
		return h.missing[id], h.missing[id] && h.now.Sub(h.restored) < lapseGrace
	case s.Draining:
		return false, false
	}
	return p.removed.IsZero() || quiet, p.removed.IsZero() || quiet
}

func TestRegistryAcrossRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{rt: rt, now: start, era: 1, number: 1, listed: map[string]Server{}, models: map[string]*serverModel{}, missing: map[string]bool{}}
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			id := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(rt, "server"))
			_, listed := h.listed[id]
			switch rapid.IntRange(0, 6).Draw(rt, "what") {
			case 0, 1:
				if listed || h.server(id).leaves {
					continue // an id belongs to one incarnation
				}
				h.write(id, func() { h.listed[id] = Server{ID: id, Slots: 1} })
				h.server(id).removed = time.Time{}
				delete(h.missing, id)
			case 2:
				if listed {
					h.write(id, func() { h.listed[id] = Server{ID: id, Slots: 1, Draining: true} })
					h.server(id).leaves = true
				}
			case 3:
				if listed {
					h.write(id, func() { delete(h.listed, id) })
					h.server(id).removed = h.now
				}
			case 4:
				h.copies = append(h.copies, storeCopy{h.number, maps.Clone(h.listed)})
			case 5:
				if len(h.copies) > 0 {
					h.restore(rapid.IntRange(0, len(h.copies)-1).Draw(rt, "copy"))
				}
			case 6:
				h.now = h.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(rt, "ms")) * time.Millisecond)
			}
			h.check()
		}
	})
}

// restore restores the store from a copy; the box gets its list at once.
func (h *history) restore(i int) {
	h.missing = map[string]bool{}
	for id, p := range h.models {
		if _, used := h.box.Get(id); !used {
			continue
		}
		p.removed = time.Time{} // it is in use again
		if _, ok := h.copies[i].listed[id]; !ok {
			h.missing[id] = true
		}
	}
	h.era++
	h.number = h.copies[i].number
	h.listed = maps.Clone(h.copies[i].listed)
	for id, s := range h.listed {
		s.Revision = at(h.era, s.Revision.Number()) // entries get the era of the answer that contains them
		h.listed[id] = s
	}
	h.copies = h.copies[:i+1]
	h.restored = h.now
	h.take()
}

func (h *history) check() {
	h.box.DropLapsed(h.now, true)
	h.box.EndDoubts(h.now)
	var used []string
	for _, s := range h.box.Working("") {
		used = append(used, s.ID)
	}
	slices.Sort(used)
	for id := range h.missing {
		if _, listed := h.listed[id]; !listed && !slices.Contains(used, id) && h.now.Sub(h.restored) >= lapseGrace {
			h.server(id).removed = h.now // its entry could have been renewed by now
		}
	}
	for i := range 6 {
		id := fmt.Sprint("s", i)
		may, must := h.allowed(id)
		if uses := slices.Contains(used, id); uses && !may || !uses && must {
			h.rt.Fatalf("uses %v; of %s: may %t, must %t, listed %v, %+v, %s after the restore", used, id, may, must, h.listed[id], h.models[id], h.now.Sub(h.restored))
		}
	}
}

// Property: across restores, an evacuation stays in force until it is ended in the current era, even if the
// restored copy does not contain it.
func TestEvacuationsAcrossRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		boxes := []*Evacuations{{}, {}}
		era, number, held := Era(1), uint64(1), Era(0)
		named, closed := map[string]bool{}, map[string]bool{}
		var copies []map[string]bool
		take := func() {
			list := slices.Sorted(maps.Keys(named))
			for _, c := range boxes {
				c.ApplyConfig(start, list, at(era, number), held)
			}
			held = era
		}
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			d := fmt.Sprint("d", rapid.IntRange(0, 2).Draw(rt, "domain"))
			number++
			switch rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0:
				named[d], closed[d] = true, true
			case 1:
				if named[d] { // an evacuation that the store does not contain can't be ended
					delete(named, d)
					delete(closed, d)
				}
			case 2:
				copies = append(copies, maps.Clone(named))
			case 3:
				if len(copies) > 0 {
					i := rapid.IntRange(0, len(copies)-1).Draw(rt, "copy")
					era, number, named, copies = era+1, 1, maps.Clone(copies[i]), copies[:i+1]
					for d := range named {
						closed[d] = true
					}
				}
			case 4:
				fresh := &Evacuations{} // a box that starts now and gets the notes of the others
				fresh.ApplyConfig(start, slices.Sorted(maps.Keys(named)), at(era, number), 0)
				for _, n := range boxes[0].Notes(start, era, 9) {
					fresh.ApplyNote(start, n, era)
				}
				boxes[1] = fresh
			}
			take()
			want := slices.Sorted(maps.Keys(closed))
			for i, c := range boxes {
				if got := c.Names(); !slices.Equal(got, want) && len(got)+len(want) > 0 {
					rt.Fatalf("box %d holds %v evacuated, want %v", i, got, want)
				}
			}
		}
	})
}

func TestServerLeavingAfterRestoreStaysLeft(t *testing.T) {
	listed, leaving := Server{ID: "a", Slots: 1}, Server{ID: "a", Slots: 1, Draining: true}
	dated := func(s Server, r Revision) map[string]Server {
		s.Revision = r
		return listOf(s)
	}
	r := &listFeeder{}
	r.take(start, dated(listed, at(1, 2)), at(1, 2), time.Time{})
	r.take(start, nil, at(1, 3), time.Time{})
	r.take(start, dated(listed, at(2, 2)), at(2, 2), time.Time{})
	r.take(start, dated(leaving, at(2, 3)), at(2, 3), time.Time{})
	r.take(start, dated(listed, at(3, 2)), at(3, 2), time.Time{})
	r.EndDoubts(start.Add(doubtDuration))
	expectWorking(t, r)
}
