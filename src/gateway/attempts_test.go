package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/exchange"
)

func TestRepeatableRequestLeavesUnresponsiveServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		var first atomic.Pointer[string]
		f.send = func(ctx context.Context, _ string, c *Call) (*Reply, error) {
			if first.CompareAndSwap(nil, &c.Server.ID) || *first.Load() == c.Server.ID {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return textReply(http.StatusOK, "ok"), nil
		}
		settle()
		if a := f.ask("box0", "/look/x", "r", nil); a.body != "ok" || a.took > 400*time.Millisecond {
			t.Errorf("%+v", a)
		}
	})
}

func TestUnsentRequestTriesAllServersBeforeRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		tried := map[string]bool{}
		f.send = func(_ context.Context, _ string, c *Call) (*Reply, error) {
			tried[c.Server.ID] = true
			return nil, &exchange.NotSent{Cause: errStore}
		}
		settle()
		a := f.ask("box0", "/look/x", "r", nil)
		if a.refused == nil || a.refused.DidRun() != code.RanNo || a.refused.RetryAfter == 0 || len(tried) != 3 {
			t.Errorf("%+v after %v", a, tried)
		}
	})
}

func TestDeadlineIsShorterOfCallerAndPipeline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		f.send = func(ctx context.Context, _ string, c *Call) (*Reply, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		settle()
		for left, want := range map[time.Duration]time.Duration{time.Second: time.Second, time.Minute: 5 * time.Second} {
			a := f.ask("box0", "/look/x", "r", func(r *Request) { r.Left = left })
			if a.refused == nil || a.refused.Code != code.DeadlinePassed || a.took != want || a.refused.RetryAfter != 0 {
				t.Errorf("caller with %s left: %+v", left, a)
			}
		}
	})
}

// A deadline that no server can meet says nothing about a single server: none is put into backoff for it.
func TestUnmeetableDeadlineBacksOffNoServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		f.send = func(ctx context.Context, _ string, c *Call) (*Reply, error) {
			if !wait(ctx, 300*time.Millisecond) {
				return nil, ctx.Err()
			}
			return textReply(http.StatusOK, "ok"), nil
		}
		settle()
		for i := range 30 {
			f.ask("box0", "/stamp/x", fmt.Sprint("r", i), func(r *Request) { r.Left = 100 * time.Millisecond })
		}
		e := f.box("box0").pools.get("model")
		e.mu.Lock()
		defer e.mu.Unlock()
		if r := e.picker.PausedServers(time.Now()); len(r) > 0 {
			t.Errorf("%v are in backoff", r)
		}
	})
}

func TestOncePipelineIsSentOnlyOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		sent := 0
		f.send = func(context.Context, string, *Call) (*Reply, error) {
			sent++
			return nil, errBroken
		}
		settle()
		a := f.ask("box0", "/stamp/x", "r", nil)
		if sent != 1 || a.refused == nil || a.refused.DidRun() != code.RanUnknown || a.refused.RetryAfter != 0 {
			t.Errorf("sent %d times: %+v", sent, a.refused)
		}
	})
}

// Guards against bytes of a server that are passed on as its answer: a success that it did not sign, and a promise that it did not make.
func TestAnswersThatTheServerDoesNotVouchForAreNotPassedOn(t *testing.T) {
	for status, signed := range map[int]bool{
		http.StatusOK: false, http.StatusNoContent: false, http.StatusServiceUnavailable: true, http.StatusTooManyRequests: true, http.StatusRequestTimeout: false,
	} {
		for _, path := range []string{"/look/x", "/stamp/x", "/draft/x"} {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 1)
				sent := 0
				f.send = func(context.Context, string, *Call) (*Reply, error) {
					if sent++; sent > 1 {
						return textReply(http.StatusOK, "ok"), nil
					}
					r := textReply(status, "It works!")
					r.Signed, r.Events = signed, path == "/draft/x"
					return r, nil
				}
				settle()
				a := f.ask("box0", path, "r", nil)
				once := path == "/stamp/x"
				if once && (sent != 1 || a.refused == nil || a.refused.Code != code.OutcomeUnknown || a.refused.DidRun() != code.RanUnknown) {
					t.Errorf("%s, status %d, signed %v: %+v", path, status, signed, a)
				}
				if !once && (sent != 2 || a.body != "ok") {
					t.Errorf("%s, status %d, signed %v: sent %d times, %+v", path, status, signed, sent, a)
				}
			})
		}
	}
}
