package pace

import "time"

// Gaps measures the times between the events of one stream. The median is used, since the longest are caused by the
// prompts of other requests.
type Gaps struct {
	last time.Time // of the previous arrival
	busy time.Duration
	list []time.Duration // the latest gapsKept
	n    int
}

// Arrived records the arrival of events, of which there may be several at once.
func (g *Gaps) Arrived(now time.Time, events int) {
	if gap := now.Sub(g.last); !g.last.IsZero() && g.busy < gap/2 && events > 0 {
		if len(g.list) < gapsKept {
			g.list = append(g.list, gap/time.Duration(events))
		} else {
			g.list[g.n%gapsKept] = gap / time.Duration(events)
		}
		g.n++
	}
	g.last = now
}

// Passed records that the events which arrived last were written to the caller. A gap is not used if writing took half of
// it: the server was not read meanwhile.
func (g *Gaps) Passed(now time.Time) { g.busy = now.Sub(g.last) }

// Median returns the median time between two events, 0 if there were too few.
func (g *Gaps) Median() time.Duration {
	if len(g.list) < minTimed {
		return 0
	}
	return median(append([]time.Duration(nil), g.list...))
}
