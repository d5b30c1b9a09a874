package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/catalog"
)

// pacedCatalog returns a pipeline with a chain of three stages and a fourth stage whose results, of the given
// size, only the request reads.
func pacedCatalog(large int) *catalog.Catalog {
	c := testCatalog(1)
	c.Pipelines[0].Stages = []catalog.Stage{
		{Pool: "encode", ResultBytes: large},
		{Pool: "encode", ResultBytes: 10},
		{Pool: "encode", ResultBytes: 10, After: []int{1}},
		{Pool: "encode", ResultBytes: 10, After: []int{2}},
	}
	return c
}

// stageStarts runs one request and returns when each stage's first piece was sent, relative to the start of
// the request.
func stageStarts(t *testing.T, c *catalog.Catalog) map[int]time.Duration {
	t.Helper()
	out := map[int]time.Duration{}
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		f.publish(c)
		f.serveStreams(1)
		settle()
		var mu sync.Mutex
		inner, began := f.runPieces, time.Now()
		f.runPieces = func(ctx context.Context, box string, s catalog.Server, items []batch.Item) (batch.CallOutcome, []batch.ItemResult) {
			mu.Lock()
			for _, it := range items {
				if _, ok := out[it.Stage]; !ok {
					out[it.Stage] = time.Since(began)
				}
			}
			mu.Unlock()
			return inner(ctx, box, s, items)
		}
		a := f.ask("box1", "/draft/x", "r", func(r *Request) { r.Pieces = []int{1, 1, 1, 1} })
		if !a.ended {
			t.Errorf("not served: %+v", a)
		}
	})
	return out
}

func TestLargeResultsWaitForParallelStages(t *testing.T) {
	began := stageStarts(t, pacedCatalog(largeResults))
	if began[0] < began[2] || began[0] > began[3]+partnerPace {
		t.Errorf("the stage with large results started after %s, the stages of the parallel chain after %s, %s and %s", began[0], began[1], began[2], began[3])
	}
}

func TestSmallResultsStartImmediately(t *testing.T) {
	if began := stageStarts(t, pacedCatalog(10)); began[0] > began[1] {
		t.Errorf("the stage with small results waited until %s", began[0])
	}
}
