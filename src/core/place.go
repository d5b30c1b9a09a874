package core

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/pushback"
)

// Placer picks one of the servers that are ready for a call, or nil to let it wait. The baselines
// stand beside ExpectedFinish so that one run can compare them.
type Placer func(p *Pool, now time.Time, c *Call, ready []*server) *server

// PlacerByName finds a policy by its name in the settings; nil for an unknown name.
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

// rejects says why a call can't go to a server now, whatever the policy; "" if it can.
func (p *Pool) rejects(now time.Time, s *server, c *Call) string {
	if why := s.rejectReason(now, c); why != "" {
		return why
	}
	if v := p.pushback.Judge(now, pushback.Server{ID: s.cfg.Name()}); !v.Open() {
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

// place picks a server for a call. A call that every ready server failed before may try them again. A
// call that may not be repeated tries a server that failed lately only when there is no other: in a
// pool that takes no other calls nobody else would ever find out that it is well again.
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
	if s == nil || !p.explains(c) {
		return s, nil
	}
	return s, p.explain(now, c, s)
}

// markPrefix has the servers know how much of the call's prefix they probably hold.
func (p *Pool) markPrefix(c *Call) {
	p.marks++
	c.mark = p.marks
	if len(c.Prefix) > 0 {
		p.prefix.mark(c.mark, c.Prefix)
	}
}

// passedOver says why a call can't be sent to a server now, or "".
func (p *Pool) passedOver(now time.Time, s *server, c *Call) string {
	if why := p.rejects(now, s, c); why != "" {
		return why
	}
	if s.refresh(now, tickOf(now)); !p.NoAdmission && !s.rates.open[p.classFor(now, c)] {
		return "no room in its window"
	}
	return ""
}

// classFor is the class by whose rules a call gets its place: urgent may-wait work goes like prompt
// work, or it could wait for ever where more boxes use a server than it has slots.
func (p *Pool) classFor(now time.Time, c *Call) config.Class {
	if c.Pipeline.Class() == config.MayWait && p.urgent(now, c) {
		return config.Prompt
	}
	return c.Pipeline.Class()
}

// readyFor lists the servers a call can be sent to now, in memory that the next call reuses.
func (p *Pool) readyFor(now time.Time, c *Call) []*server {
	p.ready = p.ready[:0]
	class, tick := p.classFor(now, c), tickOf(now)
	for _, s := range p.eligible(c) {
		s.refresh(now, tick)
		if !s.rates.open[class] && !p.NoAdmission || !s.rates.usable && p.rejects(now, s, c) != "" || len(c.Avoid) > 0 && c.avoids(s) {
			continue
		}
		p.ready = append(p.ready, s)
	}
	return p.ready
}

// eligible lists the servers inside the call's boundary that hold its model and adapter. This rests on
// the configuration alone, so it is worked out once for each lane and configuration.
func (p *Pool) eligible(c *Call) []*server {
	k := laneOf(c)
	list, ok := p.inside[k]
	if ok {
		return list
	}
	for _, s := range p.order {
		if config.MayRun(c.Workspace, c.Stage, s.cfg.Domain()) && fits(s, c) {
			list = append(list, s)
		}
	}
	p.inside[k] = list
	return list
}

// explains says whether the placement of a call is written down: always in small pools and for calls
// that failed before, otherwise for a sample.
func (p *Pool) explains(c *Call) bool {
	return len(p.order) <= traceAlways || c.Attempt.N > 0 || c.Attempt.Key.ID[15]%traceOneIn == 0
}

// explain writes down the candidates of a placement.
func (p *Pool) explain(now time.Time, c *Call, chosen *server) []Candidate {
	out := make([]Candidate, 0, min(len(p.order), traceCandidates))
	ratio := p.ratio(c)
	for _, s := range p.order {
		if len(out) == traceCandidates-1 && s != chosen {
			continue // the last line is the chosen one's
		}
		if len(out) == traceCandidates {
			break
		}
		cand := Candidate{Server: s.cfg.Name(), PassedOver: p.passedOver(now, s, c)}
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

// ExpectedFinish picks the server where the call is expected to end first. Nearness counts in time,
// and each box leans a little towards servers of its own for each call, so that boxes that see the
// same stale report don't all choose alike. It is expect, written out for many servers: the figures
// of the call are worked out once.
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
		score := (run*(r.queue+r.penalty)+r.delay)*(1+spreadShare*s.jitter(seed)) + p.distance(s)
		if score < least {
			best, least = s, score
		}
	}
	return best
}

// distance is what it costs to leave the box's own failure domain or region, in seconds.
func (p *Pool) distance(s *server) float64 {
	switch {
	case s.cfg.Domain() == p.Domain:
		return 0
	case s.sameRegion:
		return otherDomainCost.Seconds()
	}
	return otherRegionCost.Seconds()
}

// selfHash is the hash of the box's name, worked out once.
func (p *Pool) selfHash() uint64 {
	if p.hashed == 0 {
		p.hashed = xxhash.Sum64String(p.Self) | 1
	}
	return p.hashed
}

// RoundRobin is a baseline: each server in turn.
func RoundRobin(p *Pool, _ time.Time, _ *Call, ready []*server) *server {
	p.seed++
	return ready[p.seed%uint64(len(ready))]
}

// LeastInFlight is a baseline: the server with the fewest of this box's calls.
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

// TwoChoices is a baseline: the less loaded by report of two servers drawn by a fixed sequence.
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
