package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/catalog"
)

// callers counts the boxes that make calls to the pieces' servers, from now on.
func (f *testFleet) callers() func() map[string]int {
	var mu sync.Mutex
	at := map[string]int{}
	run := f.runPieces
	f.runPieces = func(ctx context.Context, box string, s catalog.Server, items []batch.Item) (batch.CallOutcome, []batch.ItemResult) {
		mu.Lock()
		at[box]++
		mu.Unlock()
		return run(ctx, box, s, items)
	}
	return func() map[string]int {
		mu.Lock()
		defer mu.Unlock()
		return at
	}
}

func boxNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint("box", i))
	}
	return out
}

// A pool stays with the box that has it: the seeds' term does not end by the clock, and boxes that join
// do not take it though they come first by hash.
func TestAPoolStaysWithItsSchedulerWhenBoxesJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4)
		f.streams(1)
		time.Sleep(500 * time.Millisecond) // the seeds schedule
		if a := f.ask("box2", "/draft/x", "first", nil); !a.ended {
			t.Fatalf("%+v", a)
		}
		first := f.box("box2").schedulerOf("encode", nil)
		if first != "box0" && first != "box1" {
			t.Fatalf("%s schedules, want a seed", first)
		}
		for i := 4; i < 16; i++ {
			f.start(fmt.Sprint("box", i))
		}
		callers := f.callers()
		for i := range 24 {
			if a := f.ask(fmt.Sprint("box", i%16), "/draft/x", fmt.Sprint("r", i), nil); !a.ended {
				t.Fatalf("r%d: %+v", i, a)
			}
			time.Sleep(settledAfter / 12)
		}
		if at := callers(); len(at) != 1 || at[first] == 0 {
			t.Errorf("calls were made by %v, want %s alone", at, first)
		}
	})
}

// A new box that every other would choose by hash learns of the claim before it gets a job.
func TestAllAgreeOnTheClaimant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 12)
		f.streams(1)
		time.Sleep(settledAfter + time.Second)
		if a := f.ask("box3", "/draft/x", "first", nil); !a.ended {
			t.Fatalf("%+v", a)
		}
		first := f.box("box3").schedulerOf("encode", nil)
		f.kill(first)
		var rest []string
		for _, n := range boxNames(12) {
			if n != first {
				rest = append(rest, n)
			}
		}
		callers := f.callers()
		var all sync.WaitGroup
		for i, n := range rest {
			all.Go(func() {
				if a := f.ask(n, "/draft/x", fmt.Sprint("r", i), nil); !a.ended {
					t.Errorf("r%d: %+v", i, a)
				}
			})
		}
		all.Wait()
		if at := callers(); len(at) != 1 {
			t.Errorf("after the loss of %s calls were made by %v, want one box", first, at)
		}
		f.start(first)
		time.Sleep(settledAfter + time.Second)
		next := f.box(rest[0]).schedulerOf("encode", nil)
		if next == first {
			t.Error("the box that came back took the pool")
		}
		for _, n := range append(slices.Clone(rest), first) {
			if got := f.box(n).schedulerOf("encode", nil); got != next {
				t.Errorf("%s has %s schedule, %s says %s", n, got, rest[0], next)
			}
		}
	})
}

// Two boxes that claimed one pool apart agree as soon as they hear of one another: one hands it over.
func TestOfTwoClaimantsOneHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4)
		f.streams(1)
		time.Sleep(settledAfter + time.Second)
		for _, n := range boxNames(4)[:2] {
			f.box(n).fleet.claim("encode")
		}
		time.Sleep(2 * time.Second)
		want := f.box("box3").schedulerOf("encode", nil)
		claims := 0
		for _, n := range boxNames(4) {
			g := f.box(n)
			if got := g.schedulerOf("encode", nil); got != want {
				t.Errorf("%s has %s schedule, box3 says %s", n, got, want)
			}
			g.fleet.mu.Lock()
			if g.fleet.claims("encode") && n == want {
				claims++
			}
			g.fleet.mu.Unlock()
		}
		if claims != 1 {
			t.Errorf("%s claims the pool no more", want)
		}
	})
}

// In a large fleet one box's word that a scheduler is silent may come of a lost message; it takes two.
func TestInALargeFleetASchedulerIsSilentOnTheWordOfTwo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, twoReportsFrom+2)
		time.Sleep(5 * time.Second)
		g := f.box("box0")
		f.setLost("box1", true)
		time.Sleep(2 * heardLately)
		g.fleet.handleSilenceReport(g.now(), "box1", "box2")
		g.fleet.handleSilenceReport(g.now(), "box1", "box2")
		if !g.fleet.mayAsk(g.now(), "box1") {
			t.Error("a scheduler is passed over on the word of one box")
		}
		time.Sleep(2 * reportValidity)
		g.fleet.handleSilenceReport(g.now(), "box1", "box3")
		if !g.fleet.mayAsk(g.now(), "box1") {
			t.Error("a scheduler is passed over on an old word")
		}
		g.fleet.handleSilenceReport(g.now(), "box1", "box4")
		if g.fleet.mayAsk(g.now(), "box1") {
			t.Error("a scheduler that two boxes found silent is asked")
		}
	})
}
