package core

import (
	"math"
	"time"

	"github.com/stilemast/stilemast/src/config"
)

// How much a pool can take, and how fast it gets through what waits.

// meter is a decaying mean of the seconds of work that pass in a second.
type meter struct {
	rate   float64
	at     time.Time
	window time.Duration
}

// add counts work of some seconds.
func (m *meter) add(now time.Time, cost float64) {
	m.rate = m.read(now) + cost/m.window.Seconds()
	m.at = now
}

func (m *meter) read(now time.Time) float64 {
	return m.rate * math.Exp(-now.Sub(m.at).Seconds()/m.window.Seconds())
}

// capacity is how many slots this box can count on over all servers, worked out now and then.
func (p *Pool) capacity(now time.Time) float64 {
	if !p.roomAt.IsZero() && now.Sub(p.roomAt) < ratesFor {
		return p.room
	}
	p.room, p.roomAt = 0, now
	for _, s := range p.order {
		if !s.leaving() && s.backoff == 0 {
			p.room += max(s.share(), s.window)
		}
	}
	return p.room
}

// WaitFor is how long a new call of a class would wait for its place, behind what waits with earlier
// deadlines.
func (p *Pool) WaitFor(now time.Time, class config.Class, deadline time.Time) time.Duration {
	slots := max(1, p.capacity(now))
	if class == config.Prompt {
		return seconds(p.backlog[config.Prompt].before(deadline) / slots)
	}
	return seconds((p.backlog[config.Prompt].sum + p.backlog[config.MayWait].before(deadline)) / p.mayWaitPace(now, slots))
}

// mayWaitPace is how many seconds of may-wait work the pool gets done in a second. Once some has
// waited for a while the pace is measured, which takes in whatever prompt work and other boxes leave
// and however far the expected costs are off; until then it is what prompt work leaves.
func (p *Pool) mayWaitPace(now time.Time, slots float64) float64 {
	if !p.waitsSince.IsZero() && now.Sub(p.waitsSince) > paceWindow {
		return max(minMayWaitShare*slots, p.pace.read(now))
	}
	return slots * max(minMayWaitShare, 1-max(mayWaitRoom, p.demand.read(now)/slots))
}
