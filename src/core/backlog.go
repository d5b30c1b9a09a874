package core

import "time"

// backlog sums the cost of waiting work by the second of its deadline. Its size is bounded by the longest
// deadline in seconds, whatever the amount of work.
type backlog struct {
	sum  float64
	by   map[int64]float64
	held map[int64]int
}

// add counts one item of work.
func (b *backlog) add(deadline time.Time, cost float64) {
	if b.by == nil {
		b.by, b.held = map[int64]float64{}, map[int64]int{}
	}
	b.sum += cost
	b.by[deadline.Unix()] += cost
	b.held[deadline.Unix()]++
}

// remove reverts one add with the same arguments.
func (b *backlog) remove(deadline time.Time, cost float64) {
	at := deadline.Unix()
	b.sum -= cost
	b.by[at] -= cost
	if b.held[at]--; b.held[at] <= 0 {
		delete(b.by, at)
		delete(b.held, at)
	}
	if len(b.by) == 0 {
		b.sum = 0 // discard rounding errors
	}
}

// costBefore sums the work whose deadline is at most the given one, in whole seconds.
func (b *backlog) costBefore(deadline time.Time) float64 {
	sum := 0.0
	for at, cost := range b.by {
		if at <= deadline.Unix() {
			sum += cost
		}
	}
	return sum
}
