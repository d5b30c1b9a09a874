package gateway

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/pushback"
)

// A request's inputs are freed at the stage servers once the engine has fetched them, not at the first
// output.
func TestInputsAreFreedOnceFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		f.send = func(ctx context.Context, _ string, _ *Call) (*Reply, error) {
			wait(ctx, time.Second) // prefill
			return eventStream(ctx, 1, 1, time.Millisecond, io.EOF), nil
		}
		settle()
		var freed atomic.Int64
		for _, name := range []string{"box0", "box1"} {
			f.box(name).Backends.FreePieces = func(_ context.Context, _ catalog.Server, handles []string) pushback.Signals {
				freed.Add(int64(len(handles)))
				return pushback.Signals{}
			}
		}
		go f.ask("box1", "/draft/x", "r", nil)
		time.Sleep(800 * time.Millisecond)
		if n := freed.Load(); n != 2 {
			t.Errorf("%d of 2 inputs were freed during prefill", n)
		}
	})
}

func TestInputFetchTimeAdapts(t *testing.T) {
	p := &pool{}
	if d := p.fetchTime(); d != minFetch {
		t.Fatalf("%s at first", d)
	}
	for range 3 {
		p.inputGone()
	}
	if d := p.fetchTime(); d < 6*minFetch {
		t.Errorf("%s after three requests whose inputs were gone", d)
	}
	for range 200 {
		p.fetchTime()
	}
	if d := p.fetchTime(); d != minFetch {
		t.Errorf("%s after 200 requests whose inputs were there", d)
	}
}
