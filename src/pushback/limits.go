package pushback

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// limit is the request rate that one incarnation of a server accepts from all boxes together.
type limit struct {
	incarnation int64
	sequence    uint64    // increases with each change that a box observes
	perSecond   float64   // last value given by the server
	since       time.Time // when this box first learned of a limit
	heardAt     time.Time // when this box last learned that it is in force
	endedAt     time.Time // when the server was found to give no limit any more; zero while it does
	changedAt   time.Time // when this box last learned of a change
	listedAt    time.Time // when the server was last listed

	permits []permit
	next    time.Time // no permit is available before, according to the server's coordinator
	used    int       // permits used since usedAt
	usedAt  time.Time // start of the current permitCountWindow
}

// permit is the right to send one request.
type permit struct {
	owner      string // request that it was granted to, "" for any
	from, till time.Time
}

// LimitNote reports a server's limit to other boxes. Of two notes on one incarnation the one with the higher sequence
// number wins; with equal sequence numbers the lower limit wins.
type LimitNote struct {
	Server    Server
	Sequence  uint64
	PerSecond float64
	Ended     bool
}

// appliesTo reports whether the limit is in force for a server's incarnation.
func (l limit) appliesTo(now time.Time, s Server) bool {
	if l.incarnation > 0 && s.Incarnation > l.incarnation {
		return false
	}
	return l.endedAt.IsZero() || now.Sub(l.endedAt) < limitRampPeriod
}

// rate returns the current rate. After the limit ends it increases in steps, so that held-back requests don't arrive all
// at once.
func (l limit) rate(now time.Time) float64 {
	if l.endedAt.IsZero() {
		return l.perSecond
	}
	return l.perSecond * math.Exp2(float64(now.Sub(l.endedAt)/limitRampStep))
}

// RecordLimit records the limit given in a response, 0 if it gives none. sent is when the request was sent: a response to a
// request sent before the limit was known may be older than the limit and doesn't end it. RecordLimit reports whether other
// boxes should be notified at once.
func (r *Register) RecordLimit(now, sent time.Time, s Server, perSecond float64) bool {
	l, known := r.limits[s.ID]
	if known && l.incarnation > 0 && s.Incarnation > l.incarnation {
		l, known = limit{}, false
	}
	switch {
	case perSecond == InvalidLimit, known && s.Incarnation < l.incarnation && s.Incarnation > 0:
		return false
	case perSecond == 0:
		if !known || !l.endedAt.IsZero() || !sent.After(l.heardAt) {
			return false
		}
		l.sequence, l.endedAt, l.changedAt, l.next = l.sequence+1, now, now, now
		r.limits[s.ID] = l
		return true
	}
	if !known && len(r.limits) >= maxEntries {
		return false
	}
	was := l
	if named := known && l.endedAt.IsZero(); !named || sent.After(l.heardAt) {
		l.perSecond = perSecond
	} else {
		l.perSecond = min(l.perSecond, perSecond)
	}
	l.incarnation, l.heardAt, l.endedAt = s.Incarnation, now, time.Time{}
	if !known || now.Sub(was.endedAt) >= limitRampPeriod && !was.endedAt.IsZero() {
		l.since, l.listedAt = now, now
	}
	if !known || !was.endedAt.IsZero() || l.perSecond != was.perSecond {
		l.sequence++
		l.changedAt, l.next = now, now
	}
	r.putLimit(s.ID, l)
	return !known || !was.endedAt.IsZero() || l.perSecond < urgentDecrease*was.perSecond
}

func (r *Register) putLimit(id string, l limit) {
	if r.limits == nil {
		r.limits = map[string]limit{}
	}
	r.limits[id] = l
}

// MergeNote records another box's note on a server's limit. It reports whether the note changed anything.
func (r *Register) MergeNote(now time.Time, n LimitNote) bool {
	l, known := r.limits[n.Server.ID]
	switch {
	case n.PerSecond < MinLimit || n.PerSecond > MaxLimit || n.Sequence == 0:
		return false // invalid
	case known && n.Server.Incarnation < l.incarnation, !known && len(r.limits) >= maxEntries:
		return false
	case known && n.Server.Incarnation == l.incarnation && n.Sequence < l.sequence:
		return false
	case known && n.Server.Incarnation == l.incarnation && n.Sequence == l.sequence:
		named := l.endedAt.IsZero()
		if n.Ended || named && n.PerSecond >= l.perSecond {
			return false
		}
	}
	if !known || n.Server.Incarnation != l.incarnation {
		l = limit{incarnation: n.Server.Incarnation, since: now, listedAt: now}
	}
	l.sequence, l.perSecond, l.heardAt, l.changedAt, l.next, l.endedAt = n.Sequence, n.PerSecond, now, now, now, time.Time{}
	if n.Ended {
		l.endedAt = now
	}
	r.putLimit(n.Server.ID, l)
	return true
}

// LimitNotes returns at most MaxNotes notes on servers' limits to send to other boxes: half of them the latest changes, the
// others in rotation, so that a box that missed a change receives it later.
func (r *Register) LimitNotes() []LimitNote {
	ids := slices.SortedFunc(maps.Keys(r.limits), func(a, b string) int {
		return cmp.Or(r.limits[b].changedAt.Compare(r.limits[a].changedAt), cmp.Compare(a, b))
	})
	out := make([]LimitNote, 0, min(len(ids), MaxNotes))
	newest := min(len(ids), MaxNotes/2)
	for _, id := range ids[:newest] {
		out = append(out, r.note(id))
	}
	rest := ids[newest:]
	for range min(len(rest), MaxNotes-newest) {
		r.rotation++
		out = append(out, r.note(rest[r.rotation%len(rest)]))
	}
	return out
}

func (r *Register) note(id string) LimitNote {
	l := r.limits[id]
	return LimitNote{Server: Server{ID: id, Incarnation: l.incarnation}, Sequence: l.sequence, PerSecond: l.perSecond, Ended: !l.endedAt.IsZero()}
}

// ActiveLimit is a limit that is in force at a server.
type ActiveLimit struct {
	LimitNote
	Rate  float64       // requests per second that all boxes together may send now
	Known time.Duration // time since this box first learned of the limit
	Wants int           // permits to request: those used recently plus one
}

// LimitOf returns the limit in force at a server, or false if there is none.
func (r *Register) LimitOf(now time.Time, s Server) (ActiveLimit, bool) {
	l, ok := r.limits[s.ID]
	if !ok || !l.appliesTo(now, s) {
		return ActiveLimit{}, false
	}
	out := ActiveLimit{LimitNote: r.note(s.ID), Rate: l.rate(now), Known: now.Sub(l.since), Wants: 1}
	if now.Sub(l.usedAt) < 2*permitCountWindow {
		out.Wants += l.used
	}
	return out, true
}

// AddPermits records permits granted by a server's coordinator. They are valid from begin after now, the first is reserved
// for owner, and the coordinator has further ones after next.
func (r *Register) AddPermits(now time.Time, id, owner string, permits int, begin, next time.Duration) {
	l, ok := r.limits[id]
	if !ok {
		return
	}
	from := now.Add(begin)
	for i := range permits {
		p := permit{from: from, till: from.Add(permitLifetime)}
		if i == 0 {
			p.owner = owner
		}
		l.permits = append(l.permits, p)
	}
	l.next = now.Add(next)
	r.limits[id] = l
}

// ReleasePermit makes the permit of a request that will not be sent available to any request.
func (r *Register) ReleasePermit(id, owner string) {
	for i, p := range r.limits[id].permits {
		if p.owner == owner {
			r.limits[id].permits[i].owner = ""
		}
	}
}

// HasPermit reports whether a request may be sent to a server without asking its coordinator for a permit.
func (r *Register) HasPermit(now time.Time, s Server, owner string) bool {
	l, ok := r.limits[s.ID]
	return !ok || !l.appliesTo(now, s) || slices.ContainsFunc(l.permits, func(p permit) bool { return p.open(now, owner) })
}

// open reports whether the permit can be used by a request now.
func (p permit) open(now time.Time, owner string) bool {
	return (p.owner == "" || p.owner == owner) && !now.Before(p.from) && now.Before(p.till)
}

// checkLimit reports whether a permit is available or can be requested now.
func (r *Register) checkLimit(now time.Time, s Server) Verdict {
	l, ok := r.limits[s.ID]
	if !ok || !l.appliesTo(now, s) || !now.Before(l.next) || r.HasPermit(now, s, "") {
		return Verdict{}
	}
	return Verdict{State: Full, Until: l.next}
}

// takePermit consumes a permit just before the first byte of a request is sent.
func (r *Register) takePermit(now time.Time, s Server, owner string) Verdict {
	l, ok := r.limits[s.ID]
	if !ok || !l.appliesTo(now, s) {
		return Verdict{}
	}
	l.permits = slices.DeleteFunc(l.permits, func(p permit) bool { return !now.Before(p.till) })
	best := -1
	for i, p := range l.permits {
		if p.open(now, owner) && (best < 0 || p.owner == owner && owner != "") {
			best = i
		}
	}
	v := Verdict{}
	if best < 0 {
		v = Verdict{State: Full, Until: later(l.next, now.Add(returnRecheckDelay))}
	} else {
		l.permits = slices.Delete(l.permits, best, best+1)
		if now.Sub(l.usedAt) >= permitCountWindow {
			l.used, l.usedAt = 0, now
		}
		l.used++
	}
	r.limits[s.ID] = l
	return v
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sweepLimits removes limits that have ended and those of servers that are no longer listed.
func (r *Register) sweepLimits(now time.Time, listed func(id string) bool) {
	for id, l := range r.limits {
		if listed(id) {
			l.listedAt = now
			r.limits[id] = l
		}
		if now.Sub(l.listedAt) > departureRetention || !l.endedAt.IsZero() && now.Sub(l.endedAt) > restRetention {
			delete(r.limits, id)
		}
	}
}

// ActiveLimits returns the limits in force, sorted by server id.
func (r *Register) ActiveLimits(now time.Time) []ActiveLimit {
	var out []ActiveLimit
	for id := range r.limits {
		if l, ok := r.LimitOf(now, Server{ID: id}); ok {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b ActiveLimit) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	return out
}
