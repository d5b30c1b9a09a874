// Package balance picks the backend server of a request: by the work that all boxes have there, by
// what it keeps of the request's prompt, by where it lies, and by how it answered lately.
package balance

import (
	"math"
	"sort"
	"strconv"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// Tunables of the choice.
const (
	noteLife        = 1500 * time.Millisecond // a peer's note on its load counts this long
	keptLife        = 10 * time.Second        // a prompt part read this long ago may be kept still
	keptMost        = 4096                    // prompt parts remembered of one pool
	tokensPerMs     = 50.0                    // prompt tokens that an engine reads in a millisecond, about
	runningPenalty  = 3.0                     // ms that each running request adds
	jitterMs        = 1.0                     // by which servers of the same cost are told apart
	farPenalty      = 8.0                     // ms for a server in another failure domain than the box
	againPerToken   = 0.12                    // ms that reading a shared token again weighs, beside the time that it takes
	bytesPerMs      = 27000.0                 // bytes of results from another domain that weigh as much as a ms
	popularitySpare = 2.0                     // servers for a popular prompt part, over its share of all tokens
	popularityLife  = 5 * time.Second         // over which that share is measured
	failurePause    = 600 * time.Millisecond  // after repeated failures; doubled with each further one
	maxDoublings    = 4
	hardFailures    = 2    // broken exchanges in a row before a server rests
	failureLearning = 0.15 // weight of a new outcome in a server's share of failures
	greyShare       = 0.3  // share of failures above the pool's at which a server rests
	paceLearning    = 0.2
	slowRatio       = 2.5
)

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Wish describes a request to be placed.
type Wish struct {
	Parts       []Part          // of the prompt, in order; the last is its own
	Domain      string          // where its inputs lie, "" for none
	InputBytes  float64         // size of the inputs
	Exclude     map[string]bool // servers tried already
	LeastLoaded bool            // ignore prompts and places
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

type note struct {
	load Load
	at   time.Time
}

type server struct {
	catalog.Server
	own     Load
	peers   map[string]note
	broken  int     // broken exchanges in a row
	share   float64 // of failures, moving
	rests   int     // times it was rested without a success between
	until   time.Time
	probing bool
	pace    float64 // measured time over the pool's, moving
}

// Pool picks among the servers of one pool. It is pure: time comes in. Not safe for concurrent use.
type Pool struct {
	Box    string
	Domain string // of this box
	Boxes  int    // that there are, this one among them; 0 when only those heard of count

	heard   map[string]time.Time // boxes that told of their loads, and when last
	scale   float64              // by which the loads that were told stand for all
	servers map[string]*server
	kept    map[string]map[string]time.Time // prompt part to servers that read it, and when
	picks   uint64
	popular map[string]float64 // tokens asked under a first prompt part, decaying
	asked   float64            // tokens asked in all, decaying
	decayed time.Time
	share   float64 // of failures in the whole pool, moving
}

// NewPool knows no server yet.
func NewPool(box, domain string) *Pool {
	return &Pool{Box: box, Domain: domain, heard: map[string]time.Time{}, servers: map[string]*server{}, kept: map[string]map[string]time.Time{}, popular: map[string]float64{}}
}

// Configure takes the servers that are listed and take new work.
func (p *Pool) Configure(list []catalog.Server) {
	seen := map[string]bool{}
	for _, v := range list {
		seen[v.ID] = true
		st := p.servers[v.ID]
		if st == nil {
			st = &server{peers: map[string]note{}, pace: 1}
			p.servers[v.ID] = st
		}
		st.Server = v
	}
	for id := range p.servers {
		if !seen[id] {
			delete(p.servers, id)
		}
	}
}

// Size counts the servers.
func (p *Pool) Size() int { return len(p.servers) }

// load sums what all boxes have at a server. In a large fleet few tell in time; the others are taken to
// have as much as they.
func (p *Pool) load(now time.Time, v *server) Load {
	var peers Load
	for _, n := range v.peers {
		if now.Sub(n.at) < noteLife {
			peers.Requests += n.load.Requests
			peers.Tokens += n.load.Tokens
		}
	}
	return Load{Requests: v.own.Requests + int(p.scale*float64(peers.Requests)), Tokens: v.own.Tokens + int(p.scale*float64(peers.Tokens))}
}

// unheard is by how much the boxes heard of lately stand for all.
func (p *Pool) unheard(now time.Time) float64 {
	n := 0
	for box, at := range p.heard {
		if now.Sub(at) < noteLife {
			n++
		} else {
			delete(p.heard, box)
		}
	}
	if n == 0 || p.Boxes-1 <= n {
		return 1
	}
	return float64(p.Boxes-1) / float64(n)
}

// PeerLoad takes another box's note on a server.
func (p *Pool) PeerLoad(now time.Time, box, id string, l Load) {
	p.heard[box] = now
	if v := p.servers[id]; v != nil {
		v.peers[box] = note{load: l, at: now}
	}
}

// Own gives this box's load at each server where it has any.
func (p *Pool) Own() map[string]Load {
	out := map[string]Load{}
	for id, v := range p.servers {
		if v.own.Requests > 0 {
			out[id] = v.own
		}
	}
	return out
}

// Busy says how many requests all boxes have in the pool and how many places it has.
func (p *Pool) Busy(now time.Time) (requests, places int) {
	p.scale = p.unheard(now)
	for _, v := range p.servers {
		requests += p.load(now, v).Requests
		places += v.Slots
	}
	return requests, places
}

// Pick chooses a server and counts the request there; Ended must follow. The second result names
// why the choice fell so, for logs.
func (p *Pool) Pick(now time.Time, w *Wish) (catalog.Server, string, bool) {
	var best *server
	bestCost, why := 0.0, ""
	p.ask(now, w)
	p.scale = p.unheard(now)
	p.picks++
	home := p.home(w)
	for pass := range 2 {
		for _, v := range p.servers {
			if w.Exclude[v.ID] || pass == 0 && !v.usable(now) {
				continue
			}
			c := p.cost(now, v, w, home) + p.jitter(v.ID)
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
	unread, _ := p.unread(now, best, w, home)
	best.own.Tokens += unread
	return best.Server, why, true
}

// jitter spreads requests over servers that cost the same.
func (p *Pool) jitter(id string) float64 {
	return jitterMs * float64(catalog.Hash(p.Box, id, strconv.FormatUint(p.picks, 36))%1024) / 1024
}

func (v *server) usable(now time.Time) bool {
	if now.Before(v.until) {
		return false
	}
	return v.rests == 0 || !v.probing
}

// cost estimates in milliseconds how much later the request would be answered at a server.
func (p *Pool) cost(now time.Time, v *server, w *Wish, home string) float64 {
	l := p.load(now, v)
	slots := float64(max(1, v.Slots))
	cost := runningPenalty * float64(l.Requests) * 64 / slots
	if v.Domain != p.Domain {
		cost += farPenalty
	}
	if over := float64(l.Requests) - slots; over >= 0 {
		cost += 50 * (over + 1)
	}
	if len(w.Parts) > 0 {
		all, shared := p.unread(now, v, w, home)
		cost += float64(l.Tokens+all)/tokensPerMs + againPerToken*float64(shared)
	}
	if w.Domain != "" && v.Domain != w.Domain {
		cost += w.InputBytes / bytesPerMs
	}
	if v.pace > slowRatio {
		cost += 100 * v.pace
	}
	return cost * max(1, v.pace)
}

// unread estimates the tokens of a prompt that a server does not keep, and how many of them are
// shared with other requests. home is the server that the prompt's shared parts belong to.
func (p *Pool) unread(now time.Time, v *server, w *Wish, home string) (all, shared int) {
	if len(w.Parts) == 0 {
		return 0, 0
	}
	last := len(w.Parts) - 1
	keeps := true
	for i, part := range w.Parts {
		at, ok := p.kept[part.ID][v.ID]
		keeps = keeps && (v.ID == home && i < last || ok && now.Sub(at) < keptLife)
		if keeps {
			continue
		}
		all += part.Tokens
		if i < last {
			shared += part.Tokens
		}
	}
	return all, shared
}

// home is the server where the shared parts of a prompt are best read, on which all boxes agree
// without a message: the prompt's first part picks a few servers by rendezvous hash, as many as its
// share of all tokens asks for, and the last shared part picks one of them.
func (p *Pool) home(w *Wish) string {
	if len(w.Parts) < 2 || len(p.servers) == 0 {
		return ""
	}
	first, deepest := w.Parts[0].ID, w.Parts[len(w.Parts)-2].ID
	type rankedServer struct {
		id   string
		rank uint64
	}
	ranked := make([]rankedServer, 0, len(p.servers))
	for id := range p.servers {
		ranked = append(ranked, rankedServer{id, catalog.Hash(first, id)})
	}
	sort.Slice(ranked, func(i, j int) bool { return ranked[i].rank > ranked[j].rank })
	share := 0.0
	if p.asked > 0 {
		share = p.popular[first] / p.asked
	}
	n := min(len(ranked), int(math.Ceil(popularitySpare*share*float64(len(ranked)))))
	best, rank := "", uint64(0)
	for _, s := range ranked[:max(1, n)] {
		if r := catalog.Hash(deepest, s.id); best == "" || r > rank {
			best, rank = s.id, r
		}
	}
	return best
}

// HomeDomain is the failure domain of the server where a prompt's shared parts are best read, "" when
// it has none. Work that makes large inputs for the request is best done there.
func (p *Pool) HomeDomain(w *Wish) string {
	if v := p.servers[p.home(w)]; v != nil {
		return v.Domain
	}
	return ""
}

// ask counts the tokens of a request under its first prompt part.
func (p *Pool) ask(now time.Time, w *Wish) {
	if len(w.Parts) == 0 {
		return
	}
	if since := now.Sub(p.decayed); since > popularityLife/10 {
		f := math.Exp(-float64(since) / float64(popularityLife))
		p.asked *= f
		for id, n := range p.popular {
			if n *= f; n < 1 {
				delete(p.popular, id)
			} else {
				p.popular[id] = n
			}
		}
		p.decayed = now
	}
	tokens := float64(w.Tokens())
	p.asked += tokens
	p.popular[w.Parts[0].ID] += tokens
}

// Read notes that a server has read a prompt: its load shrinks and its parts are kept there.
func (p *Pool) Read(now time.Time, id string, w *Wish) {
	v := p.servers[id]
	if v == nil || len(w.Parts) == 0 {
		return
	}
	v.own.Tokens = max(0, v.own.Tokens-w.Tokens())
	p.Kept(now, id, w.Parts)
}

// Kept notes that a server keeps prompt parts.
func (p *Pool) Kept(now time.Time, id string, parts []Part) {
	for _, part := range parts {
		m := p.kept[part.ID]
		if m == nil {
			if len(p.kept) >= keptMost {
				p.forgetKept(now)
			}
			m = map[string]time.Time{}
			p.kept[part.ID] = m
		}
		m[id] = now
	}
}

func (p *Pool) forgetKept(now time.Time) {
	for part, m := range p.kept {
		for id, at := range m {
			if now.Sub(at) > keptLife {
				delete(m, id)
			}
		}
		if len(m) == 0 {
			delete(p.kept, part)
		}
	}
	if len(p.kept) >= keptMost {
		clear(p.kept)
	}
}

// Outcome says how an exchange with a server ended.
type Outcome uint8

// The outcomes.
const (
	Good    Outcome = iota + 1 // an answer that was no failure
	Failed                     // a failure that the server stated
	Full                       // the server took nothing
	Broken                     // no connection, no answer, or one that makes no sense
	Dropped                    // given up for reasons of ours; says nothing of the server
)

// String names the outcome for logs.
func (o Outcome) String() string {
	switch o {
	case Good:
		return "good"
	case Failed:
		return "failed"
	case Full:
		return "full"
	case Broken:
		return "broken"
	case Dropped:
		return "dropped"
	}
	return "unknown"
}

// Ended takes the end of a request's exchange. It says whether the server now rests.
func (p *Pool) Ended(now time.Time, id string, w *Wish, o Outcome) bool {
	v := p.servers[id]
	if v == nil {
		return false
	}
	v.own.Requests = max(0, v.own.Requests-1)
	if v.own.Requests == 0 {
		v.own.Tokens = 0
	}
	if o == Dropped {
		v.probing = false
		return false
	}
	bad := 0.0
	if o != Good {
		bad = 1
	}
	v.share += failureLearning * (bad - v.share)
	p.share += failureLearning / float64(max(1, len(p.servers))) * (bad - p.share)
	switch o {
	case Good:
		v.broken = 0
		if v.probing || v.share < greyShare {
			v.rests = 0
		}
		v.probing = false
		return false
	case Broken, Full:
		v.broken++
	}
	if v.probing || v.broken >= hardFailures || v.share > p.share+greyShare {
		p.rest(now, v)
		return true
	}
	return false
}

func (p *Pool) rest(now time.Time, v *server) {
	v.until = now.Add(failurePause << min(v.rests, maxDoublings))
	v.rests++
	v.broken, v.probing = 0, false
	v.share = min(v.share, p.share+greyShare/2)
}

// Rest lets a server rest because another box found it failing.
func (p *Pool) Rest(now time.Time, id string) {
	if v := p.servers[id]; v != nil && v.rests == 0 {
		p.rest(now, v)
	}
}

// Resting lists the servers that get no work now.
func (p *Pool) Resting(now time.Time) []string {
	var out []string
	for id, v := range p.servers {
		if now.Before(v.until) {
			out = append(out, id)
		}
	}
	return out
}

// Pace takes the time a server took for a request against the time that was expected of it.
func (p *Pool) Pace(id string, took, expected time.Duration) {
	v := p.servers[id]
	if v == nil || expected <= 0 {
		return
	}
	v.pace += paceLearning * (float64(took)/float64(expected) - v.pace)
}
