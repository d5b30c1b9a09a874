package batch

import "time"

// restLeft is for how long a server still wants no calls, by its own word. A guess of ours in its place sent 172 of 172 rests
// more calls than the server would have (TestAServerThatAsksForRestHasIt of the gateway).
func (s *Scheduler) restLeft(now time.Time, v *serverState) time.Duration {
	if s.RestsUntil == nil {
		return 0
	}
	return max(0, s.RestsUntil(&v.Server).Sub(now))
}

// leastRest is when the first listed server may get a call if all of them rest; false when one does not.
func (s *Scheduler) leastRest(now time.Time) (time.Duration, bool) {
	least, any := time.Duration(0), false
	for _, v := range s.servers {
		if !v.listed {
			continue
		}
		left := s.restLeft(now, v)
		if left == 0 {
			return 0, false
		}
		if !any || left < least {
			least, any = left, true
		}
	}
	return least, any
}

// endResting ends the jobs that can't be done before their deadlines since all servers rest: their callers hear it at once.
func (s *Scheduler) endResting(now time.Time, out *Actions) {
	least, all := s.leastRest(now)
	if !all {
		return
	}
	for _, t := range s.sorted(now) {
		if t.running == 0 && now.Add(least+s.pool.Batch.CallTime).After(t.Deadline) {
			s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Late}}, out)
		}
	}
}

// limitOf is the requests a second that a server takes, 0 where it names no limit.
func (s *Scheduler) limitOf(v *serverState) float64 {
	if s.LimitOf == nil {
		return 0
	}
	return s.LimitOf(&v.Server)
}

// mayFree says whether results may be given up at a server now. One that limits its requests is told of many together, or the
// giving up would take its calls' places.
func (s *Scheduler) mayFree(now time.Time, v *serverState) bool {
	l := s.limitOf(v)
	return l == 0 || now.Sub(v.freedAt) >= max(limitedFrees, time.Duration(limitedFreePart/l*float64(time.Second)))
}
