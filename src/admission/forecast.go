package admission

import (
	"time"

	"github.com/stilemast/stilemast/src/backlog"
	"github.com/stilemast/stilemast/src/batch"
)

// Stage is one stage of a request and the load of its pool.
type Stage struct {
	After     []int // stages whose results it needs, all before it
	Followers []int // stages that need its results
	Pieces    int
	Waits     backlog.Waits // of a new piece in the pool
	Age       time.Duration // of Waits
	Trend     float64       // arrivals of the last second over those before (Trend.Factor); 1 if steady
	Usual     time.Duration // of the stage's calls at typical fill
	Full      time.Duration // of full calls; 0 if unknown
	// PieceTime is by how much one piece delays the pool: a full call over its size and the number of servers.
	PieceTime time.Duration
}

// Request is what the forecast of a request depends on.
type Request struct {
	Now       time.Time
	Objective time.Time
	Priority  int
	First     time.Duration // from the end of the last stage to the first output
	Stages    []Stage
}

// Forecast estimates the progress of a request's stages under the current load of its pools.
type Forecast struct {
	// Waits is the queueing time of a piece of each stage at its place in the queue; 0 for a stage without pieces.
	Waits     []time.Duration
	Remaining []time.Duration // from the end of each stage to the first output
	Total     time.Duration   // from now to the first output if no stage has been produced yet
	Waited    time.Duration   // the part of Total that is queueing
	Trended   time.Duration   // Total with the waits as they will be by the trend of arrivals when each stage begins
	Age       time.Duration   // of the oldest waits used
	Load      float64         // Waited in full calls of the stages on the longest path
}

// Estimate works backwards from the objective: the due time of a stage, and so its queueing time, depends on
// the stages after it.
func (r *Request) Estimate() Forecast {
	n := len(r.Stages)
	f := Forecast{Waits: make([]time.Duration, n), Remaining: make([]time.Duration, n)}
	calls := make([]time.Duration, n)
	for i := n - 1; i >= 0; i-- {
		s := &r.Stages[i]
		f.Remaining[i] = r.First
		for _, k := range s.Followers {
			f.Remaining[i] = max(f.Remaining[i], f.Waits[k]+calls[k]+f.Remaining[k])
		}
		if s.Pieces > 0 {
			due := batch.EffectiveDue(r.Objective.Add(-f.Remaining[i]), r.Priority)
			f.Waits[i], calls[i] = s.Waits.For(r.Priority).At(due.Sub(r.Now)), s.underLoad()
		}
	}
	r.longest(&f, calls)
	return f
}

// underLoad estimates the duration of a stage's calls. Calls get fuller the longer work waits in the pool, up
// to full calls when one call's duration of work waits. Assuming half-full calls under load would admit
// chains of three pools that are late and delay others.
func (s *Stage) underLoad() time.Duration {
	if s.Full == 0 {
		return 0
	}
	part := min(1, float64(s.Waits.All)/float64(s.Full))
	return s.Usual + time.Duration(part*float64(s.Full-s.Usual))
}

// longest sets the total of the path of stages that ends last, and what of it is queueing.
func (r *Request) longest(f *Forecast, calls []time.Duration) {
	n := len(r.Stages)
	end, waited, full, trended := make([]time.Duration, n), make([]time.Duration, n), make([]time.Duration, n), make([]time.Duration, n)
	last, fullCalls := time.Duration(0), time.Duration(0)
	for i, s := range r.Stages {
		for _, a := range s.After {
			if a >= 0 && a < i {
				trended[i] = max(trended[i], trended[a])
				if end[a] > end[i] {
					end[i], waited[i], full[i] = end[a], waited[a], full[a]
				}
			}
		}
		if s.Pieces > 0 {
			trended[i] += s.trended(f.Waits[i], trended[i]) + calls[i]
			full[i] += s.Full
			f.Age = max(f.Age, s.Age)
		}
		end[i] += f.Waits[i] + calls[i]
		waited[i] += f.Waits[i]
		if end[i] > last {
			last, f.Waited, fullCalls = end[i], waited[i], full[i]
		}
		f.Trended = max(f.Trended, trended[i]+r.First)
	}
	f.Total = last + r.First
	f.Trended = max(f.Trended, r.First)
	if fullCalls > 0 {
		f.Load = float64(f.Waited) / float64(fullCalls)
	}
}

// trended returns a wait as it will be when the stage begins: the waits of a pool change with its arrivals since they
// were told and until then.
func (s *Stage) trended(wait, begins time.Duration) time.Duration {
	ahead := min(1, float64(s.Age+begins)/float64(trendWindow))
	return wait + time.Duration((s.Trend-1)*ahead*float64(wait))
}
