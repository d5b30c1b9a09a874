package core

import "time"

// backlog sums the work that waits, by the second of its deadline. Its size is that of the longest
// deadline in seconds, whatever waits.
type backlog struct {
	sum  float64
	by   map[int64]float64
	held map[int64]int
}

// add counts work.
func (b *backlog) add(deadline time.Time, cost float64) {
	if b.by == nil {
		b.by, b.held = map[int64]float64{}, map[int64]int{}
	}
	b.sum += cost
	b.by[deadline.Unix()] += cost
	b.held[deadline.Unix()]++
}

// remove undoes one add.
func (b *backlog) remove(deadline time.Time, cost float64) {
	at := deadline.Unix()
	b.sum -= cost
	b.by[at] -= cost
	if b.held[at]--; b.held[at] <= 0 {
		delete(b.by, at)
		delete(b.held, at)
	}
	if len(b.by) == 0 {
		b.sum = 0 // no rounding is carried on
	}
}

// before sums the work with deadlines no later than a moment.
func (b *backlog) before(deadline time.Time) float64 {
	sum := 0.0
	for at, cost := range b.by {
		if at <= deadline.Unix() {
			sum += cost
		}
	}
	return sum
}
