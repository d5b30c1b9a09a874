package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/stilemast/stilemast/src/balance"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/exchange"
	"github.com/stilemast/stilemast/src/hedge"
)

// newHedge returns what tries another server while that of an attempt is silent; nil if no other may be tried.
func (v *requestRun) newHedge(ctx context.Context, a *attempt) *hedge.Hedge[*attempt] {
	if !v.repeatable() || !v.attemptLeft(a) {
		return nil
	}
	h := &hedge.Hedge[*attempt]{
		Context:  ctx,
		Try:      func(ctx context.Context) (*attempt, <-chan struct{}, bool) { return v.trySecond(ctx, a) },
		Rejected: v.rejected,
		GiveUp:   func() { a.cancel(errSilent) },
		Again:    func() bool { return v.attemptLeft(a) },
	}
	h.Arm(v.silenceLimit())
	return h
}

// silenceLimit returns how long a server may be silent before another one is tried.
func (v *requestRun) silenceLimit() time.Duration {
	p := v.pipeline
	if p.Kind == catalog.Stream {
		return max(minSilence, time.Duration(silentFactor*float64(v.gateway.estimates.Get(p.Name))))
	}
	return max(minAttemptTime, time.Duration(hedgeShare*float64(p.Objective)))
}

// attemptLeft reports whether the request may be sent to another server beside an attempt.
func (v *requestRun) attemptLeft(a *attempt) bool {
	sent := v.attempts
	if !a.counted {
		sent++
	}
	return sent < v.pipeline.Attempts
}

// trySecond sends the request to another server while that of the first attempt is silent, if the retry budget allows it; otherwise a
// silent server is better than none.
func (v *requestRun) trySecond(ctx context.Context, first *attempt) (*attempt, <-chan struct{}, bool) {
	if !v.serverLeft() || !v.retryLeft() || !v.takeRetry(ctx) {
		v.logHedge(first, nil, "none to try")
		return nil, nil, false
	}
	if v.needsStages() && v.makeStages(ctx) != nil {
		v.logHedge(first, nil, "stages not made")
		return nil, nil, false
	}
	defer func() { v.uncounted = false }()
	for range maxUnsent {
		a, _, err := v.prepare(ctx)
		if a == nil {
			v.logHedge(first, nil, err.Message)
			return nil, nil, false
		}
		if v.sendBeside(a) {
			v.logHedge(first, a, "sent")
			return a, a.answered, true
		}
		v.finish(a)
		v.end(a)
	}
	return nil, nil, false
}

// sendBeside sends the request of an attempt in the background and reports whether anything was sent.
func (v *requestRun) sendBeside(a *attempt) bool {
	a.sent, a.answered = make(chan struct{}), make(chan struct{})
	start := a.call.Start
	a.call.Start = func() error {
		err := start()
		if err == nil {
			close(a.sent)
		}
		return err
	}
	go func() {
		v.send(a)
		close(a.answered)
	}()
	select {
	case <-a.sent:
		return true
	case <-a.answered:
		var notSent *exchange.NotSent
		return !errors.As(a.err, &notSent)
	}
}

// rejected reports whether a second server did not take the request or failed, and records that.
func (v *requestRun) rejected(a *attempt) bool {
	r := a.reply
	if r != nil && !r.NotRun && !r.AddressReused && r.check() == nil && (exchange.IsSuccess(r.Status) || r.Status < http.StatusInternalServerError && !v.begun) {
		return false
	}
	if r != nil && !r.NotRun && !r.AddressReused {
		r.Close(false)
		v.attempts++
		v.recordOutcome(a, balance.Failed, "status "+http.StatusText(r.Status))
	} else {
		v.finish(a)
	}
	v.logHedge(nil, a, "rejected")
	v.end(a)
	return true
}

// settle takes the request back from the hedge of an attempt that was answered or has failed. An answer is worth more than a second
// attempt; the first events of a stream are not.
func (v *requestRun) settle(a *attempt) {
	success := a.reply != nil && exchange.IsSuccess(a.reply.Status) && a.reply.check() == nil
	if success && !a.reply.Events {
		v.discardSecond(a)
		return
	}
	if v.givenUp(a) && success {
		a.reply.Close(false)
		a.reply, a.err = nil, errSilent
	}
}

// givenUp reports whether an attempt was given up for one that another server has accepted. That is the request's next.
func (v *requestRun) givenUp(a *attempt) bool {
	second, ok := a.hedge.Hold()
	if ok {
		v.logHedge(a, second, "accepted")
		v.next = second
	}
	return ok
}

// discardSecond ends the attempt beside one that was answered.
func (v *requestRun) discardSecond(a *attempt) {
	if second, ok := a.hedge.Stop(); ok {
		v.next = second
		v.discardNext()
	}
}

// discardNext ends the attempt that the request would go on with.
func (v *requestRun) discardNext() {
	a := v.next
	if v.next = nil; a == nil {
		return
	}
	a.cancel(nil)
	<-a.answered
	if a.reply != nil {
		a.reply.Close(false)
		a.reply, a.err = nil, context.Canceled
	}
	v.finish(a)
	v.end(a)
}

// serverLeft reports whether another server accepts the request.
func (v *requestRun) serverLeft() bool {
	e := v.gateway.pools.get(v.pool)
	e.mu.Lock()
	defer e.mu.Unlock()
	w := &balance.Request{Build: v.build, Within: v.confines, Exclude: v.wish.Exclude}
	return e.picker.AnyLeft(w) && e.picker.AnyAccepting(v.gateway.now(), w)
}

// logHedge logs a decision about a second attempt.
func (v *requestRun) logHedge(first, second *attempt, result string) {
	line := []any{"request", v.request.ID, "pool", v.pool, "result", result, "attempts", v.attempts, "last_event", v.lastEvent}
	if first != nil {
		line = append(line, "server", first.call.Server.ID, "age_ms", v.gateway.now().Sub(first.began).Milliseconds())
	}
	if second != nil {
		line = append(line, "second", second.call.Server.ID, "second_age_ms", v.gateway.now().Sub(second.began).Milliseconds())
	}
	v.gateway.Log.Info("second attempt", line...)
}
