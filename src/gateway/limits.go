package gateway

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/balance"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/clock"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/pushback"
)

// noteOf converts a limit to its wire form.
func noteOf(n pushback.LimitNote) core.LimitNote {
	return core.LimitNote{Server: n.Server.ID, Incarnation: uint64(n.Server.Incarnation), Sequence: n.Sequence, PerSecond: n.PerSecond, Ended: n.Ended}
}

// noteFrom converts a limit from its wire form.
func noteFrom(n core.LimitNote) pushback.LimitNote {
	return pushback.LimitNote{Server: pushback.Server{ID: n.Server, Incarnation: int64(n.Incarnation)}, Sequence: n.Sequence, PerSecond: n.PerSecond, Ended: n.Ended}
}

// recordLimit records the limit that a server's answer states.
func (g *Gateway) recordLimit(s catalog.Server, perSecond float64, sent time.Time, what string) {
	now := g.now()
	updated := false
	var l pushback.ActiveLimit
	g.signals.With(func(r *pushback.Register) {
		if updated = r.RecordLimit(now, sent, signalServer(s), perSecond); updated {
			l, _ = r.LimitOf(now, signalServer(s))
		}
	})
	if perSecond == pushback.InvalidLimit {
		g.Log.Warn("unreadable request limit from a server", "server", s.ID, "pool", s.Pool, "what", what)
	}
	if !updated {
		return
	}
	g.Log.Info("server's request limit changed", "server", s.ID, "pool", s.Pool, "what", what, "limit", l.PerSecond, "ended", l.Ended, "known_ms", l.Known.Milliseconds())
	g.countSignal(s.Pool, signalLimit)
	g.announceLimits()
}

// limitNotes returns the servers' limits for the next heartbeat, a few in each.
func (g *Gateway) limitNotes() []core.LimitNote {
	if !g.signals.Any() {
		return nil
	}
	var out []core.LimitNote
	g.signals.With(func(r *pushback.Register) {
		for _, n := range r.LimitNotes() {
			out = append(out, noteOf(n))
		}
	})
	return out
}

// mergeLimits merges another box's notes on servers' limits and passes on what is new.
func (g *Gateway) mergeLimits(notes []core.LimitNote, from string) {
	if len(notes) == 0 {
		return
	}
	now := g.now()
	var updated []core.LimitNote
	g.signals.With(func(r *pushback.Register) {
		for _, n := range notes[:min(len(notes), pushback.MaxNotes)] {
			if r.MergeNote(now, noteFrom(n)) {
				updated = append(updated, n)
			}
		}
	})
	for i, n := range updated {
		if i < serverLines {
			g.Log.Info("server's request limit received from a peer", "server", n.Server, "limit", n.PerSecond, "ended", n.Ended, "from", from)
		}
	}
	if len(updated) > 0 {
		g.announceLimits()
	}
}

// announceLimits sends a change of limits without waiting for a heartbeat; changes within limitsTogether are
// sent in one message.
func (g *Gateway) announceLimits() {
	if g.limitsDue.CompareAndSwap(false, true) {
		time.AfterFunc(limitsTogether, func() {
			g.limitsDue.Store(false)
			g.announce()
		})
	}
}

// limitedLoadNotes replaces the load notes of servers with a limit: boxes without limit support see them as full.
func (g *Gateway) limitedLoadNotes(plain []core.BackendNote) []core.BackendNote {
	if !g.signals.Any() {
		return plain
	}
	var limited []pushback.ActiveLimit
	now := g.now()
	g.signals.With(func(r *pushback.Register) { limited = r.ActiveLimits(now) })
	for i, l := range limited {
		if i == notesPerBeat/2 {
			break
		}
		full := core.BackendNote{Server: catalog.Hash(l.Server.ID), Requests: math.MaxUint16, Limited: true}
		at := slices.IndexFunc(plain, func(n core.BackendNote) bool { return n.Server == full.Server })
		if at >= 0 {
			full.Held, full.Tokens, full.Resting = plain[at].Requests, plain[at].Tokens, plain[at].Resting
			plain = slices.Delete(plain, at, at+1)
		}
		plain = slices.Insert(plain, 0, full)
	}
	return plain
}

// loadOf returns the load that a note reports.
func loadOf(n core.BackendNote) balance.Load {
	requests := n.Requests
	if n.Limited {
		requests = n.Held
	}
	return balance.Load{Requests: int(requests), Tokens: int(n.Tokens)}
}

// permitPatience returns how long a request waits for a permit: as long as it can still meet its objective
// or, if it no longer can, a share of its remaining time. Less urgent requests wait for less, which leaves
// permits for the urgent ones.
func (v *requestRun) permitPatience(now time.Time) time.Duration {
	inTime := v.objective.Add(-v.gateway.estimates.Get(v.pipeline.Name)).Sub(now)
	lateAnswer := time.Duration(lateWaitShare * float64(v.deadline.Sub(now)))
	return time.Duration(float64(max(inTime, lateAnswer)) / (1 + urgencyStep*float64(max(0, v.priority))))
}

// reserve requests a permit in advance at the server with the earliest free one, and waits for it. If no
// permit begins within the request's patience, the request is refused at once.
func (v *requestRun) reserve(ctx context.Context, s catalog.Server, now, next time.Time) *code.Error {
	patience := v.permitPatience(now)
	if next.Sub(now) > patience || v.permitRequests >= maxPermitRequests {
		return v.restRefusal(now, next)
	}
	v.permitRequests++
	begin, ok := v.gateway.takePermit(ctx, s, v.request.ID, v.priority, patience)
	if ok {
		clock.Sleep(ctx, begin.Sub(v.gateway.now()))
		v.wish.Only = s.ID
	}
	return nil
}

// permitted reports whether a request got a permit at the chosen server, and waits for its begin. After
// maxLimitedTries servers without a free permit, servers without a limit are preferred, and a permit in advance
// is requested at the next server with a limit.
func (v *requestRun) permitted(ctx context.Context, s catalog.Server) bool {
	now, patience := v.gateway.now(), time.Duration(0)
	if v.wish.AvoidLimited {
		patience = v.permitPatience(now)
	}
	begin, ok := v.gateway.takePermit(ctx, s, v.request.ID, v.priority, patience)
	if ok {
		clock.Sleep(ctx, begin.Sub(v.gateway.now()))
		return true
	}
	v.permitRequests++
	v.wish.AvoidLimited = v.permitRequests >= maxLimitedTries
	return false
}
