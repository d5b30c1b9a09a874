package gateway

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/code"
)

// startWithCallers starts eight boxes at once while callers retry, with a store that answers only after a
// while. It returns what the callers of the first half second got.
func startWithCallers(t *testing.T, storeAfter time.Duration) []callResult {
	f := newEmptyFleet(t)
	f.serveStreams(1)
	began := time.Now()
	f.storeRefuses = func(string) bool { return time.Since(began) < storeAfter }
	for i := range 8 {
		f.start(fmt.Sprint("box", i))
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	var out []callResult
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

// A configuration that arrives within a third of a second of the boxes' start costs no caller its request.
func TestCallersWaitForFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, a := range startWithCallers(t, 250*time.Millisecond) {
			if !a.ended || a.took > documentsWait+100*time.Millisecond {
				t.Errorf("a caller at the start got %+v", a)
			}
		}
	})
}

// Without a configuration callers are refused after a bounded time with a retry-after.
func TestCallersAreRefusedWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, a := range startWithCallers(t, 5*time.Second) {
			if a.refused == nil || a.refused.Code != code.NotReady || a.refused.DidRun() != code.RanNo || a.refused.RetryAfter == 0 || a.took > documentsWait+2*documentsPollInterval {
				t.Errorf("a caller without a configuration got %+v", a)
			}
		}
	})
}

// A caller with a short deadline waits a fifth of it.
func TestShortDeadlineShortensWaitForConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEmptyFleet(t)
		f.storeRefuses = func(string) bool { return true }
		f.start("box0")
		a := f.ask("box0", "/look/x", "r", func(r *Request) { r.Left = time.Second })
		if a.refused == nil || a.refused.Code != code.NotReady || a.took > 220*time.Millisecond {
			t.Errorf("%+v", a)
		}
	})
}
