package retry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"testing"
	"time"
)

// lenders is a fleet of boxes that lend parts of a retry.
type lenders struct {
	Borrower
	now   time.Time
	parts map[string]float64
	fail  map[string]error
	asked map[string]int
}

func newLenders(boxes int) *lenders {
	l := &lenders{now: start, parts: map[string]float64{}, fail: map[string]error{}, asked: map[string]int{}}
	names := make([]string, boxes)
	for i := range names {
		names[i] = fmt.Sprint("box", i)
	}
	l.Borrower = Borrower{
		Self: "box0", Now: func() time.Time { return l.now }, Log: slog.New(slog.DiscardHandler), Boxes: func() []string { return names },
		Ask: func(_ context.Context, box string, r Request) (Loan, error) {
			l.asked[box]++
			part := min(l.parts[box], r.Part)
			l.parts[box] -= part
			return Loan{Part: part}, l.fail[box]
		},
	}
	return l
}

func (l *lenders) questions() (n int) {
	for _, asked := range l.asked {
		n += asked
	}
	return n
}

func TestPartsOfSeveralBoxesMakeARetry(t *testing.T) {
	l := newLenders(6)
	for i := range 6 {
		l.parts[fmt.Sprint("box", i)] = 0.3
	}
	if !l.Borrow(context.Background(), "pool", "r", 0.8) {
		t.Error("0.3 of each of five boxes did not suffice for 0.8")
	}
	if l.asked["box0"] > 0 || l.questions() != 3 {
		t.Errorf("%d questions, of which %d to itself, want 3", l.questions(), l.asked["box0"])
	}
	if !l.Borrow(context.Background(), "pool", "r", 0) || l.questions() != 3 {
		t.Error("nothing was missing, but boxes were asked")
	}
}

// Guards against a box that keeps asking while no box has anything left.
func TestUsedUpPoolIsNotAskedFor(t *testing.T) {
	l := newLenders(61)
	for range 10 {
		if l.Borrow(context.Background(), "pool", "r", 1) {
			t.Fatal("lent although no box has anything")
		}
	}
	if l.questions() > maxAsked {
		t.Errorf("%d questions, want %d at most", l.questions(), maxAsked)
	}
	l.now = l.now.Add(usedUpFor)
	for box := range 61 {
		l.parts[fmt.Sprint("box", box)] = 1
	}
	if !l.Borrow(context.Background(), "pool", "r", 1) {
		t.Error("not lent after the pause")
	}
}

// Guards against a caller that leaves and takes the retries of others with it.
func TestCallerWhoLeftDoesNotStopBorrowing(t *testing.T) {
	l := newLenders(3)
	l.parts["box1"], l.parts["box2"] = 1, 1
	gone, leave := context.WithCancel(context.Background())
	leave()
	if l.Borrow(gone, "pool", "r", 1) || l.questions() > 0 {
		t.Errorf("%d questions for a caller who left", l.questions())
	}
	if !l.Borrow(context.Background(), "pool", "r", 1) {
		t.Error("nothing is borrowed for another caller")
	}
}

// Guards against requests that wait for boxes that are gone or know nothing of lending.
func TestBoxesThatDoNotLendAreSkipped(t *testing.T) {
	for _, c := range []struct {
		err     error
		skipped time.Duration
	}{{errors.New("no answer"), silentFor}, {ErrUnsupported, unsupportedFor}} {
		l := newLenders(3)
		l.fail["box1"] = c.err
		l.parts["box2"] = 100
		for i := range 20 {
			if !l.Borrow(context.Background(), "pool", fmt.Sprint("r", i), 1) {
				t.Fatalf("%v: not lent by the other box", c.err)
			}
		}
		if l.asked["box1"] > 1 {
			t.Errorf("%v: asked %d times", c.err, l.asked["box1"])
		}
		l.now = l.now.Add(c.skipped)
		for i := range 20 {
			l.Borrow(context.Background(), "pool", fmt.Sprint("r", i), 1)
		}
		if l.asked["box1"] != 2 {
			t.Errorf("%v: asked %d times after the pause, want 2", c.err, l.asked["box1"])
		}
	}
}

// Guards against loans that make more of a retry than was asked for, or take some away.
func TestMalformedLoansAreBounded(t *testing.T) {
	for _, part := range []float64{-5, 0, math.NaN()} {
		l := newLenders(3)
		l.Ask = func(context.Context, string, Request) (Loan, error) { return Loan{Part: part}, nil }
		if l.Borrow(context.Background(), "pool", "r", 0.5) {
			t.Errorf("a loan of %g suffices", part)
		}
		b := newBudget()
		if got := b.Lend(start, 1, part); got != 0 || b.Remaining(start, 1) != 35 {
			t.Errorf("%g lent of %g, %d retries left", got, part, b.Remaining(start, 1))
		}
	}
}
