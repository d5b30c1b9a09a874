package batch

import (
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// forgetIncarnation drops the state of the previous incarnation of a server that restarted or is listed again: its
// results, its running call and the handles to free. The lost pieces are requeued. before is nil if the server was
// not listed.
func (s *Scheduler) forgetIncarnation(now time.Time, v catalog.Server, before *serverState, out *Actions) {
	lost := false
	for handle, r := range s.handles {
		if r.server == v.ID && r.incarnation != v.Incarnation {
			delete(s.handles, handle)
			lost = true
		}
	}
	if before == nil && !lost {
		return
	}
	delete(s.toFree, v.ID)
	if before != nil && before.call != 0 {
		rc := s.calls[before.call]
		delete(s.calls, before.call)
		s.requeue(now, rc, nil, CallWithheld, out)
	}
	for _, t := range s.orderedJobs(now) {
		s.requeueLost(now, t, v.ID, out)
	}
}

// requeueLost requeues the pieces of a job whose results were lost with a server. If the inputs are already freed the
// job fails, since only the owner can have them produced again.
func (s *Scheduler) requeueLost(now time.Time, t *job, server string, out *Actions) {
	for i, place := range t.resultServers {
		if place != server || t.handles[i] == "" {
			continue
		}
		if t.read {
			s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Gone}}, out)
			return
		}
		t.handles[i], t.resultServers[i], t.resultDomains[i] = "", "", ""
		if t.inCalls[i] > 0 {
			t.running++ // its second run is running
		} else if !slices.Contains(t.pending, i) {
			t.pending = append(t.pending, i)
		}
	}
}
