package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/exchange"
	"github.com/stilemast/stilemast/src/paths"
)

// crowdSite is a fleet whose boxes open no more connections to a server than their shares, and lend them.
type crowdSite struct {
	f     *testFleet
	limit int

	mu     sync.Mutex
	open   map[string]int // by box and server
	server map[string]int // by server
	most   int            // at one server
}

func newCrowdSite(t *testing.T, boxes, limit int) *crowdSite {
	f := newEmptyFleet(t)
	s := &crowdSite{f: f, limit: limit, open: map[string]int{}, server: map[string]int{}}
	f.catalog.Pools[0].Connections = limit
	for i := range 24 {
		f.servers = append(f.servers, catalog.Server{ID: fmt.Sprint("model", i), Address: fmt.Sprint("model", i), Pool: "model", Domain: "d", Slots: 64})
	}
	f.dial = func(context.Context, string, string) error { return nil }
	f.setUp = func(g *Gateway) {
		name := g.ID.Name
		g.Backends.Send = func(ctx context.Context, c *Call) (*Reply, error) { return s.send(ctx, g, c) }
		g.Backends.Reserve = func(address string, most int) (func(), bool) { return s.reserve(name, address, most) }
	}
	for i := range boxes {
		f.start(fmt.Sprint("box", i))
	}
	time.Sleep(7 * time.Second) // until the boxes know the size of the fleet
	return s
}

// reserve opens a connection of a box to a server unless as many are open.
func (s *crowdSite) reserve(box, server string, most int) (func(), bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := box + " " + server
	if s.open[key] >= most {
		return nil, false
	}
	s.open[key]++
	s.server[server]++
	s.most = max(s.most, s.server[server])
	return sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.open[key]--
		s.server[server]--
	}), true
}

// send sends a request of 0.6 s on a connection of the box's own or of another box.
func (s *crowdSite) send(ctx context.Context, g *Gateway, c *Call) (*Reply, error) {
	release, ok := s.reserve(g.ID.Name, c.Server.ID, c.Share.Open)
	if !ok {
		var conn net.Conn
		conn, err := g.Paths.Borrow(ctx, paths.Target{Pool: c.Server.Pool, Server: c.Server.ID, Address: c.Server.Address})
		if err == nil {
			release = func() { _ = conn.Close() }
		}
		for began := time.Now(); err != nil && release == nil; {
			if time.Since(began) > 100*time.Millisecond || !wait(ctx, 5*time.Millisecond) {
				return nil, &exchange.NotSent{Cause: exchange.ErrConnectionLimit}
			}
			release, _ = s.reserve(g.ID.Name, c.Server.ID, c.Share.Open)
		}
	}
	defer release()
	if err := c.Start(); err != nil {
		return nil, &exchange.NotSent{Cause: err}
	}
	if !wait(ctx, 600*time.Millisecond) {
		return nil, ctx.Err()
	}
	return textReply(http.StatusOK, "ok"), nil
}

// Guards against callers who are refused or late because most of them come to one box, and against more connections than a
// server takes.
func TestCallersOfACrowdedBoxAreServed(t *testing.T) {
	type load struct{ boxes, limit int }
	loads := []load{{6, 280}, {6, 48}, {61, 440}, {61, 122}}
	if *pathsTable {
		loads = append(loads, load{295, 590}, load{985, 1000})
	}
	for _, l := range loads {
		t.Run(fmt.Sprint(l.boxes, " boxes, ", l.limit, " connections a server"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCrowdSite(t, l.boxes, l.limit)
				r := rand.New(rand.NewPCG(uint64(l.boxes), uint64(l.limit)))
				var mu sync.Mutex
				served, late := 0, 0
				var callers sync.WaitGroup
				const requests = 1800
				for i := range requests {
					box := "box1"
					if r.IntN(100) >= 85 {
						box = fmt.Sprint("box", r.IntN(l.boxes))
					}
					callers.Go(func() {
						a := s.f.ask(box, "/look/x", fmt.Sprint("r", i), func(r *Request) { r.Pieces = nil })
						mu.Lock()
						defer mu.Unlock()
						if a.ended {
							served++
						}
						if a.took > time.Second {
							late++
						}
					})
					time.Sleep(5 * time.Millisecond)
				}
				callers.Wait()
				t.Logf("%d of %d served, %d after more than a second; at most %d connections at a server", served, requests, late, s.most)
				if served < requests*98/100 || late > requests*5/100 {
					t.Errorf("%d of %d served, %d after more than a second", served, requests, late)
				}
				if s.most > l.limit {
					t.Errorf("%d connections at a server, %d allowed", s.most, l.limit)
				}
			})
		})
	}
}
