package box

import (
	"context"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/core"
)

// The watching of backend servers. A box asks a bounded number of servers a second, whatever the
// size of the fleet: with more servers each is asked less often. Measured with all servers asked
// every 250 ms and every 2 s, attainment is the same within the spread between seeds, since own calls
// and the other boxes' notes fill the time between.
const (
	reportEvery    = 250 * time.Millisecond // pace of the questions
	reportsAtATime = 4                      // servers asked at each
	eventsOneIn    = 4                      // visits to an engine on which its cache events are asked for
	reportWait     = 500 * time.Millisecond // time a server has to report
)

// watched is one server with the pool it is in.
type watched struct {
	pool *pool
	view core.ServerView
}

// pollReports asks the next few servers, in turn, for their load and, at times, their cache events,
// and sends the orders that are due.
func (b *Box) pollReports(ctx context.Context) {
	if b.Config() == nil {
		return
	}
	var all []watched
	for _, p := range b.pools.list() {
		p.locked(func(c *core.Pool) {
			for _, v := range c.View(b.now()) {
				all = append(all, watched{p, v})
			}
		})
	}
	usable := b.fleet.usable()
	var wg sync.WaitGroup
	for range min(reportsAtATime, len(all)) {
		w := all[b.visits%len(all)]
		b.visits++
		wg.Add(1)
		go func(visit int) {
			defer wg.Done()
			b.pollServer(ctx, w.pool, w.view, usable, visit/len(all)%eventsOneIn == 0)
		}(b.visits)
	}
	wg.Wait()
}

func (b *Box) pollServer(ctx context.Context, p *pool, v core.ServerView, usable []string, withEvents bool) {
	ctx, cancel := context.WithTimeout(ctx, reportWait)
	defer cancel()
	r, err := b.Backends.Load(ctx, v.Config)
	now := b.now()
	if err != nil {
		if ctx.Err() == nil || ctx.Err() == context.DeadlineExceeded {
			p.locked(func(c *core.Pool) { c.ReportFailed(now, v.Name) })
		}
		return
	}
	b.takeLife(v.Name, v.Report, r)
	var fresh bool
	p.locked(func(c *core.Pool) { fresh = c.Report(now, v.Name, r) })
	if fresh && r.Leaving && !v.Leaving {
		b.fleet.tellLeaving(v.Name, r)
	}
	p.kick()
	if v.Config.Model() == "" {
		return
	}
	b.order(ctx, v, r, usable)
	if !withEvents {
		return
	}
	if events, err := b.Backends.Events(ctx, v.Config, p.lastEvent(v.Name)); err == nil && len(events) > 0 {
		p.locked(func(c *core.Pool) { c.Events(v.Name, events) })
	}
}

// lastEvent is the number of the last cache event taken of a server.
func (p *pool) lastEvent(server string) uint64 {
	var seq uint64
	p.locked(func(c *core.Pool) { seq = c.LastEvent(server) })
	return seq
}

// order sends the order that an engine needs now, if it is this box's to send.
func (b *Box) order(ctx context.Context, v core.ServerView, r core.Report, usable []string) {
	if !b.awake() {
		return
	}
	b.orders.mu.Lock()
	o, due := b.orders.core.Decide(b.now(), b.Config(), v.Config, r, usable)
	b.orders.mu.Unlock()
	if !due {
		return
	}
	err := b.Backends.Order(ctx, v.Config, o)
	b.Log.Info("order sent", "server", v.Name, "fence", o.Fence, "model", o.Model, "accepted", err == nil)
}
