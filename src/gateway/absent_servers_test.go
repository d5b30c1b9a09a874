package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/exchange"
)

// absentResult is the outcome of a run in which listed servers are gone.
type absentResult struct {
	answered, refused int
	attempts          map[string]int // attempts on servers that are gone, by id
	sends             int            // the most servers that one request was sent to
}

// runWithAbsentServers sends 60 requests while the list of twelve servers still names servers that are gone.
// limit is the number of servers that a request may be sent to.
func runWithAbsentServers(t *testing.T, limit int, gone func(id string) bool, absent func() (*Reply, error)) absentResult {
	f := newTestFleet(t, 1)
	f.catalog.Pipelines[1].Attempts = limit
	for i := 3; i < 12; i++ {
		f.servers = append(f.servers, catalog.Server{ID: fmt.Sprint("model", i), Pool: "model", Domain: "d", Slots: 64})
	}
	var mu sync.Mutex
	out, sends := absentResult{attempts: map[string]int{}}, map[string]int{}
	f.send = func(ctx context.Context, _ string, c *Call) (*Reply, error) {
		if !gone(c.Server.ID) {
			wait(ctx, 20*time.Millisecond)
			return textReply(http.StatusOK, "ok"), nil
		}
		wait(ctx, 3*time.Millisecond)
		reply, err := absent()
		mu.Lock()
		defer mu.Unlock()
		out.attempts[c.Server.ID]++
		if err == nil {
			sends[c.Request.ID]++
			out.sends = max(out.sends, sends[c.Request.ID])
		}
		return reply, err
	}
	settle()
	time.Sleep(fleetUnknownFor) // until the box counts on the whole retry budget for itself
	for i := range 60 {
		a := f.ask("box0", "/stamp/x", fmt.Sprint("r", i), nil)
		switch {
		case a.body == "ok" && a.took <= 100*time.Millisecond:
			out.answered++
		case a.refused != nil && a.refused.DidRun() == code.RanNo && a.refused.RetryAfter > 0:
			out.refused++
		}
		time.Sleep(15 * time.Millisecond)
	}
	return out
}

// allButOneGone returns a predicate under which the first eleven servers tried are gone and the twelfth is
// alive.
func allButOneGone() func(id string) bool {
	tried := map[string]bool{}
	return func(id string) bool {
		if len(tried) < 11 {
			tried[id] = true
		}
		return tried[id]
	}
}

// Further predicates for which servers are gone.
func twoThirdsGone(id string) bool { return catalog.Hash(id)%3 != 0 }
func allGone(string) bool          { return true }

// totalTries returns the number of attempts on servers that are gone.
func (p absentResult) totalTries() int {
	n := 0
	for _, k := range p.attempts {
		n += k
	}
	return n
}

// All servers but one have crashed and their addresses refuse connections. Nothing is sent and a refused
// connection costs one round trip, so a request moves on to the next server, eleven times here, and a server
// that refused is skipped for a while.
func TestRefusedConnectionsFailNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := runWithAbsentServers(t, 1, allButOneGone(), func() (*Reply, error) {
			return nil, &exchange.NotSent{Cause: fmt.Errorf("dial: %w", syscall.ECONNREFUSED)}
		})
		if p.answered != 60 || p.refused != 0 || p.totalTries() > 60 {
			t.Errorf("%+v: want 60 answered and at most 60 attempts on the eleven servers that are gone", p)
		}
	})
}

// wrongServer replies as a server that has taken over the address of another one.
func wrongServer() (*Reply, error) {
	r := textReply(http.StatusMisdirectedRequest, "")
	r.NotRun, r.AddressReused = true, true
	return r, nil
}

// The address of a stopped server now belongs to another server, which runs nothing and says so. Each stopped
// server costs one attempt, and a refused caller learns that nothing ran and when to retry.
func TestStoppedServerWithReusedAddressIsTriedOnce(t *testing.T) {
	for limit := 1; limit <= 2; limit++ {
		synctest.Test(t, func(t *testing.T) {
			p := runWithAbsentServers(t, limit, twoThirdsGone, wrongServer)
			for id, n := range p.attempts {
				if n > 1 {
					t.Errorf("limit %d: %s was tried %d times", limit, id, n)
				}
			}
			if p.answered+p.refused != 60 || p.refused > p.totalTries()/limit {
				t.Errorf("limit %d: %+v", limit, p)
			}
		})
	}
}

// A request that met another server at the chosen address counts as sent: where every server is gone, it is
// sent to exactly as many servers as the pipeline allows and then refused.
func TestWrongServerCountsAsAttempt(t *testing.T) {
	for limit := 1; limit <= 3; limit++ {
		synctest.Test(t, func(t *testing.T) {
			if p := runWithAbsentServers(t, limit, allGone, wrongServer); p.sends != limit || p.refused != 60 {
				t.Errorf("limit %d: %+v", limit, p)
			}
		})
	}
}
