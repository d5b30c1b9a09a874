package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// policy decides whether a box may send a request to a server with a limit now.
type policy func(now time.Time, box int) bool

// bucket is a token bucket for one request.
type bucket struct{ next time.Time }

func (b *bucket) take(now time.Time, perSecond float64) bool {
	if now.Before(b.next) {
		return false
	}
	b.next = now.Add(time.Duration(float64(time.Second) / perSecond))
	return true
}

// alone has each box keep to the whole limit by its own requests.
func alone(boxes int, perSecond float64) policy {
	all := make([]bucket, boxes)
	return func(now time.Time, box int) bool { return all[box].take(now, perSecond) }
}

// equal gives each box an equal part of the limit.
func equal(boxes int, perSecond float64) policy {
	all := make([]bucket, boxes)
	return func(now time.Time, box int) bool { return all[box].take(now, perSecond/float64(boxes)) }
}

// reportedSends has each box count the requests that the others reported, with a delay of 500 ms.
func reportedSends(boxes int, perSecond float64) policy {
	type send struct {
		at  time.Time
		box int
	}
	var sends []send
	return func(now time.Time, box int) bool {
		n := 0
		for _, s := range sends {
			if now.Sub(s.at) < time.Second && (s.box == box || now.Sub(s.at) >= 500*time.Millisecond) {
				n++
			}
		}
		if float64(n) >= perSecond {
			return false
		}
		sends = append(sends, send{now, box})
		return true
	}
}

// withLimiter uses a Limiter.
func withLimiter(_ int, perSecond float64) policy {
	var k Limiter
	until := map[int]time.Time{}
	return func(now time.Time, box int) bool {
		if now.Before(until[box]) {
			return false
		}
		g := k.Take(now, PermitRequest{Server: "s", PerSecond: perSecond, Wants: 1}, 1)
		until[box] = now.Add(g.Next)
		return g.Permits > 0
	}
}

// Requests arrive at random boxes at 40 per second or twice the limit, whichever is more, and all prefer
// the same server. Boxes that each keep to the limit alone exceed it the more the larger the fleet; equal
// parts or reported counts exceed it at first or leave it unused. A limiter does neither.
func TestWaysToShareALimit(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, perSecond := range []float64{1, 4, 200} {
		for _, boxes := range []int{6, 61, 295, 985} {
			for _, w := range []struct {
				name  string
				make  func(boxes int, perSecond float64) policy
				bound bool
			}{{"alone", alone, false}, {"equal", equal, false}, {"told", reportedSends, false}, {"limiter", withLimiter, true}} {
				may := w.make(boxes, perSecond)
				rnd := rand.New(rand.NewPCG(1, uint64(boxes)))
				load := max(40, 2*perSecond)
				var sent []time.Time
				now := start
				for now.Sub(start) < 30*time.Second {
					now = now.Add(time.Duration(rnd.ExpFloat64() / load * float64(time.Second)))
					if may(now, rnd.IntN(boxes)) {
						sent = append(sent, now)
					}
				}
				most := maxInWindow(sent, 4*time.Second)
				used := float64(len(sent)) / 30 / perSecond
				t.Logf("%g a second, %d boxes, %s: at most %d in 4 s, %d allowed; %.2f used", perSecond, boxes, w.name, most, allowed(perSecond), used)
				if w.bound && (most > allowed(perSecond) || used < 0.9) {
					t.Errorf("%g a second, %d boxes, %s: %d in 4 s of %d allowed, %.2f used", perSecond, boxes, w.name, most, allowed(perSecond), used)
				}
			}
		}
	}
}

func allowed(perSecond float64) int { return int(6*perSecond) + 5 }

// maxInWindow returns the largest number of times within any window; the list must be sorted.
func maxInWindow(list []time.Time, window time.Duration) int {
	most := 0
	for i, first := 0, 0; i < len(list); i++ {
		for list[i].Sub(list[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// BenchmarkTake measures one request for permits with a thousand known servers.
func BenchmarkTake(b *testing.B) {
	var k Limiter
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	ids := make([]string, 1000)
	for i := range ids {
		ids[i] = fmt.Sprint("server", i)
	}
	for i := range b.N {
		now = now.Add(time.Millisecond)
		k.Take(now, PermitRequest{Server: ids[i%len(ids)], PerSecond: 4, Wants: 1}, 1)
	}
}
