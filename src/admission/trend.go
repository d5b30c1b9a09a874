package admission

import (
	"sync"
	"time"
)

// Trend compares the pieces that arrived for each pool in the last trendWindow with those in the one before. Waits
// come from work that has arrived: at the start of a burst more is ahead of a request by the time that its later
// stages begin, and at the end less. It is safe for concurrent use.
type Trend struct {
	mu    sync.Mutex
	pools map[string]*arrivals
}

// arrivals are the pieces that arrived in windows of trendWindow.
type arrivals struct {
	began                 time.Time // of the current window
	current, last, before float64
}

// advance moves to the window of a time.
func (a *arrivals) advance(now time.Time) {
	for now.Sub(a.began) >= trendWindow {
		a.current, a.last, a.before = 0, a.current, a.last
		a.began = a.began.Add(trendWindow)
		if now.Sub(a.began) >= 3*trendWindow { // nothing arrived for long
			*a = arrivals{began: now}
		}
	}
}

// Arrived counts pieces for a pool.
func (t *Trend) Arrived(now time.Time, pool string, pieces int) {
	if pieces <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pools == nil {
		t.pools = map[string]*arrivals{}
	}
	a := t.pools[pool]
	if a == nil {
		if len(t.pools) >= maxTrendPools {
			clear(t.pools)
		}
		a = &arrivals{began: now}
		t.pools[pool] = a
	}
	a.advance(now)
	a.current += float64(pieces)
}

// Factor returns by how much the arrivals of the last trendWindow for a pool exceed those of the one before, within
// minTrend and maxTrend; 1 if little arrived.
func (t *Trend) Factor(now time.Time, pool string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.pools[pool]
	if a == nil {
		return 1
	}
	a.advance(now)
	part := float64(now.Sub(a.began)) / float64(trendWindow)
	last, before := a.current+(1-part)*a.last, part*a.last+(1-part)*a.before
	return min(maxTrend, max(minTrend, (last+trendPrior)/(before+trendPrior)))
}
