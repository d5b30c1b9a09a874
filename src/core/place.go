package core

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
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
	if why := s.ready(now, c); why != "" {
		return why
	}
	if s.rest > 0 && c.once() {
		return "not tried with a call that may not be repeated"
	}
	for _, a := range c.Avoid {
		if a == s.cfg.Name() {
			return "failed this stage before"
		}
	}
	return ""
}

// place picks a server for a call. A call that every ready server failed before may try them again.
func (p *Pool) place(now time.Time, c *Call) (*server, []Candidate) {
	ready, trace := p.candidates(now, c)
	if len(ready) == 0 && len(c.Avoid) > 0 && !c.Hedge {
		saved := c.Avoid
		c.Avoid = nil
		ready, trace = p.candidates(now, c)
		c.Avoid = saved
	}
	if len(ready) == 0 {
		return nil, nil
	}
	s := p.Placement(p, now, c, ready)
	if s == nil {
		return nil, nil
	}
	for i := range trace {
		if trace[i].Server == s.cfg.Name() {
			trace[i].PassedOver = ""
		}
	}
	return s, trace
}

func (p *Pool) candidates(now time.Time, c *Call) ([]*server, []Candidate) {
	ready := make([]*server, 0, len(p.order))
	trace := make([]Candidate, 0, min(len(p.order), traceCandidates))
	ratio := p.ratio(c)
	for _, s := range p.order {
		why := p.rejects(now, s, c)
		if why == "" && !p.NoAdmission && !s.open(now, c.Pipeline.Class()) {
			why = "no room in its window"
		}
		cand := Candidate{Server: s.cfg.Name(), PassedOver: why}
		if why == "" {
			ready = append(ready, s)
			cand.PassedOver = "slower"
			cand.Expected = s.expect(now, c, ratio).total()
		}
		if len(trace) < traceCandidates {
			trace = append(trace, cand)
		}
	}
	return ready, trace
}

// ExpectedFinish picks the server where the call is expected to end first. Nearness counts in time,
// and each box leans a little towards servers of its own for each call, so that boxes that see the
// same stale report don't all choose alike.
func ExpectedFinish(p *Pool, now time.Time, c *Call, ready []*server) *server {
	ratio := p.ratio(c)
	seed := xxhash.Sum64String(p.Self) ^ c.Attempt.Key.Hash() + uint64(c.Attempt.N)
	var best *server
	least := math.Inf(1)
	for _, s := range ready {
		w := s.expect(now, c, ratio)
		score := (w.wait + w.run) * (1 + spreadShare*s.jitter(seed))
		score += p.distance(s)
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
	case s.cfg.Region() == p.Region:
		return otherDomainCost.Seconds()
	}
	return otherRegionCost.Seconds()
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
		if len(s.mine) < len(best.mine) {
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
	load := func(s *server) float64 { return float64(len(s.mine)+s.others(now)) / float64(s.slots()) }
	if load(b) < load(a) {
		return b
	}
	return a
}
