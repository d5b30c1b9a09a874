package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// intercept passes the answers that a box gets from others to a function, which may modify or reject them.
func (f *testFleet) intercept(name string, onAnswer func(to string, q port.Question, a *port.Answer) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onAnswer[addressOf(name)] = onAnswer
}

// A new box fetches a document in several parts. The box that serves them ends midway: another one serves the
// missing parts, and none is sent twice.
func TestTransferResumesFromAnotherBox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		time.Sleep(2 * time.Second)
		f.publish(withRoutes(f.catalog, 7000))
		time.Sleep(2 * time.Second)
		f.mu.Lock()
		f.storeOK = false
		f.mu.Unlock()
		var offsets []int
		var givers []string
		f.intercept("fresh", func(to string, q port.Question, a *port.Answer) error {
			if a.Publish == nil || a.Publish.Part == nil {
				return nil
			}
			if len(offsets) == 2 && to == givers[0] {
				return errors.New("the serving box has ended")
			}
			offsets, givers = append(offsets, a.Publish.Part.Offset), append(givers, to)
			return nil
		})
		g := f.start("fresh")
		time.Sleep(6 * time.Second)
		if g.Version() != f.catalog.Version {
			t.Fatalf("the new box has version %d, want %d; parts at %v", g.Version(), f.catalog.Version, offsets)
		}
		if len(offsets) < 4 || givers[0] == givers[len(givers)-1] {
			t.Fatalf("parts at %v from %v, want several from two boxes", offsets, givers)
		}
		for i, o := range offsets {
			if o != i*partBytes {
				t.Errorf("parts at %v, want each part once and in order", offsets)
				break
			}
		}
	})
}

// A difference to another document, damaged bytes and parts out of order change nothing, and the whole
// document is requested.
func TestDamagedPartsAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		time.Sleep(2 * time.Second)
		g := f.box("box1")
		good := func() *port.Published {
			holder := &Gateway{ID: core.BoxID{Name: "giver", Incarnation: 1}, Peers: port.Peers{Beat: func(string, core.Beat) {}}}
			holder.Init()
			holder.applyCatalog(f.box("box0").published.held, nil, 1, time.Now(), "store")
			next := withRoutes(f.catalog, 10)
			next.Version = 1000 // never in the store
			holder.applyCatalog(next, nil, 90, time.Now(), "store")
			return holder.answerPull(&port.PullPublished{Document: port.DocumentConfig, Held: []string{f.box("box0").published.held.Digest()}})
		}
		for _, c := range []struct {
			name   string
			damage func(d *port.Published)
		}{
			{"a first part with an offset", func(d *port.Published) { d.Part.Offset = 7 }},
			{"an empty part", func(d *port.Published) { d.Part.Bytes = nil }},
			{"a part longer than the whole", func(d *port.Published) { d.Part.Size = 5 }},
			{"a document that is too large", func(d *port.Published) { d.Part.Size = maxPackedBytes + 1 }},
			{"a wrong checksum", func(d *port.Published) { d.Part.Sum++ }},
			{"an unknown base", func(d *port.Published) { d.Base = "unknown" }},
			{"another digest", func(d *port.Published) { d.Digest = "77" }},
			{"bytes that are not compressed", func(d *port.Published) {
				d.Part.Bytes = []byte("nonsense")
				d.Part.Size, d.Part.Sum = 8, catalog.Hash("nonsense")
			}},
		} {
			d := good()
			c.damage(d)
			if more, err := g.applyPulled(d, "giver", time.Now()); err == nil || more || g.Version() == 1000 {
				t.Errorf("%s: more %t, %v, version %d", c.name, more, err, g.Version())
			}
			f.publish(withRoutes(f.catalog, 10))
			time.Sleep(2 * time.Second)
			if g.Version() != f.catalog.Version {
				t.Errorf("%s: version %d later, want %d", c.name, g.Version(), f.catalog.Version)
			}
		}
		if more, err := g.applyPulled(good(), "giver", time.Now()); err != nil || more || g.Version() != 1000 {
			t.Errorf("an intact part: more %t, %v, version %d", more, err, g.Version())
		}
		g.published.partial = partialDocument{whole: true}
		if q := g.published.pullRequest(port.DocumentConfig); len(q.Held) > 0 {
			t.Error("a difference is requested again after one that did not apply")
		}
	})
}

// A box whose link is fully committed names other holders of the document, and the asker goes there.
func TestBusyBoxNamesOtherHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEmptyFleet(t)
		f.links = newLinks(func(string) float64 { return 10 })
		f.start("box0")
		time.Sleep(2 * time.Second)
		f.publish(withRoutes(f.catalog, 5600))
		time.Sleep(2 * time.Second)
		g := f.box("box0")
		whole := &port.PullPublished{Document: port.DocumentConfig, From: "a"}
		size := g.answerPull(whole).Part.Size
		var busy *port.Busy
		begun := 1
		for range 50 {
			if d := g.answerPull(&port.PullPublished{Document: port.DocumentConfig, From: "b"}); d.Busy != nil {
				busy = d.Busy
				break
			}
			begun++
		}
		if most := 2 + int(linkReserveAhead.Seconds()*linkShare*10*bytesPerMbit/float64(size)); busy == nil || begun > most {
			t.Fatalf("%d transfers of %d bytes were started at once, want at most %d", begun, size, most)
		}
		if busy.For <= 0 || busy.For > time.Second {
			t.Errorf("retry time is %v", busy.For)
		}
		// Transfers under way continue all the same.
		p := g.answerPull(whole).Busy
		rest := g.answerPull(&port.PullPublished{Document: port.DocumentConfig, From: "a", Offset: partBytes, Sum: g.published.source.packs[0].sum})
		if p == nil || rest.Part == nil || rest.Part.Offset != partBytes {
			t.Errorf("a transfer under way is not continued: %+v", rest)
		}
		for offset := partBytes; offset < size; offset += partBytes {
			g.answerPull(&port.PullPublished{Document: port.DocumentConfig, From: "a", Offset: offset, Sum: rest.Part.Sum})
		}
		if d := g.answerPull(whole); d.Busy == nil || !slices.Equal(d.Busy.Holders, []string{"a"}) {
			t.Errorf("names %+v, want the box that has the whole document", d.Busy)
		}
		other := newEmptyFleet(t).start("other")
		other.published.recordHolders(&port.Published{AsOf: 9, Digest: "2", Busy: &port.Busy{Holders: []string{"a"}}})
		other.published.mu.Lock()
		defer other.published.mu.Unlock()
		if from := other.published.catalogs.NextPull(time.Now()); from != "a" {
			t.Errorf("asks %q next, want the named box", from)
		}
	})
}

// A holder that accepts connections and then does not answer delays a change by the time limit of one part at
// most.
func TestUnresponsiveHolderIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const boxes = 12
		f := newTestFleet(t, boxes)
		time.Sleep(3 * time.Second)
		silent := map[string]bool{addressOf("box3"): true, addressOf("box7"): true}
		for i := range boxes {
			f.intercept(fmt.Sprint("box", i), func(to string, q port.Question, a *port.Answer) error {
				if silent[to] && q.Publish != nil {
					wait(f.ctx, partTime) // uses the fleet's context, so that no goroutine outlives the test
					return context.DeadlineExceeded
				}
				return nil
			})
		}
		next := withRoutes(f.catalog, 1400)
		f.publish(next)
		if last, missing := f.arrivals(next.Version, 6*time.Second); last > applyBound {
			t.Errorf("the last box took %v, %d boxes without the version", last, missing)
		}
	})
}
