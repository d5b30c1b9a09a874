// Package clock tells the time by which a process measures what goes by: ages, leases, deadlines, pauses.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// moved is by how much the time of day and the steady clock come apart before the sleep is measured again: a slew of 500
	// parts in a million does so every ten seconds, a sleep or a step at once.
	moved = 5 * time.Millisecond
	// measureEvery is after how long it is measured again in any case, so that a sleep which a step of the time of day hides is
	// seen within a tick.
	measureEvery = 100 * time.Millisecond
	// closeReads is how far apart two readings of the steady clock may lie around one of the boot clock, and tries how often
	// they are read for that.
	closeReads = time.Millisecond
	tries      = 5
)

// Boot is a clock that never steps and counts the time in which the machine was suspended. The steady clock of the language
// does not count it: after a sleep of five seconds a lease of two would seem to hold. The time of day counts it, but steps.
//
// The boot clock costs a system call, so it is read only when the time of day has moved against the steady clock, as it
// does in a sleep, and ten times a second. Set the fields before use, or none of them.
type Boot struct {
	// Read gives the time of day and the steady clock, which are read as one; nil reads the machine's.
	Read func() (wall time.Time, steady time.Duration)
	// SinceBoot reads the boot clock; nil reads the machine's.
	SinceBoot func() (time.Duration, error)

	once     sync.Once
	origin   time.Time     // the time of day when the clock was begun
	offset   time.Duration // of the boot clock from the steady one then
	slept    atomic.Int64  // nanoseconds since then
	gap      atomic.Int64  // of the time of day from the steady clock, when the sleep was last measured
	measured atomic.Int64  // the steady clock then

	mu  sync.Mutex
	err error // of the last reading of the boot clock
}

// own is the clock of the machine of this process.
var own Boot

// Now is the time on the clock of this process's machine; see Boot.Now.
func Now() time.Time { return own.Now() }

// Err is the error of the last reading of that clock; see Boot.Err.
func Err() error { return own.Err() }

// Now is the time of day at which the clock was begun and what has gone by since. It has no part that the runtime's timers
// understand: give them differences.
func (c *Boot) Now() time.Time {
	c.once.Do(c.begin)
	wall, steady := c.Read()
	gap := wall.UnixNano() - int64(steady)
	apart := time.Duration(gap - c.gap.Load()).Abs()
	if apart > moved || steady-time.Duration(c.measured.Load()) > measureEvery {
		c.measure(gap, steady)
	}
	return c.origin.Add(steady + time.Duration(c.slept.Load()))
}

// Err is the error of the last reading of the boot clock; sleeps are not seen while there is one.
func (c *Boot) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

func (c *Boot) begin() {
	if c.Read == nil {
		began := time.Now()
		c.Read = func() (time.Time, time.Duration) {
			now := time.Now()
			return now, now.Sub(began)
		}
	}
	if c.SinceBoot == nil {
		c.SinceBoot = sinceBoot
	}
	wall, steady := c.Read()
	c.origin = time.Unix(0, wall.UnixNano()-int64(steady))
	boot, after, err := c.together()
	c.offset, c.err = boot-after, err
	c.gap.Store(wall.UnixNano() - int64(steady))
	c.measured.Store(int64(steady))
}

// measure reads how long the machine has slept. It never says more than is true: the steady clock is read after the boot
// clock, and a process that is held up between them retries.
func (c *Boot) measure(gap int64, steady time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	boot, after, err := c.together()
	if c.err = err; err == nil {
		if slept := int64(boot - after - c.offset); slept > c.slept.Load()+int64(closeReads) {
			c.slept.Store(slept)
		}
	}
	c.gap.Store(gap)
	c.measured.Store(int64(steady))
}

// together reads the boot clock and then the steady one, as closely as a few tries allow.
func (c *Boot) together() (boot, after time.Duration, err error) {
	for range tries {
		_, before := c.Read()
		if boot, err = c.SinceBoot(); err != nil {
			return 0, 0, err
		}
		if _, after = c.Read(); after-before <= closeReads {
			break
		}
	}
	return boot, after, nil
}

func sinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
