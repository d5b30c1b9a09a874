package box

import (
	"context"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/core"
)

// The watching of backend servers.
const (
	reportEvery = 250 * time.Millisecond // pace of load reports
	reportWait  = 500 * time.Millisecond // time a server has to report
	reportsOpen = 32                     // reports asked for at once
)

// pollReports asks each server this box uses for its load, its cache events and its state, and sends
// the orders that are due.
func (b *Box) pollReports(ctx context.Context) {
	c := b.Config()
	if c == nil {
		return
	}
	var wg sync.WaitGroup
	open := make(chan struct{}, reportsOpen)
	usable := b.fleet.usable()
	for _, p := range b.pools.list() {
		var views []core.ServerView
		p.locked(func(c *core.Pool) { views = c.View(b.now()) })
		for _, v := range views {
			wg.Add(1)
			open <- struct{}{}
			go func() {
				defer wg.Done()
				defer func() { <-open }()
				b.pollServer(ctx, p, v, usable)
			}()
		}
	}
	wg.Wait()
}

func (b *Box) pollServer(ctx context.Context, p *pool, v core.ServerView, usable []string) {
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
	var fresh bool
	p.locked(func(c *core.Pool) { fresh = c.Report(now, v.Name, r) })
	if fresh && r.Leaving && !v.Leaving {
		b.fleet.tellLeaving(v.Name, r)
	}
	p.kick()
	if v.Config.Model() == "" {
		return
	}
	if events, err := b.Backends.Events(ctx, v.Config, p.lastEvent(v.Name)); err == nil && len(events) > 0 {
		p.locked(func(c *core.Pool) { c.Events(v.Name, events) })
	}
	b.order(ctx, v, r, usable)
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
