package faults

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// The story of the gateway's pushback_test.go, on the product's own path: servers that turn calls away and say for how long they
// want none are asked again by the same box, for it knows only its own guess of 0.2 s and more after failures.
func TestAServerThatAsksForRestHasItOnTheProductsPath(t *testing.T) {
	const asked, sheds = 3 * time.Second, 7 * time.Second
	for _, resting := range []int{2, 4} { // of 4
		t.Run(fmt.Sprint(resting, " of 4"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetBefore(t, 4, documentOf(4))
				defer f.end()
				var mu sync.Mutex
				rests := map[string][]time.Time{}
				over, sends := 0, 0
				begin := time.Now()
				f.turnsAway = func(box, server string) *port.CallError {
					mu.Lock()
					defer mu.Unlock()
					now, n := time.Now(), 0
					if _, err := fmt.Sscanf(server, "rerankers-%d", &n); err != nil || n > resting {
						return nil
					}
					sends++
					list := rests[box+server]
					for _, at := range list {
						if d := now.Sub(at); d > asked/6 && d < asked {
							over++
						}
					}
					if now.Sub(begin) > sheds {
						return nil
					}
					rests[box+server] = append(list, now)
					return &port.CallError{Failure: core.Busy, Message: "full", RetryAfter: asked}
				}
				var all sync.WaitGroup
				answered := map[string]int{}
				for i := range 400 {
					all.Go(func() {
						a := f.send(fmt.Sprintf("b%d", i%4+1), "draft", f.newKey(), []byte(strings.Repeat("x", i)))
						mu.Lock()
						defer mu.Unlock()
						if answered[a.code.String()]++; a.code != code.OK && a.cut {
							t.Error("an answer was cut")
						}
					})
					time.Sleep(25 * time.Millisecond)
				}
				all.Wait()
				t.Logf("%d sends to servers that rest or rested, %d of them in rests; answers %v", sends, over, answered)
				if over > 0 {
					t.Errorf("%d calls reached servers in the rests that they had asked for", over)
				}
				if resting == 2 && answered["OK"] < 396 {
					t.Errorf("%v, where two servers were free", answered)
				}
			})
		})
	}
}
