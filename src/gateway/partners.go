package gateway

import (
	"context"
	"time"

	"github.com/stilemast/stilemast/src/clock"
)

// A large result occupies memory at its server from the call that produces it until it is read. That memory limits
// the pool's throughput, so a stage with large results starts only as early as needed to end together with the
// other results that its reader needs.

// remaining estimates the time until a stage is complete, 0 when it is.
func (s *stageRun) remaining(now time.Time, stage int) time.Duration {
	if s.request.Pieces[stage] == 0 || s.isMade(stage) {
		return 0
	}
	if end := s.expectedEnd(stage); !end.IsZero() {
		return max(0, end.Sub(now))
	}
	before := time.Duration(0)
	for _, a := range s.pipeline.Stages[stage].After {
		if a >= 0 && a < stage {
			before = max(before, s.remaining(now, a))
		}
	}
	return before + s.timeToResults(now, stage)
}

// timeToResults estimates the time from a stage's submission to its results.
func (s *stageRun) timeToResults(now time.Time, stage int) time.Duration {
	return s.forecast(now).Waits[stage] + s.typicalCallTime(stage)
}

// partners lists the other stages whose results are read together with those of a stage.
func (s *stageRun) partners(stage int) []int {
	var out []int
	together := s.pipeline.FinalStages()
	if len(s.followers[stage]) > 0 {
		together = s.pipeline.Stages[s.followers[stage][0]].After
	}
	for _, k := range together {
		if k >= 0 && k != stage {
			out = append(out, k)
		}
	}
	return out
}

// awaitPartners delays a stage with large results until it would end no earlier than the stages whose results
// are read together with its own.
func (s *stageRun) awaitPartners(ctx context.Context, stage int) {
	if float64(s.request.Pieces[stage]*s.pipeline.Stages[stage].ResultBytes) < largeResults {
		return
	}
	for ctx.Err() == nil {
		now := s.gateway.now()
		others := time.Duration(0)
		for _, k := range s.partners(stage) {
			others = max(others, s.remaining(now, k))
		}
		early := others - s.timeToResults(now, stage) - partnerMargin
		if early <= 0 {
			return
		}
		clock.Sleep(ctx, min(early, partnerPace))
	}
}

func (s *stageRun) isMade(stage int) bool {
	select {
	case <-s.done[stage]:
		return true
	default:
		return false
	}
}

// expectedEnd returns when a submitted stage should be complete, zero before its submission.
func (s *stageRun) expectedEnd(stage int) time.Time {
	s.results.mu.Lock()
	defer s.results.mu.Unlock()
	return s.ends[stage]
}

func (s *stageRun) expectEnd(stage int, end time.Time) {
	s.results.mu.Lock()
	defer s.results.mu.Unlock()
	s.ends[stage] = end
}
