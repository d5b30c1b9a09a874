package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// When the store stops answering, the reads of all three readers fail at the same moment, and their reports
// to each other cross. Evaluating such a report only at the next failed read, a second later, delays the call
// for further readers: the last box then knew of a change after 1.85 to 2.0 s, all of the two thirds that the
// smallest bound allows. Reports must be evaluated when they arrive.
func TestReadersFailingTogetherAskNextImmediately(t *testing.T) {
	for _, b := range propagationBounds() {
		for _, boxes := range []int{61, 295} {
			t.Run(fmt.Sprint(b.name, ", ", boxes, " boxes"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(t, boxes)
					time.Sleep(6 * time.Second)
					readersUnanswered.apply(f, f.storeReaders())
					b.change(f)
					last := f.lastStale(boxes, b.stale, 4*time.Second)
					t.Logf("the last box knew after %s", last)
					// The failure is noticed when the pending reads end; then the next boxes read and the
					// change spreads.
					if most := ReadSilence + 500*time.Millisecond; last > most {
						t.Errorf("the last box knew after %s, want at most %s", last, most)
					}
				})
			})
		}
	}
}
