package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/catalog"
)

func TestOnlySettledBoxesScheduleUnlessAllHaveJustStarted(t *testing.T) {
	for _, c := range []struct {
		name    string
		running map[string]time.Duration
		want    []string
	}{
		{"a start of all", map[string]time.Duration{"a": time.Second, "b": 1200 * time.Millisecond}, []string{"a", "b"}},
		{"one has come back", map[string]time.Duration{"a": time.Minute, "b": time.Minute, "c": 5 * time.Second}, []string{"a", "b"}},
		{"it has settled", map[string]time.Duration{"a": time.Minute, "b": time.Minute, "c": settledAfter}, []string{"a", "b", "c"}},
		{"only one is old", map[string]time.Duration{"a": 10 * time.Second, "b": 4 * time.Second}, []string{"a"}},
	} {
		got := settled(c.running)
		slices.Sort(got)
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// schedulerAmong is the box that schedules a pool if only these may.
func schedulerAmong(pool string, boxes ...string) string {
	return firstByHash(pool, boxes, nil, "")
}

func TestABoxThatComesBackLeavesItsPoolsWhereTheyAre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4)
		time.Sleep(4 * time.Second)
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
				t.Errorf("%s has %s schedule after a restart of %s, want %s", b, got, first, next)
			}
		}
		time.Sleep(settledAfter)
		for _, b := range []string{"box0", "box1", "box2", "box3"} {
			if got := f.box(b).schedulerOf("encode", nil); got != first {
				t.Errorf("%s has %s schedule, want %s, which has settled", b, got, first)
			}
		}
	})
}

func TestASchedulerThatWasSilentIsNotAskedByTheNextRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		f.streams(2)
		time.Sleep(4 * time.Second)
		var calls atomic.Int64
		run := f.runPieces
		f.runPieces = func(ctx context.Context, box string, s catalog.Server, items []batch.Item) (batch.CallOutcome, []batch.ItemResult) {
			calls.Add(1)
			return run(ctx, box, s, items)
		}
		scheduler := f.box("box0").schedulerOf("encode", nil)
		asker := "box0"
		if scheduler == asker {
			asker = "box1"
		}
		f.kill(scheduler)
		if a := f.ask(asker, "/draft/1", "first", nil); !a.ended || a.took < ackPatience {
			t.Fatalf("the first request after the loss: %+v", a)
		}
		if a := f.ask(asker, "/draft/2", "second", nil); !a.ended || a.took >= ackPatience+300*time.Millisecond {
			t.Errorf("the second request asked the silent box again: took %s", a.took)
		}
	})
}
