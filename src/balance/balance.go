// Package balance chooses the backend server for a request by the load that all boxes have there, the parts of the
// request's prompt that it has cached, its failure domain and the outcomes of its recent requests.
package balance

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/pace"
)

// Request describes the request for which to choose a server.
type Request struct {
	Parts       []Part          // parts of the prompt, in order; the last is not shared with other requests
	Domain      string          // failure domain of its inputs, "" for none
	InputBytes  float64         // size of its inputs
	Exclude     map[string]bool // ids of servers already tried
	LeastLoaded bool            // prefer the server with the fewest requests; prompt cache and domain come second
	Producers   map[string]int  // number of servers in each domain that produce its large inputs; nil if it has none

	Within *catalog.Confines // failure domains that it may run in; nil for any

	Build     *string // build of the server that began its stream; nil for any
	Resumable bool    // a stream that may go on at another server of the same build

	Only         string // id of the only server to choose, where a permit is reserved for it; "" for any
	AvoidLimited bool   // prefer servers without a request limit

	Gap    time.Duration // objective for the time between two events of its stream; 0 for none
	Events int           // expected events of its stream; 0 if unknown
	Left   time.Duration // time left to its objective; not above 0 if unknown or passed
}

// excludes reports whether the request excludes a server, whatever the server's load.
func (w *Request) excludes(v *server) bool {
	return w.Exclude[v.ID] || !w.allows(v) || w.Only != "" && w.Only != v.ID
}

// allows reports whether the request may ever run at a server.
func (w *Request) allows(v *server) bool {
	return w.Within.Allow(v.Domain) && (w.Build == nil || *w.Build == v.Build)
}

// Tokens returns the number of tokens in the prompt.
func (w *Request) Tokens() int {
	n := 0
	for _, p := range w.Parts {
		n += p.Tokens
	}
	return n
}

// Load is the load at a server.
type Load struct {
	Requests int
	Tokens   int // prompt tokens that have not been processed
}

// LoadReport is the load that a box reports for a server, which is identified by the hash of its id.
type LoadReport struct {
	Server uint64
	Load   Load
	Paused bool // the box has paused the server after failures
}

// boxReport is the last report of a box on this pool.
type boxReport struct {
	at    time.Time
	notes []LoadReport
}

// server is a server of the pool as seen by this box.
type server struct {
	*catalog.Server           // shared with the catalog, must not be modified
	hash            uint64    // of the id
	own             Load      // of this box
	peers           Load      // sum of other boxes' current reports
	broken          int32     // consecutive broken exchanges
	probing         bool      // a request has been sent to see whether it has recovered
	failureRate     float64   // moving average of the failure rate
	pauses          int       // pauses since the last success
	pausedUntil     time.Time // end of the current pause
	seenAt          time.Time // end of this box's last exchange with it
	told            told      // load that it reported last
	speed           pace.Speed
	step            int // of its lasting speed (see nextStep)
}

// Pool chooses among the servers of one pool. It does no I/O and reads no clock. It is not safe for concurrent use.
type Pool struct {
	Box    string
	Domain string // of this box
	// RestsUntil returns the end of the rest that a server asked for (pushback.Resting); nil if none rests.
	RestsUntil func(*catalog.Server) time.Time
	// Limits reports whether a server limits its request rate; nil if none does.
	Limits func(*catalog.Server) bool
	Boxes  int // number of boxes including this one; 0 to count only those that send reports
	// SpeedOf returns how fast a server works; nil while speeds are not in force in this pool.
	SpeedOf func(now time.Time, s *catalog.Server) pace.Speed
	// Rates returns the learned rates of the pool; nil while speeds are not in force.
	Rates func() pace.Rates

	reports     map[string]boxReport // reports of other boxes, by name
	byHash      map[uint64]*server   // servers by the hash of their ids
	busy        map[string]*server   // servers with requests of this box
	paused      map[string]*server   // servers that are paused or were until recently
	scale       float64              // factor from the reported loads to those of all boxes
	servers     map[string]*server
	domains     map[string]int                  // number of servers by failure domain
	builds      map[string]int                  // number of servers by build
	cached      map[uint64]map[uint64]time.Time // by hash of a prompt part and of a server: when the server processed the part
	freshReads  []freshRead                     // recent reads to report to other boxes
	picks       uint64                          // number of choices made
	popularity  popularity
	demand      demand    // kept while speeds are in force
	uneven      bool      // whether the lasting speed of some server is not the usual one
	failureRate float64   // moving average of the failure rate of the whole pool
	doubtSince  time.Time // when this box last found a server absent or rejecting requests
	salt        uint64    // specific to this box, for choices among servers of the same cost
	ranks       []uint64  // scratch space
}

// NewPool returns a pool without servers for a box in a failure domain.
func NewPool(box, domain string) *Pool {
	return &Pool{Box: box, Domain: domain, salt: catalog.Hash(box), reports: map[string]boxReport{}, byHash: map[uint64]*server{}, busy: map[string]*server{}, paused: map[string]*server{}, servers: map[string]*server{}, domains: map[string]int{}, builds: map[string]int{}, cached: map[uint64]map[uint64]time.Time{}, popularity: newPopularity()}
}

// Configure sets the complete list of servers that take new work.
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
	p.UpdateServers(list, gone)
}

// UpdateServers adds or updates servers that take new work (put) and removes those that no longer do (gone).
func (p *Pool) UpdateServers(put []*catalog.Server, gone []string) {
	for _, v := range put {
		st := p.servers[v.ID]
		if st != nil && st.Incarnation != v.Incarnation {
			p.forgetIncarnation(st)
			p.drop(st)
			st = nil
		}
		if st == nil {
			st = &server{hash: catalog.Hash(v.ID)}
			p.servers[v.ID] = st
			p.byHash[st.hash] = st
		} else {
			p.count(st, -1)
		}
		st.Server = v
		p.count(st, 1)
	}
	for _, id := range gone {
		if v := p.servers[id]; v != nil {
			p.drop(v)
		}
	}
}

// drop removes a server.
func (p *Pool) drop(v *server) {
	delete(p.servers, v.ID)
	delete(p.byHash, v.hash)
	delete(p.busy, v.ID)
	delete(p.paused, v.ID)
	p.count(v, -1)
}

// count adds to the numbers of servers by failure domain and build.
func (p *Pool) count(v *server, n int) {
	p.domains[v.Domain] += n
	if p.builds[v.Build] += n; p.builds[v.Build] == 0 {
		delete(p.builds, v.Build)
	}
}

// Builds returns the number of servers of each build.
func (p *Pool) Builds() map[string]int { return maps.Clone(p.builds) }

// forgetIncarnation drops the state of a server's previous incarnation: loads, failures and cached prompt parts.
func (p *Pool) forgetIncarnation(v *server) {
	delete(p.busy, v.ID)
	delete(p.paused, v.ID)
	for _, m := range p.cached {
		delete(m, v.hash)
	}
	p.freshReads = slices.DeleteFunc(p.freshReads, func(r freshRead) bool { return r.Server == v.hash })
	for box, w := range p.reports {
		w.notes = slices.DeleteFunc(w.notes, func(n LoadReport) bool { return n.Server == v.hash })
		p.reports[box] = w
	}
}

// Current reports whether the incarnation of s is the one listed now. An exchange with an earlier incarnation says
// nothing about the current one.
func (p *Pool) Current(s catalog.Server) bool {
	v := p.servers[s.ID]
	return v != nil && v.Incarnation == s.Incarnation
}

// Size returns the number of servers.
func (p *Pool) Size() int { return len(p.servers) }

// load estimates the load of all boxes at a server. In a large fleet only some boxes have reported recently; the others
// are assumed to have the same load on average.
func (p *Pool) load(v *server) Load {
	return Load{
		Requests: v.own.Requests + int(p.scale*float64(v.peers.Requests)),
		Tokens:   v.own.Tokens + int(p.scale*float64(v.peers.Tokens)),
	}
}

// dropExpiredReports drops expired reports and returns the factor by which to scale the remaining ones to all boxes.
func (p *Pool) dropExpiredReports(now time.Time) float64 {
	for box, w := range p.reports {
		if now.Sub(w.at) >= reportLifetime {
			p.dropReport(box)
		}
	}
	n := len(p.reports)
	if n == 0 || p.Boxes-1 <= n {
		return 1
	}
	return float64(p.Boxes-1) / float64(n)
}

// dropReport removes a box's report and subtracts it from the sums.
func (p *Pool) dropReport(box string) {
	for _, n := range p.reports[box].notes {
		if v := p.byHash[n.Server]; v != nil {
			v.peers.Requests = max(0, v.peers.Requests-n.Load.Requests)
			v.peers.Tokens = max(0, v.peers.Tokens-n.Load.Tokens)
		}
	}
	delete(p.reports, box)
}

// SetBoxLoads replaces the load report of another box. Servers of other pools are ignored, and servers that aren't named
// have no load from that box. The cost is proportional to the number of notes, not of servers.
func (p *Pool) SetBoxLoads(now time.Time, box string, notes []LoadReport) {
	p.dropReport(box)
	w := boxReport{at: now}
	for _, n := range notes {
		v := p.byHash[n.Server]
		if v == nil {
			continue
		}
		v.peers.Requests += n.Load.Requests
		v.peers.Tokens += n.Load.Tokens
		w.notes = append(w.notes, n)
		if n.Paused && v.pauses == 0 {
			p.pause(now, v)
		}
	}
	p.reports[box] = w
}

// OwnLoads returns this box's load at each server where it has any.
func (p *Pool) OwnLoads() map[string]Load {
	out := make(map[string]Load, len(p.busy))
	for id, v := range p.busy {
		out[id] = v.own
	}
	return out
}

// Pick chooses a server and adds the request to its load; the caller must call Ended when the request ends. The second
// result is the reason for the choice, for logs.
func (p *Pool) Pick(now time.Time, w *Request) (catalog.Server, string, bool) {
	var best *server
	why := ""
	p.popularity.add(now, w)
	p.scale = p.dropExpiredReports(now)
	p.picks++
	var o outlook
	if p.SpeedOf != nil {
		p.readSpeeds(now)
		o = p.look(now, w)
	}
	home, kept := p.home(w), p.cachedParts(w)
	sparing := p.fewCold(now)
	bestCost := math.Inf(1)
	for pass := range 2 {
		for _, v := range p.servers {
			if w.excludes(v) || w.Only == "" && p.wantsRest(now, v) || pass == 0 && (!v.usable(now) || sparing && v.cold(now)) {
				continue
			}
			var c float64
			if p.SpeedOf != nil {
				c = p.speedCost(now, v, w, &o, kept, home, bestCost) + p.jitter(v)
			} else {
				c = p.cost(now, v, w, kept, home) + p.jitter(v)
			}
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
	unread, _ := p.uncachedTokens(now, best, w, kept, home)
	if p.SpeedOf != nil {
		why = p.reason(now, best, w, &o, kept, home, why)
		read, _ := p.uncachedTokens(now, best, w, kept, "")
		p.demand.add(w, read)
	}
	if best.pauses > 0 {
		best.probing = true
	}
	best.own.Requests++
	p.busy[best.ID] = best
	best.own.Tokens += unread
	return *best.Server, why, true
}

// wantsRest reports whether a server has asked for no requests now. That is respected even if no other server is left:
// when boxes still used the best server while all asked for it, 2,080 of 2,500 requests were sent to resting servers.
func (p *Pool) wantsRest(now time.Time, v *server) bool {
	return p.RestsUntil != nil && now.Before(p.RestsUntil(v.Server))
}

// AnyAccepting reports whether some server that the request doesn't exclude accepts requests now.
func (p *Pool) AnyAccepting(now time.Time, w *Request) bool {
	if p.RestsUntil == nil {
		return true
	}
	for _, v := range p.servers {
		if !w.excludes(v) && !p.wantsRest(now, v) {
			return true
		}
	}
	return false
}

// IsResting reports whether a server has asked for no requests now.
func (p *Pool) IsResting(now time.Time, id string) bool {
	v := p.servers[id]
	return v != nil && p.wantsRest(now, v)
}

// AnyLeft reports whether the request does not exclude some server of the pool.
func (p *Pool) AnyLeft(w *Request) bool {
	for _, v := range p.servers {
		if !w.excludes(v) {
			return true
		}
	}
	return false
}

// EarliestRestEnd returns when the first resting server in the request's domains accepts requests again, or false if none
// rests.
func (p *Pool) EarliestRestEnd(now time.Time, w *Request) (time.Time, bool) {
	_, first, ok := p.FirstRestToEnd(now, w)
	return first, ok
}

// FirstRestToEnd returns the resting server that accepts requests again first, and when (see EarliestRestEnd).
func (p *Pool) FirstRestToEnd(now time.Time, w *Request) (catalog.Server, time.Time, bool) {
	var first time.Time
	var server *catalog.Server
	if p.RestsUntil == nil {
		return catalog.Server{}, first, false
	}
	for _, v := range p.servers {
		until := p.RestsUntil(v.Server)
		if !now.Before(until) || !w.allows(v) {
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

// jitter spreads requests over servers of the same cost.
func (p *Pool) jitter(v *server) float64 {
	return jitterMs * float64(mix(p.salt+p.picks, v.hash)%1024) / 1024
}

// cost estimates by how many milliseconds a request would be delayed at a server.
func (p *Pool) cost(now time.Time, v *server, w *Request, kept cachedParts, home string) float64 {
	l := p.load(v)
	slots := float64(max(1, v.Slots))
	cost := runningPenalty * float64(l.Requests) * 64 / slots
	if v.Domain != p.Domain {
		cost += otherDomainPenalty
	}
	if over := float64(l.Requests) - slots; over >= 0 {
		cost += overPenalty * (over + 1)
	}
	if len(w.Parts) > 0 {
		all, shared := p.uncachedTokens(now, v, w, kept, home)
		cost += float64(l.Tokens+all)/tokensPerMs + reprocessPenalty*float64(shared)
	}
	cost = p.addPenalties(now, v, w, l, cost)
	if w.LeastLoaded {
		cost += leastLoadedPenalty * float64(l.Requests)
	}
	return cost
}

// addPenalties adds to a cost what doesn't depend on how fast a server works.
func (p *Pool) addPenalties(now time.Time, v *server, w *Request, l Load, cost float64) float64 {
	if w.Domain != "" && v.Domain != w.Domain {
		cost += w.InputBytes / bytesPerMs
	}
	if p.doubted(now, v, l) {
		cost += doubtPenalty
	}
	if w.Resumable && w.Build == nil && p.builds[v.Build] == 1 && len(p.builds) > 1 {
		cost += loneBuildPenalty
	}
	if w.AvoidLimited && p.limited(v) {
		cost += limitedPenalty
	}
	return cost
}

// Domains returns the number of servers in each failure domain that has some.
func (p *Pool) Domains() map[string]int {
	out := make(map[string]int, len(p.domains))
	for d, n := range p.domains {
		if n > 0 {
			out[d] = n
		}
	}
	return out
}
