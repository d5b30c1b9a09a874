package admission

import (
	"time"

	"github.com/stilemast/stilemast/src/backlog"
	"github.com/stilemast/stilemast/src/batch"
)

// Behind is the work that a request would delay in one pool.
type Behind struct {
	Waits backlog.Waits // in the pool
	Due   time.Duration // until the request's stage is due
	Work  time.Duration // by which its pieces delay the work behind them
	Call  time.Duration // that each piece takes once it begins
}

// Behind returns the work that the request would delay in the pool of each stage with pieces.
func (r *Request) Behind(f Forecast) []Behind {
	var out []Behind
	for i := range r.Stages {
		if s := &r.Stages[i]; s.Pieces > 0 {
			due := batch.EffectiveDue(r.Objective.Add(-f.Remaining[i]), r.Priority).Sub(r.Now)
			out = append(out, Behind{Waits: s.Waits, Due: due, Work: time.Duration(s.Pieces) * s.PieceTime, Call: s.Full})
		}
	}
	return out
}

// spared estimates how many callers the refusal spares from being late: those whose pieces wait behind the request's
// and have less spare time than its pieces take. It is counted in callers with as many pieces as the request.
func (b Behind) spared() float64 {
	if b.Work <= 0 {
		return 0
	}
	sum := time.Duration(0)
	b.Waits.Each(func(from, to backlog.Place) {
		if to.Due <= b.Due {
			return
		}
		low, high := from.Due-from.Wait-b.Call, to.Due-to.Wait-b.Call
		if low > high {
			low, high = high, low
		}
		tight := max(0, min(high, b.Work)-max(low, 0))
		part := 1.0
		if high > low {
			part = float64(tight) / float64(high-low)
		} else if low < 0 || low >= b.Work {
			part = 0
		}
		sum += time.Duration(part * float64(max(0, to.Wait-from.Wait)))
	})
	return float64(sum) / float64(b.Work)
}
