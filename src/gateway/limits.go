package gateway

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/balance"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/pushback"
)

func noteOf(n pushback.LimitNote) core.LimitNote {
	return core.LimitNote{Server: n.Server.ID, Incarnation: uint64(n.Server.Incarnation), Sequence: n.Sequence, PerSecond: n.PerSecond, Ended: n.Ended}
}

func noteFrom(n core.LimitNote) pushback.LimitNote {
	return pushback.LimitNote{Server: pushback.Server{ID: n.Server, Incarnation: int64(n.Incarnation)}, Sequence: n.Sequence, PerSecond: n.PerSecond, Ended: n.Ended}
}

// hearLimit takes what an answer says of its server's limit.
func (g *Gateway) hearLimit(s catalog.Server, perSecond float64, sent time.Time, what string) {
	now := g.now()
	news := false
	var l pushback.ActiveLimit
	g.words.with(func(r *pushback.Register) {
		if news = r.RecordLimit(now, sent, wordLife(s), perSecond); news {
			l, _ = r.LimitOf(now, wordLife(s))
		}
	})
	if perSecond == pushback.InvalidLimit {
		g.Log.Warn("limit of a server that can't be read", "server", s.ID, "pool", s.Pool, "what", what)
	}
	if !news {
		return
	}
	g.Log.Info("server's limit changes", "server", s.ID, "pool", s.Pool, "what", what, "limit", l.PerSecond, "ended", l.Ended, "known_ms", l.Known.Milliseconds())
	g.watchWord(s.Pool, wordLimit)
	g.announceLimits()
}

// limitNotes tells other boxes of servers' limits, some with each message.
func (g *Gateway) limitNotes() []core.LimitNote {
	if !g.words.any.Load() {
		return nil
	}
	var out []core.LimitNote
	g.words.with(func(r *pushback.Register) {
		for _, n := range r.LimitNotes() {
			out = append(out, noteOf(n))
		}
	})
	return out
}

// hearLimits takes what another box knows of servers' limits, and passes on what is news.
func (g *Gateway) hearLimits(notes []core.LimitNote, from string) {
	if len(notes) == 0 {
		return
	}
	now := g.now()
	var news []core.LimitNote
	g.words.with(func(r *pushback.Register) {
		for _, n := range notes[:min(len(notes), pushback.MaxNotes)] {
			if r.MergeNote(now, noteFrom(n)) {
				news = append(news, n)
			}
		}
	})
	for i, n := range news {
		if i < serverLines {
			g.Log.Info("server's limit heard of", "server", n.Server, "limit", n.PerSecond, "ended", n.Ended, "from", from)
		}
	}
	if len(news) > 0 {
		g.announceLimits()
	}
}

// announceLimits tells other boxes of a change without waiting for a heartbeat; changes that come together go in one message.
func (g *Gateway) announceLimits() {
	if g.limitsDue.CompareAndSwap(false, true) {
		time.AfterFunc(limitsTogether, func() {
			g.limitsDue.Store(false)
			g.announce()
		})
	}
}

// fullNotes are notes on the load of servers with a limit, in place of the plain ones: boxes that know no limits find them full.
func (g *Gateway) fullNotes(plain []core.BackendNote) []core.BackendNote {
	if !g.words.any.Load() {
		return plain
	}
	var limited []pushback.ActiveLimit
	now := g.now()
	g.words.with(func(r *pushback.Register) { limited = r.ActiveLimits(now) })
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

// loadOf reads a note on a server's load.
func loadOf(n core.BackendNote) balance.Load {
	requests := n.Requests
	if n.Limited {
		requests = n.Held
	}
	return balance.Load{Requests: int(requests), Tokens: int(n.Tokens)}
}

// permitPatience is for how long a request waits for a permit at a server with a limit: until it can just be in time or, where it
// can't any more, for a part of what is left. Who is less urgent waits for less, so that permits are left for the urgent.
func (v *visit) permitPatience(now time.Time) time.Duration {
	inTime := v.objective.Add(-v.gateway.estimates.get(v.pipeline.Name)).Sub(now)
	lateAnswer := time.Duration(lateWaitPart * float64(v.deadline.Sub(now)))
	return time.Duration(float64(max(inTime, lateAnswer)) / (1 + urgencyStep*float64(max(0, v.priority))))
}

// reserve asks for a permit ahead of time at the server that has the next, and waits for it. It refuses the request at once when no
// permit begins within its patience.
func (v *visit) reserve(ctx context.Context, s catalog.Server, now, next time.Time) *code.Error {
	patience := v.permitPatience(now)
	if next.Sub(now) > patience || v.asked >= permitsAsked {
		return v.resting(now, next)
	}
	v.asked++
	begin, ok := v.gateway.takePermit(ctx, s, v.request.ID, patience)
	if ok {
		sleep(ctx, begin.Sub(v.gateway.now()))
		v.wish.Only = s.ID
	}
	return nil
}

// permitted says whether a request has a permit at the server that was chosen, and waits for its begin. Where a few servers have none free,
// those without a limit come first, and a permit ahead of time is asked for at the next that has one.
func (v *visit) permitted(ctx context.Context, s catalog.Server) bool {
	now, patience := v.gateway.now(), time.Duration(0)
	if v.wish.AvoidLimited {
		patience = v.permitPatience(now)
	}
	begin, ok := v.gateway.takePermit(ctx, s, v.request.ID, patience)
	if ok {
		sleep(ctx, begin.Sub(v.gateway.now()))
		return true
	}
	v.asked++
	v.wish.AvoidLimited = v.asked >= limitsTried
	return false
}
