package batch

import (
	"time"
)

// CallEnded processes the end of call n. With CallDone, results has one entry for each item.
func (s *Scheduler) CallEnded(now time.Time, n uint64, outcome CallOutcome, results []ItemResult) Actions {
	var out Actions
	rc := s.calls[n]
	if rc == nil {
		return out
	}
	delete(s.calls, n)
	v := s.servers[rc.server]
	if v != nil {
		if v.handedTo != "" {
			s.idle = append(s.idle, rc.server)
		}
		v.call, v.handedTo, v.overdue = 0, "", false
	}
	if outcome == CallDone && len(results) != len(rc.jobs) {
		outcome = CallBroken
	}
	if outcome == CallDone {
		s.takeResults(now, n, rc, v, results, &out)
	} else {
		s.requeue(now, rc, v, outcome, &out)
	}
	if v != nil && !v.listed {
		delete(s.servers, rc.server)
	}
	out.add(s.dispatch(now))
	return out
}

// fails reports whether the outcome counts as a failure of the call's jobs.
func (o CallOutcome) fails() bool { return o != CallFull && o != CallWithheld && o != CallUnreachable }

// requeue requeues the pieces of a call that produced nothing and pauses the server.
func (s *Scheduler) requeue(now time.Time, rc *runningCall, v *serverState, outcome CallOutcome, out *Actions) {
	if v != nil {
		v.used = max(0, v.used-rc.bytes)
		if !outcome.fails() && outcome != CallUnreachable {
			v.pausedUntil = now.Add(fullPause)
		} else {
			v.pausedUntil = now.Add(failurePause << min(v.failures, maxDoublings))
			v.failures++
		}
	}
	counted := map[*job]bool{}
	for i, t := range rc.jobs {
		if t.leave(rc.pieces[i]) {
			continue
		}
		if t.read {
			s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Gone}}, out)
			continue
		}
		t.pending = append(t.pending, rc.pieces[i])
		if outcome.fails() && !counted[t] {
			counted[t] = true
			t.failures++
		}
		if t.failures >= maxJobFailures {
			s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Errors}}, out)
		}
	}
}

// Resume ends the pause of a server that can be reached again.
func (s *Scheduler) Resume(now time.Time, id string) Actions {
	v := s.servers[id]
	if v == nil || v.call != 0 {
		return Actions{}
	}
	v.pausedUntil, v.failures = now, 0
	return s.dispatch(now)
}

// takeResults stores the handles of a completed call, handles its failed items and ends the jobs that are complete.
func (s *Scheduler) takeResults(now time.Time, n uint64, rc *runningCall, v *serverState, results []ItemResult, out *Actions) {
	s.learn(now, rc, v)
	refused := 0.0 // bytes of the smallest result that the server had no room for
	ended := OverdueEvent{Kind: SecondRunEnded, Call: n, Server: rc.server, Age: now.Sub(rc.began)}
	for i, r := range results {
		t := rc.jobs[i]
		other := t.leave(rc.pieces[i])
		if r.Handle != "" {
			ended.count(t, rc, i)
			s.handles[r.Handle] = held{server: rc.server, incarnation: rc.incarnation, bytes: t.ResultBytes, until: now.Add(s.pool.Batch.ResultTTL)}
			if t.ended || t.handles[rc.pieces[i]] != "" {
				s.queueFree(now, []string{r.Handle})
				continue
			}
			if other {
				t.running-- // the second run is running, and will be freed
			}
			t.handles[rc.pieces[i]], t.resultServers[rc.pieces[i]] = r.Handle, rc.server
			if v != nil {
				t.resultDomains[rc.pieces[i]] = v.Domain
			}
			continue
		}
		if v != nil {
			v.used = max(0, v.used-t.ResultBytes)
		}
		if r.Reason == ItemNoRoom && (refused == 0 || t.ResultBytes < refused) {
			refused = t.ResultBytes
		}
		if !other {
			s.itemFailed(now, t, rc.pieces[i], r.Reason, v, out)
		}
	}
	if v != nil && refused > 0 {
		s.recordNoRoom(now, v, refused)
	}
	s.second.ended(ended, out)
	for _, t := range rc.jobs {
		if !t.ended && t.running == 0 && len(t.pending) == 0 {
			s.end(now, t, Message{Done: &Done{ID: t.ID, Handles: t.handles, Servers: t.resultServers, Domain: mostFrequent(t.resultDomains)}}, out)
		}
	}
}

// itemFailed requeues a piece that the server did not produce, or fails its job.
func (s *Scheduler) itemFailed(now time.Time, t *job, piece int, why ItemReason, v *serverState, out *Actions) {
	switch why {
	case ItemLate:
		s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Late}}, out)
		return
	case ItemGone:
		s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Gone}}, out)
		return
	case ItemNoRoom: // doesn't count against the job; takeResults calls recordNoRoom
	default:
		t.failures++
	}
	if t.read { // its inputs were freed: only the owner can have them produced again
		s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Gone}}, out)
		return
	}
	t.pending = append(t.pending, piece)
	if t.failures >= maxJobFailures {
		s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Errors}}, out)
	}
}
