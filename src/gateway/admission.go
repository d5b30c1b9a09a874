package gateway

import (
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/admission"
	"github.com/stilemast/stilemast/src/backlog"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/code"
)

// learnedByDefault is whether learned admission is in force where its switch is auto. It is not: it admits too many of the
// least urgent requests while more urgent ones overtake them, and those wait until their deadlines.
const learnedByDefault = false

// admit refuses a request that is forecast to miss its objective, if its refusal serves others (see admission.Decide).
// Its caller can retry when the backlog is gone.
func (v *requestRun) admit() *code.Error {
	g, s, now := v.gateway, v.stages, v.gateway.now()
	load := s.load(now)
	f := load.Estimate()
	class := admission.ClassOf(catalog.Hash(s.pipeline.Name), slices.Max(append([]int{0}, s.request.Pieces...)), f.Load)
	in := admission.Input{
		Learned: g.Settings.Policy.LearnedAdmission.Enabled(learnedByDefault), Returned: s.returned,
		Forecast: f, Left: s.objective.Sub(now), Deadline: s.deadline.Sub(now), Ratio: g.calibration.Ratio(now, class),
	}
	if in.Learned {
		in.Behind = load.Behind(f)
		for i, st := range s.pipeline.Stages {
			g.trend.Arrived(now, st.Pool, s.request.Pieces[i])
		}
	}
	d := admission.Decide(in)
	v.admitted = admission.Forecasted{At: now, Class: class, Expected: f.Trended, Corrected: d.Corrected, Decision: d, Learned: in.Learned}
	said := []any{"request", s.request.ID, "pipeline", s.pipeline.Name, "priority", s.priority, "expected_ms", f.Total.Milliseconds(), "waits_ms", f.Waited.Milliseconds(), "left_ms", in.Left.Milliseconds(),
		"rule", d.Rule, "probability", d.Probability, "corrected_ms", d.Corrected.Milliseconds(), "known", in.Ratio.Known, "trended_ms", f.Trended.Milliseconds(), "waits_age_ms", f.Age.Milliseconds(), "gain", d.Gain, "known_age_ms", in.Ratio.Age.Milliseconds(), "config_age_ms", g.published.catalogAge(now).Milliseconds()}
	if !d.Refuse || !g.Settings.Admission {
		g.Log.Info("admitted", said...)
		return nil
	}
	g.Log.Info("not admitted", said...)
	v.admitted = admission.Forecasted{}
	return refusal(code.CannotFinish, "deadline", g.retryAfter(s, d.Excess), "expected in %s, of which %s are waits; %s are left to the objective", d.Corrected.Round(time.Millisecond), f.Waited.Round(time.Millisecond), in.Left.Round(time.Millisecond))
}

// compareForecast compares the forecast made at admission with the first output, or with the end of a request that had
// none (censored).
func (v *requestRun) compareForecast(now time.Time, censored bool) {
	g, a := v.gateway, v.admitted
	if a.Expected == 0 || len(v.pipeline.Stages) == 0 {
		return
	}
	v.admitted = admission.Forecasted{}
	if a.Learned {
		g.calibration.Observe(now, a.Class, a.Expected, now.Sub(a.At), censored)
	}
	if g.Observer.Compared != nil {
		g.Observer.Compared(v.pipeline.Name, a, now.Sub(a.At), censored)
	}
}

// forecast estimates the progress of a request's stages under the current load of its pools.
func (s *stageRun) forecast(now time.Time) admission.Forecast { return s.load(now).Estimate() }

// load returns what the forecast of a request depends on.
func (s *stageRun) load(now time.Time) *admission.Request {
	g := s.gateway
	r := &admission.Request{Now: now, Objective: s.objective, Priority: s.priority, First: g.estimates.Get(s.pipeline.Name), Stages: make([]admission.Stage, len(s.pipeline.Stages))}
	for i, st := range s.pipeline.Stages {
		l := &r.Stages[i]
		l.After, l.Followers, l.Pieces = st.After, s.followers[i], s.request.Pieces[i]
		if l.Pieces > 0 {
			l.Waits, l.Age = g.waitsIn(now, st.Pool)
			l.Trend, l.Usual, l.Full = g.trend.Factor(now, st.Pool), s.typicalCallTime(i), s.callTime(i, 1)
		}
		if p := g.index.Load().Pool(st.Pool); p != nil && p.Batch != nil {
			l.PieceTime = p.Batch.FullCall() / time.Duration(max(1, p.Batch.Size*g.pools.get(st.Pool).size()))
		}
	}
	return r
}

// refusal returns the error of a request that has not run, with a retry-after time.
func refusal(c code.Code, field string, after time.Duration, format string, args ...any) *code.Error {
	err := code.New(c, field, format, args...)
	err.Ran = code.RanNo
	err.RetryAfter = after
	return err
}

// waitsIn returns how long a piece waits in a pool and the age of that: from the scheduler if it runs in this box,
// otherwise as the scheduler last reported.
func (g *Gateway) waitsIn(now time.Time, pool string) (backlog.Waits, time.Duration) {
	if g.schedulerOf(pool, nil) != g.ID.Name {
		return g.fleet.waitsIn(now, pool)
	}
	s := g.schedulers.get(pool)
	if s == nil {
		return backlog.Waits{}, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Waits(now), 0
}
