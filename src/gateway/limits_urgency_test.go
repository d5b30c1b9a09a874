package gateway

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Where all servers announce a limit and callers want three times as much, urgent requests are served before
// less urgent ones.
func TestScarcePermitsGoToUrgentRequests(t *testing.T) {
	for _, boxes := range []int{6, 61} {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPushbackSite(t, boxes)
				c := testCatalog(2)
				for _, p := range c.Pipelines {
					if p.Name == "look" {
						p.Name, p.Prefix, p.Priority = "peek", "/peek/", 4
						c.Pipelines = append(c.Pipelines, p)
						break
					}
				}
				s.f.publish(c)
				time.Sleep(2 * time.Second)
				s.nameLimit("model", 5, 4)
				var mu sync.Mutex
				var all sync.WaitGroup
				served, asked := map[string]int{}, map[string]int{}
				for i := range 720 { // 60 per second, of which 20 can be served
					path := []string{"/look/x", "/peek/x", "/peek/x"}[i%3]
					all.Go(func() {
						a := s.askAvailable(i%boxes, path, fmt.Sprint("r", i), callerTimeout)
						mu.Lock()
						defer mu.Unlock()
						asked[path]++
						if a.ended {
							served[path]++
						}
					})
					time.Sleep(time.Second / 60)
				}
				all.Wait()
				share := func(path string) float64 { return float64(served[path]) / float64(asked[path]) }
				t.Logf("urgent: %.2f of %d served; less urgent: %.2f of %d", share("/look/x"), asked["/look/x"], share("/peek/x"), asked["/peek/x"])
				if share("/look/x") < share("/peek/x")+0.05 {
					t.Errorf("%.2f of the urgent requests are served, %.2f of the less urgent", share("/look/x"), share("/peek/x"))
				}
			})
		})
	}
}
