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
// giving up would take its calls' permits.
func (s *Scheduler) mayFree(now time.Time, v *serverState) bool {
	l := s.limitOf(v)
	return l == 0 || now.Sub(v.freedAt) >= max(limitedFrees, time.Duration(limitedFreePart/l*float64(time.Second)))
}

// endCrowded ends the jobs that can't be done any more where all servers limit their requests, so that what the pool can do is known:
// those that are too far back for their deadlines, and those that can't be in time while others that can still wait. Their callers
// hear it at once and not at their deadlines.
func (s *Scheduler) endCrowded(now time.Time, out *Actions) {
	perSecond := s.mostPerSecond()
	if perSecond == 0 {
		return
	}
	ahead, timely := 0, 0
	for _, t := range s.sorted(now) {
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

// mostPerSecond is how many pieces a second all servers take together, 0 where one of them names no limit.
func (s *Scheduler) mostPerSecond() float64 {
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
