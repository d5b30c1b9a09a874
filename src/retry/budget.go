// Package retry implements a retry budget that all boxes share without communication: each box takes its
// part by the requests that it received itself and by the number of boxes that may be alive.
package retry

import "time"

const (
	buckets     = 20
	slackMargin = 0.7  // part of the slack that is used, as a reserve for boxes that are not known
	ratioMargin = 0.85 // part of the ratio that is used
)

// Budget limits the retries to one pool in any window. Boxes that may be alive but are unreachable count,
// so that the sides of a partition together stay within the budget. Not safe for concurrent use.
type Budget struct {
	Ratio  float64       // retries per request
	Slack  float64       // additional retries per window, of all boxes together
	Window time.Duration // window of both limits

	requests [buckets]int
	repeats  [buckets]int
	at       int64 // number of the newest bucket
}

func (b *Budget) advance(now time.Time) int {
	width := int64(b.Window / buckets)
	n := now.UnixNano() / max(1, width)
	for b.at < n {
		if n-b.at > buckets {
			b.at = n - buckets
		}
		b.at++
		b.requests[b.at%buckets], b.repeats[b.at%buckets] = 0, 0
	}
	return int(b.at % buckets)
}

// Request counts a request that this box received from a caller.
func (b *Budget) Request(now time.Time) { b.requests[b.advance(now)]++ }

// Remaining returns how many retries this box may still send now if the given number of boxes may be alive.
func (b *Budget) Remaining(now time.Time, boxes int) int {
	b.advance(now)
	requests, repeats := 0, 0
	for i := range buckets {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	allowed := ratioMargin*b.Ratio*float64(requests) + slackMargin*b.Slack/float64(max(1, boxes))
	return int(allowed) - repeats
}

// Take uses one retry and reports whether one was left.
func (b *Budget) Take(now time.Time, boxes int) bool {
	if b.Remaining(now, boxes) < 1 {
		return false
	}
	b.repeats[b.advance(now)]++
	return true
}
