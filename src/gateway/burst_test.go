package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// A burst of 6 s of the servers' work arrives at once, from callers that wait 10 s. Half miss their
// objective, but a late answer is better than none: all are answered as soon as the servers can.
func TestBurstIsServedWithinCallersDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		f.serveStreams(1)
		settle()
		for i := range 3 {
			f.box(fmt.Sprint("box", i)).Settings.Admission = false
		}
		var all sync.WaitGroup
		for i := range 60 {
			all.Go(func() {
				a := f.ask(fmt.Sprint("box", i%3), "/draft/x", fmt.Sprint("r", i), func(r *Request) { r.Pieces = []int{4} })
				if !a.ended || a.status != http.StatusOK || a.took > 7*time.Second {
					t.Errorf("r%d: %v after %v", i, a.refused, a.took)
				}
			})
		}
		all.Wait()
	})
}
