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

// A request can crash every server that starts to run it. Retries of the request (up to 50 if it must finish)
// and copies under new keys at other boxes then spread the crash to further servers. The gateway's
// crashing_test.go covers the same failure for requests through the gateway.

// crashingServers makes servers crash when they get an input that contains "crash". A crashed server refuses
// connections and reports for downTime, then restarts with a new incarnation.
type crashingServers struct {
	mu         sync.Mutex
	downUntil  map[string]time.Time
	restarts   map[string]uint64
	exited     map[string]chan struct{} // closed when the server's current process exits
	crashCount int
	thirdCrash time.Time
	lateSends  int // crashing inputs sent later than lateSendAfter after the third crash
}

const (
	crashDelay    = 4 * time.Millisecond // from the start of the call; shorter than any stage
	downTime      = 3 * time.Second
	lateSendAfter = 3 * time.Second
	maxLateSends  = 3
)

func newCrashingServers() *crashingServers {
	return &crashingServers{downUntil: map[string]time.Time{}, restarts: map[string]uint64{}, exited: map[string]chan struct{}{}}
}

// begin starts a call. It returns the channel that is closed when the server crashes, or nil if it is down.
func (c *crashingServers) begin(server string, r port.CallRequest) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.downUntil[server]) {
		return nil
	}
	if c.exited[server] == nil {
		c.exited[server] = make(chan struct{})
	}
	exited := c.exited[server]
	if bytes.Contains(r.Input, []byte("crash")) {
		if !c.thirdCrash.IsZero() && time.Since(c.thirdCrash) > lateSendAfter {
			c.lateSends++
		}
		time.AfterFunc(crashDelay, func() { c.crash(server, exited) })
	}
	return exited
}

// crash ends the server process that the channel belongs to, if it still runs.
func (c *crashingServers) crash(server string, exited chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exited[server] != exited {
		return
	}
	close(exited)
	c.exited[server] = nil
	c.downUntil[server] = time.Now().Add(downTime)
	c.restarts[server]++
	if c.crashCount++; c.crashCount == 3 {
		c.thirdCrash = time.Now()
	}
}

// report sets a report's incarnation by the server's restarts. It returns false while the server is down.
func (c *crashingServers) report(server string, r core.Report) (core.Report, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Incarnation += c.restarts[server]
	return r, !time.Now().Before(c.downUntil[server])
}

// A request that crashes servers must be refused everywhere after a few crashes, and other requests served.
func TestWorkThatCrashesServersIsNotSentOn(t *testing.T) {
	for _, c := range []struct {
		pipe    string
		servers int // of each pool
	}{{"draft", 2}, {"review", 2}, {"receipt", 2}, {"draft", 24}, {"review", 24}, {"receipt", 24}} {
		pipeline := c.pipe
		t.Run(fmt.Sprint(pipeline, " before ", c.servers, " servers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetWithDocument(t, 4, documentWithServers(c.servers))
				defer f.shutdown()
				f.crashing = newCrashingServers()
				var senders sync.WaitGroup
				var last answer
				for i := range 40 {
					senders.Go(func() {
						a := f.send(fmt.Sprintf("b%d", i%4+1), pipeline, f.newKey(), []byte("a crash"))
						if i == 39 {
							last = a
						}
					})
					time.Sleep(500 * time.Millisecond)
				}
				senders.Wait()
				c := f.crashing
				t.Logf("%d servers crashed, %d late sends, the last request: %s %s", c.crashCount, c.lateSends, last.code, last.ran)
				if c.lateSends > maxLateSends {
					t.Errorf("sent %d times later than %s after the third crash, want at most %d", c.lateSends, lateSendAfter, maxLateSends)
				}
				if c.crashCount > 4 {
					t.Errorf("%d servers crashed, want at most 4", c.crashCount)
				}
				if last.ran != code.RanNo {
					t.Errorf("the last request ended with %s, ran %s", last.code, last.ran)
				}
				if a := f.send("b1", pipeline, f.newKey(), []byte("good")); a.code != code.OK {
					t.Errorf("a request that crashes nothing ended with %s", a.code)
				}
			})
		})
	}
}
