// Package retry holds the budget of repeated sends that all boxes share without talking: each takes
// its part by the requests that it has seen itself and by how many boxes there may be.
package retry

import "time"

const (
	buckets     = 20
	slackMargin = 0.7 // part of the slack that is used, for boxes that nobody knows of
	ratioMargin = 0.85
)

// Budget bounds the repeated sends to one pool in any window. Boxes that may be alive but can't be
// seen count, so that the parts of a partition together stay within the whole. Not safe for
// concurrent use.
type Budget struct {
	Ratio  float64       // repeats for each request
	Slack  float64       // repeats beyond that in a window, of all boxes together
	Window time.Duration // over which both count

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

// Request counts a request that a caller sent to this box.
func (b *Budget) Request(now time.Time) { b.requests[b.advance(now)]++ }

// Left says how many repeats this box may still send now, with this many boxes that may be alive.
func (b *Budget) Left(now time.Time, boxes int) int {
	b.advance(now)
	requests, repeats := 0, 0
	for i := range buckets {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	allowed := ratioMargin*b.Ratio*float64(requests) + slackMargin*b.Slack/float64(max(1, boxes))
	return int(allowed) - repeats
}

// Take spends one repeat if there is one left.
func (b *Budget) Take(now time.Time, boxes int) bool {
	if b.Left(now, boxes) < 1 {
		return false
	}
	b.repeats[b.advance(now)]++
	return true
}
