package backlog

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A piece waits for what is due before it and not for what it overtakes.
func TestAPieceWaitsForWhatIsDueBeforeIt(t *testing.T) {
	var c Count
	c.Add(-time.Second, 10)
	c.Add(700*time.Millisecond, 20)
	c.Add(2800*time.Millisecond, 300)
	w := c.Waits(50*time.Millisecond, 100)
	for _, x := range []struct{ due, want time.Duration }{
		{0, 150 * time.Millisecond}, {500 * time.Millisecond, 150 * time.Millisecond}, {750 * time.Millisecond, 350 * time.Millisecond},
		{2 * time.Second, 350 * time.Millisecond}, {3 * time.Second, 3350 * time.Millisecond},
	} {
		if got := w.At(x.due); got != x.want {
			t.Errorf("due in %s: waits %s, want %s", x.due, got, x.want)
		}
	}
}

// What names no places, or others than these, is one wait for all.
func TestWaitsWithoutPlacesAreTheWholePools(t *testing.T) {
	for _, steps := range [][]time.Duration{nil, {1}, make([]time.Duration, len(places)+1)} {
		if got := (Waits{All: time.Second, Steps: steps}).At(0); got != time.Second {
			t.Errorf("%d places: waits %s, want 1s", len(steps), got)
		}
	}
}

// No piece waits longer than one that is due later, and none longer than behind everything.
func TestWaitsGrowWithTheTimeUntilDue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Count
		for range rapid.IntRange(0, 20).Draw(t, "jobs") {
			c.Add(time.Duration(rapid.IntRange(-2000, 6000).Draw(t, "due"))*time.Millisecond, rapid.IntRange(0, 40).Draw(t, "pieces"))
		}
		w := c.Waits(time.Duration(rapid.IntRange(0, 500).Draw(t, "first"))*time.Millisecond, rapid.Float64Range(1, 500).Draw(t, "rate"))
		last := time.Duration(0)
		for due := -time.Second; due < 5*time.Second; due += 70 * time.Millisecond {
			got := w.At(due)
			if got < last || got > w.All {
				t.Fatalf("due in %s: waits %s, before %s, behind all %s", due, got, last, w.All)
			}
			last = got
		}
	})
}
