package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// The story. While the store said nothing to the three boxes that read it, the last box knew of a change after 1.85 to 2.0 s in fleets of
// any size, just the two thirds of 3 s that the smallest bound allows. Order of events: the three readers' reads end without an
// answer at one moment, a second after they began; each tells the other two, and asks nobody, since the others may have answers; their
// words cross. A second later their next reads end, and now they ask the next boxes.
//
// Evidence: the boxes' lines: "store lost" at all three in the same millisecond, "others are asked to read the store" at their next failure
// 1.15 s later.
//
// Cause: what a reader hears of the others was judged at its own next failure only; the words of readers that fail together cross.
func TestReadersThatAreSilencedTogetherAskTheNextAtOnce(t *testing.T) {
	for _, b := range budgets() {
		for _, boxes := range []int{61, 295} {
			t.Run(fmt.Sprint(b.name, ", ", boxes, " boxes"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(t, boxes)
					time.Sleep(6 * time.Second)
					heardNothing.do(f, f.readersOf())
					b.change(f)
					last := f.lastHolding(boxes, b.holds, 4*time.Second)
					t.Logf("the last box knew after %s", last)
					// The silence is noticed when the reads that it met end, and the next boxes' reads go round.
					if most := ReadSilence + 500*time.Millisecond; last > most {
						t.Errorf("the last box knew after %s, want %s at most", last, most)
					}
				})
			})
		}
	}
}
