package core

import (
	"math"
	"time"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
)

// Waits tells how long a new call of a stage would wait in its pool.
type Waits func(s *config.Stage, class config.Class, deadline time.Time) time.Duration

// Admission refuses what could not finish before it costs anything. Not safe for concurrent use.
type Admission struct {
	Boxes func() int // usable boxes of the fleet, over which a workspace's limit is divided
	Off   bool       // baseline: nothing is refused for load

	inFlight map[string]int
}

// NewAdmission counts nothing yet; set its exported fields before use.
func NewAdmission() *Admission { return &Admission{inFlight: map[string]int{}} }

// limitSlack is how much more than its even part of a workspace's limit one box takes, since the
// balancer doesn't spread evenly.
const limitSlack = 1.25

// Enter admits a request or says why not. Each admitted request must Leave.
func (a *Admission) Enter(now time.Time, w *config.Workspace, p *config.Pipeline, deadline time.Time, est *Estimates, waits Waits) *code.Error {
	if a.Off {
		a.inFlight[w.Name()]++
		return nil
	}
	limit := int(math.Ceil(limitSlack * float64(w.MaxInFlight()) / float64(max(1, a.Boxes()))))
	if a.inFlight[w.Name()] >= limit {
		return code.New(code.WorkspaceLimit, "workspace", "%d requests are running on this box", limit).WithRetryAfter(time.Second)
	}
	need := a.need(now, p, deadline, est, waits)
	have := deadline.Sub(now)
	if p.MustFinish() {
		have = time.Duration(mustFinishReserve * float64(have))
	}
	if need > have {
		return code.New(code.CannotFinish, "", "would take %s, has %s", need.Round(time.Millisecond), have.Round(time.Millisecond)).WithRetryAfter(need - have)
	}
	a.inFlight[w.Name()]++
	return nil
}

// need is the expected time of all stages with the waits of this moment.
func (a *Admission) need(now time.Time, p *config.Pipeline, deadline time.Time, est *Estimates, waits Waits) time.Duration {
	run := est.Tail(now, p, 0)
	var wait time.Duration
	for _, s := range p.Stages() {
		wait = max(wait, waits(s, p.Class(), deadline))
	}
	return time.Duration(admissionMargin * float64(max(run, wait+run/2)))
}

// Leave ends an admitted request.
func (a *Admission) Leave(workspace string) {
	if a.inFlight[workspace]--; a.inFlight[workspace] <= 0 {
		delete(a.inFlight, workspace)
	}
}

// Running counts the admitted requests.
func (a *Admission) Running() int {
	n := 0
	for _, v := range a.inFlight {
		n += v
	}
	return n
}
