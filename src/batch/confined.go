package batch

import "time"

// endNowhere ends the jobs whose pieces may be made at no server that there is: their callers hear it at once.
func (s *Scheduler) endNowhere(now time.Time, out *Actions) {
	for _, t := range s.jobs {
		if t.Within != nil && t.running == 0 && !s.standsWithin(t) {
			s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Nowhere}}, out)
		}
	}
}

// standsWithin says whether some server of the pool stands where a job's pieces may be made.
func (s *Scheduler) standsWithin(t *job) bool {
	for _, v := range s.servers {
		if v.listed && t.Within.Allow(v.Domain) {
			return true
		}
	}
	return false
}
