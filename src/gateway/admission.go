package gateway

import (
	"time"

	"github.com/stilemast/stilemast/src/code"
)

// expected estimates the time from now to the first output, with the waits that the pools'
// schedulers tell of. The second result is the part of it that is waiting.
func (s *stageRun) expected(now time.Time) (total, waits time.Duration) {
	g := s.gateway
	n := len(s.pipeline.Stages)
	end, waited := make([]time.Duration, n), make([]time.Duration, n)
	first := g.estimates.get(s.pipeline.Name)
	for i, st := range s.pipeline.Stages {
		for _, a := range st.After {
			if a >= 0 && a < i && end[a] > end[i] {
				end[i], waited[i] = end[a], waited[a]
			}
		}
		if s.request.Pieces[i] > 0 {
			w := g.waitIn(now, st.Pool)
			end[i] += w + s.typical(i)
			waited[i] += w
		}
		if end[i] > total {
			total, waits = end[i], waited[i]
		}
	}
	return total + first, waits
}

// admit refuses a request that can't be in time any more: served late it is worth little and makes
// others late, while its caller may come back when the backlog is gone.
func (g *Gateway) admit(s *stageRun) *code.Error {
	now := g.now()
	total, waits := s.expected(now)
	left := s.objective.Sub(now)
	limit := time.Duration(lateFactor * float64(left))
	if !g.Settings.Admission || len(s.pipeline.Stages) == 0 || total <= limit || waits <= 0 {
		g.Log.Info("admitted", "request", s.request.ID, "pipeline", s.pipeline.Name, "priority", s.priority, "expected_ms", total.Milliseconds(), "waits_ms", waits.Milliseconds(), "left_ms", left.Milliseconds(), "config_age_ms", g.published.catalogAge(now).Milliseconds())
		return nil
	}
	err := code.New(code.CannotFinish, "deadline", "expected in %s, of which %s are waits; %s are left to be in time", total.Round(time.Millisecond), waits.Round(time.Millisecond), left.Round(time.Millisecond))
	err.Ran = code.RanNo
	err.RetryAfter = min(mostReturn, max(leastReturn, time.Duration(returnPart*float64(total-limit))))
	return err
}

// refusal makes an error for a request that has not run, with the time to come back.
func refusal(c code.Code, field string, after time.Duration, format string, args ...any) *code.Error {
	err := code.New(c, field, format, args...)
	err.Ran = code.RanNo
	err.RetryAfter = after
	return err
}

// waitIn is how long a piece waits in a pool: asked of the scheduler when it is in this box, or as it
// told lately.
func (g *Gateway) waitIn(now time.Time, pool string) time.Duration {
	if g.schedulerOf(pool, nil) != g.ID.Name {
		return g.fleet.waitAt(now, pool)
	}
	s := g.desk.get(pool)
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Wait(now)
}
