package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Costs of processor time at a box, on a whole core.
const (
	plainWork = 2 * time.Millisecond
	eventWork = 40 * time.Microsecond
	closeWork = 40 * time.Microsecond

	events    = 40 // of a stream
	eventStep = 50 * time.Millisecond

	step         = 5 * time.Millisecond
	patience     = 1500 * time.Millisecond // of a caller for the first output
	retryLatency = 4 * time.Millisecond
)

// task is a piece of work that waits for a box's processor.
type task struct {
	work time.Duration
	done func(now time.Time)
}

// simulatedBox is a box whose processor works on its run queue in order.
type simulatedBox struct {
	cores  float64
	guard  *Guard
	queue  []task
	budget time.Duration
}

func (b *simulatedBox) add(work time.Duration, done func(time.Time)) {
	b.queue = append(b.queue, task{work, done})
}

// run works for one step.
func (b *simulatedBox) run(now time.Time) {
	b.budget = min(b.budget, 0) + time.Duration(b.cores*float64(step))
	for len(b.queue) > 0 && b.budget > 0 {
		t := b.queue[0]
		b.queue = b.queue[1:]
		b.budget -= t.work
		t.done(now)
	}
}

// probe starts a probe, which waits behind the run queue.
func (b *simulatedBox) probe() {
	b.guard.Meter.mu.Lock()
	defer b.guard.Meter.mu.Unlock()
	if b.guard.Meter.beginProbe() {
		b.add(0, func(time.Time) { b.guard.Meter.endProbe() })
	}
}

// crowd is a simulated fleet of which one box gets most new connections.
type crowd struct {
	now    time.Time
	start  time.Time
	boxes  []*simulatedBox
	later  map[int][]func() // by step
	counts map[string]*count
	guards bool
}

type count struct{ sent, read, servedFirst, served int }

func newCrowd(boxes int, guards bool) *crowd {
	c := &crowd{now: time.Unix(1000, 0), start: time.Unix(1000, 0), later: map[int][]func(){}, counts: map[string]*count{}, guards: guards}
	for range boxes {
		c.boxes = append(c.boxes, &simulatedBox{cores: 0.192, guard: &Guard{Meter: Meter{Now: func() time.Time { return c.now }}}})
	}
	return c
}

func (c *crowd) after(d time.Duration, f func()) {
	at := int((c.now.Sub(c.start)+d)/step) + 1
	c.later[at] = append(c.later[at], f)
}

// connect sends a request to a box; ended is told whether it was read and whether it was served.
func (c *crowd) connect(b *simulatedBox, stream bool, ended func(read, served bool)) {
	b.probe()
	if c.guards && !b.guard.accept() {
		b.add(closeWork, func(time.Time) { ended(false, false) })
		return
	}
	began := c.now
	b.add(plainWork, func(now time.Time) {
		ended(true, now.Sub(began) < patience)
		if stream {
			for i := range events {
				c.after(time.Duration(i)*eventStep, func() { b.add(eventWork, func(time.Time) {}) })
			}
		}
	})
}

// request plays a caller with one retry at another box.
func (c *crowd) request(phase string, r *rand.Rand, crowded bool, share int) {
	n := c.counts[phase]
	if n == nil {
		n = &count{}
		c.counts[phase] = n
	}
	n.sent++
	first := r.IntN(len(c.boxes))
	if crowded && r.IntN(100) < share {
		first = 0
	}
	second := (first + 1 + r.IntN(len(c.boxes)-1)) % len(c.boxes)
	stream := r.IntN(2) == 0
	c.connect(c.boxes[first], stream, func(read, served bool) {
		if read {
			n.recordRead(served)
			return
		}
		c.after(retryLatency, func() {
			c.connect(c.boxes[second], stream, func(read, served bool) {
				if read {
					n.recordRead(served)
				}
			})
		})
	})
}

func (n *count) recordRead(served bool) {
	n.read++
	if served {
		n.servedFirst++
		n.served++
	}
}

// play sends requests at a rate.
func (c *crowd) play(phase string, d time.Duration, rate float64, crowded bool, share int) {
	r := rand.New(rand.NewPCG(uint64(len(c.boxes)), uint64(len(phase))))
	due := 0.0
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(step) {
		for due += rate * step.Seconds(); due >= 1; due-- {
			c.request(phase, r, crowded, share)
		}
		at := int(c.now.Sub(c.start) / step)
		for _, f := range c.later[at] {
			f()
		}
		delete(c.later, at)
		for _, b := range c.boxes {
			b.run(c.now)
		}
	}
}

// Guards against a box that reads more requests than its processor can serve when most new connections come to it, or
// closes more connections than it must.
func TestCrowdedBoxServesWhatItReads(t *testing.T) {
	for _, l := range []struct {
		boxes  int
		rate   float64
		faster float64
	}{{6, 120, 1}, {61, 231, 1}, {61, 231, 3}, {295, 330, 1}, {295, 330, 4}, {985, 423, 1}, {985, 423, 4}} {
		for _, share := range []int{50, 85, 95} {
			t.Run(fmt.Sprintf("%d boxes, %.0f requests a second, %d in 100 at one", l.boxes, l.rate*l.faster, share), func(t *testing.T) {
				c := newCrowd(l.boxes, true)
				c.play("before", 4*time.Second, l.rate, false, 0)
				c.play("begins", 3*time.Second, l.rate*l.faster, true, share)
				c.play("crowd", 10*time.Second, l.rate*l.faster, true, share)
				c.play("ends", 3*time.Second, l.rate, false, 0)
				c.play("after", 4*time.Second, l.rate, false, 0)
				n := c.counts["crowd"]
				t.Logf("%d sent, %d of %d served at the first attempt that was read; %v before, %v after", n.sent, n.servedFirst, n.read, *c.counts["before"], *c.counts["after"])
				if n.servedFirst < n.read*95/100 {
					t.Errorf("%d of %d requests were served at the first attempt that was read", n.servedFirst, n.read)
				}
				if n.served < n.sent*97/100 {
					t.Errorf("%d of %d requests were served in all", n.served, n.sent)
				}
				if a := c.counts["after"]; a.served < a.sent*99/100 {
					t.Errorf("%d of %d requests were served after the crowd", a.served, a.sent)
				}
				if s := c.boxes[0].guard.Status(); s.Share < 1 {
					t.Errorf("the box closes connections after the crowd: %+v", s)
				}
			})
		}
	}
}

// Guards against a load of which the box that gets most connections could serve all without a guard.
func TestCrowdWithoutAGuardIsNotServed(t *testing.T) {
	for _, boxes := range []int{6, 61, 295, 985} {
		c := newCrowd(boxes, false)
		c.play("crowd", 10*time.Second, 231, true, 85)
		if n := c.counts["crowd"]; n.served > n.sent/2 {
			t.Errorf("%d boxes: %d of %d served", boxes, n.served, n.sent)
		}
	}
}

// Guards against a box that closes connections that it could serve.
func TestBoxUsesItsProcessorWhileItClosesConnections(t *testing.T) {
	c := newCrowd(2, true)
	c.play("crowd", 4*time.Second, 300, true, 100)
	closed := c.boxes[0].guard.Status().Closed
	c.play("later", 10*time.Second, 300, true, 100)
	read := 3000 - int(c.boxes[0].guard.Status().Closed-closed)
	most := int(10 * c.boxes[0].cores / (plainWork.Seconds() + 0.5*events*eventWork.Seconds()))
	if read < most/2 || read > most*12/10 {
		t.Errorf("%d requests read, of at most %d that it can serve", read, most)
	}
}
