package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/clock"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/pushback"
)

// awaitRest holds a request while every eligible server wants rest, for as long as the request can wait;
// otherwise it refuses it at once with the time at which the first server is available again. More urgent
// requests go first.
func (v *requestRun) awaitRest(ctx context.Context, e *pool) *code.Error {
	g := v.gateway
	if !g.anyHeldBack() {
		return nil
	}
	began := g.now()
	for ctx.Err() == nil {
		now := g.now()
		end, resting := v.restEnds(e, now)
		if !resting {
			break
		}
		if s, limited := v.nextPermit(e, now); limited {
			if err := v.reserve(ctx, s, now, end); err != nil {
				return err
			}
			if v.wish.Only != "" {
				return nil
			}
			continue
		}
		if v.cannotWaitUntil(now, end) {
			return v.restRefusal(now, end)
		}
		pace := max(restStep, min(restPollInterval, end.Sub(now), v.startBy().Sub(now)/restPolls))
		clock.Sleep(ctx, pace+time.Duration(v.priority)*restStep)
	}
	if waited := g.now().Sub(began); waited >= restStep {
		g.Log.Info("request waited for servers that rest", "request", v.request.ID, "pool", e.name, "waited_ms", waited.Milliseconds())
	}
	return nil
}

// restEnds returns when the first eligible server is available, and whether all of them want rest until then.
// Servers that turned this request away are eligible again after their rest.
func (v *requestRun) restEnds(e *pool, now time.Time) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v.restingServers = slices.DeleteFunc(v.restingServers, func(id string) bool {
		over := !e.picker.IsResting(now, id)
		if over {
			delete(v.wish.Exclude, id)
		}
		return over
	})
	if e.picker.AnyAccepting(now, &v.wish) {
		return time.Time{}, false
	}
	return e.picker.EarliestRestEnd(now, &v.wish)
}

// nextPermit returns the server that is available first, when all want rest or have no free permit, if it has
// a limit.
func (v *requestRun) nextPermit(e *pool, now time.Time) (catalog.Server, bool) {
	e.mu.Lock()
	s, _, ok := e.picker.FirstRestToEnd(now, &v.wish)
	e.mu.Unlock()
	if !ok {
		return s, false
	}
	return s, v.gateway.signals.Check(now, signalServer(s)).State == pushback.Full || !v.gateway.brittle.FullUntil(s.ID).IsZero()
}

// serverExpected reports whether a server is or will be available although the choice found none: since then another
// request may have taken a permit, or an answer may have come.
func (v *requestRun) serverExpected(e *pool, now time.Time) bool {
	if _, resting := v.restEnds(e, now); resting {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.picker.AnyAccepting(now, &v.wish)
}

// cannotWaitUntil reports whether a request can't wait for a server until a time, because what is left would not
// suffice for its run or, unless the server is available within restPollInterval, for its caller to retry.
func (v *requestRun) cannotWaitUntil(now, end time.Time) bool {
	run := v.gateway.estimates.Get(v.pipeline.Name)
	return end.After(v.deadline.Add(-run)) || end.Sub(now) > restPollInterval && end.After(v.startBy())
}

// startBy returns until when a request may wait for a rest to end.
func (v *requestRun) startBy() time.Time {
	return v.began.Add(time.Duration(restWaitShare * float64(v.deadline.Sub(v.began))))
}

// checkRest refuses a request before any stage runs if all its servers want rest for longer than it can wait.
func (v *requestRun) checkRest(e *pool) *code.Error {
	if !v.gateway.anyHeldBack() {
		return nil
	}
	now := v.gateway.now()
	end, resting := v.restEnds(e, now)
	if !resting {
		return nil
	}
	if _, limited := v.nextPermit(e, now); limited && end.Sub(now) > v.permitPatience(now) || !limited && v.cannotWaitUntil(now, end) {
		return v.restRefusal(now, end)
	}
	return nil
}

// restRefusal returns the refusal of a request whose servers want rest until a time. The retry-after times are
// spread, as otherwise all callers would meet the first server that is available again.
func (v *requestRun) restRefusal(now, end time.Time) *code.Error {
	spread := time.Duration(catalog.Hash(v.request.ID) % uint64(restSpread))
	return refusal(code.BackendsResting, "pool", end.Sub(now)+spread, "all servers of %s want rest or take no more requests, the first is available in %s", v.pool, end.Sub(now).Round(time.Millisecond))
}

// noServer returns the refusal of a request that has no server left to try.
func (v *requestRun) noServer(e *pool, now time.Time) *code.Error {
	e.mu.Lock()
	end, resting := e.picker.EarliestRestEnd(now, &v.wish)
	e.mu.Unlock()
	if resting {
		return v.restRefusal(now, end)
	}
	return refusal(code.BackendsDown, "pool", failureRetryAfter, "no server of %s is left to try", v.pool)
}
