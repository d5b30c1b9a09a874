// Package overdue decides when a call of pieces to a backend server is overdue and for which of its pieces a second run
// at another server is worth making. It addresses the load under which a server that has become unresponsive holds pieces
// whose callers have less time than the call's timeout. It does no I/O and reads no clock.
package overdue

import "slices"

// Spread learns how much longer than expected the calls of a pool take at servers of normal speed. The zero value is
// ready for use. Not safe for concurrent use.
type Spread struct {
	ring   [samples]float64
	count  int // samples ever added
	factor float64
}

// Add adds the measured time of a call over the time expected at its server. Calls of servers that are slow tell of the
// server and must not be added.
func (s *Spread) Add(ratio float64) {
	s.ring[s.count%samples] = ratio
	s.count++
	n := min(s.count, samples)
	if n < enough {
		return
	}
	sorted := slices.Clone(s.ring[:n])
	slices.Sort(sorted)
	s.factor = min(maxFactor, max(minFactor, margin*sorted[int(quantile*float64(n-1)+0.5)]))
}

// Factor returns the measured over the expected time from which a call is overdue.
func (s *Spread) Factor() float64 {
	if s.factor == 0 {
		return priorFactor
	}
	return s.factor
}
