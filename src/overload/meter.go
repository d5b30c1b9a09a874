// Package overload measures how busy this box's processor and link are, and closes new connections of callers unread where
// it cannot serve more.
package overload

import (
	"math"
	"runtime"
	"sync"
	"time"
)

// Load is the load of a box during an interval.
type Load struct {
	Delay time.Duration // for which goroutines wait for the processor; 0 unless it has been long without a break
	Link  float64       // share of the link that callers' bytes take, smoothed; 0 if the link's bandwidth is unknown
	Took  time.Duration // of the interval
}

// excess returns the load in proportion to its limit; beyond 1 the box is overloaded. The link's counts squared: a full link does
// not show how much more was to come.
func (l Load) excess() float64 {
	link := l.Link / maxLink
	return max(float64(l.Delay)/float64(maxDelay), link*link)
}

// Meter measures the load of this box. Probes cost a goroutine each and no timer. Set the exported fields before use.
type Meter struct {
	LinkMbps float64          // bandwidth of the link in each direction, 0 if unknown
	Now      func() time.Time // nil for time.Now

	mu    sync.Mutex
	began time.Time // of the current interval
	bytes int64     // read from callers and written to them in it
	link  float64   // smoothed share, up to the last interval

	probed time.Time     // start of the running probe, zero for none
	ended  time.Time     // end of the last probe
	delay  time.Duration // that the last probe measured
	since  time.Time     // start of the first of the last probes that all took longer than maxDelay; zero if the last did not
}

// Probe starts a measurement of the wait for the processor unless one is running.
func (m *Meter) Probe() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.beginProbe() {
		go func() {
			runtime.Gosched() // to the end of the run queue
			m.endProbe()
		}()
	}
}

// beginProbe records the start of a probe. It returns false if one is running. The caller holds m.mu.
func (m *Meter) beginProbe() bool {
	if !m.probed.IsZero() {
		return false
	}
	m.probed = m.now()
	if m.probed.Sub(m.ended) > minBusy {
		m.since = time.Time{}
	}
	return true
}

func (m *Meter) endProbe() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = m.now()
	m.delay = m.ended.Sub(m.probed)
	switch {
	case m.delay <= maxDelay:
		m.since = time.Time{}
	case m.since.IsZero():
		m.since = m.probed
	}
	m.probed = time.Time{}
}

// AddBytes counts bytes read from callers or written to them.
func (m *Meter) AddBytes(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bytes += int64(n)
}

// Take ends the current interval and returns its load, unless the interval is too short.
func (m *Meter) Take() (Load, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if m.began.IsZero() {
		m.began, m.bytes = now, 0
	}
	l := Load{Took: now.Sub(m.began)}
	if l.Took < minInterval {
		return Load{}, false
	}
	l.Delay = m.standingDelay(now)
	if m.LinkMbps > 0 {
		// The bytes of callers pass the link a second time, on the connections to servers, in the other direction.
		share := float64(m.bytes) * bitsPerByte / (m.LinkMbps * bitsPerMegabit * l.Took.Seconds())
		m.link += (share - m.link) * -math.Expm1(-l.Took.Seconds()/linkSmoothing.Seconds())
		l.Link = m.link
	}
	m.began, m.bytes = now, 0
	return l, true
}

// standingDelay returns the wait for the processor if it has exceeded maxDelay for minBusy, else 0. The caller holds m.mu.
func (m *Meter) standingDelay(now time.Time) time.Duration {
	since, delay := m.since, m.delay
	if !m.probed.IsZero() && now.Sub(m.probed) > maxDelay {
		delay = now.Sub(m.probed)
		if since.IsZero() {
			since = m.probed
		}
	}
	if since.IsZero() || now.Sub(since) < minBusy {
		return 0
	}
	return delay
}

func (m *Meter) now() time.Time {
	if m.Now == nil {
		return time.Now()
	}
	return m.Now()
}
