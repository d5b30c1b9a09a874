package overdue

import "time"

// Worth is what a second run of a piece can gain.
type Worth uint8

// Values of Worth.
const (
	Nothing Worth = iota // the first run is in time, or the second would end too late to be of use
	Sooner               // the job is late in any case, but less so with a second run
	InTime               // the job would be late, and can be in time with a second run
)

// Of returns what a second run gains that begins now and takes the given time, for a piece of a call that is overdue.
func Of(now time.Time, c *Call, due, deadline time.Time, takes time.Duration) Worth {
	first, second := c.end(now, takes), now.Add(takes)
	switch {
	case !first.After(due) || second.After(deadline) || !second.Before(first):
		return Nothing
	case second.After(due):
		return Sooner
	}
	return InTime
}

// MayGain reports whether a call that is not overdue yet may still become so while a second run, which takes the given
// time, brings a piece due then in time. limit is the age from which the call is overdue.
func MayGain(now time.Time, c *Call, due time.Time, limit, takes time.Duration) bool {
	begins := c.Began.Add(limit)
	if begins.Before(now) {
		begins = now
	}
	return !begins.Add(takes).After(due) && c.Began.Add(c.Timeout+takes).After(due)
}
