package batch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// A job that waits has a place in the queue by its due time, so less urgent jobs that have waited long are ahead of more
// urgent ones that arrive. Where the pool can't serve all in time, the urgent ones would then be late for the others:
// with explain, objective 3 s, at three times its rate, 0.55 of notes, objective 1.2 s, were in time and 0.84 of explain.

// queued is a queued job as the decision sees it.
type queued struct {
	pieces   int
	due      time.Duration // until its stage must end
	priority int           // a higher number is less urgent
	mayEnd   bool          // nothing of its request ran or will, so that it can be refused as not run
}

// capacity is what a pool can do for the queue.
type capacity struct {
	first     time.Duration // until the next call can begin
	perSecond float64       // pieces
	call      time.Duration // duration of a call
}

// ends returns when a job ends with so many pieces ahead of it.
func (c capacity) ends(ahead int) time.Duration {
	return c.first + time.Duration(float64(ahead)/c.perSecond*float64(time.Second)) + c.call
}

// yielding is the outcome for a queue: the jobs that end, with the job that each yields to, and the order of the others.
type yielding struct {
	ended  map[int]int
	passed map[int]int // jobs that are overtaken, with the first job that overtakes each
	order  []int
}

// yield decides which jobs of a queue, in the order in which they would be served, make room for more urgent ones. A job
// that can't be in time behind the less urgent jobs ahead of it, but would be without them, gets their room: the fewest of
// those that may end do, the least urgent first, if they suffice. Otherwise it overtakes the fewest, those next ahead
// of it first.
func yield(queue []queued, c capacity) yielding {
	out := yielding{ended: map[int]int{}, passed: map[int]int{}, order: make([]int, 0, len(queue))}
	ahead := map[int]int{} // pieces by priority
	for i, q := range queue {
		all, equal := 0, 0
		for p, n := range ahead {
			all += n
			if p <= q.priority {
				equal += n
			}
		}
		ahead[q.priority] += q.pieces
		out.order = append(out.order, i)
		over := c.ends(all) - q.due
		if over <= 0 || all == equal || c.ends(equal) > q.due {
			continue
		}
		need := int(math.Ceil(over.Seconds() * c.perSecond))
		less := slices.DeleteFunc(slices.Clone(out.order), func(k int) bool { return queue[k].priority <= q.priority })
		if end := fewest(queue, less, need); len(end) > 0 {
			for _, k := range end {
				out.ended[k] = i
				ahead[queue[k].priority] -= queue[k].pieces
			}
			out.order = slices.DeleteFunc(out.order, func(k int) bool { _, gone := out.ended[k]; return gone })
			continue
		}
		var passed []int
		for n := len(less) - 1; n >= 0 && need > 0; n-- {
			passed = append(passed, less[n])
			if _, known := out.passed[less[n]]; !known {
				out.passed[less[n]] = i
			}
			need -= queue[less[n]].pieces
		}
		slices.Reverse(passed)
		out.order = append(slices.DeleteFunc(out.order, func(k int) bool { return slices.Contains(passed, k) }), passed...)
	}
	return out
}

// fewest returns the fewest of the jobs that may end whose pieces suffice, the least urgent first; nil if they don't.
func fewest(queue []queued, of []int, need int) []int {
	may := slices.DeleteFunc(slices.Clone(of), func(k int) bool { return !queue[k].mayEnd })
	slices.SortStableFunc(may, func(a, b int) int {
		return cmp.Or(cmp.Compare(queue[b].priority, queue[a].priority), cmp.Compare(queue[b].pieces, queue[a].pieces), cmp.Compare(b, a))
	})
	sum := 0
	for n, k := range may {
		if sum += queue[k].pieces; sum >= need {
			// A job chosen earlier is spared if the others suffice without it.
			chosen := slices.Clone(may[:n+1])
			return slices.DeleteFunc(chosen, func(k int) bool {
				spare := sum-queue[k].pieces >= need
				if spare {
					sum -= queue[k].pieces
				}
				return spare
			})
		}
	}
	return nil
}

// makeRoom ends queued jobs for more urgent ones (see yield) and returns the others in the order in which to serve them.
func (s *Scheduler) makeRoom(now time.Time, list []*job, out *Actions) []*job {
	first, perSecond := s.capacity(now)
	if !s.yields() || perSecond == 0 || !mixed(list) {
		return list
	}
	var jobs, rest []*job
	var queue []queued
	for _, t := range list {
		if len(t.pending) == 0 || s.cannotBeInTime(now, t) {
			rest = append(rest, t)
			continue
		}
		jobs = append(jobs, t)
		queue = append(queue, queued{pieces: len(t.pending), due: t.Due.Sub(now), priority: t.Priority, mayEnd: t.Fresh && t.sent.IsZero()})
	}
	y := yield(queue, capacity{first: first, perSecond: perSecond, call: s.fullCall()})
	ordered := make([]*job, 0, len(list))
	for _, k := range y.order {
		ordered = append(ordered, jobs[k])
	}
	for k, to := range y.ended {
		s.end(now, jobs[k], Message{Failed: &Failed{ID: jobs[k].ID, Reason: Yielded, For: jobs[to].Request}}, out)
	}
	for _, to := range y.passed {
		if s.Overtaken != nil {
			s.Overtaken(len(y.passed), jobs[to].Request)
		}
		break
	}
	return append(ordered, rest...)
}

// mixed reports whether jobs differ in priority.
func mixed(list []*job) bool {
	return slices.ContainsFunc(list, func(t *job) bool { return t.Priority != list[0].Priority })
}

// recordUrgency records that a job of a priority was accepted. Priorities come from other boxes, so old ones are dropped.
func (s *Scheduler) recordUrgency(now time.Time, priority int) {
	maps.DeleteFunc(s.urgent, func(_ int, at time.Time) bool { return now.Sub(at) >= urgentFor })
	if _, known := s.urgent[priority]; known || len(s.urgent) < maxPriorities {
		s.urgent[priority] = now
	}
}

// keepsFree reports whether the last free server waits for more urgent work: some came within urgentFor, all that is
// queued is less urgent, has time to wait for a call to end, and does not fill a call.
func (s *Scheduler) keepsFree(now time.Time, queue []*job, patience time.Duration) bool {
	if !s.yields() {
		return false
	}
	pieces, most := 0, math.MaxInt
	for _, t := range queue {
		if t.ended || len(t.pending) == 0 {
			continue
		}
		if t.Due.Sub(now) < patience {
			return false
		}
		pieces += len(t.pending)
		most = min(most, t.Priority)
	}
	if pieces >= s.pool.Batch.Size {
		return false
	}
	for p, at := range s.urgent {
		if p < most && now.Sub(at) < urgentFor {
			return true
		}
	}
	return false
}

// yields reports whether queued jobs make room for more urgent ones.
func (s *Scheduler) yields() bool { return s.MayYield != nil && s.MayYield() }

// spareShare returns the share of an urgent job's spare time that patient pieces in its call may take, as its later stages
// need the rest: none while less than half a call's duration of work waits, so that the patient pieces have time.
func (s *Scheduler) spareShare(patience time.Duration) float64 {
	if patience < 5*s.fullCall()/2 {
		return 0
	}
	return backlogSpareShare
}
