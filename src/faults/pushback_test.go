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

// A server that rejects a call can ask for a rest: it says for how long it wants no calls. A box that applies
// only its own backoff (from 0.2 s after a failure) sends calls during the rest. The gateway's pushback_test.go
// covers the same failure for requests through the gateway.
func TestAServerThatAsksForRestHasItOnTheProductsPath(t *testing.T) {
	const restAsked, rejectPeriod = 3 * time.Second, 7 * time.Second
	for _, resting := range []int{2, 4} { // of 4
		t.Run(fmt.Sprint(resting, " of 4"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetWithDocument(t, 4, documentWithServers(4))
				defer f.shutdown()
				var mu sync.Mutex
				rejectedAt := map[string][]time.Time{}
				sentInRest, sends := 0, 0
				begin := time.Now()
				f.rejectCall = func(box, server string) *port.CallError {
					mu.Lock()
					defer mu.Unlock()
					now, n := time.Now(), 0
					if _, err := fmt.Sscanf(server, "rerankers-%d", &n); err != nil || n > resting {
						return nil
					}
					sends++
					list := rejectedAt[box+server]
					for _, at := range list {
						if d := now.Sub(at); d > restAsked/6 && d < restAsked {
							sentInRest++
						}
					}
					if now.Sub(begin) > rejectPeriod {
						return nil
					}
					rejectedAt[box+server] = append(list, now)
					return &port.CallError{Failure: core.Busy, Message: "full", RetryAfter: restAsked}
				}
				var senders sync.WaitGroup
				answered := map[string]int{}
				for i := range 400 {
					senders.Go(func() {
						a := f.send(fmt.Sprintf("b%d", i%4+1), "draft", f.newKey(), []byte(strings.Repeat("x", i)))
						mu.Lock()
						defer mu.Unlock()
						if answered[a.code.String()]++; a.code != code.OK && a.cut {
							t.Error("an answer was cut")
						}
					})
					time.Sleep(25 * time.Millisecond)
				}
				senders.Wait()
				t.Logf("%d calls to servers that ask for rest, %d of them during a rest; answers %v", sends, sentInRest, answered)
				if sentInRest > 0 {
					t.Errorf("%d calls reached servers during the rests that they had asked for", sentInRest)
				}
				if resting == 2 && answered["OK"] < 396 {
					t.Errorf("answers %v, though two servers were free", answered)
				}
			})
		})
	}
}
