// Package retry implements a retry budget that all boxes share: each box has its part by the requests that it received
// itself and by the number of boxes that may be alive. A box whose part allows no retry borrows from others (Borrower).
package retry

import "time"

const (
	buckets     = 20
	slackMargin = 0.7  // part of the slack that is used, as a reserve for boxes that are not known
	ratioMargin = 0.85 // part of the ratio that is used
	rounding    = 1e-9 // error of sums of parts of a retry
)

// Budget limits the retries to one pool in any window. Boxes that may be alive but are unreachable count,
// so that the sides of a partition together stay within the budget. Not safe for concurrent use.
type Budget struct {
	Ratio  float64       // retries per request
	Slack  float64       // additional retries per window, of all boxes together
	Window time.Duration // window of both limits

	requests [buckets]int
	repeats  [buckets]float64 // parts lent to other boxes included
	at       int64            // number of the newest bucket
}

// bucket returns the number of the bucket of a time.
func (b *Budget) bucket(t time.Time) int64 { return t.UnixNano() / max(1, int64(b.Window/buckets)) }

func (b *Budget) advance(now time.Time) int {
	n := b.bucket(now)
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
func (b *Budget) Remaining(now time.Time, boxes int) int { return int(b.spare(now, boxes) + rounding) }

// spare returns the unused part of the budget, in retries; it may be negative, as requests leave the window.
func (b *Budget) spare(now time.Time, boxes int) float64 {
	b.advance(now)
	requests, repeats := 0, 0.0
	for i := range buckets {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	return ratioMargin*b.Ratio*float64(requests) + slackMargin*b.Slack/float64(max(1, boxes)) - repeats
}

// Take uses one retry and reports whether one was left.
func (b *Budget) Take(now time.Time, boxes int) bool {
	if b.Remaining(now, boxes) < 1 {
		return false
	}
	b.repeats[b.advance(now)]++
	return true
}

// Lend uses up to a part of a retry, at most a whole one, for this or another box, and returns what was left of it.
func (b *Budget) Lend(now time.Time, boxes int, want float64) float64 {
	if !(want > 0) { // also if it is not a number
		return 0
	}
	part := max(0, min(want, 1, b.spare(now, boxes)))
	b.repeats[b.advance(now)] += part
	return part
}

// Return gives back a part that was used at a time and did not suffice for a retry. It is lost if it was counted in an
// earlier bucket.
func (b *Budget) Return(now, at time.Time, part float64) {
	if i := b.advance(now); b.bucket(at) == b.at {
		b.repeats[i] -= part
	}
}
