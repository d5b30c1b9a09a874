package gateway

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/candidates"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/duties"
)

// After a restart of the whole fleet each box knows only itself at first. Pieces must still go to one box, or
// each box sends calls of its own to the same servers.
func TestOneSchedulerPerPoolAfterFullRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 12)
		f.serveStreams(2)
		time.Sleep(4 * time.Second)
		var names []string
		for i := range 12 {
			names = append(names, fmt.Sprint("box", i))
		}
		for _, n := range names {
			f.kill(n)
		}
		var mu sync.Mutex
		schedulers := map[string]bool{}
		run := f.runPieces
		f.runPieces = func(ctx context.Context, box string, s catalog.Server, items []batch.Item) (batch.CallOutcome, []batch.ItemResult) {
			mu.Lock()
			schedulers[box] = true
			mu.Unlock()
			return run(ctx, box, s, items)
		}
		var done sync.WaitGroup
		for i, n := range slices.Backward(names) { // the seeds start last
			f.start(n)
			time.Sleep(20 * time.Millisecond)
			done.Go(func() {
				for !f.box(n).Ready() {
					time.Sleep(time.Millisecond)
				}
				if a := f.ask(n, "/draft/1", fmt.Sprint("r", i), nil); !a.ended {
					t.Errorf("the request at %s: %+v", n, a)
				}
			})
		}
		done.Wait()
		if len(schedulers) != 1 {
			t.Errorf("%d boxes made calls to one pool's servers, want one", len(schedulers))
		}
	})
}

// schedulerAmong returns the scheduler of a pool if only these boxes are eligible.
func schedulerAmong(pool string, boxes ...string) string {
	return candidates.FirstByHash(pool, boxes, nil, "")
}

func TestRestartedBoxLeavesPoolsUntilSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4)
		time.Sleep(candidates.SettledAfter + time.Second)
		first := f.box("box0").schedulerOf("encode", nil)
		f.kill(first)
		time.Sleep(8 * time.Second)
		var others []string
		for _, b := range []string{"box0", "box1", "box2", "box3"} {
			if b != first {
				others = append(others, b)
			}
		}
		next := schedulerAmong("encode", others...)
		f.start(first)
		time.Sleep(3 * time.Second)
		for _, b := range []string{"box0", "box1", "box2", "box3"} {
			if got := f.box(b).schedulerOf("encode", nil); got != next {
				t.Errorf("%s takes %s for the scheduler after a restart of %s, want %s", b, got, first, next)
			}
		}
		time.Sleep(candidates.SettledAfter)
		for _, b := range []string{"box0", "box1", "box2", "box3"} {
			if got := f.box(b).schedulerOf("encode", nil); got != first {
				t.Errorf("%s takes %s for the scheduler, want %s, which has settled", b, got, first)
			}
		}
	})
}

func TestUnresponsiveSchedulerIsSkippedByNextRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		f.serveStreams(2)
		time.Sleep(4 * time.Second)
		var calls atomic.Int64
		run := f.runPieces
		f.runPieces = func(ctx context.Context, box string, s catalog.Server, items []batch.Item) (batch.CallOutcome, []batch.ItemResult) {
			calls.Add(1)
			return run(ctx, box, s, items)
		}
		scheduler := f.box("box0").schedulerOf("encode", nil)
		others := slices.DeleteFunc([]string{"box0", "box1", "box2"}, func(b string) bool { return b == scheduler })
		asker := others[0] // the other one is the next scheduler and has not noticed the loss yet
		if schedulerAmong("encode", others...) == asker {
			asker = others[1]
		}
		f.kill(scheduler)
		if a := f.ask(asker, "/draft/1", "first", nil); !a.ended || a.took < ackPatience {
			t.Fatalf("the first request after the loss: %+v", a)
		}
		if a := f.ask(asker, "/draft/2", "second", nil); !a.ended || a.took >= ackPatience+300*time.Millisecond {
			t.Errorf("the second request asked the unresponsive box again: took %s", a.took)
		}
	})
}

// In a large fleet a membership change takes a while to spread; the previous scheduler already knows its
// successor.
func TestOwnerFollowsSchedulerHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		time.Sleep(5 * time.Second)
		g := f.box("box0")
		first := g.schedulerOf("encode", nil)
		next := "box1"
		if first == next {
			next = "box2"
		}
		g.fleet.recordRedirect(g.now(), "encode", next)
		if got := g.schedulerOf("encode", nil); got != next {
			t.Errorf("%s is the scheduler, want %s as %s said", got, next, first)
		}
		time.Sleep(duties.RedirectValidity)
		if got := g.schedulerOf("encode", nil); got != first {
			t.Errorf("a scheduler's hint does not expire: %s", got)
		}
		g.fleet.recordRedirect(g.now(), "encode", next)
		g.fleet.avoidScheduler(g.now(), next)
		if got := g.schedulerOf("encode", nil); got == next {
			t.Error("a box that does not answer is taken for the scheduler")
		}
	})
}

// After a loss of all boxes they restart one after the other, the seeds last. A box soon asks seeds again
// that had not started yet at its first attempt.
func TestStaggeredRestartConverges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 0)
		for i := range 6 {
			f.start(fmt.Sprint("box", 5-i)) // box0 and box1 are the seeds
			time.Sleep(70 * time.Millisecond)
		}
		time.Sleep(150 * time.Millisecond)
		for i := range 6 {
			if n := f.box(fmt.Sprint("box", i)).Members(); n != 6 {
				t.Errorf("box%d knows %d boxes 220 ms after the last one started", i, n)
			}
		}
	})
}

// The process of a scheduler ends while pieces run. Its address refuses connections, so waiting pieces go to
// the next box at once, which learns of the results that still take up space.
func TestKilledSchedulerIsReplacedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4)
		f.refusesConns = true
		f.send = func(ctx context.Context, _ string, _ *Call) (*Reply, error) {
			return eventStream(ctx, 1, 1, time.Second, io.EOF), nil // results are held for a second
		}
		settle()
		lost := f.box("box0").schedulerOf("encode", nil)
		var owner string
		for i := range 4 {
			if name := fmt.Sprint("box", i); name != lost {
				owner = name
			}
		}
		f.box(owner).pools.get("model").fetch = maxFetch // keeps results held meanwhile
		go f.ask(owner, "/draft/x", "first", nil)
		time.Sleep(400 * time.Millisecond)
		var second callResult
		var done sync.WaitGroup
		done.Go(func() { second = f.ask(owner, "/draft/x", "second", nil) })
		time.Sleep(50 * time.Millisecond)
		f.kill(lost)
		done.Wait()
		// 50 ms, up to 200 ms until the next message fails, a call of 300 ms and two seconds of answers.
		if limit := 2600 * time.Millisecond; !second.ended || second.took > limit {
			t.Errorf("the request took %s, want less than %s: %+v", second.took, limit, second)
		}
		if f.heldReported != 2 {
			t.Errorf("the next scheduler learned of %d results, want 2", f.heldReported)
		}
	})
}

func TestReportOfUnresponsiveSchedulerCountsUnlessHeardFrom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		settle()
		g := f.box("box0")
		g.fleet.handleSilenceReport(g.now(), "box1", "box2")
		if !g.fleet.mayAsk(g.now(), "box1") {
			t.Error("a box that was heard from a moment ago is skipped after another's report")
		}
		f.setLost("box1", true)
		time.Sleep(2 * recentContact)
		g.fleet.handleSilenceReport(g.now(), "box1", "box2")
		if g.fleet.mayAsk(g.now(), "box1") {
			t.Error("a box that is not heard from is asked though another reported it as unresponsive")
		}
	})
}
