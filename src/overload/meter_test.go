package overload

import (
	"runtime"
	"testing"
	"time"
)

// clock is a clock that a test sets.
type clock struct{ now time.Time }

func newMeter(linkMbps float64) (*Meter, *clock) {
	c := &clock{now: time.Unix(1000, 0)}
	m := &Meter{LinkMbps: linkMbps, Now: func() time.Time { return c.now }}
	m.Take()
	return m, c
}

// sample adds a finished probe.
func (m *Meter) sample(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addSample(delay)
}

// Guards against a single pause that counts as an overload.
func TestLoadIsTheLeastDelay(t *testing.T) {
	m, c := newMeter(0)
	for _, d := range []time.Duration{90 * time.Millisecond, time.Millisecond, 300 * time.Millisecond} {
		m.sample(d)
	}
	if _, ok := m.Take(); ok {
		t.Error("an interval of no length has a load")
	}
	c.now = c.now.Add(minInterval)
	if l, ok := m.Take(); !ok || l.Delay != time.Millisecond {
		t.Errorf("load %+v, %v", l, ok)
	}
	m.sample(time.Second)
	c.now = c.now.Add(minInterval)
	if l, ok := m.Take(); ok {
		t.Errorf("one sample makes a load: %+v", l)
	}
	c.now = c.now.Add(maxInterval)
	if l, ok := m.Take(); !ok || l.Delay != 0 {
		t.Errorf("load of an interval with one sample: %+v, %v", l, ok)
	}
}

// Guards against an overload that is not seen since no probe ends.
func TestLoadCountsAProbeThatHasNotEnded(t *testing.T) {
	m, c := newMeter(0)
	m.probed = c.now
	for range minSamples {
		c.now = c.now.Add(minInterval)
		if l, ok := m.Take(); ok {
			if l.Delay < minInterval {
				t.Errorf("load %+v", l)
			}
			return
		}
	}
	t.Error("no load")
}

// Guards against a full link that is not seen.
func TestLoadOfTheLink(t *testing.T) {
	m, c := newMeter(10)
	m.AddBytes(62_500)
	m.AddBytes(31_250)
	c.now = c.now.Add(maxInterval)
	if l, ok := m.Take(); !ok || l.Link < 0.149 || l.Link > 0.151 {
		t.Errorf("load %+v, %v", l, ok)
	}
}

// Guards against an overload seen at the start, where bytes from before the first interval count in it.
func TestFirstIntervalBeginsEmpty(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	m := &Meter{LinkMbps: 10, Now: func() time.Time { return c.now }}
	m.AddBytes(1_000_000)
	m.Take()
	c.now = c.now.Add(maxInterval)
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
		done := m.probed.IsZero() && m.samples > 0
		m.mu.Unlock()
		if done {
			return
		}
	}
	t.Error("the probe did not end")
}
