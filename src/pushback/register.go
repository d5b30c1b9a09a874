package pushback

import (
	"slices"
	"strings"
	"time"
)

// State says whether requests may be sent to a server, according to its own responses.
type State uint8

// States of a server.
const (
	Open      State = iota // requests may be sent
	Leaving                // the server takes no new work
	Resting                // the server has asked for no requests until a certain time
	Returning              // its rest is over, and as many requests as currently allowed are trying it
	Full                   // no permit is available within its request limit
)

// String names the state for logs.
func (s State) String() string {
	switch s {
	case Leaving:
		return "leaving"
	case Resting:
		return "resting"
	case Returning:
		return "returning"
	case Full:
		return "full"
	}
	return "open"
}

// Verdict says whether a request may be sent to a server. Until is the end of the rest of a Resting server, the time at
// which to check a Returning one again, and the time of the next permit of a Full one.
type Verdict struct {
	State State
	Until time.Time
}

// Open reports whether a request may be sent to the server.
func (v Verdict) Open() bool { return v.State == Open }

// Register records what servers have announced about themselves to one box, and decides by it: Check is used when a server
// is chosen, and Begin just before the first byte of a request is sent.
//
// A server's own statements take precedence over any list of servers. They are stored separately, so that a rewritten
// entry, a full read after an outage or a list from another box doesn't replace them. A departure applies to the
// incarnation that announced it, at all boxes. A rest, the time for which a server asks
// for no requests in a response, applies to this box only, for any incarnation. A request limit
// applies to the incarnation that set it and to all boxes together: each request needs a permit from the server's
// coordinator (package quota).
//
// The register does no I/O. Times passed to it must come from a clock that advances while the machine is suspended. It is
// not safe for concurrent use.
type Register struct {
	departures map[string]departure // by server id, as are the others
	rests      map[string]rest
	limits     map[string]limit
	rotation   int // position in the rotation of LimitNotes
}

// departure is an incarnation that announced that it takes no new work.
type departure struct {
	incarnation int64
	listedAt    time.Time // when its server was last listed
}

// rest is the time for which a server asked for no requests, and the gradual increase after it: one request tries the
// server first, and each response doubles the number of requests allowed at once.
type rest struct {
	until  time.Time // end of the rest
	window int       // requests allowed at once after the rest
	begun  int       // requests begun since round
	round  time.Time // time of the last response, or of the first request begun
}

// mayTry reports whether another request may be sent after the rest.
func (p rest) mayTry(now time.Time) bool {
	return p.begun < p.window || now.Sub(p.round) >= trialTimeout
}

// RecordLeaving records that a server's incarnation takes no new work, as announced by itself or reported by another
// box. It reports whether that is new.
func (r *Register) RecordLeaving(now time.Time, s Server) bool {
	d, known := r.departures[s.ID]
	if known && d.incarnation == 0 {
		r.departures[s.ID] = departure{incarnation: s.Incarnation, listedAt: d.listedAt}
	}
	if known && !d.earlierThan(s) || !known && len(r.departures) >= maxEntries {
		return false
	}
	if r.departures == nil {
		r.departures = map[string]departure{}
	}
	r.departures[s.ID] = departure{incarnation: s.Incarnation, listedAt: now}
	return true
}

// earlierThan reports whether the departed incarnation is earlier than that of s. If either is unknown (0) they count as
// the same: skipping a server costs less than sending requests to one that is leaving.
func (d departure) earlierThan(s Server) bool {
	return d.incarnation > 0 && s.Incarnation > d.incarnation
}

// RecordRest records that a server wants no requests from this box for the given time. The latest end counts, so a delayed
// response doesn't shorten a rest. It returns the end and whether it is later than the one known before.
func (r *Register) RecordRest(now time.Time, id string, length time.Duration) (until time.Time, later bool) {
	until = now.Add(min(length, maxRest))
	known, ok := r.rests[id]
	if ok && !until.After(known.until) {
		return known.until, false
	}
	if !ok && len(r.rests) >= maxEntries {
		return until, false
	}
	if r.rests == nil {
		r.rests = map[string]rest{}
	}
	r.rests[id] = rest{until: until, window: 1}
	return until, true
}

// RecordResponse records a response that asked for no rest. It doubles the number of concurrent requests allowed at a
// returning server.
func (r *Register) RecordResponse(now time.Time, id string) {
	p, ok := r.rests[id]
	if !ok || now.Before(p.until) {
		return
	}
	p.window, p.begun, p.round = 2*p.window, 0, now
	if p.window > maxReturnWindow {
		delete(r.rests, id)
		return
	}
	r.rests[id] = p
}

// Check returns whether a request may be sent to a server now.
func (r *Register) Check(now time.Time, s Server) Verdict {
	if d, ok := r.departures[s.ID]; ok && !d.earlierThan(s) {
		return Verdict{State: Leaving}
	}
	p, ok := r.rests[s.ID]
	switch {
	case !ok:
		return r.checkLimit(now, s)
	case now.Before(p.until):
		return Verdict{State: Resting, Until: p.until}
	case !p.mayTry(now):
		return Verdict{State: Returning, Until: now.Add(returnRecheckDelay)}
	}
	return r.checkLimit(now, s)
}

// Begin is Check for the moment before the first byte of a request is sent. If the request may be sent it consumes a
// permit and counts the request. owner identifies the request for which a permit was reserved.
func (r *Register) Begin(now time.Time, s Server, owner string) Verdict {
	v := r.Check(now, s)
	if v.Open() || v.State == Full {
		v = r.takePermit(now, s, owner)
	}
	if p, ok := r.rests[s.ID]; ok && v.Open() {
		if p.begun >= p.window {
			p.begun = 0
		}
		if p.begun == 0 {
			p.round = now
		}
		p.begun++
		r.rests[s.ID] = p
	}
	return v
}

// HasRest reports whether a server has asked for a rest and is not back to unlimited requests yet.
func (r *Register) HasRest(id string) bool {
	_, ok := r.rests[id]
	return ok
}

// LeavingServers returns at most MaxNotes leaving incarnations that are still listed as taking work, to report to other
// boxes.
func (r *Register) LeavingServers(works func(id string) bool) []Server {
	var out []Server
	for id, d := range r.departures {
		if works(id) {
			out = append(out, Server{ID: id, Incarnation: d.incarnation})
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return out[:min(len(out), MaxNotes)]
}

// Sweep removes expired rests and limits, and departures of servers that are no longer listed.
func (r *Register) Sweep(now time.Time, listed func(id string) bool) {
	for id, p := range r.rests {
		if now.Sub(p.until) > restRetention {
			delete(r.rests, id)
		}
	}
	r.sweepLimits(now, listed)
	for id, d := range r.departures {
		switch {
		case listed(id):
			d.listedAt = now
			r.departures[id] = d
		case now.Sub(d.listedAt) > departureRetention:
			delete(r.departures, id)
		}
	}
}

// Empty reports whether the register holds nothing.
func (r *Register) Empty() bool {
	return len(r.departures) == 0 && len(r.rests) == 0 && len(r.limits) == 0
}
