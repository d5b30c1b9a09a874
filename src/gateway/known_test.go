package gateway

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/code"
)

// returnOfAll plays the start of eight boxes at once while callers go on trying, before a store that answers only
// after a while. It gives what the callers of the first half second got.
func returnOfAll(t *testing.T, storeAfter time.Duration) []answerOf {
	f := newEmptyFleet(t)
	f.streams(1)
	began := time.Now()
	f.turnsAway = func(string) bool { return time.Since(began) < storeAfter }
	for i := range 8 {
		f.start(fmt.Sprint("box", i))
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	var out []answerOf
	for i := range 24 {
		all.Go(func() {
			a := f.ask(fmt.Sprint("box", i%8), "/draft/x", fmt.Sprint("r", i), func(r *Request) { r.Pieces = []int{0} })
			mu.Lock()
			defer mu.Unlock()
			out = append(out, a)
		})
		time.Sleep(20 * time.Millisecond)
	}
	all.Wait()
	return out
}

// A configuration that comes within a third of a second of the boxes' start costs no caller its return.
func TestCallersWaitForADocumentThatIsComing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, a := range returnOfAll(t, 250*time.Millisecond) {
			if !a.ended || a.took > documentsWait+100*time.Millisecond {
				t.Errorf("a caller of the return got %+v", a)
			}
		}
	})
}

// Without a configuration callers are told so after a bounded time, and when to come back.
func TestCallersDoNotWaitForADocumentThatStaysAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, a := range returnOfAll(t, 5*time.Second) {
			if a.refused == nil || a.refused.Code != code.NotReady || a.refused.DidRun() != code.RanNo || a.refused.RetryAfter == 0 || a.took > documentsWait+2*documentsPollInterval {
				t.Errorf("a caller without a configuration got %+v", a)
			}
		}
	})
}

// A caller with little time waits for a fifth of it.
func TestACallerWithLittleTimeWaitsLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEmptyFleet(t)
		f.turnsAway = func(string) bool { return true }
		f.start("box0")
		a := f.ask("box0", "/look/x", "r", func(r *Request) { r.Left = time.Second })
		if a.refused == nil || a.refused.Code != code.NotReady || a.took > 220*time.Millisecond {
			t.Errorf("%+v", a)
		}
	})
}
