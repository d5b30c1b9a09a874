package backlog

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A piece waits for the pieces that are due before it and not for those it overtakes, unless they have no
// slack to be overtaken.
func TestWaitCountsPiecesDueBefore(t *testing.T) {
	var c Count
	c.Add(-time.Second, 10)
	c.Add(700*time.Millisecond, 20)
	c.Add(2800*time.Millisecond, 300)
	for _, x := range []struct {
		perSecond float64
		due, want time.Duration
	}{
		{660, 0, 71 * time.Millisecond}, {660, 500 * time.Millisecond, 71 * time.Millisecond}, {660, 750 * time.Millisecond, 95 * time.Millisecond},
		{660, 2 * time.Second, 95 * time.Millisecond}, {660, 3 * time.Second, 550 * time.Millisecond},
		{330, 0, 141 * time.Millisecond},  // everything is done in 1.05 s, so pieces due sooner must not be overtaken
		{110, 0, 3050 * time.Millisecond}, // no piece has slack for everything that waits
	} {
		w := c.Waits(50*time.Millisecond, x.perSecond)
		if got := w.At(x.due); got.Round(time.Millisecond) != x.want {
			t.Errorf("%.0f a second, due in %s: waits %s, want %s", x.perSecond, x.due, got, x.want)
		}
	}
}

// Without steps, or with another number of them, the wait is the one behind all pieces.
func TestWaitsWithoutStepsUseAll(t *testing.T) {
	for _, steps := range [][]time.Duration{nil, {1}, make([]time.Duration, len(steps)+1)} {
		if got := (Waits{All: time.Second, Steps: steps}).At(0); got != time.Second {
			t.Errorf("%d places: waits %s, want 1s", len(steps), got)
		}
	}
}

// No piece waits longer than one that is due later, or longer than behind all pieces.
func TestWaitsIncreaseWithDueTime(t *testing.T) {
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
