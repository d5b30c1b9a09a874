package gateway

import (
	"context"

	"github.com/stilemast/stilemast/src/balance"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/crasher"
	"github.com/stilemast/stilemast/src/exchange"
	"github.com/stilemast/stilemast/src/port"
	"github.com/stilemast/stilemast/src/suspects"
)

// initSuspects connects the tracker of contents that may crash servers to this box.
func (g *Gateway) initSuspects() {
	u := &g.suspects
	u.Self, u.Now, u.Log = g.ID.Name, g.now, g.Log
	u.Boxes, u.Announce, u.Counted = g.fleet.usable, g.announce, g.Observer.Suspected
	if probe := g.Backends.Probe; probe != nil {
		u.Probe = func(ctx context.Context, s suspects.Server) suspects.Presence {
			return suspects.PresenceOf(probe(ctx, exchange.Target{Pool: s.Pool, Server: s.ID, Address: s.Address}))
		}
	}
	u.Exchange = func(ctx context.Context, box string, notes []crasher.Note) ([]crasher.Note, error) {
		a, err := g.Peers.Ask(ctx, g.fleet.addressOf(box), port.Question{Suspects: &port.Suspects{From: g.ID.Name, Notes: notes}})
		if err == nil && a.Suspects == nil {
			err = suspects.ErrUnsupported
		}
		if err != nil {
			return nil, err
		}
		return a.Suspects.Notes, nil
	}
}

// setPool sets the pool of a request, and what of the request may crash its servers.
func (v *requestRun) setPool(pool string) {
	v.pool, v.suspects = pool, v.content.KeysAt(pool, v.workspace, balance.PartIDs(v.request.Parts))
}

// serverIncarnation returns a server's incarnation for the tracker.
func serverIncarnation(s catalog.Server) suspects.Server {
	return suspects.Server{ID: s.ID, Pool: s.Pool, Address: s.Address, Incarnation: crasher.NewIncarnation(s.ID, int64(s.Incarnation))}
}

// recordBrokenExchanges records that exchanges of contents with a server broke, unless the server left as planned.
func (g *Gateway) recordBrokenExchanges(s catalog.Server, keys ...crasher.Key) {
	if !g.hasLeft(s) {
		g.suspects.RecordBroken(serverIncarnation(s), keys...)
	}
}

// listEnds records which server incarnations a change of the list ended: entries removed without a leave
// signal, and restarted servers. Entries that may only have lapsed don't count.
func (g *Gateway) listEnds(change catalog.Change, effects catalog.Effects) {
	lapsed := map[string]bool{}
	for _, id := range effects.Lapsed {
		lapsed[id] = true
	}
	for _, id := range change.Gone {
		if s := change.Before[id]; !lapsed[id] && s.AcceptsWork() && !g.isLeaving(*s) {
			g.suspects.RecordCrash(serverIncarnation(*s), suspects.Listed)
		}
	}
	for _, r := range effects.Restarted {
		g.suspects.RecordCrash(serverIncarnation(r.Before), suspects.Listed)
	}
}

// hasLeft reports whether a server, as it was chosen, has left as far as this box knows.
func (g *Gateway) hasLeft(s catalog.Server) bool {
	if g.isLeaving(s) {
		return true
	}
	p := &g.published
	p.mu.Lock()
	defer p.mu.Unlock()
	d, ok := p.registry.DepartureOf(s.ID)
	return ok && d.Incarnation == s.Incarnation
}

// checkBarred refuses a request whose content crashes servers of its pool or of a stage, before any part of it is
// sent or queued.
func (v *requestRun) checkBarred() *code.Error {
	g := v.gateway
	if err := g.contentRefusal(v.pool, v.suspects...); err != nil {
		return err
	}
	for i, st := range v.pipeline.Stages {
		if v.request.Pieces[i] > 0 {
			if err := g.contentRefusal(st.Pool, v.content.At(st.Pool)); err != nil {
				return err
			}
		}
	}
	return nil
}

// contentRefusal returns the refusal of a request by its content and prompt parts at a pool, nil if it may run there. The
// retry-after is the remaining time of the bar, after which a fixed server may be there.
func (g *Gateway) contentRefusal(pool string, keys ...crasher.Key) *code.Error {
	d := g.suspects.Check(keys...)
	if !d.Barred {
		return nil
	}
	return refusal(code.CrashesServers, "body", d.Left, "%d servers of %s ended while they ran this content or a part of its prompt", d.Ends, pool)
}

// partNames returns the shared prompt parts of a request whose exchange broke, for logs; nil for other outcomes.
func (v *requestRun) partNames(o balance.Outcome) []string {
	parts := balance.PartIDs(v.request.Parts)
	if o != balance.Broken || len(parts) == 0 {
		return nil
	}
	return firstNames(parts[:len(parts)-1])
}
