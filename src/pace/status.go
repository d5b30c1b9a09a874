package pace

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Status is the state of the speeds of one pool for an operator.
type Status struct {
	Uneven  bool           `json:"uneven" msgpack:"u"`
	Rates   Rates          `json:"rates" msgpack:"r"`
	Servers []ServerStatus `json:"servers" msgpack:"s"` // those of which something is known, by id
	Pending int            `json:"pending" msgpack:"p"` // notes that wait to be sent
}

// ServerStatus is what is known of the speed of one server.
type ServerStatus struct {
	ID       string  `json:"id" msgpack:"i"`
	Lasting  float64 `json:"lasting" msgpack:"l"`
	Now      float64 `json:"now" msgpack:"n"`
	Reported int     `json:"reported" msgpack:"r"` // samples of its own reports
	Timed    int     `json:"timed" msgpack:"t"`    // samples of measured times
	Distrust bool    `json:"distrust" msgpack:"d"` // measured times contradict its reports
}

// Status returns the state of the pool.
func (t *Tracker) Status(now time.Time) Status {
	out := Status{Uneven: t.Uneven(now), Rates: t.Rates(now), Pending: len(t.pending)}
	for _, v := range t.servers {
		if v.state == nil || len(v.reported)+len(v.timed) == 0 {
			continue
		}
		speed := t.Speed(now, v.ID, v.Incarnation)
		out.Servers = append(out.Servers, ServerStatus{ID: v.ID, Lasting: speed.Lasting, Now: speed.Now, Reported: len(v.reported), Timed: len(v.timed), Distrust: v.distrusted()})
	}
	slices.SortFunc(out.Servers, func(a, b ServerStatus) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Counts are the numbers of servers by lasting speed.
type Counts struct {
	Slow, Usual, Fast int // those of which something is known; slow and fast by over 15%
	Distrusted        int // those of them whose responses contradict their reports
}

// Count counts the servers.
func (s Status) Count() Counts {
	var out Counts
	for _, v := range s.Servers {
		switch {
		case v.Lasting > math.Exp(difference):
			out.Slow++
		case v.Lasting < math.Exp(-difference):
			out.Fast++
		default:
			out.Usual++
		}
		if v.Distrust {
			out.Distrusted++
		}
	}
	return out
}
