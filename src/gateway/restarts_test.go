package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/code"
)

// restart has a server begin a new life under its id; all else of its entry stays.
func (f *testFleet) restart(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := slices.Clone(f.servers)
	for i := range list {
		if list[i].ID == id {
			list[i].Incarnation += 1000
		}
	}
	f.list(list)
}

// twoStages has drafts made in two stages of the same pool, the second of which reads the first one's results.
func (f *testFleet) twoStages() {
	c := testCatalog(2)
	c.Pipelines[0].Stages = []catalog.Stage{{Pool: "encode", ResultBytes: 10}, {Pool: "encode", After: []int{0}, ResultBytes: 10}}
	f.publish(c)
}

// Results of a stage that lie at a server which starts again are made again as soon as that is known, and nobody asks the
// new life for them.
func TestResultsAtAServerThatStartsAgainAreMadeAgainBeforeAnyoneAsksForThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4)
		f.streams(2)
		f.twoStages()
		var mu sync.Mutex
		holder, made := "", map[int]int{}
		f.runPieces = func(ctx context.Context, _ string, s catalog.Server, items []batch.Item) (batch.CallOutcome, []batch.ItemResult) {
			mu.Lock()
			made[items[0].Stage]++
			first := items[0].Stage == 0 && holder == ""
			if first {
				holder = s.ID
			}
			restarted := items[0].Stage == 1 && made[0] == 1
			mu.Unlock()
			if restarted { // the second stage waits at its server while the first one's starts again
				f.restart(holder)
				wait(ctx, 3*time.Second)
				return batch.CallBroken, nil
			}
			wait(ctx, 50*time.Millisecond)
			return batch.CallDone, piecesOf(s, items)
		}
		settle()
		a := f.ask("box2", "/draft/x", "r", func(r *Request) { r.Pieces = []int{1, 1} })
		if a.status != http.StatusOK || a.cut {
			t.Errorf("the caller got %+v", a)
		}
		if made[0] != 2 {
			t.Errorf("the first stage was made %d times, want twice; its results lay at %s", made[0], holder)
		}
		if a.took > time.Second {
			t.Errorf("took %s: the loss was found out by a failed call", a.took)
		}
		time.Sleep(4 * time.Second) // the waiting call ends
	})
}

// A request that may have run in a server's earlier life is never sent again on the word that the new life knows nothing.
func TestARequestThatMayHaveRunInAnEarlierLifeIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4)
		var mu sync.Mutex
		sent := 0
		f.send = func(ctx context.Context, _ string, c *Call) (*Reply, error) {
			mu.Lock()
			sent++
			mu.Unlock()
			f.restart(c.Server.ID)
			wait(ctx, 500*time.Millisecond)
			return nil, errBroken
		}
		settle()
		a := f.ask("box2", "/stamp/x", "r", func(r *Request) { r.Pieces = nil })
		if sent != 1 || a.refused == nil || a.refused.DidRun() == code.RanNo {
			t.Errorf("sent %d times, the caller got %v", sent, a.refused)
		}
	})
}

// The entry may have been a bad one in between: what lay at the server is found by its id, whatever the pool says.
func TestResultsAreFoundByTheServerThatHeldThem(t *testing.T) {
	h := &holdings{}
	h.init(nil)
	r := &results{freed: make([]bool, 2), onLoss: func() {}}
	h.add("vault", &batch.Done{Handles: []string{"a", "b"}, Servers: []string{"i-1", "i-2"}}, 1, time.Time{}, r, 1)
	if n := h.dropServer("i-1"); n != 1 || !r.wasLost() || !r.freed[1] || r.freed[0] {
		t.Errorf("%d results were lost, of the stages %v", n, r.freed)
	}
	if n := h.dropServer("i-1"); n != 0 {
		t.Errorf("%d results were lost twice", n)
	}
}
