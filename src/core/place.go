package core

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/pushback"
)

// Placer picks one of the servers that are ready for a call, or nil to let it wait. The baselines are kept
// next to ExpectedFinish so that one run can compare them.
type Placer func(p *Pool, now time.Time, c *Call, ready []*server) *server

// PlacerByName returns the placement policy with the given name in the settings, or nil.
func PlacerByName(name string) Placer {
	switch name {
	case "expected_finish":
		return ExpectedFinish
	case "round_robin":
		return RoundRobin
	case "least_in_flight":
		return LeastInFlight
	case "two_choices":
		return TwoChoices
	}
	return nil
}

// rejectReason returns why a call must not go to a server now, whatever the placement policy, or "".
func (p *Pool) rejectReason(now time.Time, s *server, c *Call) string {
	if why := s.unreadyReason(now, c); why != "" {
		return why
	}
	if v := p.pushback.Check(now, pushback.Server{ID: s.cfg.Name()}); !v.Open() {
		return "asked for rest"
	}
	if s.backoff > 0 && c.once() && !c.probe {
		return "not tried with a call that may not be repeated"
	}
	if c.avoids(s) {
		return "failed this stage before"
	}
	return ""
}

// place picks a server for a call. A call that failed on every ready server may try them again. A call that
// must not be repeated is sent to a server that failed lately only when there is no other: in a pool
// without other calls the server's recovery would never be noticed otherwise.
func (p *Pool) place(now time.Time, c *Call) (*server, []Candidate) {
	p.markPrefix(c)
	ready := p.readyFor(now, c)
	if len(ready) == 0 && c.once() {
		c.probe = true
		ready = p.readyFor(now, c)
		c.probe = false
	}
	if len(ready) == 0 && len(c.Avoid) > 0 && !c.Hedge {
		c.Avoid = nil
		ready = p.readyFor(now, c)
	}
	if len(ready) == 0 {
		return nil, nil
	}
	s := p.Placement(p, now, c, ready)
	if s == nil || !p.shouldTrace(c) {
		return s, nil
	}
	return s, p.listCandidates(now, c, s)
}

// markPrefix records in the servers how many leading blocks of the call's prefix they probably hold.
func (p *Pool) markPrefix(c *Call) {
	p.marks++
	c.mark = p.marks
	if len(c.Prefix) > 0 {
		p.prefix.mark(c.mark, c.Prefix)
	}
}

// unavailableReason returns why a call can not be sent to a server now, including a full window, or "".
func (p *Pool) unavailableReason(now time.Time, s *server, c *Call) string {
	if why := p.rejectReason(now, s, c); why != "" {
		return why
	}
	if s.refresh(now, tickOf(now)); !p.NoAdmission && !s.rates.open[p.classFor(now, c)] {
		return "no room in its window"
	}
	return ""
}

// classFor returns the class whose window rules apply to a call. Urgent may-wait calls are treated like
// prompt calls, or they could starve where more boxes use a server than it has slots.
func (p *Pool) classFor(now time.Time, c *Call) config.Class {
	if c.Pipeline.Class() == config.MayWait && p.urgent(now, c) {
		return config.Prompt
	}
	return c.Pipeline.Class()
}

// readyFor lists the servers that a call can be sent to now. The next call of readyFor reuses the slice.
func (p *Pool) readyFor(now time.Time, c *Call) []*server {
	p.ready = p.ready[:0]
	class, tick := p.classFor(now, c), tickOf(now)
	for _, s := range p.eligible(c) {
		s.refresh(now, tick)
		if !s.rates.open[class] && !p.NoAdmission || !s.rates.usable && p.rejectReason(now, s, c) != "" || len(c.Avoid) > 0 && c.avoids(s) {
			continue
		}
		p.ready = append(p.ready, s)
	}
	return p.ready
}

// eligible lists the servers inside the call's boundary that have its model and adapter. It depends only on
// the configuration, so it is computed once per lane and configuration.
func (p *Pool) eligible(c *Call) []*server {
	k := laneOf(c)
	list, ok := p.eligibleServers[k]
	if ok {
		return list
	}
	for _, s := range p.order {
		if config.MayRun(c.Workspace, c.Stage, s.cfg.Domain()) && fits(s, c) {
			list = append(list, s)
		}
	}
	p.eligibleServers[k] = list
	return list
}

// shouldTrace reports whether the placement of a call is traced: always in small pools and for repeated
// attempts, otherwise for a sample.
func (p *Pool) shouldTrace(c *Call) bool {
	return len(p.order) <= traceAlways || c.Attempt.N > 0 || c.Attempt.Key.ID[15]%traceSampleEvery == 0
}

// listCandidates lists the candidates of a placement for its trace.
func (p *Pool) listCandidates(now time.Time, c *Call, chosen *server) []Candidate {
	out := make([]Candidate, 0, min(len(p.order), traceCandidates))
	ratio := p.ratio(c)
	for _, s := range p.order {
		if len(out) == traceCandidates-1 && s != chosen {
			continue // the last place is reserved for the chosen server
		}
		if len(out) == traceCandidates {
			break
		}
		cand := Candidate{Server: s.cfg.Name(), PassedOver: p.unavailableReason(now, s, c)}
		if cand.PassedOver == "" {
			cand.Expected = s.estimate(now, c, ratio).total()
			cand.PassedOver = "slower"
		}
		if s == chosen {
			cand.PassedOver = ""
		}
		out = append(out, cand)
	}
	return out
}

// ExpectedFinish picks the server where the call is expected to finish first. Distance counts as time. A
// small jitter by box and call keeps boxes that see the same stale report from choosing the same server. It
// computes the same as server.estimate, inlined so that the terms of the call are computed once for many
// servers.
func ExpectedFinish(p *Pool, now time.Time, c *Call, ready []*server) *server {
	seed := p.selfHash() ^ c.Attempt.Key.Hash() + uint64(c.Attempt.N)
	prompt, tokens := float64(c.PromptTokens), max(1, float64(int(float64(c.MaxTokens)*p.ratio(c))))
	var best *server
	least := math.Inf(1)
	for _, s := range ready {
		r := &s.rates
		run := r.run
		if c.MaxTokens > 0 {
			left := prompt
			if s.markedFor == c.mark {
				left = max(0, prompt-float64(s.marked*BlockBytes/bytesPerToken)*s.cacheAccuracy)
			}
			run = s.prefill*left + r.token*tokens
		}
		score := (run*(r.queue+r.penalty)+r.delay)*(1+scoreJitter*s.jitter(seed)) + p.localityCost(s)
		if score < least {
			best, least = s, score
		}
	}
	return best
}

// localityCost is the cost of leaving the box's own failure domain or region, in seconds.
func (p *Pool) localityCost(s *server) float64 {
	switch {
	case s.cfg.Domain() == p.Domain:
		return 0
	case s.sameRegion:
		return otherDomainCost.Seconds()
	}
	return otherRegionCost.Seconds()
}

// selfHash returns the cached hash of the box's name.
func (p *Pool) selfHash() uint64 {
	if p.hashed == 0 {
		p.hashed = xxhash.Sum64String(p.Self) | 1
	}
	return p.hashed
}

// RoundRobin is a baseline that picks the servers in turn.
func RoundRobin(p *Pool, _ time.Time, _ *Call, ready []*server) *server {
	p.seed++
	return ready[p.seed%uint64(len(ready))]
}

// LeastInFlight is a baseline that picks the server with the fewest calls of this box.
func LeastInFlight(p *Pool, _ time.Time, _ *Call, ready []*server) *server {
	p.seed++
	best := ready[p.seed%uint64(len(ready))]
	for _, s := range ready {
		if len(s.inFlight) < len(best.inFlight) {
			best = s
		}
	}
	return best
}

// TwoChoices is a baseline that draws two servers by a fixed sequence and picks the less loaded one.
func TwoChoices(p *Pool, now time.Time, _ *Call, ready []*server) *server {
	p.seed = p.seed*6364136223846793005 + 1442695040888963407
	a := ready[(p.seed>>33)%uint64(len(ready))]
	p.seed = p.seed*6364136223846793005 + 1442695040888963407
	b := ready[(p.seed>>33)%uint64(len(ready))]
	load := func(s *server) float64 { return float64(len(s.inFlight)+s.peerCalls(now)) / float64(s.slots()) }
	if load(b) < load(a) {
		return b
	}
	return a
}
