package pace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// sample is the observation of a server's speed by one box.
type sample struct {
	at    time.Time
	value float64 // logarithm of the speed
	box   uint32
	order uint16 // of the box's observations (orderOf)
	// The box has further evidence that this is the lasting level.
	settled bool
}

// samples are the latest observations of one kind at one server, the oldest first.
type samples []sample

// add inserts an observation by this box. Within sampleSpacing one of each level is kept.
func (s *samples) add(x sample) {
	list := *s
	if n := len(list); n > 0 && x.at.Sub(list[n-1].at) < sampleSpacing {
		last := &list[n-1]
		if math.Abs(x.value-last.value) < difference {
			return
		}
		if n > 1 && last.box == x.box && x.at.Sub(list[n-2].at) < sampleSpacing {
			last.value = (last.value + x.value) / 2
			return
		}
	}
	s.insert(x)
}

// orderOf returns the order of an observation among those of this box, also after a restart. Ages do not show it, as they
// lack the time that messages take.
func orderOf(now time.Time) uint16 { return uint16(now.UnixMilli() / orderStep) }

// later compares orders, which wrap.
func later(a, b uint16) bool { return int16(a-b) > 0 }

// merge inserts an observation by another box, of which at most two count, further apart than a burst. It returns false if
// the observation is old or repeats one within a time.
func (s *samples) merge(x sample, spacing time.Duration) bool {
	var own []int
	for i, old := range *s {
		if old.box == x.box {
			own = append(own, i)
		}
	}
	if n := len(own); n > 0 {
		latest := (*s)[own[n-1]]
		near := x.at.Sub(latest.at) < burstLimit
		if !later(x.order, latest.order) || n == 1 && near && math.Abs(x.value-latest.value) < difference {
			return false
		}
		if near {
			*s = slices.Delete(*s, own[n-1], own[n-1]+1)
		} else if n > 1 {
			*s = slices.Delete(*s, own[0], own[0]+1)
		}
	}
	for _, old := range *s {
		if math.Abs(old.value-x.value) < difference && old.at.Sub(x.at).Abs() < spacing {
			return false
		}
	}
	s.insert(x)
	return true
}

func (s *samples) insert(x sample) {
	at, _ := slices.BinarySearchFunc(*s, x, func(a, b sample) int { return a.at.Compare(b.at) })
	*s = slices.Insert(*s, at, x)
	if n := len(*s); n > samplesKept {
		*s = slices.Delete(*s, 0, n-samplesKept)
	}
}

// expire drops the observations that are no longer valid.
func (s *samples) expire(now time.Time) {
	n := 0
	for n < len(*s) && now.Sub((*s)[n].at) > validity {
		n++
	}
	*s = slices.Delete(*s, 0, n)
}

// reported estimates the lasting level from reported figures, given the level known so far.
func (s *samples) reported(now time.Time, known float64) float64 {
	level := func(r samples) float64 { return r.quantile(now, known) }
	s.dropBeforeTurn(reportedTurn, 0, level)
	return level(*s)
}

// timed estimates the lasting level from measured times, which have a standard deviation, by their median.
func (s *samples) timed(spread float64) float64 {
	level := func(r samples) float64 { return median(r.values()) }
	s.dropBeforeTurn(timedTurn, turnSignificance*spread, level)
	return level(*s)
}

// dropBeforeTurn drops the earlier samples if there are enough later ones over more than a burst and their level differs
// from that of all by more than noise/√n.
func (s *samples) dropBeforeTurn(least int, noise float64, level func(samples) float64) {
	list := *s
	last := list[len(list)-1].at
	i := len(list)
	for i > 0 && (last.Sub(list[i-1].at) <= turnWindow || len(list)-i < least && last.Sub(list[i-1].at) <= sparseTurnWindow) {
		i--
	}
	recent := list[i:]
	if len(recent) < least || last.Sub(recent[0].at) <= burstLimit {
		return
	}
	if math.Abs(level(recent)-level(list)) > max(difference, noise/math.Sqrt(float64(len(recent)))) {
		*s = slices.Delete(list, 0, i)
	}
}

// quantile returns the quantile reportedQuantile over time. Each figure holds until the next, one that agrees with the known
// level for longer, since boxes tell each other of changes only.
func (s samples) quantile(now time.Time, known float64) float64 {
	type held struct{ value, weight float64 }
	list := make([]held, len(s))
	total := 0.0
	for i, x := range s {
		until, most := now, maxHold
		if i+1 < len(s) {
			until = s[i+1].at
		}
		if math.Abs(x.value-known) < difference {
			most = maxSettledHold
		}
		list[i] = held{x.value, max(sampleSpacing/5, min(most, until.Sub(x.at))).Seconds()}
		total += list[i].weight
	}
	slices.SortFunc(list, func(a, b held) int { return cmp.Compare(a.value, b.value) })
	sum := 0.0
	for _, h := range list {
		if sum += h.weight; sum >= reportedQuantile*total {
			return h.value
		}
	}
	return list[len(list)-1].value
}

// anySettled reports whether a box knows one of the values to be the lasting level.
func (s samples) anySettled() bool { return len(s.settled()) > 0 }

// settled returns the values that a box knows to be the lasting level.
func (s samples) settled() samples {
	return slices.DeleteFunc(slices.Clone(s), func(x sample) bool { return !x.settled })
}

// count returns the number of samples by a box.
func (s samples) count(box uint32) int {
	n := 0
	for _, x := range s {
		if x.box == box {
			n++
		}
	}
	return n
}

// span returns the time from the first to the last sample.
func (s samples) span() time.Duration { return s[len(s)-1].at.Sub(s[0].at) }

func (s samples) values() []float64 {
	out := make([]float64, len(s))
	for i, x := range s {
		out[i] = x.value
	}
	return out
}

// median returns the median of a list and changes its order; 0 for none.
func median[T cmp.Ordered](list []T) T {
	if len(list) == 0 {
		var none T
		return none
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}
