package gateway

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/crasher"
)

// Mixed releases: boxes of an earlier release send no content keys in their jobs. Server crashes during such
// jobs count against no content; if they counted as one content, all such requests would be refused after the
// third crash.
func TestJobsWithoutContentKeyAreNotBarred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCrashSite(t, 6, "encode")
		s.f.alterBatch = func(from string, m *batch.Message) {
			if m.Submit != nil && (strings.HasPrefix(from, "box1") || strings.HasPrefix(from, "box3")) {
				submit := *m.Submit
				submit.Content = crasher.Key{}
				m.Submit = &submit
			}
		}
		settle()
		others := &tally{}
		var all sync.WaitGroup
		for i := range 500 {
			box := fmt.Sprint("box", 1+i%2*2) // the boxes of the earlier release
			all.Go(func() { others.add(s.askWithBody(box, "/draft/x", fmt.Sprint("good", i), fmt.Sprint("body", i))) })
			if i%10 == 0 {
				all.Go(func() { s.askWithBody("box0", "/draft/x", fmt.Sprint("bad", i), "the same") })
			}
			time.Sleep(30 * time.Millisecond)
		}
		all.Wait()
		t.Logf("%d servers crashed; %d answered, %d not", s.crashed, others.answered, others.unserved)
		if s.crashed < 3 {
			t.Fatalf("%d servers crashed: the load was too low", s.crashed)
		}
		if others.unserved > 15 {
			t.Errorf("%d of 500 requests of boxes that send no content keys were not answered, want at most 15", others.unserved)
		}
		time.Sleep(5 * time.Second)
	})
}
