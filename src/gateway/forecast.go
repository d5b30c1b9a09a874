package gateway

import (
	"time"

	"github.com/stilemast/stilemast/src/batch"
)

// forecast is how the stages of a request go on as its pools wait and work now.
type forecast struct {
	run   *stageRun
	waits []time.Duration // of a piece of each stage, at its place among what waits; 0 for a stage without pieces
	calls []time.Duration // that each stage's calls take; 0 for a stage without pieces
	rests []time.Duration // from the end of each stage to the first output
	first time.Duration   // from the last stage's end to the first output
}

// forecast works backwards from the objective: when a stage is due, and so how long it waits, depends on those after it.
func (s *stageRun) forecast(now time.Time) forecast {
	n := len(s.pipeline.Stages)
	f := forecast{run: s, waits: make([]time.Duration, n), calls: make([]time.Duration, n), rests: make([]time.Duration, n), first: s.gateway.estimates.get(s.pipeline.Name)}
	for i := n - 1; i >= 0; i-- {
		f.rests[i] = f.first
		for _, k := range s.followers[i] {
			f.rests[i] = max(f.rests[i], f.waits[k]+f.calls[k]+f.rests[k])
		}
		if s.request.Pieces[i] > 0 {
			due := batch.EffectiveDue(s.objective.Add(-f.rests[i]), s.priority)
			w := s.gateway.waitsIn(now, s.pipeline.Stages[i].Pool)
			f.waits[i], f.calls[i] = w.At(due.Sub(now)), s.underLoad(i, w.All)
		}
	}
	return f
}

// underLoad is the time that a stage's calls take: the fuller the longer work waits in its pool, until all are full where a call's time
// of work waits. Taken for half full under load, chains of three pools would be admitted that are late, and make others late.
func (s *stageRun) underLoad(stage int, wait time.Duration) time.Duration {
	usual, full := s.typical(stage), s.callTime(stage, 1)
	if full == 0 {
		return 0
	}
	part := min(1, float64(wait)/float64(full))
	return usual + time.Duration(part*float64(full-usual))
}

// expected estimates the time from now to the first output where nothing is made yet. The second result is the part of it that
// is waiting.
func (f forecast) expected() (total, waits time.Duration) {
	n := len(f.waits)
	end, waited := make([]time.Duration, n), make([]time.Duration, n)
	for i, st := range f.run.pipeline.Stages {
		for _, a := range st.After {
			if a >= 0 && a < i && end[a] > end[i] {
				end[i], waited[i] = end[a], waited[a]
			}
		}
		end[i] += f.waits[i] + f.calls[i]
		waited[i] += f.waits[i]
	}
	for i := range n {
		if end[i] > total {
			total, waits = end[i], waited[i]
		}
	}
	return total + f.first, waits
}
