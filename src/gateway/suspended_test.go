package gateway

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/code"
)

// These tests cover a box whose machine was suspended: timers have not advanced, but its clock has (package
// clock), and the rest of the system went on. They move the box's clock and change the rest at the same
// instant.

// suspend advances a box's clock as if its machine had been suspended for d.
func (f *testFleet) suspend(name string, d time.Duration) {
	before, _ := f.suspendedFor.Load(name)
	slept, _ := before.(time.Duration)
	f.suspendedFor.Store(name, slept+d)
}

// Servers left while the box was suspended. It confirms its state before it sends anything.
func TestResumedBoxConfirmsStateBeforeSending(t *testing.T) {
	for _, slept := range []time.Duration{2 * time.Second, 5 * time.Second, 20 * time.Second} {
		t.Run(slept.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 6)
				var mu sync.Mutex
				sent := map[string]int{}
				f.send = func(_ context.Context, _ string, c *Call) (*Reply, error) {
					if err := c.Start(); err != nil {
						return nil, err
					}
					mu.Lock()
					defer mu.Unlock()
					sent[c.Server.ID]++
					return textReply(http.StatusOK, "ok"), nil
				}
				settle()
				f.setLost("box2", true) // its connections are dead for a moment after the suspension
				f.refuseReads(func(box string) bool { return box == "box2" })
				f.remove("model0")
				f.remove("model1")
				f.suspend("box2", slept)
				var all sync.WaitGroup
				for i := range 10 {
					all.Go(func() {
						a := f.ask("box2", "/stamp/x", "r"+string(rune('0'+i)), func(r *Request) { r.Pieces = nil })
						if a.status != http.StatusOK {
							t.Errorf("the caller got %d %v", a.status, a.refused)
						}
					})
				}
				time.Sleep(300 * time.Millisecond)
				f.setLost("box2", false)
				f.refuseReads(nil)
				all.Wait()
				if sent["model0"]+sent["model1"] > 0 {
					t.Errorf("sent to %v: model0 and model1 left during the suspension", sent)
				}
			})
		})
	}
}

// A caller's deadline passes while the box is suspended: its request ends as soon as the box resumes.
func TestDeadlinePassedDuringSuspensionEndsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4)
		f.send = func(ctx context.Context, _ string, _ *Call) (*Reply, error) {
			wait(ctx, 10*time.Second)
			return nil, errBroken
		}
		settle()
		go func() {
			time.Sleep(time.Second)
			f.suspend("box2", 5*time.Second)
		}()
		a := f.ask("box2", "/stamp/x", "r", func(r *Request) { r.Pieces, r.Left = nil, 4*time.Second })
		if a.took > 1300*time.Millisecond || a.refused == nil || a.refused.Code != code.DeadlinePassed {
			t.Errorf("ended after %s with %v, want its deadline passed just after the suspension at 1 s", a.took, a.refused)
		}
	})
}

// A box resumes between the selection of a server and the first byte, or between two attempts: no server is
// given more time than the caller has left, and none is asked when no time is left.
func TestSuspensionReducesTimeGivenToServers(t *testing.T) {
	for _, slept := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
		t.Run(slept.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 4)
				var mu sync.Mutex
				calls := 0
				var end time.Duration // of the time given to the server, on the box's clock
				began := time.Now()
				f.send = func(_ context.Context, _ string, c *Call) (*Reply, error) {
					mu.Lock()
					defer mu.Unlock()
					if calls++; calls == 1 {
						f.suspend("box2", slept)
						return nil, errBroken
					}
					if err := c.Start(); err != nil {
						return nil, err
					}
					end = time.Since(began) + slept + c.Left
					return textReply(http.StatusOK, "ok"), nil
				}
				settle()
				began = time.Now()
				a := f.ask("box2", "/look/x", "r", func(r *Request) { r.Pieces, r.Left = nil, 3*time.Second })
				if slept < 3*time.Second && (calls != 2 || end > 3*time.Second+20*time.Millisecond) {
					t.Errorf("%d calls, the second could run until %s, the caller waits 3 s: %+v", calls, end, a)
				}
				if slept > 3*time.Second && calls != 1 {
					t.Errorf("%d calls: a server was asked when no time was left", calls)
				}
			})
		})
	}
}
