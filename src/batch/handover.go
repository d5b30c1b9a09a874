package batch

import (
	"time"
)

// HandOver ends the jobs that have no piece in a call, since box next schedules the pool now, and returns the results
// and running calls that next has not been notified of yet. This scheduler keeps accounting for them: if next is
// unreachable, the owners come back here.
func (s *Scheduler) HandOver(now time.Time, next string) (Handover, Actions) {
	h := Handover{Pool: s.pool.Name, Idle: s.idle, Ratios: s.ratiosToHandOver()}
	s.second.handedOver = true
	s.idle = nil
	var out Actions
	for _, t := range s.orderedJobs(now) {
		if t.running == 0 && len(t.pending) == t.Pieces && !t.resubmitted {
			s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Moved, To: next}}, &out)
		}
	}
	for handle, r := range s.handles {
		if r.handedTo == next {
			continue
		}
		r.handedTo = next
		s.handles[handle] = r
		h.Held = append(h.Held, HeldResult{Server: r.server, Handle: handle, Bytes: r.bytes, Left: r.until.Sub(now)})
	}
	for id, v := range s.servers {
		if v.call != 0 && v.handedTo != next {
			v.handedTo = next
			rc := s.calls[v.call]
			left := v.expectedEnd.Sub(now)
			if v.overdue {
				left = rc.began.Add(rc.timeout).Sub(now) / 2
			}
			h.Busy = append(h.Busy, BusyServer{Server: id, Left: max(0, left), Bytes: rc.bytes, Overdue: v.overdue})
		}
	}
	return h, out
}

// TakeOver applies the state of the previous scheduler. Results that this scheduler had handed over itself are
// dropped first, since it doesn't know which of them have been freed.
func (s *Scheduler) TakeOver(now time.Time, h Handover) {
	s.holdUntil, s.second.handedOver = time.Time{}, false
	s.takeRatios(h.Ratios)
	for handle, r := range s.handles {
		if r.handedTo != "" {
			s.forget(handle)
		}
	}
	s.AddHeld(now, h.Held)
	for _, b := range h.Busy {
		v := s.servers[b.Server]
		if v == nil || v.call != 0 {
			continue
		}
		v.pausedUntil = now.Add(2*b.Left + handoverSlack) // or until the call is reported as ended
		v.used += b.Bytes                                 // until the results themselves are reported
		if b.Overdue {
			v.failures = max(1, v.failures) // not healthy until a call succeeds there
		}
		s.handles[placeholderHandle(b.Server)] = held{server: b.Server, incarnation: v.Incarnation, bytes: b.Bytes, until: v.pausedUntil}
	}
	for _, id := range h.Idle {
		v := s.servers[id]
		r, ok := s.handles[placeholderHandle(id)]
		if v == nil || !ok {
			continue
		}
		delete(s.handles, placeholderHandle(id))
		v.used = max(0, v.used-r.bytes)
		v.pausedUntil = now
	}
}

// placeholderHandle returns the placeholder handle for the results of another scheduler's running call at a server.
func placeholderHandle(server string) string { return "call at " + server }

// HoldUntil forms no calls before t, so that a new scheduler of a pool can wait for the handover of the previous one.
func (s *Scheduler) HoldUntil(t time.Time) { s.holdUntil = t }

// Empty reports whether the handover contains nothing that the next scheduler must account for.
func (h Handover) Empty() bool {
	return len(h.Held) == 0 && len(h.Busy) == 0 && len(h.Idle) == 0
}
