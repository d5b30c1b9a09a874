package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/core"
)

// heardSums are the observations of another box.
type heardSums struct {
	sums
	seq      uint32
	received time.Time
	forward  int // heartbeats in which the note will still be forwarded
}

// heardKey names another box's observations of a class.
type heardKey struct {
	class Class
	box   uint64
}

// Notes returns the notes for a heartbeat: the classes that this box observed within noteAgain or since they were last
// in one, the longest unsent first, then the latest notes of other boxes that are still to be forwarded.
func (c *Calibration) Notes(now time.Time) []core.ForecastNote {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changed []Class
	for k, s := range c.own {
		if s.observed.After(s.noted) || now.Sub(s.observed) <= noteAgain {
			changed = append(changed, k)
		}
	}
	slices.SortFunc(changed, func(a, b Class) int {
		return cmp.Or(c.own[a].noted.Compare(c.own[b].noted), a.compare(b))
	})
	var out []core.ForecastNote
	for _, k := range changed[:min(len(changed), ownPerBeat)] {
		s := c.own[k]
		s.noted = now
		c.sent++
		out = append(out, s.decayed(now).limited().note(c.Self, c.sent, k))
	}
	return c.forward(now, out)
}

// forward adds the latest notes of other boxes to those of a heartbeat.
func (c *Calibration) forward(now time.Time, out []core.ForecastNote) []core.ForecastNote {
	var due []heardKey
	for k, boxes := range c.heard {
		for b, s := range boxes {
			if s.forward > 0 {
				due = append(due, heardKey{k, b})
			}
		}
	}
	slices.SortFunc(due, func(a, b heardKey) int {
		return cmp.Or(c.heard[b.class][b.box].received.Compare(c.heard[a.class][a.box].received), cmp.Compare(c.rank(a), c.rank(b)))
	})
	for _, k := range due[:min(len(due), notesPerBeat-len(out))] {
		s := c.heard[k.class][k.box]
		s.forward--
		out = append(out, s.decayed(now).note(k.box, s.seq, k.class))
	}
	return out
}

// rank orders notes that were received together: differently at each box, so that boxes don't forward the same ones.
func (c *Calibration) rank(k heardKey) uint64 {
	const odd = 0x9e3779b97f4a7c15
	return ((k.box^c.Self)*odd ^ k.class.Pipeline ^ uint64(k.class.Kind)) * odd
}

func (k Class) compare(o Class) int {
	return cmp.Or(cmp.Compare(k.Pipeline, o.Pipeline), cmp.Compare(k.Kind, o.Kind))
}

func (s sums) note(box uint64, seq uint32, k Class) core.ForecastNote {
	return core.ForecastNote{Box: box, Seq: seq, Pipeline: k.Pipeline, Kind: k.Kind, Count: float32(s.n), Sum: float32(s.ratio), Squares: float32(s.square)}
}

// Merge takes the notes of a heartbeat. A note replaces the earlier one of the same box and class, so that no observation
// counts twice however often it is forwarded. Notes that no box could have observed are dropped, and of more notes than a
// heartbeat carries only the first are read.
func (c *Calibration) Merge(now time.Time, notes []core.ForecastNote) {
	if len(notes) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heard == nil {
		c.heard = map[Class]map[uint64]*heardSums{}
	}
	for _, n := range notes[:min(len(notes), maxBeatsNotes)] {
		s, ok := sumsOf(now, n)
		if !ok || n.Box == c.Self {
			continue
		}
		k := Class{Pipeline: n.Pipeline, Kind: n.Kind}
		old := c.heard[k][n.Box]
		if old != nil && n.Seq <= old.seq {
			continue
		}
		if old == nil && c.heardCount >= maxHeard {
			if c.expire(now); c.heardCount >= maxHeard {
				continue
			}
		}
		if c.heard[k] == nil {
			c.heard[k] = map[uint64]*heardSums{}
		}
		if old == nil {
			c.heardCount++
		}
		c.heard[k][n.Box] = &heardSums{sums: s, seq: n.Seq, received: now, forward: forwards}
	}
}

// sumsOf returns the contents of a note, scaled to the weight of one box; false if no observations give such sums.
func sumsOf(now time.Time, n core.ForecastNote) (sums, bool) {
	count, ratio, square := float64(n.Count), float64(n.Sum), float64(n.Squares)
	if n.Kind >= kinds || !(count >= negligible) || math.IsInf(count, 0) {
		return sums{}, false
	}
	const rounding = 1e-4
	mean := ratio / count
	if !(mean >= minRatio*(1-rounding) && mean <= maxRatio*(1+rounding)) {
		return sums{}, false
	}
	if m := square / count; !(m >= mean*mean*(1-rounding) && m <= maxRatio*maxRatio*(1+rounding)) {
		return sums{}, false
	}
	return sums{n: count, ratio: ratio, square: square, at: now}.limited(), true
}

// expire drops the notes that count for nothing any more.
func (c *Calibration) expire(now time.Time) {
	for k, boxes := range c.heard {
		for b, s := range boxes {
			if s.decayed(now).n < negligible {
				delete(boxes, b)
				c.heardCount--
			}
		}
		if len(boxes) == 0 {
			delete(c.heard, k)
		}
	}
}
