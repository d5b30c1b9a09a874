package batch

import (
	"time"
)

// HandOver gives up the jobs of a scheduler whose pool another box schedules now, those of which nothing
// is in a call, and tells the next scheduler, once, of the rest. This one goes on counting it: the next
// may not be there, and then its owners come back here.
func (s *Scheduler) HandOver(now time.Time, next string) (Handover, Actions) {
	h := Handover{Pool: s.pool.Name, Idle: s.idle}
	s.idle = nil
	var out Actions
	for _, t := range s.sorted(now) {
		if t.running == 0 && len(t.pending) == t.Pieces && !t.insisted {
			s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Moved, To: next}}, &out)
		}
	}
	for handle, r := range s.handles {
		if r.told == next {
			continue
		}
		r.told = next
		s.handles[handle] = r
		h.Held = append(h.Held, HeldResult{Server: r.server, Handle: handle, Bytes: r.bytes, Left: r.until.Sub(now)})
	}
	for id, v := range s.servers {
		if v.call != 0 && v.handed != next {
			v.handed = next
			h.Busy = append(h.Busy, BusyServer{Server: id, Left: max(0, v.until.Sub(now)), Bytes: s.calls[v.call].bytes})
		}
	}
	return h, out
}

// TakeOver takes what the scheduler before knew. What this one had handed over itself is forgotten: it
// has not heard since which of it was given up.
func (s *Scheduler) TakeOver(now time.Time, h Handover) {
	s.holds = time.Time{}
	for handle, r := range s.handles {
		if r.told != "" {
			s.forget(handle)
		}
	}
	s.Hold(now, h.Held)
	for _, b := range h.Busy {
		v := s.servers[b.Server]
		if v == nil || v.call != 0 {
			continue
		}
		v.pause = now.Add(2*b.Left + handoverSlack) // or until it is told that the call has ended
		v.used += b.Bytes                           // until the results themselves are told of
		s.handles[callAt(b.Server)] = held{server: b.Server, incarnation: v.Incarnation, bytes: b.Bytes, until: v.pause}
	}
	for _, id := range h.Idle {
		v := s.servers[id]
		r, ok := s.handles[callAt(id)]
		if v == nil || !ok {
			continue
		}
		delete(s.handles, callAt(id))
		v.used = max(0, v.used-r.bytes)
		v.pause = now
	}
}

// callAt stands for the results of a call that another scheduler has at work.
func callAt(server string) string { return "call at " + server }

// HoldUntil puts calls off: a scheduler that has just got a pool waits for the handover of the one
// before it.
func (s *Scheduler) HoldUntil(t time.Time) { s.holds = t }

// Empty says whether a handover would tell nothing.
func (h Handover) Empty() bool { return len(h.Held) == 0 && len(h.Busy) == 0 && len(h.Idle) == 0 }
