package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// The three readers' reads fail at the same moment when the store stops answering. Each reader told the other
// two and asked no further box, since the others might have answers; these messages crossed and were
// evaluated only at the next failed read, a second later. The last box then knew of a change after 1.85 to
// 2.0 s, all of the two thirds that the smallest bound allows. Reports of the other readers must be evaluated
// when they arrive.
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
