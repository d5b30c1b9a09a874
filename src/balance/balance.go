// Package balance picks the backend server of a request: by the work that all boxes have there, by
// what it keeps of the request's prompt, by where it lies, and by how it answered lately.
package balance

import (
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// Wish describes a request to be placed.
type Wish struct {
	Parts       []Part          // of the prompt, in order; the last is its own
	Domain      string          // where its inputs lie, "" for none
	InputBytes  float64         // size of the inputs
	Exclude     map[string]bool // servers tried already
	LeastLoaded bool            // the server with the fewest requests; prompts and places come second
	Makers      map[string]int  // servers by domain that make its large inputs; nil when it has none

	Within *catalog.Confines // where it may run; nil for anywhere

	Only      string // the one server where a permit is reserved for it, "" for none
	Unlimited bool   // servers that limit their requests come last
}

// barred says whether a request may not be given to a server, whatever its load.
func (w *Wish) barred(v *server) bool {
	return w.Exclude[v.ID] || !w.Within.Allow(v.Domain) || w.Only != "" && w.Only != v.ID
}

// Tokens counts the prompt's tokens.
func (w *Wish) Tokens() int {
	n := 0
	for _, p := range w.Parts {
		n += p.Tokens
	}
	return n
}

// Load is what one box has at a server.
type Load struct {
	Requests int
	Tokens   int // of prompts that are still to be read
}

// Note is another box's word on its load at a server, which is named by the hash of its id.
type Note struct {
	Server uint64
	Load   Load
	Rests  bool // the server failed there
}

// word is what one box told of this pool, and when.
type word struct {
	at    time.Time
	notes []Note
}

type server struct {
	*catalog.Server        // shared with the list, must not be changed
	hash            uint64 // of the id
	own             Load
	peers           Load    // what other boxes told of lately, together
	broken          int     // broken exchanges in a row
	share           float64 // of failures, moving
	rests           int     // times it was rested without a success between
	until           time.Time
	probing         bool
	pace            float64   // measured time over the pool's, moving
	seenAt          time.Time // when this box last had an exchange with it
}

// Pool picks among the servers of one pool. It is pure: time comes in. Not safe for concurrent use.
type Pool struct {
	Box    string
	Domain string // of this box
	// RestsUntil is until when a server wants nothing from this box, by its own word; nil knows of none.
	RestsUntil func(*catalog.Server) time.Time
	// Limits says whether a server limits its requests; nil knows of none.
	Limits func(*catalog.Server) bool
	Boxes  int // that there are, this one among them; 0 when only those heard of count

	words   map[string]word    // of other boxes, by name
	names   map[uint64]*server // by the hash of their ids
	busy    map[string]*server // that this box has requests at
	resting map[string]*server // that rest, or rested a moment ago
	scale   float64            // by which the loads that were told stand for all
	servers map[string]*server
	domains map[string]int                  // servers by failure domain
	kept    map[uint64]map[uint64]time.Time // hash of a prompt part to those of servers that read it, and when
	fresh   []freshRead                     // of which other boxes are still told
	picks   uint64
	asked   popularity
	share   float64   // of failures in the whole pool, moving
	doubtAt time.Time // when this box last found a server gone or turning requests away
	salt    uint64    // of this box, for choices among servers that cost the same
	ranks   []uint64  // scratch space
}

// NewPool knows no server yet.
func NewPool(box, domain string) *Pool {
	return &Pool{Box: box, Domain: domain, salt: catalog.Hash(box), words: map[string]word{}, names: map[uint64]*server{}, busy: map[string]*server{}, resting: map[string]*server{}, servers: map[string]*server{}, domains: map[string]int{}, kept: map[uint64]map[uint64]time.Time{}, asked: newPopularity()}
}

// Configure takes all servers that are listed and take new work.
func (p *Pool) Configure(list []*catalog.Server) {
	seen := make(map[string]bool, len(list))
	for _, v := range list {
		seen[v.ID] = true
	}
	var gone []string
	for id := range p.servers {
		if !seen[id] {
			gone = append(gone, id)
		}
	}
	p.Change(list, gone)
}

// Change takes servers that take new work now, or are listed otherwise, and those that take none any more.
func (p *Pool) Change(put []*catalog.Server, gone []string) {
	for _, v := range put {
		st := p.servers[v.ID]
		if st != nil && st.Incarnation != v.Incarnation {
			p.forgetIncarnation(st)
			p.drop(st)
			st = nil
		}
		if st == nil {
			st = &server{pace: 1, hash: catalog.Hash(v.ID)}
			p.servers[v.ID] = st
			p.names[st.hash] = st
		} else {
			p.domains[st.Domain]--
		}
		st.Server = v
		p.domains[v.Domain]++
	}
	for _, id := range gone {
		if v := p.servers[id]; v != nil {
			p.drop(v)
		}
	}
}

// drop forgets a server.
func (p *Pool) drop(v *server) {
	delete(p.servers, v.ID)
	delete(p.names, v.hash)
	delete(p.busy, v.ID)
	delete(p.resting, v.ID)
	p.domains[v.Domain]--
}

// forgetIncarnation drops all that was believed of a server which has started again: loads, failures, what it keeps of prompts.
func (p *Pool) forgetIncarnation(v *server) {
	delete(p.busy, v.ID)
	delete(p.resting, v.ID)
	for _, m := range p.kept {
		delete(m, v.hash)
	}
	p.fresh = slices.DeleteFunc(p.fresh, func(r freshRead) bool { return r.Server == v.hash })
	for box, w := range p.words {
		w.notes = slices.DeleteFunc(w.notes, func(n Note) bool { return n.Server == v.hash })
		p.words[box] = w
	}
}

// Current says whether a server as it was chosen is the one that is listed now: an exchange with an earlier life says
// nothing of it.
func (p *Pool) Current(s catalog.Server) bool {
	v := p.servers[s.ID]
	return v != nil && v.Incarnation == s.Incarnation
}

// Size counts the servers.
func (p *Pool) Size() int { return len(p.servers) }

// load sums what all boxes have at a server. In a large fleet few tell in time; the others are taken to
// have as much as they.
func (p *Pool) load(v *server) Load {
	return Load{
		Requests: v.own.Requests + int(p.scale*float64(v.peers.Requests)),
		Tokens:   v.own.Tokens + int(p.scale*float64(v.peers.Tokens)),
	}
}

// unheard drops words that are too old and gives by how much the boxes heard of lately stand for all.
func (p *Pool) unheard(now time.Time) float64 {
	for box, w := range p.words {
		if now.Sub(w.at) >= noteLife {
			p.forgetWord(box)
		}
	}
	n := len(p.words)
	if n == 0 || p.Boxes-1 <= n {
		return 1
	}
	return float64(p.Boxes-1) / float64(n)
}

// forgetWord takes what a box told out of the sums.
func (p *Pool) forgetWord(box string) {
	for _, n := range p.words[box].notes {
		if v := p.names[n.Server]; v != nil {
			v.peers.Requests = max(0, v.peers.Requests-n.Load.Requests)
			v.peers.Tokens = max(0, v.peers.Tokens-n.Load.Tokens)
		}
	}
	delete(p.words, box)
}

// Hear takes all that another box tells of its loads; servers of other pools are passed over, and a
// server that is not named has nothing of that box. The work grows with the notes, not the servers.
func (p *Pool) Hear(now time.Time, box string, notes []Note) {
	p.forgetWord(box)
	w := word{at: now}
	for _, n := range notes {
		v := p.names[n.Server]
		if v == nil {
			continue
		}
		v.peers.Requests += n.Load.Requests
		v.peers.Tokens += n.Load.Tokens
		w.notes = append(w.notes, n)
		if n.Rests && v.rests == 0 {
			p.rest(now, v)
		}
	}
	p.words[box] = w
}

// Own gives this box's load at each server where it has any.
func (p *Pool) Own() map[string]Load {
	out := make(map[string]Load, len(p.busy))
	for id, v := range p.busy {
		out[id] = v.own
	}
	return out
}

// Busy says how many requests all boxes have in the pool and how many places it has.
func (p *Pool) Busy(now time.Time) (requests, places int) {
	p.scale = p.unheard(now)
	for _, v := range p.servers {
		requests += p.load(v).Requests
		places += v.Slots
	}
	return requests, places
}

// Pick chooses a server and counts the request there; Ended must follow. The second result names
// why the choice fell so, for logs.
func (p *Pool) Pick(now time.Time, w *Wish) (catalog.Server, string, bool) {
	var best *server
	bestCost, why := 0.0, ""
	p.asked.note(now, w)
	p.scale = p.unheard(now)
	p.picks++
	home, kept := p.home(w), p.keptParts(w)
	sparing := p.fewCold(now)
	for pass := range 2 {
		for _, v := range p.servers {
			if w.barred(v) || w.Only == "" && p.wantsRest(now, v) || pass == 0 && (!v.usable(now) || sparing && v.cold(now)) {
				continue
			}
			c := p.cost(now, v, w, kept, home) + p.jitter(v)
			if best == nil || c < bestCost || c == bestCost && v.ID < best.ID {
				best, bestCost = v, c
			}
		}
		if best != nil {
			break
		}
		why = "all servers rest"
	}
	if best == nil {
		return catalog.Server{}, "no server", false
	}
	switch {
	case why != "":
	case best.ID == home:
		why = "home of the prompt"
	default:
		why = "least cost"
	}
	if best.rests > 0 {
		best.probing = true
	}
	best.own.Requests++
	p.busy[best.ID] = best
	unread, _ := p.unread(now, best, w, kept, home)
	best.own.Tokens += unread
	return *best.Server, why, true
}

// wantsRest says whether a server asked for rest. It is kept even where no other server is left: just when all ask for
// it, a box that asks the one it knows best sent 2,080 of 2,500 requests into rests (TestAServerThatAsksForRestHasIt).
func (p *Pool) wantsRest(now time.Time, v *server) bool {
	return p.RestsUntil != nil && now.Before(p.RestsUntil(v.Server))
}

// Awake says whether some server that a request may still be given to wants no rest.
func (p *Pool) Awake(now time.Time, w *Wish) bool {
	if p.RestsUntil == nil {
		return true
	}
	for _, v := range p.servers {
		if !w.barred(v) && !p.wantsRest(now, v) {
			return true
		}
	}
	return false
}

// Rests says whether a server wants rest.
func (p *Pool) Rests(now time.Time, id string) bool {
	v := p.servers[id]
	return v != nil && p.wantsRest(now, v)
}

// RestEnds is when the first of the servers that want rest, of those where a request may run, can be asked; false when none of
// them does.
func (p *Pool) RestEnds(now time.Time, w *Wish) (time.Time, bool) {
	_, first, ok := p.FirstToWake(now, w)
	return first, ok
}

// FirstToWake is the server of which RestEnds tells.
func (p *Pool) FirstToWake(now time.Time, w *Wish) (catalog.Server, time.Time, bool) {
	var first time.Time
	var server *catalog.Server
	if p.RestsUntil == nil {
		return catalog.Server{}, first, false
	}
	for _, v := range p.servers {
		until := p.RestsUntil(v.Server)
		if !now.Before(until) || !w.Within.Allow(v.Domain) {
			continue
		}
		if server == nil || until.Before(first) || until.Equal(first) && v.ID < server.ID {
			server, first = v.Server, until
		}
	}
	if server == nil {
		return catalog.Server{}, first, false
	}
	return *server, first, true
}

// jitter spreads requests over servers that cost the same.
func (p *Pool) jitter(v *server) float64 {
	return jitterMs * float64(mix(p.salt+p.picks, v.hash)%1024) / 1024
}

// cost estimates in milliseconds how much later the request would be answered at a server.
func (p *Pool) cost(now time.Time, v *server, w *Wish, kept keptParts, home string) float64 {
	l := p.load(v)
	slots := float64(max(1, v.Slots))
	cost := runningPenalty * float64(l.Requests) * 64 / slots
	if v.Domain != p.Domain {
		cost += farPenalty
	}
	if over := float64(l.Requests) - slots; over >= 0 {
		cost += 50 * (over + 1)
	}
	if len(w.Parts) > 0 {
		all, shared := p.unread(now, v, w, kept, home)
		cost += float64(l.Tokens+all)/tokensPerMs + againPerToken*float64(shared)
	}
	if w.Domain != "" && v.Domain != w.Domain {
		cost += w.InputBytes / bytesPerMs
	}
	if v.pace > slowRatio {
		cost += 100 * v.pace
	}
	if p.doubtful(now, v, l) {
		cost += doubtPenalty
	}
	if w.Unlimited && p.limited(v) {
		cost += limitedPenalty
	}
	cost *= max(1, v.pace)
	if w.LeastLoaded {
		cost += leastLoadedPenalty * float64(l.Requests)
	}
	return cost
}

// Domains counts the servers of each failure domain that has some.
func (p *Pool) Domains() map[string]int {
	out := make(map[string]int, len(p.domains))
	for d, n := range p.domains {
		if n > 0 {
			out[d] = n
		}
	}
	return out
}
