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
	"github.com/stilemast/stilemast/src/candidates"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/duties"
)

// countCallers counts the calls to the stage servers by box, from now on.
func (f *testFleet) countCallers() func() map[string]int {
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

// A pool stays with the box that holds it: the seeds' term does not end by the clock, and boxes that join do
// not take the pool even if they come first by hash.
func TestPoolKeepsSchedulerWhenBoxesJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4)
		f.serveStreams(1)
		time.Sleep(500 * time.Millisecond) // the seeds schedule
		if a := f.ask("box2", "/draft/x", "first", nil); !a.ended {
			t.Fatalf("%+v", a)
		}
		first := f.box("box2").schedulerOf("encode", nil)
		if first != "box0" && first != "box1" {
			t.Fatalf("%s is the scheduler, want a seed", first)
		}
		for i := 4; i < 16; i++ {
			f.start(fmt.Sprint("box", i))
		}
		callers := f.countCallers()
		for i := range 24 {
			if a := f.ask(fmt.Sprint("box", i%16), "/draft/x", fmt.Sprint("r", i), nil); !a.ended {
				t.Fatalf("r%d: %+v", i, a)
			}
			time.Sleep(candidates.SettledAfter / 12)
		}
		if at := callers(); len(at) != 1 || at[first] == 0 {
			t.Errorf("calls were made by %v, want %s alone", at, first)
		}
	})
}

// A new box that every other box would select by hash learns of the claim before it gets a job.
func TestAllBoxesAgreeOnClaimant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 12)
		f.serveStreams(1)
		time.Sleep(candidates.SettledAfter + time.Second)
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
		callers := f.countCallers()
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
		time.Sleep(candidates.SettledAfter + time.Second)
		next := f.box(rest[0]).schedulerOf("encode", nil)
		if next == first {
			t.Error("the box that came back took the pool")
		}
		for _, n := range append(slices.Clone(rest), first) {
			if got := f.box(n).schedulerOf("encode", nil); got != next {
				t.Errorf("%s takes %s for the scheduler, %s takes %s", n, got, rest[0], next)
			}
		}
	})
}

// Two boxes that claimed one pool independently converge as soon as they hear of each other: one hands it
// over.
func TestConflictingClaimsConverge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4)
		f.serveStreams(1)
		time.Sleep(candidates.SettledAfter + time.Second)
		for _, n := range boxNames(4)[:2] {
			f.box(n).fleet.claim("encode")
		}
		time.Sleep(2 * time.Second)
		want := f.box("box3").schedulerOf("encode", nil)
		claims := 0
		for _, n := range boxNames(4) {
			g := f.box(n)
			if got := g.schedulerOf("encode", nil); got != want {
				t.Errorf("%s takes %s for the scheduler, box3 takes %s", n, got, want)
			}
			g.fleet.mu.Lock()
			if len(g.fleet.core.Self.Claims) > 0 && n == want {
				claims++
			}
			g.fleet.mu.Unlock()
		}
		if claims != 1 {
			t.Errorf("%s no longer claims the pool", want)
		}
	})
}

// In a large fleet a single report that a scheduler does not answer may be caused by a lost message; two are
// needed.
func TestLargeFleetNeedsTwoReportsOfUnresponsiveScheduler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, duties.TwoReportsFrom+2)
		time.Sleep(5 * time.Second)
		g := f.box("box0")
		f.setLost("box1", true)
		time.Sleep(2 * recentContact)
		g.fleet.handleSilenceReport(g.now(), "box1", "box2")
		g.fleet.handleSilenceReport(g.now(), "box1", "box2")
		if !g.fleet.mayAsk(g.now(), "box1") {
			t.Error("a scheduler is skipped after the report of one box")
		}
		time.Sleep(2 * duties.ReportValidity)
		g.fleet.handleSilenceReport(g.now(), "box1", "box3")
		if !g.fleet.mayAsk(g.now(), "box1") {
			t.Error("a scheduler is skipped after an expired report")
		}
		g.fleet.handleSilenceReport(g.now(), "box1", "box4")
		if g.fleet.mayAsk(g.now(), "box1") {
			t.Error("a scheduler that two boxes reported as unresponsive is asked")
		}
	})
}
