package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/pushback"
)

// awaitRest holds a request while every server that may be tried wants rest, for as long as it can wait; otherwise it refuses it
// at once and says when the first of them can be asked again. The urgent go first.
func (v *visit) awaitRest(ctx context.Context, e *pool) *code.Error {
	g := v.gateway
	if !g.words.any.Load() {
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
		if v.tooLong(now, end) {
			return v.resting(now, end)
		}
		pace := max(restStep, min(restPace, end.Sub(now), v.startBy().Sub(now)/restLooks))
		sleep(ctx, pace+time.Duration(v.priority)*restStep)
	}
	if waited := g.now().Sub(began); waited >= restStep {
		g.Log.Info("request waited for servers that rest", "request", v.request.ID, "pool", e.name, "waited_ms", waited.Milliseconds())
	}
	return nil
}

// restEnds is when the first server that may be tried can be asked, and whether all of them want rest until then. Those
// that turned this request away are among them, once they have had their rest.
func (v *visit) restEnds(e *pool, now time.Time) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v.turnedAway = slices.DeleteFunc(v.turnedAway, func(id string) bool {
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

// nextPermit is the server that can be asked first, where all want rest or have no permit free, if it has a limit.
func (v *visit) nextPermit(e *pool, now time.Time) (catalog.Server, bool) {
	e.mu.Lock()
	s, _, ok := e.picker.FirstRestToEnd(now, &v.wish)
	e.mu.Unlock()
	if !ok {
		return s, false
	}
	return s, v.gateway.words.judge(now, s).State == pushback.Full
}

// mayWait says whether a server was free, or will be, when none was at the choice: another request may have taken its turn, or an
// answer may have come, since it was looked for.
func (v *visit) mayWait(e *pool, now time.Time) bool {
	if _, resting := v.restEnds(e, now); resting {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.picker.AnyAccepting(now, &v.wish)
}

// tooLong says whether a request can't wait for a server until a time: what is left then would not do for its run or, unless the
// server is returning already, for its caller to come back.
func (v *visit) tooLong(now, end time.Time) bool {
	run := v.gateway.estimates.get(v.pipeline.Name)
	return end.After(v.deadline.Add(-run)) || end.Sub(now) > restPace && end.After(v.startBy())
}

// startBy is until when a request may wait for a rest to end.
func (v *visit) startBy() time.Time {
	return v.began.Add(time.Duration(restPart * float64(v.deadline.Sub(v.began))))
}

// checkRest refuses a request, before anything is made for it, whose servers all want rest for longer than it can wait.
func (v *visit) checkRest(e *pool) *code.Error {
	if !v.gateway.words.any.Load() {
		return nil
	}
	now := v.gateway.now()
	end, resting := v.restEnds(e, now)
	if !resting {
		return nil
	}
	if _, limited := v.nextPermit(e, now); limited && end.Sub(now) > v.permitPatience(now) || !limited && v.tooLong(now, end) {
		return v.resting(now, end)
	}
	return nil
}

// resting is the refusal of a request whose servers want rest until a time. Callers are asked back over some time after it,
// or all would meet the first server that takes requests again.
func (v *visit) resting(now, end time.Time) *code.Error {
	spread := time.Duration(catalog.Hash(v.request.ID) % uint64(restSpread))
	return refusal(code.BackendsResting, "pool", end.Sub(now)+spread, "all servers of %s want rest or take no more requests, the first for another %s", v.pool, end.Sub(now).Round(time.Millisecond))
}

// noServer is the refusal of a request that no server is left for.
func (v *visit) noServer(e *pool, now time.Time) *code.Error {
	e.mu.Lock()
	end, resting := e.picker.EarliestRestEnd(now, &v.wish)
	e.mu.Unlock()
	if resting {
		return v.resting(now, end)
	}
	return refusal(code.BackendsDown, "pool", failureReturn, "no server of %s is left to be tried", v.pool)
}
