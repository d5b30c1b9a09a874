package batch

import (
	"slices"
	"sort"
	"time"

	"github.com/stilemast/stilemast/src/crasher"
	"github.com/stilemast/stilemast/src/overdue"
)

// orderedJobs returns the jobs in the order in which to serve them: those that can still be in time by due time, then
// the others by deadline.
func (s *Scheduler) orderedJobs(now time.Time) []*job {
	list := make([]*job, 0, len(s.jobs))
	for _, t := range s.jobs {
		list = append(list, t)
	}
	tooLate := func(t *job) bool { return s.cannotBeInTime(now, t) }
	rank := func(t *job) time.Time {
		if tooLate(t) {
			return t.Deadline
		}
		return EffectiveDue(t.Due, t.Priority)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if ha, hb := tooLate(a), tooLate(b); ha != hb {
			return hb
		}
		if ra, rb := rank(a), rank(b); !ra.Equal(rb) {
			return ra.Before(rb)
		}
		return a.ID.N < b.ID.N || a.ID.N == b.ID.N && a.ID.Box < b.ID.Box
	})
	return list
}

// freeServers returns the servers that can take a call now, the best first.
func (s *Scheduler) freeServers(now time.Time) []*serverState {
	var out []*serverState
	for _, v := range s.servers {
		if v.listed && v.call == 0 && !now.Before(v.pausedUntil) && s.restRemaining(now, v) == 0 {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if slowA, slowB := a.ratio > slowRatio, b.ratio > slowRatio; slowA != slowB {
			return slowB
		}
		if a.used != b.used {
			return a.used < b.used
		}
		return a.ID < b.ID
	})
	return out
}

// dispatch forms a call for every free server that has matching work.
func (s *Scheduler) dispatch(now time.Time) Actions {
	var out Actions
	if s.pool.Batch == nil {
		return out
	}
	s.findOverdue(now, &out)
	if len(s.jobs) == 0 || now.Before(s.holdUntil) {
		return out
	}
	s.endBarred(now, &out)
	s.endUnplaceable(now, &out)
	s.endResting(now, &out)
	s.endOverLimit(now, &out)
	free := s.freeServers(now)
	if len(free) == 0 {
		return out
	}
	queue, patience := s.makeRoom(now, s.orderedJobs(now), &out), s.patience(now)
	for len(free) > 0 {
		if len(free) == 1 && s.keepsFree(now, queue, patience) {
			break
		}
		at := s.nextServer(now, free, queue)
		v := free[at]
		free = slices.Delete(free, at, at+1)
		if v.ratio > slowRatio && !s.useSlowServer(now, v) {
			continue
		}
		if c, ok := s.form(now, v, queue, patience, &out); ok {
			out.Calls = append(out.Calls, c)
		}
	}
	return out
}

// useSlowServer reports whether a slow server should get a call: if more work is queued than the other servers can take
// soon, and once per slowProbe to measure its speed again.
func (s *Scheduler) useSlowServer(now time.Time, v *serverState) bool {
	sound, pending := s.healthyServers(now), 0
	for _, t := range s.jobs {
		pending += len(t.pending)
	}
	if sound == 0 {
		return true
	}
	if now.Sub(v.probed) > slowProbe {
		v.probed = now
		return true
	}
	return pending > int(v.ratio)*sound*s.pool.Batch.Size
}

// form builds a call for a server from the most urgent pieces that fit. Jobs due later than patience from now may be
// left out (see piecesInTime).
func (s *Scheduler) form(now time.Time, v *serverState, queue []*job, patience time.Duration, out *Actions) (Call, bool) {
	limit := s.pool.Batch.Size
	room := s.room(now, v)
	c := Call{Server: v.Server}
	rc := &runningCall{server: v.ID, incarnation: v.Incarnation, began: now, expected: s.pool.Batch.CallTime, ratio: v.ratio}
	for _, t := range queue {
		if t.ended || len(c.Items) >= limit {
			continue
		}
		s.runAgain(now, t, overdue.InTime, v, rc, &c, room)
		if len(t.pending) == 0 || len(c.Items) >= limit {
			continue
		}
		if !t.Within.Allow(v.Domain) || !s.fitsDomain(now, t, v) || !s.fitsCall(t, rc) {
			continue
		}
		n := min(len(t.pending), limit-len(c.Items), s.piecesInTime(now, t, rc, v, patience))
		if t.ResultBytes > 0 {
			n = min(n, int((room-rc.bytes)/t.ResultBytes))
		}
		if n <= 0 || n < len(t.pending) && now.Sub(t.since) < splitAfter && len(t.pending) <= limit && s.fitsOneServer(t) {
			continue
		}
		for _, piece := range t.pending[:n] {
			s.addItem(now, t, piece, 0, rc, &c)
		}
		s.countFirstRuns(now, n)
		if rc.due.IsZero() && !s.cannotBeInTime(now, t) || t.Due.Before(rc.due) {
			rc.due = t.Due
		}
		rc.alone = rc.alone || s.verdict(t).Ends >= crasher.IsolationThreshold
		t.pending = t.pending[n:]
		t.running += n
		t.sent = now
		t.roomUncertain = t.roomUncertain || s.roomUncertain(now, v)
	}
	for _, t := range queue {
		s.runAgain(now, t, overdue.Sooner, v, rc, &c, room)
	}
	if len(c.Items) == 0 {
		return c, false
	}
	s.next++
	c.N = s.next
	if s.mayFree(now, v) {
		c.Free = s.toFree[v.ID]
		delete(s.toFree, v.ID)
		v.freedAt = now
	}
	expected := time.Duration(float64(rc.expected) * max(1, v.ratio))
	c.Timeout = time.Duration(float64(expected)*timeoutFactor) + timeoutFloor
	rc.timeout = c.Timeout
	v.call, v.expectedEnd = c.N, now.Add(expected)
	v.used += rc.bytes
	s.calls[c.N] = rc
	s.noteSecondRuns(now, rc, &c, out)
	return c, true
}

// addItem adds a piece to a call that is being formed. first is the number of the call that runs the piece already, 0 for
// none.
func (s *Scheduler) addItem(now time.Time, t *job, piece int, first uint64, rc *runningCall, c *Call) {
	c.Items = append(c.Items, Item{Request: t.Request, Content: t.Content, Stage: t.Stage, Piece: piece, Remaining: t.Deadline.Sub(now), Key: t.Key, Inputs: t.Inputs})
	rc.jobs, rc.pieces, rc.firsts = append(rc.jobs, t), append(rc.pieces, piece), append(rc.firsts, first)
	rc.expected += s.pieceTime(t.Class)
	rc.bytes += t.ResultBytes
	t.inCalls[piece]++
}

// piecesInTime returns how many pieces of a job may be added to a call without making the most urgent job in it late, since
// that job may have further stages to run. It limits only jobs that can wait for everything queued and for a call
// after that: a pool that falls behind needs full calls to catch up.
func (s *Scheduler) piecesInTime(now time.Time, t *job, rc *runningCall, v *serverState, patience time.Duration) int {
	if s.limitOf(v) > 0 { // full calls make the most of a rate limit
		return len(t.pending)
	}
	if n, limited := s.piecesForSlow(now, t, rc, v, patience); limited {
		return n
	}
	left := t.Due.Sub(now)
	if rc.due.IsZero() || left < patience {
		return len(t.pending)
	}
	n := s.piecesBy(now, t, rc, v.ratio, rc.due)
	if s.yields() {
		n = int(s.spareShare(patience) * float64(n)) // the later stages of the most urgent job need some of its spare time
	}
	return n
}

// piecesBy returns how many pieces of a job may be added to a call that is to end at a given time, at a server of the given
// ratio.
func (s *Scheduler) piecesBy(now time.Time, t *job, rc *runningCall, ratio float64, end time.Time) int {
	slow := max(1, ratio)
	spare := end.Sub(now) - time.Duration(slow*float64(rc.expected))
	return max(0, int(float64(spare)/(slow*float64(s.pieceTime(t.Class)))))
}

// patience returns the time until due from which a job can wait for all others and for its own call.
func (s *Scheduler) patience(now time.Time) time.Duration { return s.Waits(now).All + 2*s.fullCall() }

// fitsOneServer reports whether the results of a job's pending pieces fit in an empty server's result memory.
func (s *Scheduler) fitsOneServer(t *job) bool {
	return float64(len(t.pending))*t.ResultBytes <= s.pool.Batch.RoomBytes*usableRoomFraction
}

// fitsDomain reports whether a server may take a job given where its inputs are. A job waits for a limited time for
// the domain of its inputs, provided a healthy server is there.
func (s *Scheduler) fitsDomain(now time.Time, t *job, v *serverState) bool {
	wait := leaveDomainAfter
	if t.Due.Sub(now) > s.pool.Batch.CallTime+leaveDomainSlack {
		wait = leaveDomainAfterSlack
	}
	if t.InputDomain == "" || t.InputDomain == v.Domain || t.CrossBytes < smallCrossBytes || now.Sub(t.since) >= wait {
		return true
	}
	for _, o := range s.servers {
		if o.healthy() && o.Domain == t.InputDomain && t.Within.Allow(o.Domain) && s.restRemaining(now, o) == 0 {
			return false
		}
	}
	return true
}

// healthyServers counts the healthy servers that accept calls now.
func (s *Scheduler) healthyServers(now time.Time) int {
	n := 0
	for _, v := range s.servers {
		if v.healthy() && s.restRemaining(now, v) == 0 {
			n++
		}
	}
	return n
}

// healthy reports whether a server is listed, has no recent failure, is not slow and has no overdue call.
func (v *serverState) healthy() bool {
	return v.listed && v.failures == 0 && v.ratio <= slowRatio && !v.overdue
}

// cannotBeInTime reports whether a job that isn't running can no longer be in time.
func (s *Scheduler) cannotBeInTime(now time.Time, t *job) bool {
	b := s.pool.Batch
	call := b.CallTime + time.Duration(minCallFill*float64(b.Size))*b.ItemTime
	return t.running == 0 && now.Add(call).After(t.Due)
}

// mostFrequent returns the most frequent string, the lexically first one on a tie.
func mostFrequent(words []string) string {
	count := map[string]int{}
	best := ""
	for _, w := range words {
		count[w]++
		if n := count[w]; n > count[best] || n == count[best] && w < best {
			best = w
		}
	}
	return best
}
