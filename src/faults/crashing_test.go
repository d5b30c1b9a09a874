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
type crashingServers struct {
	mu         sync.Mutex
	downUntil  map[string]time.Time // until when
	restarts   map[string]uint64
	exited     map[string]chan struct{} // closed at the end of the life
	crashCount int
	thirdCrash time.Time
	lateSends  int
}

const (
	crashDelay    = 4 * time.Millisecond // less than any stage takes
	downTime      = 3 * time.Second
	lateSendAfter = 3 * time.Second
	maxLateSends  = 3
)

func newCrashingServers() *crashingServers {
	return &crashingServers{downUntil: map[string]time.Time{}, restarts: map[string]uint64{}, exited: map[string]chan struct{}{}}
}

// begin lets a call in: it gives the life's end, nil when the server is down.
func (c *crashingServers) begin(server string, r port.CallRequest) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.downUntil[server]) {
		return nil
	}
	if c.exited[server] == nil {
		c.exited[server] = make(chan struct{})
	}
	life := c.exited[server]
	if bytes.Contains(r.Input, []byte("crash")) {
		if !c.thirdCrash.IsZero() && time.Since(c.thirdCrash) > lateSendAfter {
			c.lateSends++
		}
		time.AfterFunc(crashDelay, func() { c.crash(server, life) })
	}
	return life
}

func (c *crashingServers) crash(server string, life chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exited[server] != life {
		return
	}
	close(life)
	c.exited[server] = nil
	c.downUntil[server] = time.Now().Add(downTime)
	c.restarts[server]++
	if c.crashCount++; c.crashCount == 3 {
		c.thirdCrash = time.Now()
	}
}

// report gives a report the incarnation of the server's life; false while it is down.
func (c *crashingServers) report(server string, r core.Report) (core.Report, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Incarnation += c.restarts[server]
	return r, !time.Now().Before(c.downUntil[server])
}

func TestWorkThatCrashesServersIsNotSentOn(t *testing.T) {
	for _, c := range []struct {
		pipe    string
		servers int // of each pool
	}{{"draft", 2}, {"review", 2}, {"receipt", 2}, {"draft", 24}, {"review", 24}, {"receipt", 24}} {
		pipe := c.pipe
		t.Run(fmt.Sprint(pipe, " before ", c.servers, " servers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetWithDocument(t, 4, documentWithServers(c.servers))
				defer f.shutdown()
				f.crashing = newCrashingServers()
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
				c := f.crashing
				t.Logf("%d servers ended, %d sends late, the last try: %s %s", c.crashCount, c.lateSends, last.code, last.ran)
				if c.lateSends > maxLateSends {
					t.Errorf("sent %d times later than %s after the third server's end, want %d at most", c.lateSends, lateSendAfter, maxLateSends)
				}
				if c.crashCount > 4 {
					t.Errorf("%d servers ended, want 4 at most", c.crashCount)
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
