package admission

import (
	"sync"
	"time"
)

// Weights of a new observation, as for round-trip times (RFC 6298).
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 2 // beyond the mean that Likely allows for
)

// Durations learns how long requests of each pipeline take from their arrival to the end of their answers. It is safe for
// concurrent use.
type Durations struct {
	mu sync.Mutex
	of map[string]duration
}

// duration is a smoothed duration and its mean deviation.
type duration struct{ mean, deviation time.Duration }

// Learn adds the time that a request of a pipeline took.
func (d *Durations) Learn(pipeline string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.of == nil {
		d.of = map[string]duration{}
	}
	x, ok := d.of[pipeline]
	if !ok {
		x.mean = took
	}
	off := took - x.mean
	x.deviation += time.Duration(deviationWeight * float64(off.Abs()-x.deviation))
	x.mean += time.Duration(meanWeight * float64(off))
	d.of[pipeline] = x
}

// Likely returns the time in which most requests of a pipeline end, 0 if none has ended yet.
func (d *Durations) Likely(pipeline string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.of[pipeline]
	return x.mean + deviations*x.deviation
}
