package box

import (
	"testing"
	"time"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
)

// A caller that has its answer may query Explain at once, so the outcome must be recorded before the end is
// published.
func TestOutcomeIsRecordedBeforeEndIsPublished(t *testing.T) {
	b := isolatedBox(t)
	raw, _ := documentPair(t, false)
	c, faults := config.Parse(raw)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	key := core.Key{ID: b.newID()}
	p := c.Pipeline("caption")
	f := newFlight(b, core.NewRequest(key, c.Workspace("lakeside"), p, []byte("x"), b.now().Add(time.Second), 0, b.estimates), c)
	recorded := 0
	b.Observer.RequestEnded = func(*config.Pipeline, *code.Error, time.Duration, time.Duration) {
		recorded++
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.ended {
			t.Error("the end was published before the outcome was recorded")
		}
		if _, ok := b.Explain(key.String()); !ok {
			t.Error("the ended request can't be explained")
		}
	}
	f.finish(nil)
	if !f.ended || recorded != 1 {
		t.Errorf("ended %v, outcome recorded %d times", f.ended, recorded)
	}
}
