package core

import (
	"math"
	"time"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
)

// WaitEstimator estimates how long a new call of a stage would wait in its pool.
type WaitEstimator func(s *config.Stage, class config.Class, deadline time.Time) time.Duration

// Admission rejects requests that exceed their workspace's limit or can't finish by their deadline, before
// they use any resources. Not safe for concurrent use.
type Admission struct {
	Boxes    func() int // number of usable boxes, over which the limit of a workspace is divided
	Disabled bool       // baseline for experiments: admits everything

	inFlight map[string]int
}

// NewAdmission returns an Admission with no requests; set its exported fields before use.
func NewAdmission() *Admission { return &Admission{inFlight: map[string]int{}} }

// limitSlack is how far one box may exceed its equal share of a workspace's limit, because load balancers
// don't spread requests evenly.
const limitSlack = 1.25

// Admit admits a request or returns the reason for refusing it. Each admitted request needs one call of
// Leave.
func (a *Admission) Admit(now time.Time, w *config.Workspace, p *config.Pipeline, deadline time.Time, est *Estimates, waits WaitEstimator) *code.Error {
	if a.Disabled {
		a.inFlight[w.Name()]++
		return nil
	}
	limit := int(math.Ceil(limitSlack * float64(w.MaxInFlight()) / float64(max(1, a.Boxes()))))
	if a.inFlight[w.Name()] >= limit {
		return code.New(code.WorkspaceLimit, "workspace", "%d requests are running on this box", limit).WithRetryAfter(time.Second)
	}
	need := a.expectedDuration(now, p, deadline, est, waits)
	have := deadline.Sub(now)
	if p.MustFinish() {
		have = time.Duration(mustFinishReserve * float64(have))
	}
	if need > have {
		return code.New(code.CannotFinish, "", "expected to take %s, but only %s is left", need.Round(time.Millisecond), have.Round(time.Millisecond)).WithRetryAfter(need - have)
	}
	a.inFlight[w.Name()]++
	return nil
}

// expectedDuration estimates the time that all stages take, including the current waits in their pools.
func (a *Admission) expectedDuration(now time.Time, p *config.Pipeline, deadline time.Time, est *Estimates, waits WaitEstimator) time.Duration {
	run := est.Tail(now, p, 0)
	var wait time.Duration
	for _, s := range p.Stages() {
		wait = max(wait, waits(s, p.Class(), deadline))
	}
	return time.Duration(admissionMargin * float64(max(run, wait+run/2)))
}

// Leave releases one admitted request of a workspace.
func (a *Admission) Leave(workspace string) {
	if a.inFlight[workspace]--; a.inFlight[workspace] <= 0 {
		delete(a.inFlight, workspace)
	}
}
