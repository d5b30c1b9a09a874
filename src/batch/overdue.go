package batch

import (
	"maps"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/overdue"
)

// A piece whose call is overdue is run at another server too, while its job would be late otherwise (package overdue).
// The first run that ends counts. The other one keeps its room at its server until it has ended, and its result is freed
// then: the server can't be told to abandon it.

// again is a piece worth a second run.
type again struct {
	item  int // of the call that runs it
	piece int
	first uint64 // number of that call
	worth overdue.Worth
}

// secondRuns is the state of the second runs of a scheduler.
type secondRuns struct {
	inForce    bool      // as of the last dispatch
	handedOver bool      // another box schedules the pool: its servers are that box's to use
	level      float64   // ratio that half of the servers do not exceed, by their last calls
	learned    float64   // the same of the learned averages
	troubleAt  time.Time // when a call was last found overdue
	calls      int       // calls that were overdue, since the start
	started    int       // second runs, since the start
	counted    int       // second runs that ended first, since the start
}

// findOverdue finds the calls that are overdue and their pieces that are worth a second run.
func (s *Scheduler) findOverdue(now time.Time, out *Actions) {
	s.second.inForce = s.OverduePieces != nil && s.OverduePieces()
	for _, t := range s.jobs {
		t.again = nil
	}
	for _, v := range s.servers {
		v.overdue = false
	}
	if !s.second.inForce {
		return
	}
	s.second.level, s.second.learned = s.findLevel(now), s.findLearned()
	s.presetRatios(now)
	for _, n := range slices.Sorted(maps.Keys(s.calls)) {
		rc := s.calls[n]
		c := rc.asCall()
		if !s.judged(rc) || !c.Overdue(now, s.second.level, s.spread.Factor()) || s.othersSlowToo(now, rc) {
			continue
		}
		if v := s.servers[rc.server]; v != nil {
			v.overdue = true
		}
		if !rc.noted {
			rc.noted = true
			s.second.calls++
			s.second.troubleAt = now
			out.Overdue = append(out.Overdue, OverdueEvent{Kind: CallOverdue, Call: n, Server: rc.server, Pieces: len(rc.jobs), Age: now.Sub(rc.began), Limit: c.Limit(s.second.level, s.spread.Factor())})
		}
		if !s.second.handedOver {
			s.findWorth(now, n, rc, &c)
		}
	}
}

// judged reports whether a call may be found overdue. Calls at rate-limited servers are not: they wait for permits first.
func (s *Scheduler) judged(rc *runningCall) bool {
	v := s.servers[rc.server]
	return v == nil || s.limitOf(v) == 0
}

// asCall returns what package overdue needs of a call.
func (rc *runningCall) asCall() overdue.Call {
	return overdue.Call{Began: rc.began, Expected: rc.expected, Ratio: rc.ratio, Timeout: rc.timeout}
}

// othersSlowToo reports whether a call takes longer than expected like others that began since, so that the pool and not
// the server may be slow: one of them takes longer than expected, and none has ended in time.
func (s *Scheduler) othersSlowToo(now time.Time, rc *runningCall) bool {
	slow := false
	for _, v := range s.servers {
		if v.provenBegan.After(rc.began) {
			return false
		}
		if o := s.calls[v.call]; o != nil && o != rc && !o.began.Before(rc.began) {
			c := o.asCall()
			slow = slow || c.RatioBy(now, 0) > max(o.ratio, s.second.level)
		}
	}
	return slow
}

// findLevel returns the ratio that half of the listed servers do not exceed by now, given their last and running calls.
func (s *Scheduler) findLevel(now time.Time) float64 {
	ratios := make([]float64, 0, len(s.servers))
	for _, v := range s.servers {
		switch rc := s.calls[v.call]; {
		case !v.listed:
		case rc != nil:
			c := rc.asCall()
			ratios = append(ratios, c.RatioBy(now, v.lastRatio()))
		default:
			ratios = append(ratios, v.lastRatio())
		}
	}
	return overdue.Level(ratios)
}

// lastRatio returns the ratio of the last call at a server; if there was none, what is known otherwise.
func (v *serverState) lastRatio() float64 {
	if v.last > 0 {
		return v.last
	}
	return v.ratio
}

// findWorth finds the pieces of an overdue call that are worth a second run.
func (s *Scheduler) findWorth(now time.Time, n uint64, rc *runningCall, c *overdue.Call) {
	for i, t := range rc.jobs {
		piece := rc.pieces[i]
		if t.ended || t.handles[piece] != "" || t.inCalls[piece] != 1 || rc.ranAgain[i] || t.read || s.verdict(t).Ends > 0 {
			continue // a content that may have crashed a server is not sent to two at a time
		}
		if w := overdue.Of(now, c, t.Due, t.Deadline, s.secondRunTime(t)); w != overdue.Nothing {
			t.again = append(t.again, again{item: i, piece: piece, first: n, worth: w})
		}
	}
}

// secondRunTime returns the expected time of the smallest call with a piece of a job at a server of the pool's level.
func (s *Scheduler) secondRunTime(t *job) time.Duration {
	return time.Duration(max(1, s.second.level) * float64(s.pool.Batch.CallTime+s.pieceTime(t.Class)))
}

// runAgain adds second runs of a job's pieces of a given worth to a call that is being formed, as many as keep the call
// in time. room is what the server can store. Second runs are not sent to servers that are slow, fail or limit their
// requests.
func (s *Scheduler) runAgain(now time.Time, t *job, worth overdue.Worth, v *serverState, rc *runningCall, c *Call, room float64) {
	if t.ended || len(t.again) == 0 || !v.healthy() || s.limitOf(v) > 0 || !t.Within.Allow(v.Domain) || !s.fitsCall(t, rc) {
		return
	}
	due, left := rc.due, t.again[:0]
	if worth == overdue.InTime {
		due = earlier(due, t.Due)
	}
	for _, a := range t.again {
		fits := a.worth == worth && len(c.Items) < s.pool.Batch.Size && rc.bytes+t.ResultBytes <= room &&
			(due.IsZero() || s.piecesBy(now, t, rc, v.ratio, due) > 0)
		if !fits || !s.Budget.Take(now, s.Boxes) {
			left = append(left, a)
			continue
		}
		s.addItem(now, t, a.piece, a.first, rc, c)
		s.calls[a.first].markRanAgain(a.item)
		t.sent, rc.due = now, due
	}
	t.again = left
}

// markRanAgain records that an item of a call got a second run.
func (rc *runningCall) markRanAgain(item int) {
	if rc.ranAgain == nil {
		rc.ranAgain = map[int]bool{}
	}
	rc.ranAgain[item] = true
}

// countFirstRuns counts pieces that are put in a call for the first time, or after their calls failed, for the budget.
func (s *Scheduler) countFirstRuns(now time.Time, pieces int) {
	if !s.second.inForce {
		return
	}
	for range pieces {
		s.Budget.Request(now)
	}
}

// jobsKeepingInputs returns the jobs whose inputs must not be freed as read yet: one of their calls may still become
// overdue, or is, while a second run would bring the job in time. For troubleRetention after a call was overdue the
// inputs of all jobs are kept until their calls end. Otherwise those of other jobs are freed as soon as they are read,
// since result memory limits the pools that produce them.
func (s *Scheduler) jobsKeepingInputs(now time.Time) map[*job]bool {
	kept := map[*job]bool{}
	if !s.second.inForce || s.second.handedOver {
		return kept
	}
	healthy, trouble := s.healthyServers(now), now.Sub(s.second.troubleAt) < troubleRetention
	for _, rc := range s.calls {
		c, others := rc.asCall(), healthy
		if v := s.servers[rc.server]; v != nil && v.healthy() {
			others--
		}
		if others == 0 || !s.judged(rc) {
			continue
		}
		limit := c.Limit(s.second.level, s.spread.Factor())
		for i, t := range rc.jobs {
			p := rc.pieces[i]
			if !t.ended && t.handles[p] == "" && t.inCalls[p] == 1 && !rc.ranAgain[i] &&
				(trouble || overdue.MayGain(now, &c, t.Due, limit, s.secondRunTime(t))) && s.verdict(t).Ends == 0 {
				kept[t] = true
			}
		}
	}
	return kept
}

// leave records that one of the calls with a piece of a job has ended. It returns true if that decides nothing for the
// job if the piece was not produced: the job has ended, the piece has a result or another call runs it.
func (t *job) leave(piece int) bool {
	t.inCalls[piece]--
	if t.ended || t.handles[piece] != "" || t.inCalls[piece] > 0 {
		return true
	}
	t.running--
	return false
}

// earlier returns the earlier of two times, of which the first may be zero for none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
