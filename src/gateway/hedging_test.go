package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/exchange"
	"github.com/stilemast/stilemast/src/hedge"
)

// pausingStream answers with a stream of n events after the one that the call states. Before the event at, it pauses.
func pausingStream(ctx context.Context, c *Call, n, at int, pause time.Duration) *Reply {
	from := 1
	_, _ = fmt.Sscan(c.LastEvent, &from)
	if c.LastEvent != "" {
		from++
	}
	r := eventStream(ctx, from, n, 10*time.Millisecond, io.EOF)
	read, next := r.Read, from
	r.Read = func(b []byte) (int, error) {
		if next == at && !wait(ctx, pause) {
			return 0, ctx.Err()
		}
		next++
		return read(b)
	}
	return r
}

// checkNoLoad checks that a box counts no request at any server.
func checkNoLoad(t *testing.T, g *Gateway) {
	t.Helper()
	for _, e := range g.pools.list() {
		e.mu.Lock()
		for server, l := range e.picker.OwnLoads() {
			if l.Requests != 0 || l.Tokens != 0 {
				t.Errorf("%+v is counted at %s", l, server)
			}
		}
		e.mu.Unlock()
	}
}

func fullReply() *Reply {
	r := textReply(http.StatusServiceUnavailable, "")
	r.NotRun = true
	return r
}

// Guards against an attempt that is given up since its server is silent, though no other server takes the request.
func TestSilentServerKeepsARequestThatNoOtherTakes(t *testing.T) {
	second := map[string]func(ctx context.Context) (*Reply, error){
		"full":    func(context.Context) (*Reply, error) { return fullReply(), nil },
		"failing": func(context.Context) (*Reply, error) { return textReply(http.StatusInternalServerError, ""), nil },
		"moved": func(context.Context) (*Reply, error) {
			return &Reply{Status: http.StatusMisdirectedRequest, NotRun: true, AddressReused: true, Close: func(bool) {}}, nil
		},
		"broken":      func(context.Context) (*Reply, error) { return nil, errBroken },
		"unreachable": func(context.Context) (*Reply, error) { return nil, &exchange.NotSent{Cause: errStore} },
		"full, late": func(ctx context.Context) (*Reply, error) {
			wait(ctx, hedge.AcceptWait/2)
			return fullReply(), nil
		},
	}
	first := map[string]struct {
		path  string
		send  func(ctx context.Context, c *Call) (*Reply, error)
		bytes int
	}{
		"stream": {"/draft/x", func(ctx context.Context, c *Call) (*Reply, error) {
			return pausingStream(ctx, c, 9, 5, 3500*time.Millisecond), nil
		}, 9 * len("id: 1\ndata: x\n\n")},
		"stream before its first event": {"/draft/x", func(ctx context.Context, c *Call) (*Reply, error) {
			if !wait(ctx, 6*time.Second) {
				return nil, ctx.Err()
			}
			return pausingStream(ctx, c, 9, 0, 0), nil
		}, 9 * len("id: 1\ndata: x\n\n")},
		"stream after its head": {"/draft/x", func(ctx context.Context, c *Call) (*Reply, error) {
			return pausingStream(ctx, c, 9, 1, 6*time.Second), nil
		}, 9 * len("id: 1\ndata: x\n\n")},
		"repeatable": {"/look/x", func(ctx context.Context, _ *Call) (*Reply, error) {
			if !wait(ctx, time.Second) {
				return nil, ctx.Err()
			}
			return textReply(http.StatusOK, "ok"), nil
		}, len("ok")},
	}
	for how, other := range second {
		for what, c := range first {
			t.Run(what+", second server "+how, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(t, 1)
					var sent atomic.Bool
					f.send = func(ctx context.Context, _ string, call *Call) (*Reply, error) {
						if sent.CompareAndSwap(false, true) {
							return c.send(ctx, call)
						}
						return other(ctx)
					}
					settle()
					if a := f.ask("box0", c.path, "r", nil); !a.ended || len(a.body) != c.bytes {
						t.Errorf("%+v", a)
					}
					checkNoLoad(t, f.box("box0"))
				})
			})
		}
	}
}

// Guards against two servers that work on one stream, since the second has accepted it without an answer.
func TestSilentServerIsToldSoonAfterAnotherHasItsStream(t *testing.T) {
	for name, answer := range map[string]time.Duration{"at once": 0, "within the wait": hedge.AcceptWait / 2, "late": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 1)
				var mu sync.Mutex
				var givenUp, began time.Time
				record := func(at *time.Time) {
					mu.Lock()
					defer mu.Unlock()
					*at = time.Now()
				}
				f.send = func(ctx context.Context, _ string, c *Call) (*Reply, error) {
					if err := c.Start(); err != nil {
						return nil, &exchange.NotSent{Cause: err}
					}
					if c.LastEvent == "" {
						context.AfterFunc(ctx, func() { record(&givenUp) })
						return pausingStream(ctx, c, 9, 5, time.Hour), nil
					}
					record(&began)
					if !wait(ctx, answer) {
						return nil, ctx.Err()
					}
					return pausingStream(ctx, c, 9, 0, 0), nil
				}
				settle()
				a := f.ask("box0", "/draft/x", "r", nil)
				if !a.ended || len(a.body) != 9*len("id: 1\ndata: x\n\n") {
					t.Errorf("%+v", a)
				}
				checkNoLoad(t, f.box("box0"))
				mu.Lock()
				defer mu.Unlock()
				if over := givenUp.Sub(began); over > min(answer, hedge.AcceptWait) || givenUp.IsZero() {
					t.Errorf("the first server was told %s after the second one had the stream", over)
				}
			})
		})
	}
}

// Guards against an answer that is dropped for a second attempt which has not been answered.
func TestAnswerOfASlowServerEndsTheSecondAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		var sent, ended atomic.Int32
		f.send = func(ctx context.Context, _ string, c *Call) (*Reply, error) {
			if err := c.Start(); err != nil {
				return nil, &exchange.NotSent{Cause: err}
			}
			if sent.Add(1) == 1 {
				if !wait(ctx, 300*time.Millisecond) {
					return nil, ctx.Err()
				}
				return textReply(http.StatusOK, "first"), nil
			}
			wait(ctx, time.Hour)
			ended.Add(1)
			return nil, ctx.Err()
		}
		settle()
		if a := f.ask("box0", "/look/x", "r", nil); a.body != "first" || a.took != 300*time.Millisecond || sent.Load() != 2 || ended.Load() != 1 {
			t.Errorf("%+v; %d sent, %d ended", a, sent.Load(), ended.Load())
		}
		checkNoLoad(t, f.box("box0"))
	})
}

// Guards against a second attempt that is forgotten, and counted at its server, since the first answered as it was given up.
func TestAcceptedSecondAttemptEndsWithTheRequest(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, 1)
			var sent atomic.Int32
			f.send = func(ctx context.Context, _ string, c *Call) (*Reply, error) {
				if err := c.Start(); err != nil {
					return nil, &exchange.NotSent{Cause: err}
				}
				if sent.Add(1) == 1 {
					<-ctx.Done()
					return textReply(status, "first"), nil
				}
				if !wait(ctx, time.Second) {
					return nil, ctx.Err()
				}
				return textReply(http.StatusOK, "second"), nil
			}
			settle()
			a := f.ask("box0", "/look/x", "r", nil)
			if a.refused != nil || status != http.StatusInternalServerError && a.body != "first" || status == http.StatusInternalServerError && a.body != "second" {
				t.Errorf("status %d: %+v", status, a)
			}
			checkNoLoad(t, f.box("box0"))
		})
	}
}

// Plays the load that a second attempt is for: a fifth of the streams wait at their server for 2.2 to 5 s, and other servers are full.
func TestWaitingStreamsAreServedWhileServersAreFull(t *testing.T) {
	const streams, events = 150, 20
	for full, want := range map[float64]int{0: streams, 0.7: streams, 1: streams} {
		t.Run(fmt.Sprintf("%.1f full", full), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 1)
				r, mu := rand.New(rand.NewPCG(1, 2)), sync.Mutex{}
				draw := func() float64 {
					mu.Lock()
					defer mu.Unlock()
					return r.Float64()
				}
				f.send = func(ctx context.Context, _ string, c *Call) (*Reply, error) {
					switch {
					case c.LastEvent == "" && draw() < 0.2:
						return pausingStream(ctx, c, events, 1+int(draw()*events), 2200*time.Millisecond+time.Duration(2800*draw())*time.Millisecond), nil
					case c.LastEvent != "" && draw() < full:
						return fullReply(), nil
					}
					return pausingStream(ctx, c, events, 0, 0), nil
				}
				settle()
				var callers sync.WaitGroup
				served, cut := 0, 0
				for i := range streams {
					time.Sleep(60 * time.Millisecond)
					callers.Go(func() {
						a := f.ask("box0", "/draft/x", fmt.Sprint("r", i), nil)
						mu.Lock()
						defer mu.Unlock()
						if a.ended {
							served++
						}
						if a.cut {
							cut++
						}
					})
				}
				callers.Wait()
				t.Logf("%d of %d served, %d cut", served, streams, cut)
				if served != want {
					t.Errorf("%d of %d served, %d cut", served, streams, cut)
				}
			})
		})
	}
}
