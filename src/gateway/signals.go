package gateway

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/pushback"
)

// ErrServerRests means that nothing was sent because the server asked for rest or takes no more requests now.
var ErrServerRests = errors.New("the server asked for rest")

// signalServer returns the id and incarnation of a listed server.
func signalServer(s catalog.Server) pushback.Server {
	return pushback.Server{ID: s.ID, Incarnation: int64(s.Incarnation)}
}

// restsUntil returns until when nothing may be sent to a server, zero if it may be sent now. It is called for
// each candidate of a choice, so it takes neither clock nor lock while there are no signals: a choice among
// 600 servers then takes 151 us instead of 224.
func (g *Gateway) restsUntil(s *catalog.Server) time.Time {
	full := g.brittle.FullUntil(s.ID)
	if !g.signals.Any() {
		return full
	}
	if until := g.signals.Check(g.now(), signalServer(*s)).Until; until.After(full) {
		return until
	}
	return full
}

// anyHeldBack reports whether some server may take no request now because of what it said.
func (g *Gateway) anyHeldBack() bool { return g.signals.Any() || g.brittle.Any() }

// isLeaving reports whether a listed server signalled that it leaves.
func (g *Gateway) isLeaving(s catalog.Server) bool {
	return g.signals.Any() && g.signals.Check(g.now(), signalServer(s)).State == pushback.Leaving
}

// recordSignals records the signals in a server's answer. what names the exchange in logs; sent is when it began, zero
// if the answer is not from that server.
func (g *Gateway) recordSignals(s catalog.Server, w pushback.Signals, what string, sent time.Time) {
	if w.Brittle > 0 || !sent.IsZero() {
		g.brittle.Record(&s, w.Brittle, sent)
	}
	if w == (pushback.Signals{}) && !g.signals.Any() {
		return
	}
	if w.Limit != 0 || !sent.IsZero() {
		g.recordLimit(s, w.Limit, sent, what)
	}
	now := g.now()
	var until time.Time
	leaves, rests := false, false
	g.signals.With(func(r *pushback.Register) {
		if w.Leaving {
			leaves = r.RecordLeaving(now, signalServer(s))
		}
		if w.Rest > 0 {
			until, rests = r.RecordRest(now, s.ID, w.Rest)
		} else {
			r.RecordResponse(now, s.ID)
		}
	})
	if rests {
		g.Log.Info("server asks for rest", "server", s.ID, "pool", s.Pool, "what", what, "asks_ms", w.Rest.Milliseconds(), "rests_ms", until.Sub(now).Milliseconds())
		g.countSignal(s.Pool, signalRest)
	}
	if leaves {
		g.stopUsing([]catalog.Server{s}, what)
	}
}

// Kinds of servers' signals, as metric labels.
const (
	signalLeaving = "leaving"
	signalRest    = "rest"
	signalLimit   = "limit"
)

func (g *Gateway) countSignal(pool, signal string) {
	if g.Observer.Signalled != nil {
		g.Observer.Signalled(pool, signal)
	}
}

// stopUsing stops using servers that are leaving and notifies all boxes.
func (g *Gateway) stopUsing(list []catalog.Server, from string) {
	var changed []catalog.Changed
	for i, s := range list {
		changed = append(changed, catalog.Changed{ID: s.ID, Pool: s.Pool})
		g.countSignal(s.Pool, signalLeaving)
		if i < serverLines {
			g.Log.Info("server signalled that it leaves", "server", s.ID, "incarnation", s.Incarnation, "pool", s.Pool, "from", from, "list_age_ms", g.published.listAge(g.now()).Milliseconds())
		}
	}
	g.applyChanged(changed)
	g.announce()
}

// leavingNotes returns notes on the servers that signalled that they leave, as long as this box's list names
// them as working.
func (g *Gateway) leavingNotes() []core.LeavingNote {
	if !g.signals.Any() {
		return nil
	}
	p := &g.published
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []core.LeavingNote
	g.signals.With(func(r *pushback.Register) {
		for _, s := range r.LeavingServers(p.listedOrInUse) {
			out = append(out, core.LeavingNote{Server: s.ID, Incarnation: uint64(s.Incarnation)})
		}
	})
	return out
}

// listedOrInUse reports whether a server is listed as taking work, or used without an entry. p.mu is held.
func (p *published) listedOrInUse(id string) bool {
	if s := p.list.Get(id); s != nil && s.AcceptsWork() {
		return true
	}
	_, works := p.registry.Get(id)
	return works
}

// mergeLeavingNotes merges another box's notes on leaving servers.
func (g *Gateway) mergeLeavingNotes(notes []core.LeavingNote, from string) {
	if len(notes) == 0 {
		return
	}
	now := g.now()
	updated := map[string]catalog.Server{}
	g.signals.With(func(r *pushback.Register) {
		for _, n := range notes[:min(len(notes), pushback.MaxNotes)] {
			s := pushback.Server{ID: n.Server, Incarnation: int64(n.Incarnation)}
			if r.RecordLeaving(now, s) {
				updated[s.ID] = catalog.Server{ID: s.ID, Incarnation: catalog.Incarnation(s.Incarnation)}
			}
		}
	})
	if len(updated) == 0 {
		return
	}
	p := &g.published
	p.mu.Lock()
	for id := range updated {
		if s, ok := p.registry.Get(id); ok {
			updated[id] = *s
		}
	}
	p.mu.Unlock()
	g.stopUsing(slices.Collect(maps.Values(updated)), from)
}

// sweepSignals drops outdated signals.
func (g *Gateway) sweepSignals(now time.Time) {
	if !g.signals.Any() {
		return
	}
	p := &g.published
	p.mu.Lock()
	defer p.mu.Unlock()
	g.signals.With(func(r *pushback.Register) {
		r.Sweep(now, func(id string) bool { return p.list.Get(id) != nil })
	})
}
