package clock

import (
	"errors"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// machine holds the clocks of a machine under the control of a test.
type machine struct {
	wall   time.Time
	steady time.Duration
	boot   time.Duration
	fails  bool
}

func newMachine() (*machine, *Boot) {
	m := &machine{wall: time.Unix(1_000_000, 0), steady: 5 * time.Second, boot: time.Hour}
	return m, &Boot{
		Read: func() (time.Time, time.Duration) { return m.wall, m.steady },
		SinceBoot: func() (time.Duration, error) {
			if m.fails {
				return 0, errors.New("no such clock")
			}
			return m.boot, nil
		},
	}
}

func (m *machine) run(d time.Duration) {
	m.wall, m.steady, m.boot = m.wall.Add(d), m.steady+d, m.boot+d
}

func (m *machine) sleep(d time.Duration) { m.wall, m.boot = m.wall.Add(d), m.boot+d }

func (m *machine) step(d time.Duration) { m.wall = m.wall.Add(d) }

func TestSuspendCountsAndWallClockStepDoesNot(t *testing.T) {
	m, c := newMachine()
	began := c.Now()
	m.run(time.Second)
	m.step(-3 * time.Second)
	m.run(time.Second)
	if d := c.Now().Sub(began); d != 2*time.Second {
		t.Errorf("%s after two seconds and a step back", d)
	}
	m.sleep(5 * time.Second)
	if d := c.Now().Sub(began); d != 7*time.Second {
		t.Errorf("%s after a sleep of five more", d)
	}
}

// A step back hides a suspend of the same length from a comparison with the wall clock.
func TestSuspendHiddenByStepIsNoticed(t *testing.T) {
	m, c := newMachine()
	began := c.Now()
	m.sleep(2 * time.Second)
	m.step(-2 * time.Second)
	m.run(measureEvery + time.Millisecond)
	if d := c.Now().Sub(began); d < 2*time.Second {
		t.Errorf("%s after a sleep of two seconds", d)
	}
}

func TestTimeIsMonotonicAndComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, c := newMachine()
		began := c.Now()
		last, gone := began, time.Duration(0)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			d := time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				m.run(d)
				gone += d
			case 1:
				m.sleep(d)
				gone += d
			case 2:
				m.step(d)
			case 3:
				m.step(-d)
			}
			now := c.Now()
			if now.Before(last) {
				t.Fatal("the clock went back")
			}
			last = now
		}
		m.run(measureEvery + time.Millisecond)
		gone += measureEvery + time.Millisecond
		if d := gone - c.Now().Sub(began); d < 0 || d > maxDrift {
			t.Fatalf("%s are missing of %s", d, gone)
		}
	})
}

func TestFallsBackToMonotonicClock(t *testing.T) {
	m, c := newMachine()
	m.fails = true
	began := c.Now()
	m.run(time.Second)
	if d := c.Now().Sub(began); d != time.Second || c.Err() == nil {
		t.Errorf("%s, error %v", d, c.Err())
	}
}

func TestMachineClocksAgree(t *testing.T) {
	var c Boot
	var all sync.WaitGroup
	began, steady := c.Now(), time.Now()
	for range 8 {
		all.Go(func() {
			for range 2000 {
				c.Now()
			}
		})
	}
	all.Wait()
	if d := (c.Now().Sub(began) - time.Since(steady)).Abs(); d > 50*time.Millisecond || c.Err() != nil {
		t.Errorf("apart by %s, error %v", d, c.Err())
	}
}

func BenchmarkNow(b *testing.B) {
	var c Boot
	for b.Loop() {
		c.Now()
	}
}
