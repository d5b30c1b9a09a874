package overload

import (
	"runtime"
	"testing"
	"time"
)

// long is a delay that counts towards an overload.
const long = maxDelay + 10*time.Millisecond

// clock is a clock that a test sets.
type clock struct{ now time.Time }

func newMeter(linkMbps float64) (*Meter, *clock) {
	c := &clock{now: time.Unix(1000, 0)}
	m := &Meter{LinkMbps: linkMbps, Now: func() time.Time { return c.now }}
	m.Take()
	return m, c
}

// probe plays probes of the given delays, one after another.
func (m *Meter) probe(c *clock, delays ...time.Duration) {
	for _, d := range delays {
		m.mu.Lock()
		m.beginProbe()
		m.mu.Unlock()
		c.now = c.now.Add(d)
		m.endProbe()
	}
}

// Guards against a pause of the process, or its used-up quota, that counts as an overload.
func TestOverloadIsAStandingDelay(t *testing.T) {
	m, c := newMeter(0)
	m.probe(c, long, long)
	if l, ok := m.Take(); !ok || l.Delay != 0 {
		t.Errorf("load after two long probes: %+v, %v", l, ok)
	}
	m.probe(c, time.Millisecond, long, long)
	if l, ok := m.Take(); !ok || l.Delay != 0 {
		t.Errorf("load after a short probe between long ones: %+v, %v", l, ok)
	}
	m.probe(c, long, (long + 1))
	if l, ok := m.Take(); !ok || l.Delay != long+1 || l.excess() <= 1 {
		t.Errorf("load after four long probes: %+v, %v", l, ok)
	}
	m.probe(c, time.Millisecond)
	c.now = c.now.Add(minInterval)
	if l, ok := m.Take(); !ok || l.Delay != 0 {
		t.Errorf("load after a short probe: %+v, %v", l, ok)
	}
}

// Guards against an overload that is seen late, since the probe itself takes long.
func TestLoadCountsAProbeThatHasNotEnded(t *testing.T) {
	m, c := newMeter(0)
	m.beginProbe()
	c.now = c.now.Add(minBusy)
	if l, ok := m.Take(); !ok || l.Delay != minBusy {
		t.Errorf("load %+v, %v", l, ok)
	}
}

// Guards against an overload that is seen again after a time without callers.
func TestOverloadIsForgottenWithoutCallers(t *testing.T) {
	m, c := newMeter(0)
	m.probe(c, time.Second)
	if l, _ := m.Take(); l.Delay != time.Second {
		t.Fatalf("load %+v", l)
	}
	c.now = c.now.Add(10 * time.Second)
	m.probe(c, long)
	if l, ok := m.Take(); !ok || l.Delay != 0 {
		t.Errorf("load %+v, %v", l, ok)
	}
}

// Guards against a full link that is not seen, and against a few large bodies that count as one.
func TestLoadOfTheLink(t *testing.T) {
	m, c := newMeter(10)
	play := func(bytes int) (l Load) {
		for range 10 {
			m.AddBytes(bytes)
			c.now = c.now.Add(minInterval)
			l, _ = m.Take()
		}
		return l
	}
	if l := play(62_500); l.Link < 0.45 || l.Link > 0.5 || l.excess() > 1 {
		t.Errorf("load of a link that is half full: %+v", l)
	}
	m.AddBytes(75_000)
	if l := play(62_500); l.excess() > 1 {
		t.Errorf("load after some large bodies: %+v", l)
	}
	if l := play(125_000); l.Link < 0.9 || l.excess() <= 1 {
		t.Errorf("load of a full link: %+v", l)
	}
}

// Guards against an overload seen at the start, where bytes from before the first interval count in it.
func TestFirstIntervalBeginsEmpty(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	m := &Meter{LinkMbps: 10, Now: func() time.Time { return c.now }}
	m.AddBytes(1_000_000)
	m.Take()
	c.now = c.now.Add(minInterval)
	if l, ok := m.Take(); !ok || l.Link > 0 {
		t.Errorf("load %+v, %v", l, ok)
	}
}

// Guards against probes that add up while the processor is busy.
func TestOneProbeRunsAtATime(t *testing.T) {
	m := &Meter{}
	before := runtime.NumGoroutine()
	for range 100 {
		m.Probe()
	}
	if n := runtime.NumGoroutine(); n > before+50 {
		t.Errorf("%d goroutines, %d before", n, before)
	}
	for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(time.Millisecond) {
		m.mu.Lock()
		done := m.probed.IsZero() && !m.ended.IsZero()
		m.mu.Unlock()
		if done {
			return
		}
	}
	t.Error("the probe did not end")
}
