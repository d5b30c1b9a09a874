package gateway

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// knownBy counts the boxes that take a box for usable.
func (f *testFleet) knownBy(name string, boxes int) int {
	n := 0
	for i := range boxes {
		if slices.Contains(f.box(fmt.Sprint("box", i)).fleet.usable(), name) {
			n++
		}
	}
	return n
}

func TestBoxRestartedWithEarlierClockIsKnown(t *testing.T) {
	for _, boxes := range []int{6, 61} {
		for _, down := range []time.Duration{100 * time.Millisecond, 10 * time.Second} {
			t.Run(fmt.Sprint(boxes, " boxes, down for ", down), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(t, boxes)
					time.Sleep(10 * time.Second)
					f.kill("box3")
					time.Sleep(down)
					f.clockBack = 30 * time.Second
					f.start("box3")
					time.Sleep(3 * time.Second)
					for range 20 {
						if n := f.knownBy("box3", boxes); n < boxes {
							t.Fatalf("%d of %d boxes know a box that restarted over three seconds ago", n, boxes)
						}
						time.Sleep(500 * time.Millisecond)
					}
				})
			})
		}
	}
}
