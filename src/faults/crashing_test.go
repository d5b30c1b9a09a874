package faults

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// The story of the gateway's crashing_test.go, on the product's own path: a request ends each server that begins to run it, and
// is sent to further ones, by the request itself (work that must finish up to fifty times) and under new keys at other boxes.

// crashes are servers that end when they get an input that holds "crash". For a time they refuse connections and give no
// report, then they begin a new life.
type crashes struct {
	mu    sync.Mutex
	down  map[string]time.Time // until when
	lives map[string]uint64
	gone  map[string]chan struct{} // closed at the end of the life
	ended int
	third time.Time
	late  int
}

const (
	crashAfter = 4 * time.Millisecond // less than any stage takes
	downFor    = 3 * time.Second
	lateAfter  = 3 * time.Second
	lateMost   = 3
)

func newCrashes() *crashes {
	return &crashes{down: map[string]time.Time{}, lives: map[string]uint64{}, gone: map[string]chan struct{}{}}
}

// begin lets a call in: it gives the life's end, nil when the server is down.
func (c *crashes) begin(server string, r port.CallRequest) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.down[server]) {
		return nil
	}
	if c.gone[server] == nil {
		c.gone[server] = make(chan struct{})
	}
	life := c.gone[server]
	if bytes.Contains(r.Input, []byte("crash")) {
		if !c.third.IsZero() && time.Since(c.third) > lateAfter {
			c.late++
		}
		time.AfterFunc(crashAfter, func() { c.end(server, life) })
	}
	return life
}

func (c *crashes) end(server string, life chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone[server] != life {
		return
	}
	close(life)
	c.gone[server] = nil
	c.down[server] = time.Now().Add(downFor)
	c.lives[server]++
	if c.ended++; c.ended == 3 {
		c.third = time.Now()
	}
}

// report gives a report the incarnation of the server's life; false while it is down.
func (c *crashes) report(server string, r core.Report) (core.Report, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Incarnation += c.lives[server]
	return r, !time.Now().Before(c.down[server])
}

func TestWorkThatCrashesServersIsNotSentOn(t *testing.T) {
	for _, c := range []struct {
		pipe    string
		servers int // of each pool
	}{{"draft", 2}, {"review", 2}, {"receipt", 2}, {"draft", 24}, {"review", 24}, {"receipt", 24}} {
		pipe := c.pipe
		t.Run(fmt.Sprint(pipe, " before ", c.servers, " servers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetBefore(t, 4, documentOf(c.servers))
				defer f.end()
				f.crashes = newCrashes()
				var all sync.WaitGroup
				var last answer
				for i := range 40 {
					all.Go(func() {
						a := f.send(fmt.Sprintf("b%d", i%4+1), pipe, f.newKey(), []byte("a crash"))
						if i == 39 {
							last = a
						}
					})
					time.Sleep(500 * time.Millisecond)
				}
				all.Wait()
				c := f.crashes
				t.Logf("%d servers ended, %d sends late, the last try: %s %s", c.ended, c.late, last.code, last.ran)
				if c.late > lateMost {
					t.Errorf("sent %d times later than %s after the third server's end, want %d at most", c.late, lateAfter, lateMost)
				}
				if c.ended > 4 {
					t.Errorf("%d servers ended, want 4 at most", c.ended)
				}
				if last.ran != code.RanNo {
					t.Errorf("the last try ended with %s, ran %s", last.code, last.ran)
				}
				if a := f.send("b1", pipe, f.newKey(), []byte("good")); a.code != code.OK {
					t.Errorf("good work ended with %s", a.code)
				}
			})
		})
	}
}
