package box

import (
	"context"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/core"
)

// Polling of backend servers. A box polls a bounded number of servers per second, whatever the size of the
// fleet: with more servers, each is polled less often. Measured with polls of each server every 250 ms and
// every 2 s, attainment is the same within the spread between seeds, since the box's own calls and the notes
// of other boxes fill the gaps.
const (
	pollInterval  = 250 * time.Millisecond // interval of polls
	pollBatch     = 4                      // servers per poll
	eventsEvery   = 4                      // cache events are requested on one in so many visits to an engine
	reportTimeout = 500 * time.Millisecond // timeout of a report
)

// polledServer is a server with its pool.
type polledServer struct {
	pool *pool
	view core.ServerView
}

// pollReports polls the next servers in round-robin order for their load and sometimes their cache events,
// and sends the orders that are due.
func (b *Box) pollReports(ctx context.Context) {
	if b.Config() == nil {
		return
	}
	var all []polledServer
	for _, p := range b.pools.list() {
		p.locked(func(c *core.Pool) {
			for _, v := range c.View(b.now()) {
				all = append(all, polledServer{p, v})
			}
		})
	}
	usable := b.fleet.usable()
	var wg sync.WaitGroup
	for range min(pollBatch, len(all)) {
		w := all[b.polls%len(all)]
		b.polls++
		wg.Add(1)
		go func(visit int) {
			defer wg.Done()
			b.pollServer(ctx, w.pool, w.view, usable, visit/len(all)%eventsEvery == 0)
		}(b.polls)
	}
	wg.Wait()
}

// pollServer polls one server and applies its report.
func (b *Box) pollServer(ctx context.Context, p *pool, v core.ServerView, usable []string, withEvents bool) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := b.Backends.Load(ctx, v.Config)
	now := b.now()
	if err != nil {
		if ctx.Err() == nil || ctx.Err() == context.DeadlineExceeded {
			p.locked(func(c *core.Pool) { c.ReportFailed(now, v.Name) })
		}
		return
	}
	b.recordRestart(v.Name, v.Report, r)
	var fresh bool
	p.locked(func(c *core.Pool) { fresh = c.Report(now, v.Name, r) })
	if fresh && r.Leaving && !v.Leaving {
		b.fleet.announceLeaving(v.Name, r)
	}
	p.kick()
	if v.Config.Model() == "" {
		return
	}
	b.sendOrder(ctx, v, r, usable)
	if !withEvents {
		return
	}
	if events, err := b.Backends.Events(ctx, v.Config, p.lastEvent(v.Name)); err == nil && len(events) > 0 {
		p.locked(func(c *core.Pool) { c.Events(v.Name, events) })
	}
}

// lastEvent returns the number of the last applied cache event of a server.
func (p *pool) lastEvent(server string) uint64 {
	var seq uint64
	p.locked(func(c *core.Pool) { seq = c.LastEvent(server) })
	return seq
}

// sendOrder sends the order that an engine needs now, if this box is responsible for it.
func (b *Box) sendOrder(ctx context.Context, v core.ServerView, r core.Report, usable []string) {
	if !b.confirmedSincePause() {
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
