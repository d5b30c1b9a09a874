package resume

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// boxes are trackers that exchange messages in virtual time.
type boxes struct {
	all   []*Tracker
	down  map[string]bool // don't answer
	old   map[string]bool // of an earlier release
	list  []Box
	sent  atomic.Int64 // origins reported
	calls atomic.Int64 // reports
}

func newBoxes(n int) *boxes {
	x := &boxes{down: map[string]bool{}, old: map[string]bool{}}
	for i := range n {
		x.list = append(x.list, Box{Name: fmt.Sprint("b", i), Domain: fmt.Sprint("d", i%3), Incarnation: 1})
		x.all = append(x.all, x.tracker(i))
	}
	return x
}

func (x *boxes) tracker(i int) *Tracker {
	return &Tracker{
		Self: fmt.Sprint("b", i), Now: time.Now, Log: slog.New(slog.DiscardHandler),
		Boxes: func() []Box { return x.list },
		Ask: func(ctx context.Context, box string, q Question) (Answer, error) {
			if x.down[box] {
				<-ctx.Done()
				return Answer{}, ctx.Err()
			}
			if x.old[box] {
				return Answer{}, ErrUnsupported
			}
			if len(q.Began) > 0 {
				x.calls.Add(1)
				x.sent.Add(int64(len(q.Began)))
			}
			n := 0
			_, _ = fmt.Sscanf(box, "b%d", &n)
			return x.all[n].Answer(q), nil
		},
	}
}

// restart starts a box anew.
func (x *boxes) restart(i int) {
	x.all[i] = x.tracker(i)
	x.list = slices.Clone(x.list)
	x.list[i].Incarnation++
}

// holding lists the boxes that hold the origin of a stream for others.
func (x *boxes) holding(s Stream) (out []int) {
	for i, t := range x.all {
		if _, ok := t.register.find(time.Now(), s); ok {
			out = append(out, i)
		}
	}
	return out
}

func (x *boxes) tick(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		time.Sleep(100 * time.Millisecond)
		for _, t := range x.all {
			t.Tick()
		}
	}
}

var origin = OriginAt("pool", "v1")

// Guards against origins that are lost with the boxes that hold them.
func TestOriginOutlivesTheBoxesThatHoldIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for n := range 40 {
			x := newBoxes(6)
			s := StreamOf("w", fmt.Sprint(n))
			x.all[0].Began(origin, 20*time.Second, s)
			x.tick(100 * time.Millisecond)
			held := x.holding(s)
			if len(held) != 2 || x.list[held[0]].Domain == x.list[held[1]].Domain || slices.Contains(held, 0) {
				t.Fatalf("held by %v", held)
			}
			for range 3 { // each holder starts again in turn, while the box that carries the stream lives
				x.restart(x.holding(s)[0])
				x.all[0].Began(origin, time.Second, StreamOf("w", "another"))
				time.Sleep(2 * reportDelay)
				x.tick(300 * time.Millisecond)
			}
			x.down["b0"] = true
			for i := 1; i < 6; i++ {
				if o, e := x.all[i].Find(t.Context(), Taken{Stream: s}); e != Reported || o != origin {
					t.Fatalf("box %d: %v %s", i, o, e)
				}
			}
		}
	})
}

// Guards against origins that boxes which don't answer, or are of an earlier release, should have held.
func TestOriginIsHeldByBoxesThatAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newBoxes(6)
		s := StreamOf("w", "a")
		first := x.all[0].ranking
		first.update(x.list)
		chosen := slices.DeleteFunc(first.choose(s, asked, func(string) bool { return false }), func(b Box) bool { return b.Name == "b0" })
		x.down[chosen[0].Name], x.old[chosen[1].Name] = true, true
		x.all[0].Began(origin, 20*time.Second, s)
		x.tick(time.Second)
		if held := x.holding(s); len(held) != 2 {
			t.Fatalf("held by %v", held)
		}
		x.down = map[string]bool{}
		x.tick(2 * time.Second)
		if held := x.holding(s); len(held) != 3 {
			t.Errorf("held by %v after the silent box answers again", held)
		}
	})
}

// Guards against callers who wait for boxes that don't answer, and against an origin taken for unknown since they don't.
func TestUnknownOriginIsToldFromSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newBoxes(6)
		s := StreamOf("w", "a")
		if _, e := x.all[0].Find(t.Context(), Taken{Stream: s}); e != Unknown {
			t.Errorf("%s", e)
		}
		for i := 1; i < 6; i++ {
			x.down[fmt.Sprint("b", i)] = true
		}
		began := time.Now()
		if _, e := x.all[0].Find(t.Context(), Taken{Stream: s}); e != Silent || time.Since(began) > queryTimeout {
			t.Errorf("%s after %s", e, time.Since(began))
		}
	})
}

// Guards against another workspace's caller who names a stream, and against origins kept for ever.
func TestOriginIsOfOneWorkspaceAndForATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newBoxes(3)
		x.all[0].Began(origin, 2*time.Second, StreamOf("w", "a"))
		x.tick(100 * time.Millisecond)
		if _, e := x.all[1].Find(t.Context(), Taken{Stream: StreamOf("wa", "")}); e != Unknown {
			t.Errorf("another workspace: %s", e)
		}
		x.tick(4 * time.Second)
		if _, e := x.all[1].Find(t.Context(), Taken{Stream: StreamOf("w", "a")}); e != Unknown {
			t.Errorf("after its time: %s", e)
		}
		for i, x := range x.all {
			if st := x.Status(); st.Live+st.Held > 0 {
				t.Errorf("box %d keeps %+v", i, st)
			}
		}
	})
}

// Guards against one message for each stream, and against reports that grow with the fleet.
func TestReportsAreCollected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, n := range []int{6, 61, 295, 985} {
			x := newBoxes(n)
			for i := range 200 {
				x.all[0].Began(origin, 20*time.Second, StreamOf("w", fmt.Sprint(i)))
			}
			x.tick(300 * time.Millisecond)
			if x.sent.Load() != 400 || x.calls.Load() > int64(min(400, n)) {
				t.Errorf("%d boxes: %d origins in %d reports", n, x.sent.Load(), x.calls.Load())
			}
			for i := range 200 {
				x.all[0].Ended(StreamOf("w", fmt.Sprint(i)))
			}
		}
	})
}

// Guards against a guess where a pool had another build while the stream may have run.
func TestSingleBuildIsKnownOnlyAfterTheLongestStream(t *testing.T) {
	const window = 20 * time.Second
	for _, c := range []struct {
		name string
		play func(x *Tracker)
		want bool
	}{
		{"one build for long", func(x *Tracker) { x.SetBuilds("p", map[string]int{"v1": 2}); time.Sleep(window + historyMargin) }, true},
		{"one build for a short time", func(x *Tracker) { x.SetBuilds("p", map[string]int{"v1": 2}); time.Sleep(window) }, false},
		{"no servers", func(*Tracker) {}, false},
		{"two builds", func(x *Tracker) { x.SetBuilds("p", map[string]int{"v1": 2, "v2": 1}); time.Sleep(time.Minute) }, false},
		{"another build until shortly before", func(x *Tracker) {
			x.SetBuilds("p", map[string]int{"v1": 2, "v2": 1})
			time.Sleep(time.Minute)
			x.SetBuilds("p", map[string]int{"v1": 2})
			time.Sleep(window)
		}, false},
		{"another build long before", func(x *Tracker) {
			x.SetBuilds("p", map[string]int{"v2": 1})
			x.SetBuilds("p", map[string]int{"v1": 2})
			time.Sleep(time.Minute)
		}, true},
		{"all servers replaced by another build", func(x *Tracker) {
			x.SetBuilds("p", map[string]int{"v1": 2})
			time.Sleep(time.Minute)
			x.SetBuilds("p", map[string]int{})
			x.SetBuilds("p", map[string]int{"v2": 2})
			time.Sleep(window)
		}, false},
		{"the list was not known for a while", func(x *Tracker) {
			x.SetBuilds("p", map[string]int{"v1": 2})
			time.Sleep(time.Minute)
			x.ListUnknown()
			time.Sleep(window)
		}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			x := newBoxes(2).all[0]
			c.play(x)
			o, e := x.Find(t.Context(), Taken{Stream: StreamOf("w", "a"), Pools: []string{"p"}, Window: window})
			if (e == Single) != c.want || c.want && o != OriginAt("p", "v1") {
				t.Errorf("%s: %v %s", c.name, o, e)
			}
		})
	}
}

// Guards against reports that are forged or too many.
func TestRegisterIsBounded(t *testing.T) {
	x := newBoxes(1).all[0]
	for _, b := range []Began{{Left: 0}, {Left: -1}, {Left: maxLeft + 1}, {Left: 1, Origin: Origin{Build: string(make([]byte, maxBuildBytes+1))}}} {
		if x.Answer(Question{Began: []Began{b}}).Recorded {
			t.Errorf("recorded %+v", b)
		}
	}
	recorded := 0
	for i := range maxEntries + 10 {
		if x.Answer(Question{Began: []Began{{Stream: StreamOf("w", fmt.Sprint(i)), Left: time.Minute, Origin: origin}}}).Recorded {
			recorded++
		}
	}
	if recorded != maxEntries {
		t.Errorf("recorded %d", recorded)
	}
	if x.Answer(Question{}) != (Answer{}) || errors.Is(errNotRecorded, ErrUnsupported) {
		t.Error("an empty question was answered")
	}
}

// Guards against reports that cost more than a few bytes a stream.
func TestReportIsSmall(t *testing.T) {
	raw, err := msgpack.Marshal(Question{Began: []Began{{Stream: StreamOf("w", "a"), Origin: origin, Left: 20 * time.Second}}})
	if err != nil || len(raw) > 80 {
		t.Errorf("%d bytes, %v", len(raw), err)
	}
	t.Logf("%d bytes", len(raw))
}

// Guards against a stream that goes on where another one with the same content began.
func TestNameOfStreamsThatBeganApartIsAmbiguous(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newBoxes(6)
		same, apart := StreamOfContent([16]byte{1}), StreamOfContent([16]byte{2})
		x.all[0].Began(origin, 20*time.Second, same, apart)
		x.all[1].Began(origin, 20*time.Second, same)
		x.all[1].Began(OriginAt("pool", "v2"), 20*time.Second, apart)
		x.tick(300 * time.Millisecond)
		x.down["b0"], x.down["b1"] = true, true
		for i := 2; i < 6; i++ {
			if o, e := x.all[i].Find(t.Context(), Taken{Stream: same}); e != Reported || o != origin {
				t.Errorf("box %d, one origin: %v %s", i, o, e)
			}
			if o, e := x.all[i].Find(t.Context(), Taken{Stream: apart}); e.Known() {
				t.Errorf("box %d, two origins: %v %s", i, o, e)
			}
		}
		x.all[1].Began(OriginAt("pool", "v2"), 20*time.Second, same)
		if o, e := x.all[1].Find(t.Context(), Taken{Stream: same}); e.Known() {
			t.Errorf("two origins at one box: %v %s", o, e)
		}
	})
}

// Guards against a deadlock of a box: a change of its servers holds a lock that the list of boxes waits for, and needs the tracker.
func TestBoxesAreAskedForWithoutTheTrackersLock(t *testing.T) {
	for name, use := range map[string]func(*Tracker){
		"report": (*Tracker).report, "tick": (*Tracker).Tick,
		"query": func(t *Tracker) { t.find(context.Background(), Taken{}) },
	} {
		x := newBoxes(3)
		tracker, changed := x.all[0], make(chan struct{})
		tracker.Boxes = func() []Box {
			go func() {
				tracker.SetBuilds("pool", map[string]int{"v1": 1})
				changed <- struct{}{}
			}()
			select {
			case <-changed:
			case <-time.After(2 * time.Second):
				t.Errorf("%s: the tracker is locked while boxes are asked for", name)
				go func() { <-changed }()
			}
			return x.list
		}
		use(tracker)
	}
}
