package box

import (
	"testing"
	"time"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
)

// A caller that has its answer may ask at once how the request was placed, so the accounts are closed before
// the answer's end goes out.
func TestAccountsAreClosedBeforeTheCallerIsTold(t *testing.T) {
	b := quietBox(t)
	raw, _ := documentPair(t, false)
	c, faults := config.Parse(raw)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	key := core.Key{ID: b.newID()}
	p := c.Pipeline("caption")
	f := newFlight(b, core.NewRequest(key, c.Workspace("lakeside"), p, []byte("x"), b.now().Add(time.Second), 0, b.est), c)
	closed := 0
	b.Watch.Ended = func(*config.Pipeline, *code.Error, time.Duration, time.Duration) {
		closed++
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.ended {
			t.Error("the caller was told of the end before the accounts were closed")
		}
		if _, ok := b.Explain(key.String()); !ok {
			t.Error("the ended request can't be explained")
		}
	}
	f.finish(nil)
	if !f.ended || closed != 1 {
		t.Errorf("ended %v, accounts closed %d times", f.ended, closed)
	}
}
