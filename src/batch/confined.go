package batch

import "time"

// endUnplaceable fails the jobs that no listed server is allowed to run, instead of letting them wait for their deadlines.
func (s *Scheduler) endUnplaceable(now time.Time, out *Actions) {
	for _, t := range s.jobs {
		if t.Within != nil && t.running == 0 && !s.hasAllowedServer(t) {
			s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Nowhere}}, out)
		}
	}
}

// hasAllowedServer reports whether a listed server is in a failure domain that the job is confined to.
func (s *Scheduler) hasAllowedServer(t *job) bool {
	for _, v := range s.servers {
		if v.listed && t.Within.Allow(v.Domain) {
			return true
		}
	}
	return false
}
