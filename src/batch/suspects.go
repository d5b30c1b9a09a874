package batch

import (
	"time"

	"github.com/stilemast/stilemast/src/crasher"
)

// A server that ends takes with it all that is in its call, and the guilty content among them comes again. So contents under
// which a server has ended are kept out of the calls of others: the next end speaks against few, a good call clears them.

// judge says what speaks against a job's content.
func (s *Scheduler) judge(t *job) crasher.Verdict {
	if s.Judge == nil {
		return crasher.Verdict{}
	}
	return s.Judge(t.Content)
}

// fitsCall says whether a job may be in a call with the jobs that are in it so far.
func (s *Scheduler) fitsCall(t *job, rc *runningCall) bool {
	ends := s.judge(t).Ends
	if ends >= crasher.AloneFrom && s.atWork(t.Content) {
		return false
	}
	if len(rc.jobs) == 0 {
		return true
	}
	if rc.suspects == 0 || ends == 0 {
		return rc.suspects == ends
	}
	return rc.jobs[0].Content == t.Content || max(ends, rc.suspects) < crasher.AloneFrom && rc.contents() < suspectsPerCall
}

// atWork says whether a content is in a call now.
func (s *Scheduler) atWork(k crasher.Key) bool {
	for _, rc := range s.calls {
		for _, t := range rc.jobs {
			if t.Content == k {
				return true
			}
		}
	}
	return false
}

// contents counts the contents in a call.
func (rc *runningCall) contents() int {
	seen := map[crasher.Key]bool{}
	for _, t := range rc.jobs {
		seen[t.Content] = true
	}
	return len(seen)
}

// endBarred ends the jobs whose content is not to be sent any more.
func (s *Scheduler) endBarred(now time.Time, out *Actions) {
	for _, t := range s.jobs {
		if s.judge(t).Barred {
			s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Barred}}, out)
		}
	}
}
