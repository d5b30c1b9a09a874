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

// A pipeline of a chain of three stages and of a fourth with large results that only the request reads.
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

// begunStages plays one request and gives when each stage's first piece went out, from the request's start.
func begunStages(t *testing.T, c *catalog.Catalog) map[int]time.Duration {
	t.Helper()
	out := map[int]time.Duration{}
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		f.publish(c)
		f.streams(1)
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

func TestLargeResultsAreMadeWhenTheirPartnersAre(t *testing.T) {
	began := begunStages(t, pacedCatalog(largeResults))
	if began[0] < began[2] || began[0] > began[3]+partnerPace {
		t.Errorf("large results were begun %s after the start, the stages of the chain beside them at %s, %s and %s", began[0], began[1], began[2], began[3])
	}
}

func TestSmallResultsAreMadeAtOnce(t *testing.T) {
	if began := begunStages(t, pacedCatalog(10)); began[0] > began[1] {
		t.Errorf("small results waited until %s", began[0])
	}
}
