// Package backlog estimates how long a new piece waits in a pool, by its position among the waiting pieces.
//
// Pools process the pieces that are due first. A burst of requests with long objectives fills a pool with
// pieces that are due late; a request with a short objective overtakes them. With a single wait for the
// whole pool, that request would be refused because of work it does not wait for, and requests with the
// longest objectives would be served first.
//
// The scheduler of a pool therefore reports the wait of a piece for several times until it is due, and a
// request is judged by the waits of its own pieces along its chain of stages. Pieces that have no slack to
// be overtaken count as ahead in any case: those that are due before everything that waits now is done. So
// no request is admitted at the cost of making others late.
//
// Pieces that arrive later and are due sooner are not predicted. Between two steps, the wait is
// interpolated linearly.
package backlog

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// steps are the times until a piece is due for which waits are reported, ascending.
var steps = []time.Duration{
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, 750 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond,
}

// maxLevels is the number of priorities whose waits are told apart, the most urgent ones.
const maxLevels = 4

// Waits holds the waits of a new piece in one pool.
type Waits struct {
	All   time.Duration   // behind all waiting pieces
	Steps []time.Duration // for each of the places; empty if only All is known, as from a box of an earlier release
	// Levels are the waits of pieces that overtake less urgent ones where they would be late otherwise, by ascending
	// priority; empty if the pool's queue does not make room.
	Levels []Level
}

// Level is the waits of a new piece behind the waiting pieces of a priority and of more urgent ones.
type Level struct {
	Priority int             `msgpack:"p"` // a higher number is less urgent
	All      time.Duration   `msgpack:"w"`
	Steps    []time.Duration `msgpack:"s"`
}

// Told returns the waits that another box reported. More levels than a scheduler tells are left out, and no wait is
// negative.
func Told(all time.Duration, steps []time.Duration, levels []Level) Waits {
	w := Waits{All: max(0, all), Steps: notNegative(steps)}
	for _, l := range levels[:min(len(levels), maxLevels+1)] {
		w.Levels = append(w.Levels, Level{Priority: l.Priority, All: max(0, l.All), Steps: notNegative(l.Steps)})
	}
	return w
}

// notNegative returns the waits for each of the places, nil if they are for other ones.
func notNegative(waits []time.Duration) []time.Duration {
	if len(waits) != len(steps) {
		return nil
	}
	out := make([]time.Duration, len(steps))
	for i, w := range waits {
		out[i] = max(0, w)
	}
	return out
}

// For returns the waits of a piece of a priority.
func (w Waits) For(priority int) Waits {
	out := w
	for _, l := range w.Levels {
		if l.Priority <= priority {
			out.All, out.Steps = l.All, l.Steps
		}
	}
	return out
}

// At returns the wait of a piece that is due after the given time.
func (w Waits) At(due time.Duration) time.Duration {
	due = max(due, w.All)
	if len(w.Steps) != len(steps) || due > steps[len(steps)-1] {
		return w.All
	}
	i, _ := slices.BinarySearch(steps, due)
	if i == 0 {
		return min(w.All, w.Steps[0])
	}
	from, to := w.Steps[i-1], w.Steps[i]
	part := float64(due-steps[i-1]) / float64(steps[i]-steps[i-1])
	return min(w.All, from+time.Duration(part*float64(to-from)))
}

// Place is the wait of a piece that is due after a time.
type Place struct{ Due, Wait time.Duration }

// Each calls fn for each interval between two times until due for which waits are known; the pieces that wait there take
// the pool the difference of the two waits.
func (w Waits) Each(fn func(from, to Place)) {
	if len(w.Steps) != len(steps) {
		return
	}
	for i := 1; i < len(steps); i++ {
		fn(Place{steps[i-1], w.Steps[i-1]}, Place{steps[i], w.Steps[i]})
	}
}

// Count counts the pieces that wait in a pool by the time until they are due.
type Count struct {
	levels []levelCount // by ascending priority
}

// levelCount counts the pieces of one priority.
type levelCount struct {
	priority, all int
	at            []int // by the first place that is not before the due time of the piece
}

// Add counts pieces that are due after the given time.
func (c *Count) Add(due time.Duration, priority, pieces int) {
	n, found := slices.BinarySearchFunc(c.levels, priority, func(l levelCount, p int) int { return cmp.Compare(l.priority, p) })
	if !found {
		c.levels = slices.Insert(c.levels, n, levelCount{priority: priority, at: make([]int, len(steps))})
	}
	c.levels[n].all += pieces
	if i, _ := slices.BinarySearch(steps, due); i < len(steps) {
		c.levels[n].at[i] += pieces
	}
}

// Waits returns the waits if the first call begins after the given time and the pool then completes perSecond pieces per
// second; with the levels if pieces overtake less urgent ones.
func (c *Count) Waits(first time.Duration, perSecond float64, overtake bool) Waits {
	wait := func(ahead int) time.Duration {
		return first + time.Duration(float64(ahead)/perSecond*float64(time.Second))
	}
	all, at := 0, make([]int, len(steps))
	level := func(priority int) Level {
		l := Level{Priority: priority, All: wait(all), Steps: make([]time.Duration, len(steps))}
		ahead := 0
		for i := range steps {
			ahead += at[i]
			l.Steps[i] = wait(ahead)
		}
		return l
	}
	levels := []Level{level(math.MinInt32)} // of pieces more urgent than all that wait
	for _, q := range c.levels {
		all += q.all
		for i, n := range q.at {
			at[i] += n
		}
		levels = append(levels, level(q.priority))
	}
	last := levels[len(levels)-1]
	out := Waits{All: last.All, Steps: last.Steps}
	if overtake && len(c.levels) > 1 {
		out.Levels = append(levels[:min(len(levels), maxLevels)], last)
	}
	return out
}
