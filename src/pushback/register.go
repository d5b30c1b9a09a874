package pushback

import (
	"slices"
	"strings"
	"time"
)

// State is what a server's own words leave open for it.
type State uint8

// The states.
const (
	Open      State = iota // it may get requests
	Leaving                // it gets no new work any more
	Resting                // it wants nothing until a time
	Returning              // its rest is over, and as many requests try it as may do so at once
	Full                   // no permit is left of the requests a second that it takes from all boxes together
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

// Verdict says whether a server may get a request. Until is when one that rests may be asked, when one that returns is to be
// judged again, and when the next permit of one that is full is free.
type Verdict struct {
	State State
	Until time.Time
}

// Open says whether the server may get a request.
func (v Verdict) Open() bool { return v.State == Open }

// Register holds what servers said of themselves to one box. It is the only place that decides by it: the choice of a server asks
// Judge, and the sender asks Begin just before the first byte.
//
// Idea. A server's own word is stronger than any list of it. It is kept apart from the lists, so that none of them replaces it: no
// entry that is written again, no whole read after an outage, no list of another box. That a server leaves holds for the life
// that said it, at all boxes; its rest holds between it and this box alone, whichever life asked. Its limit of requests a second holds
// for the life that named it and for all boxes together: a request needs a permit, which the coordinator of the server grants
// (package quota).
//
// Pure: time comes in, on a clock that counts a machine's sleep. Not safe for concurrent use.
type Register struct {
	left   map[string]departure
	rests  map[string]rest
	limits map[string]limit
	told   int // of limits, in turn
}

// departure is a life that said that it leaves.
type departure struct {
	incarnation int64
	listedAt    time.Time // when its server was last listed
}

// rest is the rest that a server asked for and, after its end, its return: one request tries it first, and with each answer twice
// as many may follow at once.
type rest struct {
	until  time.Time
	window int       // requests that may go there at once
	begun  int       // of them, since round
	round  time.Time // when the last answer came, or the first of them went
}

// free says whether one more request may go there after the rest.
func (p rest) free(now time.Time) bool {
	return p.begun < p.window || now.Sub(p.round) >= trialFor
}

// HearLeaving takes that a life leaves, from itself or by way of another box. It says whether that is news.
func (r *Register) HearLeaving(now time.Time, s Server) bool {
	d, known := r.left[s.ID]
	if known && d.incarnation == 0 {
		r.left[s.ID] = departure{incarnation: s.Incarnation, listedAt: d.listedAt}
	}
	if known && !d.before(s) || !known && len(r.left) >= lifeMost {
		return false
	}
	if r.left == nil {
		r.left = map[string]departure{}
	}
	r.left[s.ID] = departure{incarnation: s.Incarnation, listedAt: now}
	return true
}

// before says whether a server's life began after the one that left. Lives of which one does not say when it began are taken
// for the same: a server that is passed over costs less than requests to one that leaves.
func (d departure) before(s Server) bool {
	return d.incarnation > 0 && s.Incarnation > d.incarnation
}

// HearRest takes for how long a server wants nothing from this box, from now on. The latest end counts, so that an answer which
// was overtaken shortens nothing. It gives the end and whether it is later than what was known.
func (r *Register) HearRest(now time.Time, id string, length time.Duration) (until time.Time, later bool) {
	until = now.Add(min(length, mostRest))
	known, ok := r.rests[id]
	if ok && !until.After(known.until) {
		return known.until, false
	}
	if !ok && len(r.rests) >= lifeMost {
		return until, false
	}
	if r.rests == nil {
		r.rests = map[string]rest{}
	}
	r.rests[id] = rest{until: until, window: 1}
	return until, true
}

// Answered takes that a server answered without asking for rest: one that returns may get twice as many requests at once.
func (r *Register) Answered(now time.Time, id string) {
	p, ok := r.rests[id]
	if !ok || now.Before(p.until) {
		return
	}
	p.window, p.begun, p.round = 2*p.window, 0, now
	if p.window > returnMost {
		delete(r.rests, id)
		return
	}
	r.rests[id] = p
}

// Judge says whether a server may get a request now.
func (r *Register) Judge(now time.Time, s Server) Verdict {
	if d, ok := r.left[s.ID]; ok && !d.before(s) {
		return Verdict{State: Leaving}
	}
	p, ok := r.rests[s.ID]
	switch {
	case !ok:
		return r.judgeLimit(now, s)
	case now.Before(p.until):
		return Verdict{State: Resting, Until: p.until}
	case !p.free(now):
		return Verdict{State: Returning, Until: now.Add(answerSoon)}
	}
	return r.judgeLimit(now, s)
}

// Begin judges a server just before the first byte of a request goes there, and counts the request where it may go. owner names the
// request for which a permit was asked.
func (r *Register) Begin(now time.Time, s Server, owner string) Verdict {
	v := r.Judge(now, s)
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

// Remembers says whether a server asked for rest and has not returned from it whole.
func (r *Register) Remembers(id string) bool {
	_, ok := r.rests[id]
	return ok
}

// Departed lists lives that leave and are still listed as if they took work, which other boxes should be told, at most NotesMost.
func (r *Register) Departed(works func(id string) bool) []Server {
	var out []Server
	for id, d := range r.left {
		if works(id) {
			out = append(out, Server{ID: id, Incarnation: d.incarnation})
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return out[:min(len(out), NotesMost)]
}

// Sweep forgets what is over: rests, limits, and words of servers that have not been listed for a while.
func (r *Register) Sweep(now time.Time, listed func(id string) bool) {
	for id, p := range r.rests {
		if now.Sub(p.until) > restKept {
			delete(r.rests, id)
		}
	}
	r.sweepLimits(now, listed)
	for id, d := range r.left {
		switch {
		case listed(id):
			d.listedAt = now
			r.left[id] = d
		case now.Sub(d.listedAt) > departureKept:
			delete(r.left, id)
		}
	}
}

// Empty says whether nothing is known.
func (r *Register) Empty() bool { return len(r.left) == 0 && len(r.rests) == 0 && len(r.limits) == 0 }
