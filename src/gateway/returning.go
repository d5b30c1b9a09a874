package gateway

import (
	"context"
	"time"

	"github.com/stilemast/stilemast/src/admission"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/port"
	"github.com/stilemast/stilemast/src/registrar"
	"github.com/stilemast/stilemast/src/returning"
)

// initReturning connects the tracker of returning callers to this box.
func (g *Gateway) initReturning() {
	t := &g.returning
	t.Self, t.Now, t.Log, t.Boxes, t.Announce = g.ID.Name, g.now, g.Log, g.fleet.usable, g.announce
	t.Ask = func(ctx context.Context, box string, q port.Question) (port.Answer, error) {
		return g.Peers.Ask(ctx, g.fleet.addressOf(box), q)
	}
}

// ReturningCallers returns what this box did for returning callers since its start.
func (g *Gateway) ReturningCallers() registrar.Status { return g.returning.Status() }

// recordsRefusals reports whether callers of a pipeline are recorded when they are refused because of load.
func (g *Gateway) recordsRefusals(p *catalog.Pipeline) bool {
	return g.Settings.Policy.ReturningCallers.Enabled(g.index.Load().PipelineContended(p.Name))
}

// findEarlier begins to find out whether the caller was refused before, and returns a function that waits for the result.
func (v *requestRun) findEarlier(ctx context.Context) func() {
	t := &v.gateway.returning
	if !t.Active() || !v.gateway.recordsRefusals(v.pipeline) {
		return func() {}
	}
	found := make(chan returning.Record, 1)
	q := returning.Query{Content: v.content, Pipeline: catalog.Hash(v.pipeline.Name), Left: v.deadline.Sub(v.began)}
	go func() { found <- t.Find(ctx, v.request.ID, q) }()
	return func() {
		v.earlier = <-found
		v.objective = v.objective.Add(-v.earlier.Age)
	}
}

// rankReturned decides how a caller is served who was refused before and returned when it was told to: it is not refused
// again while its deadline allows a response, but its jobs rank behind all that can be in time if it no longer can.
func (v *requestRun) rankReturned() {
	if !v.earlier.OnTime() {
		return
	}
	s, now := v.stages, v.gateway.now()
	f := s.forecast(now)
	total, waits := f.Total, f.Waited
	s.returned = total-waits <= v.deadline.Sub(now)
	left := v.objective.Sub(now)
	v.late = s.returned && total > time.Duration(admission.LateFactor*float64(left))
	if v.late {
		s.objective = now
	}
	v.gateway.Log.Info("returned caller ranked", "request", v.request.ID, "content", v.content.String(), "age_ms", v.earlier.Age.Milliseconds(), "refusals", v.earlier.Refusals,
		"expected_ms", total.Milliseconds(), "waits_ms", waits.Milliseconds(), "left_ms", left.Milliseconds(), "admitted", s.returned, "in_time", !v.late)
}

// callPriority returns the priority of calls at model servers: the lowest for a caller who can no longer be in time.
func (v *requestRun) callPriority() int {
	if v.late {
		return priorityHigher
	}
	return min(v.priority, priorityHigher)
}

// recordRefusal reports a caller that is refused because of load, and may return, to the registrar of its content.
func (v *requestRun) recordRefusal(err *code.Error) {
	switch err.Code {
	case code.CannotFinish, code.BackendsResting, code.QueueFull:
	default:
		return
	}
	if v.pipeline == nil || !v.gateway.recordsRefusals(v.pipeline) {
		return
	}
	now := v.gateway.now()
	left := v.deadline.Sub(now)
	if err.DidRun() != code.RanNo || err.RetryAfter <= 0 || err.RetryAfter >= left {
		return
	}
	promised := v.stages != nil && v.stages.promised
	v.gateway.returning.Refused(v.request.ID, returning.Refusal{
		Content: v.content, Pipeline: catalog.Hash(v.pipeline.Name), Age: now.Sub(v.began) + v.earlier.Age, Left: left,
		After: err.RetryAfter, Promised: promised, Refusals: v.earlier.Refusals + 1,
	})
	if g := v.gateway; g.Observer.CallerRefused != nil {
		g.Observer.CallerRefused(v.pipeline.Name, promised)
	}
}

// observeReturned counts the outcome of a caller who was refused before.
func (v *requestRun) observeReturned(result string) {
	if v.gateway.Observer.CallerReturned == nil {
		return
	}
	inTime := !v.firstOut.IsZero() && !v.firstOut.After(v.objective)
	switch {
	case inTime:
		result = "in_time"
	case result == "answered":
		result = "late"
	}
	v.gateway.Observer.CallerReturned(v.pipeline.Name, result, v.earlier.Promised, inTime)
}
