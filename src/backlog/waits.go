// Package backlog says how long a new piece waits in a pool, by its place among what waits there.
//
// Load. A burst of requests with long objectives piles up pieces that are due late. A request with a short objective overtakes
// them, since pools make first what is due first. One wait for the whole pool would have it refused for the sake of work that
// it does not wait for, and those that wait longest would be served before it.
//
// Idea. The scheduler of a pool tells the wait of a piece at a few places, in time from now until it is due; a request is judged by
// the waits at its own places along its chain of stages. What it overtakes counts as ahead of it all the same where that has no time
// for it: pieces that are due before all that waits now is made. So nobody is admitted at the cost of others that would be late.
//
// Trade-offs. Pieces that come later and are due sooner are not foreseen. Between two places the wait is taken to grow evenly.
package backlog

import (
	"slices"
	"time"
)

// places are the times until a piece is due for which waits are told, in order.
var places = []time.Duration{
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, 750 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond,
}

// Waits are the waits of a new piece in one pool.
type Waits struct {
	All   time.Duration   // behind everything
	Steps []time.Duration // at each of the places; none where only All is known, as from a box of an earlier release
}

// At is the wait of a piece that is due after a time.
func (w Waits) At(due time.Duration) time.Duration {
	due = max(due, w.All)
	if len(w.Steps) != len(places) || due > places[len(places)-1] {
		return w.All
	}
	i, _ := slices.BinarySearch(places, due)
	if i == 0 {
		return min(w.All, w.Steps[0])
	}
	from, to := w.Steps[i-1], w.Steps[i]
	part := float64(due-places[i-1]) / float64(places[i]-places[i-1])
	return min(w.All, from+time.Duration(part*float64(to-from)))
}

// Count adds up the pieces that wait in a pool.
type Count struct {
	all int
	at  []int // by the first place that is not before a piece's own
}

// Add counts pieces that are due after a time.
func (c *Count) Add(due time.Duration, pieces int) {
	if c.at == nil {
		c.at = make([]int, len(places))
	}
	c.all += pieces
	if i, _ := slices.BinarySearch(places, due); i < len(places) {
		c.at[i] += pieces
	}
}

// Waits gives the waits where the first call begins after a time and the pool then makes so many pieces a second.
func (c *Count) Waits(first time.Duration, perSecond float64) Waits {
	wait := func(ahead int) time.Duration {
		return first + time.Duration(float64(ahead)/perSecond*float64(time.Second))
	}
	w := Waits{All: wait(c.all), Steps: make([]time.Duration, len(places))}
	ahead := 0
	for i := range places {
		if c.at != nil {
			ahead += c.at[i]
		}
		w.Steps[i] = wait(ahead)
	}
	return w
}
