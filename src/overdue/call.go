package overdue

import (
	"slices"
	"time"
)

// Call is a running call.
type Call struct {
	Began    time.Time
	Expected time.Duration // at a server of ratio 1
	Ratio    float64       // measured over expected time at its server, as learned
	Timeout  time.Duration
}

// RatioBy returns the ratio of the call's server as far as it is known by now: that of the last call, or the age of this
// one over its expected time if that is more.
func (c *Call) RatioBy(now time.Time, last float64) float64 {
	return max(last, float64(now.Sub(c.Began))/float64(max(1, c.Expected)))
}

// Level returns the ratio that half of a pool's servers do not exceed, given the ratio of each by now. If all servers
// are slow it rises with the age of their calls, so that none is overdue for what it shares with the others.
func Level(ratios []float64) float64 {
	if len(ratios) == 0 {
		return 1
	}
	slices.Sort(ratios)
	return ratios[(len(ratios)-1)/2]
}

// Limit returns the age from which a call is overdue, given the level of its pool and Spread.Factor. A server that is
// known to be slow gets no more time than maxRatio, or than the others need.
func (c *Call) Limit(level, factor float64) time.Duration {
	return time.Duration(float64(c.Expected)*max(level, min(c.Ratio, maxRatio))*factor) + grace
}

// Overdue reports whether a call is overdue.
func (c *Call) Overdue(now time.Time, level, factor float64) bool {
	return now.Sub(c.Began) > c.Limit(level, factor)
}

// end returns when a call that is overdue is expected to end and its pieces to be available, given the time of another
// call: as long again as it has run, at the latest another call after its timeout.
func (c *Call) end(now time.Time, again time.Duration) time.Time {
	end, last := c.Began.Add(repeatedTime*now.Sub(c.Began)), c.Began.Add(c.Timeout+again)
	if last.Before(end) {
		return last
	}
	return end
}
