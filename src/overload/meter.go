// Package overload measures how busy this box's processor and link are, and closes new connections of callers unread where
// it cannot serve more.
package overload

import (
	"runtime"
	"sync"
	"time"
)

// Load is the load of a box during an interval.
type Load struct {
	Delay time.Duration // least time that a goroutine waited for the processor
	Link  float64       // share of the link that callers' bytes take, 0 if the link's bandwidth is unknown
}

// Overloaded reports whether the processor or the link is too busy for more work.
func (l Load) Overloaded() bool { return l.Delay > maxDelay || l.Link > maxLink }

// Meter measures the load of this box. Probes cost a goroutine each and no timer. Set the exported fields before use.
type Meter struct {
	LinkMbps float64          // bandwidth of the link in each direction, 0 if unknown
	Now      func() time.Time // nil for time.Now

	mu      sync.Mutex
	began   time.Time // of the current interval
	bytes   int64     // read from callers and written to them in it
	samples int
	least   time.Duration
	probed  time.Time // start of the running probe, zero for none
}

// Probe starts a measurement of the wait for the processor unless one is running.
func (m *Meter) Probe() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.probed.IsZero() {
		return
	}
	m.probed = m.now()
	go func() {
		runtime.Gosched() // to the end of the run queue
		m.endProbe()
	}()
}

func (m *Meter) endProbe() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addSample(m.now().Sub(m.probed))
	m.probed = time.Time{}
}

func (m *Meter) addSample(delay time.Duration) {
	if m.samples == 0 || delay < m.least {
		m.least = delay
	}
	m.samples++
}

// AddBytes counts bytes read from callers or written to them.
func (m *Meter) AddBytes(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bytes += int64(n)
}

// Take ends the current interval and returns its load, unless the interval is too short or has too few samples. An interval
// without enough samples ends after maxInterval as one without load on the processor.
func (m *Meter) Take() (Load, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if m.began.IsZero() {
		m.reset(now)
	}
	took := now.Sub(m.began)
	if !m.probed.IsZero() && now.Sub(m.probed) > maxDelay {
		m.addSample(now.Sub(m.probed))
	}
	if took < minInterval || m.samples < minSamples && took < maxInterval {
		return Load{}, false
	}
	var l Load
	if m.samples >= minSamples {
		l.Delay = m.least
	}
	if m.LinkMbps > 0 {
		// The bytes of callers pass the link a second time, on the connections to servers, in the other direction.
		l.Link = float64(m.bytes) * bitsPerByte / (m.LinkMbps * bitsPerMegabit * took.Seconds())
	}
	m.reset(now)
	return l, true
}

// reset begins an interval.
func (m *Meter) reset(now time.Time) { m.began, m.bytes, m.samples, m.least = now, 0, 0, 0 }

func (m *Meter) now() time.Time {
	if m.Now == nil {
		return time.Now()
	}
	return m.Now()
}
