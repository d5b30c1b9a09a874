package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func newBudget() *Budget { return &Budget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second} }

func TestRetriesFollowRequests(t *testing.T) {
	b := newBudget()
	quiet := b.Remaining(start, 7)
	for range 100 {
		b.Request(start)
	}
	if got := b.Remaining(start, 7) - quiet; got != 17 {
		t.Errorf("100 requests allow %d more repeats, want 17", got)
	}
	if b.Remaining(start.Add(11*time.Second), 7) != quiet {
		t.Error("old requests still allow repeats")
	}
}

func TestShareShrinksWithMoreBoxes(t *testing.T) {
	b := newBudget()
	if one, many := b.Remaining(start, 1), b.Remaining(start, 50); one <= many {
		t.Errorf("one box may repeat %d times, one of 50 %d", one, many)
	}
}

// Boxes that know how many there are stay within the common limit in every window, however the requests are
// distributed.
func TestBoxesTogetherStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "boxes")
		boxes := make([]*Budget, n)
		for i := range boxes {
			boxes[i] = newBudget()
		}
		type event struct {
			at     time.Time
			repeat bool
		}
		var log []event
		now := start
		for range rapid.IntRange(1, 400).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 150).Draw(rt, "ms")) * time.Millisecond)
			b := boxes[rapid.IntRange(0, n-1).Draw(rt, "box")]
			if rapid.Bool().Draw(rt, "request") {
				b.Request(now)
				log = append(log, event{now, false})
				continue
			}
			own := b.Lend(now, n, 1)
			part := own
			for _, other := range boxes {
				if other != b && part < 1-rounding {
					part += other.Lend(now, n, 1-part)
				}
			}
			if part >= 1-rounding {
				log = append(log, event{now, true})
			} else {
				b.Return(now, now, own)
			}
		}
		for i := range log {
			requests, before, repeats := 0, 0, 0
			for _, e := range log {
				since := e.at.Sub(log[i].at)
				switch {
				case since >= 0 && since < 10*time.Second && e.repeat:
					repeats++
				case since >= 0 && since < 10*time.Second:
					requests++
				case since < 0 && since >= -10*time.Second && !e.repeat:
					before++
				}
			}
			if allowed := 0.2*float64(max(requests, before)) + 50; float64(repeats) > allowed {
				rt.Fatalf("%d repeats in a window that allows %g", repeats, allowed)
			}
		}
	})
}

// Guards against parts that are lent twice, more than is left, or more than a whole retry.
func TestLendingIsBounded(t *testing.T) {
	b := newBudget()
	if got := b.Lend(start, 50, 5); got != 0.7 {
		t.Errorf("one of 50 boxes lends %g of its 0.7 retries", got)
	}
	if got := b.Lend(start, 50, 1); got != 0 {
		t.Errorf("%g lent after all was", got)
	}
	if b = newBudget(); b.Lend(start, 1, 5) != 1 || b.Lend(start, 1, -1) != 0 || b.Remaining(start, 1) != 34 {
		t.Errorf("%d of 35 retries left after one was lent", b.Remaining(start, 1))
	}
	later := start.Add(9 * time.Second)
	b.Lend(start, 1, 1)
	if b.Return(later, start, 1); b.Remaining(later, 1) != 33 {
		t.Errorf("%d of 35 retries left after a part of an earlier bucket was given back", b.Remaining(later, 1))
	}
	if b.Lend(later, 1, 1); b.Remaining(later, 1) != 32 {
		t.Errorf("%d of 35 retries left", b.Remaining(later, 1))
	}
	if b.Return(later, later, 1); b.Remaining(later, 1) != 33 {
		t.Errorf("%d of 35 retries left after a part was given back", b.Remaining(later, 1))
	}
}
