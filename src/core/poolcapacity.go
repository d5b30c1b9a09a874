package core

import (
	"math"
	"time"

	"github.com/stilemast/stilemast/src/config"
)

// Capacity of a pool and expected waiting times.

// meter measures a rate of work, in seconds of work per second, as an exponentially decaying mean.
type meter struct {
	rate   float64
	at     time.Time
	window time.Duration
}

// add counts work with the given cost in seconds.
func (m *meter) add(now time.Time, cost float64) {
	m.rate = m.read(now) + cost/m.window.Seconds()
	m.at = now
}

func (m *meter) read(now time.Time) float64 {
	return m.rate * math.Exp(-now.Sub(m.at).Seconds()/m.window.Seconds())
}

// capacity returns how many slots of all servers this box can count on, cached for ratesTTL.
func (p *Pool) capacity(now time.Time) float64 {
	if !p.capacityAt.IsZero() && now.Sub(p.capacityAt) < ratesTTL {
		return p.cachedCapacity
	}
	p.cachedCapacity, p.capacityAt = 0, now
	for _, s := range p.order {
		if !s.leaving() && s.backoff == 0 {
			p.cachedCapacity += max(s.share(), s.window)
		}
	}
	return p.cachedCapacity
}

// WaitFor returns how long a new call of a class would wait for its place behind the calls with earlier
// deadlines.
func (p *Pool) WaitFor(now time.Time, class config.Class, deadline time.Time) time.Duration {
	slots := max(1, p.capacity(now))
	if class == config.Prompt {
		return seconds(p.backlog[config.Prompt].costBefore(deadline) / slots)
	}
	return seconds((p.backlog[config.Prompt].sum + p.backlog[config.MayWait].costBefore(deadline)) / p.mayWaitThroughput(now, slots))
}

// mayWaitThroughput returns how many seconds of may-wait work the pool completes per second. Once such work has
// waited for paceWindow the rate is measured, which accounts for prompt work, other boxes and errors in the
// expected costs; until then it is estimated from what prompt work leaves.
func (p *Pool) mayWaitThroughput(now time.Time, slots float64) float64 {
	if !p.mayWaitSince.IsZero() && now.Sub(p.mayWaitSince) > paceWindow {
		return max(minMayWaitShare*slots, p.pace.read(now))
	}
	return slots * max(minMayWaitShare, 1-max(mayWaitHeadroom, p.demand.read(now)/slots))
}
