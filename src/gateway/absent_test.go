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

// absentPlay is what came of a crash of two thirds of a pool's twelve servers.
type absentPlay struct {
	answered, refused int
	tries             map[string]int // of servers that are gone, by id
	sends             int            // the most that one request was sent to
}

// absentServers plays 60 requests that come in while the list still names servers that are gone, of twelve in all. limit is
// how many servers a request may be sent to.
func absentServers(t *testing.T, limit int, gone func(id string) bool, absent func() (*Reply, error)) absentPlay {
	f := newTestFleet(t, 1)
	f.catalog.Pipelines[1].Attempts = limit
	for i := 3; i < 12; i++ {
		f.servers = append(f.servers, catalog.Server{ID: fmt.Sprint("model", i), Pool: "model", Domain: "d", Slots: 64})
	}
	var mu sync.Mutex
	out, sends := absentPlay{tries: map[string]int{}}, map[string]int{}
	f.send = func(ctx context.Context, _ string, c *Call) (*Reply, error) {
		if !gone(c.Server.ID) {
			wait(ctx, 20*time.Millisecond)
			return textReply(http.StatusOK, "ok"), nil
		}
		wait(ctx, 3*time.Millisecond)
		reply, err := absent()
		mu.Lock()
		defer mu.Unlock()
		out.tries[c.Server.ID]++
		if err == nil {
			sends[c.Request.ID]++
			out.sends = max(out.sends, sends[c.Request.ID])
		}
		return reply, err
	}
	settle()
	time.Sleep(fleetUnknownFor) // then the box knows that the whole budget of repeats is its own
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

// allButTheLastTried gives a set of servers that are gone: whichever is tried as the twelfth lives.
func allButTheLastTried() func(id string) bool {
	tried := map[string]bool{}
	return func(id string) bool {
		if len(tried) < 11 {
			tried[id] = true
		}
		return tried[id]
	}
}

// Other servers that are gone in the plays.
func twoThirds(id string) bool { return catalog.Hash(id)%3 != 0 }
func everyOne(string) bool     { return true }

// tried counts the tries of all servers that are gone.
func (p absentPlay) tried() int {
	n := 0
	for _, k := range p.tries {
		n += k
	}
	return n
}

// All servers but one crash and their addresses refuse connections. Nothing is sent there and a try takes a round trip, so a
// request goes on to the next server, eleven times here, and a server that refused is left alone for a while.
func TestServersWithoutAProcessCostNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := absentServers(t, 1, allButTheLastTried(), func() (*Reply, error) {
			return nil, &exchange.NotSent{Cause: fmt.Errorf("dial: %w", syscall.ECONNREFUSED)}
		})
		if p.answered != 60 || p.refused != 0 || p.tried() > 60 {
			t.Errorf("%+v: want 60 answered, and the eleven servers that are gone tried 60 times at most", p)
		}
	})
}

// replaced answers as a server does that has the address of one that ended.
func replaced() (*Reply, error) {
	r := textReply(http.StatusMisdirectedRequest, "")
	r.NotRun, r.AddressReused = true, true
	return r, nil
}

// A server that ended has another's address: that one runs nothing and says so. A server that is gone costs one try, and
// whoever is refused is told that nothing ran and when to come back.
func TestServersWhoseAddressAnotherHasAreTriedOnce(t *testing.T) {
	for limit := 1; limit <= 2; limit++ {
		synctest.Test(t, func(t *testing.T) {
			p := absentServers(t, limit, twoThirds, replaced)
			for id, n := range p.tries {
				if n > 1 {
					t.Errorf("limit %d: %s was tried %d times", limit, id, n)
				}
			}
			if p.answered+p.refused != 60 || p.refused > p.tried()/limit {
				t.Errorf("limit %d: %+v", limit, p)
			}
		})
	}
}

// A request that met another server at the chosen one's address was sent to a server all the same: where every server is
// gone it is sent to exactly as many as the operator allows, and then refused.
func TestARequestIsSentToNoMoreServersThanItsLimit(t *testing.T) {
	for limit := 1; limit <= 3; limit++ {
		synctest.Test(t, func(t *testing.T) {
			if p := absentServers(t, limit, everyOne, replaced); p.sends != limit || p.refused != 60 {
				t.Errorf("limit %d: %+v", limit, p)
			}
		})
	}
}
