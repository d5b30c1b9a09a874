// Package clock provides the time by which a process measures durations: ages, leases, deadlines, pauses.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxDrift is the change between wall clock and monotonic clock after which suspended time is measured
	// again. A slew of 500 ppm reaches it every ten seconds, a suspend or a step at once.
	maxDrift = 5 * time.Millisecond
	// measureEvery is the interval at which suspended time is measured in any case, so that a suspend
	// hidden by a step of the wall clock is noticed within a tick.
	measureEvery = 100 * time.Millisecond
	// closeReads is the largest acceptable distance between two readings of the monotonic clock around one
	// of the boot clock, and tries is how often they are repeated to achieve that.
	closeReads = time.Millisecond
	tries      = 5
)

// Boot is a clock that never steps and counts the time during which the machine was suspended. Go's
// monotonic clock does not count it: after five suspended seconds a lease of two seconds would still seem
// valid. The wall clock counts it but may step.
//
// Reading the boot clock costs a system call, so it is done only ten times per second and when the wall
// clock has moved against the monotonic clock, as it does during a suspend. Set both fields before use, or
// neither.
type Boot struct {
	// Read returns the wall clock and the monotonic clock, read together; nil reads those of the machine.
	Read func() (wall time.Time, steady time.Duration)
	// SinceBoot reads the boot clock; nil reads that of the machine.
	SinceBoot func() (time.Duration, error)

	once     sync.Once
	origin   time.Time     // wall clock time at monotonic time 0 of Read
	offset   time.Duration // of the boot clock from the monotonic clock at the start
	slept    atomic.Int64  // nanoseconds suspended since the start
	gap      atomic.Int64  // of the wall clock from the monotonic clock at the last measurement
	measured atomic.Int64  // monotonic time of the last measurement

	mu  sync.Mutex
	err error // of the last reading of the boot clock
}

// machineClock is the clock of this machine.
var machineClock Boot

// Now returns the time on the clock of this machine; see Boot.Now.
func Now() time.Time { return machineClock.Now() }

// Err returns the error of the last reading of that clock; see Boot.Err.
func Err() error { return machineClock.Err() }

// Now returns the wall clock time at which the clock was started plus the time elapsed since. It has no
// monotonic reading that runtime timers understand; pass them differences.
func (c *Boot) Now() time.Time {
	c.once.Do(c.begin)
	wall, steady := c.Read()
	gap := wall.UnixNano() - int64(steady)
	apart := time.Duration(gap - c.gap.Load()).Abs()
	if apart > maxDrift || steady-time.Duration(c.measured.Load()) > measureEvery {
		c.measure(gap, steady)
	}
	return c.origin.Add(steady + time.Duration(c.slept.Load()))
}

// Err returns the error of the last reading of the boot clock; while there is one, suspended time is not
// counted.
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
	boot, after, err := c.readClocks()
	c.offset, c.err = boot-after, err
	c.gap.Store(wall.UnixNano() - int64(steady))
	c.measured.Store(int64(steady))
}

// measure updates the suspended time. It never overestimates it: the monotonic clock is read after the boot
// clock, and the readings are repeated if the process is delayed between them.
func (c *Boot) measure(gap int64, steady time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	boot, after, err := c.readClocks()
	if c.err = err; err == nil {
		if slept := int64(boot - after - c.offset); slept > c.slept.Load()+int64(closeReads) {
			c.slept.Store(slept)
		}
	}
	c.gap.Store(gap)
	c.measured.Store(int64(steady))
}

// readClocks reads the boot clock and then the monotonic clock, a few times if the two reads are far apart.
func (c *Boot) readClocks() (boot, after time.Duration, err error) {
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

// Sleep pauses for a duration or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
