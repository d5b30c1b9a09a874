package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/stilemast/stilemast/src/balance"
	"github.com/stilemast/stilemast/src/brittle"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/crasher"
	"github.com/stilemast/stilemast/src/exchange"
	"github.com/stilemast/stilemast/src/hedge"
	"github.com/stilemast/stilemast/src/intake"
	"github.com/stilemast/stilemast/src/port"
	"github.com/stilemast/stilemast/src/pushback"
	"github.com/stilemast/stilemast/src/suspects"
)

// errSilent ends an attempt whose server stayed silent too long.
var errSilent = errors.New("the server stayed silent")

// nextStep is the next step after an attempt.
type nextStep uint8

const (
	stepDone  nextStep = iota + 1 // the caller has its answer
	stepRetry                     // try another server
	stepFail                      // end the request with the error
)

// repeatable reports whether the request may be sent again although it may have run.
func (v *requestRun) repeatable() bool {
	p := v.pipeline
	return p.Kind == catalog.Repeatable || p.Kind == catalog.Stream && p.Resumable
}

// runAttempts sends the request to one server after another until the caller has its answer. A server that
// refused the connection was sent nothing, so the next one is tried. Ending requests after three such servers
// lost 206 of 14,165 on a day on which a fifth of the engines crashed.
func (v *requestRun) runAttempts(ctx context.Context) {
	unsent, began := 0, v.gateway.now()
	for {
		what, err, sent := v.attemptOnce(ctx)
		if what == stepDone {
			v.discardNext()
			return
		}
		if v.next != nil {
			continue
		}
		if !sent && v.uncounted && what != stepFail && ctx.Err() == nil {
			v.uncounted = false
			continue
		}
		if !sent {
			if unsent++; what == stepFail || ctx.Err() != nil || unsent >= maxUnsent && v.gateway.now().Sub(began) > unsentFor {
				v.fail(ctx, err)
				return
			}
			continue
		}
		if v.begun && what == stepRetry && !v.canGoOn() {
			what, err = stepFail, v.noBuildLeft()
		}
		if what == stepFail || ctx.Err() != nil || !v.retryTaken && (v.attempts >= max(1, v.pipeline.Attempts) || !v.takeRetry(ctx)) {
			v.fail(ctx, err)
			return
		}
		v.retryTaken = false
		if v.needsStages() {
			if e := v.makeStages(ctx); e != nil {
				v.fail(ctx, e)
				return
			}
		}
	}
}

// needsStages reports whether results that were freed are needed again.
func (v *requestRun) needsStages() bool {
	if v.stageResults == nil {
		return false
	}
	v.stageResults.mu.Lock()
	defer v.stageResults.mu.Unlock()
	for _, i := range v.pipeline.FinalStages() {
		if v.stageResults.freed[i] {
			return true
		}
	}
	return false
}

// takeRetry spends one retry of the budget that all boxes share, with parts of other boxes where this box's is used up.
func (v *requestRun) takeRetry(ctx context.Context) bool {
	g := v.gateway
	now := g.now()
	boxes := g.fleet.boxes(now)
	e := g.pools.get(v.pool)
	e.mu.Lock()
	own := e.budget.Lend(now, boxes, 1)
	e.mu.Unlock()
	ok := g.retries.Borrow(ctx, v.pool, v.request.ID, 1-own)
	if !ok {
		e.mu.Lock()
		e.budget.Return(g.now(), now, own)
		e.mu.Unlock()
	}
	g.Log.Info("retry", "request", v.request.ID, "pool", v.pool, "allowed", ok, "boxes", boxes, "attempts", v.attempts)
	if g.Observer.Retried != nil {
		g.Observer.Retried(v.pool, ok)
	}
	return ok
}

// fail ends a request that no server answered.
func (v *requestRun) fail(ctx context.Context, err *code.Error) {
	if v.begun && v.callerLeft(ctx) {
		v.ended("cancelled", "cause", "the caller left during the stream", "last_event", v.lastEvent)
		v.caller.Cut()
		return
	}
	if v.begun {
		v.ended("cut", "cause", err.Message, "deadline_passed", ctx.Err() != nil)
		v.caller.Cut()
		return
	}
	switch {
	case v.callerLeft(ctx):
		err = code.New(code.Cancelled, "", "the caller left")
	case v.gateway.requests.Err() != nil:
		err = refusal(code.Draining, "box", otherBoxRetryAfter, "this box has stopped")
		if v.maybeRan {
			err = code.New(code.OutcomeUnknown, "box", "this box has stopped, the request may have run")
		}
	case ctx.Err() != nil && v.maybeRan:
		err = code.New(code.DeadlinePassed, "deadline", "no answer in time: %s", err.Message)
	}
	if v.maybeRan {
		err.Ran, err.RetryAfter = code.RanUnknown, 0
	}
	v.refuse(err)
}

// attempt is one try of a request at a server.
type attempt struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	pool   *pool
	call   *Call
	hedge  *hedge.Hedge[*attempt] // nil if no other server may be tried
	began  time.Time
	why    string // the server was chosen
	unread int    // prompt tokens that the server had not processed before, -1 if unknown
	freed  func() // ends the wait before the inputs are freed

	reply   *Reply
	err     error
	signals pushback.Signals // in the answer
	counted bool             // it counts among the request's attempts
	// Of an attempt beside another one; nil for others.
	sent     chan struct{} // closed when the first byte leaves
	answered chan struct{} // closed when reply or err is set
}

// attemptOnce makes one attempt, or goes on with the one that a silent server was given up for. The last result reports whether any
// byte of the request left this box.
func (v *requestRun) attemptOnce(ctx context.Context) (nextStep, *code.Error, bool) {
	a := v.next
	if v.next = nil; a == nil {
		var what nextStep
		var err *code.Error
		if a, what, err = v.prepare(ctx); a == nil {
			return what, err, false
		}
	}
	defer v.end(a)
	a.hedge = v.newHedge(ctx, a)
	if a.answered == nil {
		v.send(a)
	} else {
		<-a.answered
	}
	v.settle(a)
	return v.finish(a)
}

// prepare chooses a server for an attempt, or returns how the request goes on without one.
func (v *requestRun) prepare(ctx context.Context) (*attempt, nextStep, *code.Error) {
	g := v.gateway
	e := g.pools.get(v.pool)
	g.awaitConfirmed(ctx) // before the remaining time is computed
	if err := v.awaitRest(ctx, e); err != nil {
		return nil, stepFail, err
	}
	now := g.now()
	if !now.Before(v.deadline) { // the process was paused, which delays the deadline timer as well
		return nil, stepFail, code.New(code.DeadlinePassed, "deadline", "no time left for an attempt").WithRan(v.ran())
	}
	if err := v.checkContent(); err != nil {
		return nil, stepFail, err
	}
	v.wish.Within, v.wish.Left = v.currentConfines(), v.objective.Sub(now)
	a := &attempt{pool: e, unread: -1}
	e.mu.Lock()
	s, why, ok := e.picker.Pick(now, &v.wish)
	source, copied := e.picker.CopySource(now, s.ID, &v.wish)
	if !copied && e.speeds.InForce() {
		a.unread = e.picker.UncachedTokens(now, s.ID, &v.wish)
	}
	e.mu.Unlock()
	reserved := v.wish.Only != ""
	v.wish.Only = ""
	if !ok && reserved { // the server left while the request waited for its permit
		v.uncounted = true
		return nil, stepRetry, v.noServer(e, now)
	}
	if !ok {
		v.uncounted = v.serverExpected(e, now)
		if v.uncounted {
			return nil, stepRetry, v.noServer(e, now)
		}
		return nil, stepFail, v.noServer(e, now)
	}
	if !v.permitted(ctx, s) {
		e.mu.Lock()
		e.picker.Ended(g.now(), s.ID, &v.wish, balance.Dropped)
		e.mu.Unlock()
		if v.permitRequests >= maxPermitRequests {
			return nil, stepFail, v.noServer(e, g.now())
		}
		v.uncounted = true
		return nil, stepRetry, v.noServer(e, g.now())
	}
	now = g.now()
	v.wish.Exclude[s.ID] = true
	if a.why = why; copied {
		a.why += ", copies from " + source.ID
	}
	handles, _, _ := v.stageResults.final()
	a.call = &Call{
		Server: s, Request: v.request, Left: v.deadline.Sub(now), Workspace: v.workspace,
		Priority: v.callPriority(), Inputs: handles, Source: source.Address, LastEvent: v.lastEvent, NewConnection: !v.repeatable(),
		Share: g.connectionShare(v.pool),
	}
	if a.call.LastEvent == "" {
		a.call.LastEvent = v.request.LastEvent
	}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.call.Start = v.startInBoundary(s, g.startCheck(a.ctx, s, "request "+v.request.ID, v.request.ID, now))
	a.began = g.now()
	if a.call.LastEvent != "" {
		g.Log.Info("stream goes on", "request", v.request.ID, "resumes", v.request.Resumes, "last_event", a.call.LastEvent, "server", s.ID, "build", s.Build, "same_response", v.begun, "left_ms", a.call.Left.Milliseconds())
	}
	a.freed = v.freeInputs(e, len(handles) > 0)
	return a, 0, nil
}

// send sends the request of an attempt and waits for the head of the answer.
func (v *requestRun) send(a *attempt) { a.reply, a.err = v.gateway.Backends.Send(a.ctx, a.call) }

// end frees what an attempt holds.
func (v *requestRun) end(a *attempt) {
	a.hedge.Close()
	a.freed()
	a.cancel(nil)
}

// finish handles the end of an attempt without an answer, or the head of its answer.
func (v *requestRun) finish(a *attempt) (nextStep, *code.Error, bool) {
	g, e, s, reply, err := v.gateway, a.pool, a.call.Server, a.reply, a.err
	var notSent *exchange.NotSent
	if errors.As(err, &notSent) {
		g.signals.ReleasePermit(s.ID, v.request.ID)
		outcome := balance.Broken
		switch {
		case a.ctx.Err() != nil: // the connection was given up before all ways to the server were tried
			outcome = balance.Dropped
		case exchange.ConnectionRefused(err):
			outcome = balance.Absent
			g.suspects.RecordCrash(serverIncarnation(s), suspects.Refused)
		case errors.Is(err, ErrServerRests):
			outcome, v.uncounted, v.restingServers = balance.Dropped, true, append(v.restingServers, s.ID)
		case errors.Is(err, ErrServerLeft), errors.Is(err, errOutside), errors.Is(err, exchange.ErrConnectionLimit):
			outcome = balance.Dropped
		}
		v.recordOutcome(a, outcome, "not sent: "+notSent.Cause.Error())
		return stepRetry, refusal(code.BackendsDown, "pool", failureRetryAfter, "%s could not be reached", s.ID), false
	}
	v.attempts++
	a.counted = true
	if reply != nil {
		a.signals = reply.Signals
		sent := a.began
		if reply.AddressReused {
			sent = time.Time{}
		}
		g.recordSignals(s, reply.Signals, "request "+v.request.ID, sent)
		e.speeds.RecordTold(g.now(), paceServer(&s), reply.Told)
		e.mu.Lock()
		e.picker.RecordTold(g.now(), s.ID, int64(s.Incarnation), reply.Told)
		e.mu.Unlock()
	}
	if err != nil {
		v.maybeRan = true
		v.recordBreak(a, err, "")
		return v.afterBreak(), code.New(code.OutcomeUnknown, "", "%s gave no answer: %v", s.ID, err), true
	}
	return v.handleReply(a)
}

// ran reports whether any part of the request may have run.
func (v *requestRun) ran() code.Ran {
	if v.maybeRan {
		return code.RanUnknown
	}
	return code.RanNo
}

// checkContent checks whether the request may be sent once more, given what is known of its content. A content
// under which servers ended is sent to the server with the least work, so that as little other work as
// possible is lost with it, and is not retried from the second end on.
func (v *requestRun) checkContent() *code.Error {
	g := v.gateway
	if err := g.contentRefusal(v.pool, v.suspects...); err != nil {
		return err
	}
	d := g.suspects.Check(v.suspects...)
	v.wish.LeastLoaded = d.Ends > 0
	if d.Ends >= crasher.IsolationThreshold && v.attempts > 0 {
		return code.New(code.CrashesServers, "body", "%d servers of %s ended while they ran this content", d.Ends, v.pool)
	}
	return nil
}

// recordBreak records that the exchange with a server broke, unless the caller ended it, the box that carried it failed or this box has
// no room for the answer.
func (v *requestRun) recordBreak(a *attempt, err error, detail string) {
	outcome := v.breakOutcome(a.ctx)
	if s := &a.call.Server; exchange.IsTooLarge(err) {
		v.gateway.HandleMalformed(exchange.Target{Pool: s.Pool, Server: s.ID, Address: s.Address}, err)
	}
	var lost *port.CarrierLostError
	if errors.As(err, &lost) || errors.Is(err, intake.ErrNoRoom) {
		outcome = balance.Dropped
	}
	if outcome != balance.Dropped {
		v.gateway.recordBrokenExchanges(a.call.Server, v.suspects...)
	}
	v.recordOutcome(a, outcome, detail+err.Error())
}

// recordSuccess records a complete answer. Only a success signed by the server shows that it ran the content and
// survived.
func (v *requestRun) recordSuccess(reply *Reply) {
	if reply.Signed && exchange.IsSuccess(reply.Status) {
		v.gateway.suspects.RecordGood(v.suspects...)
		v.gateway.durations.Learn(v.pipeline.Name, v.gateway.now().Sub(v.began))
	}
}

// breakOutcome returns how a broken exchange counts against the server: not at all when the caller left, and only as
// a failure when the deadline passed, which may be too short for any server.
func (v *requestRun) breakOutcome(ctx context.Context) balance.Outcome {
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		return balance.Broken
	case v.callerLeft(ctx), v.gateway.requests.Err() != nil:
		return balance.Dropped
	case ctx.Err() != nil:
		return balance.Failed
	}
	return balance.Broken
}

// afterBreak returns whether a request that may have run can be sent again.
func (v *requestRun) afterBreak() nextStep {
	if v.repeatable() {
		return stepRetry
	}
	return stepFail
}

// retryLeft reports whether the retry budget allows another attempt; otherwise a silent server is better than
// none.
func (v *requestRun) retryLeft() bool {
	g := v.gateway
	now := g.now()
	boxes := g.fleet.boxes(now)
	e := g.pools.get(v.pool)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget.Remaining(now, boxes) > 0
}

// handleReply handles the head of an answer and passes the answer on.
func (v *requestRun) handleReply(a *attempt) (nextStep, *code.Error, bool) {
	g, e, s, reply := v.gateway, a.pool, a.call.Server, a.reply
	switch {
	case reply.InputGone:
		reply.Close(false)
		v.recordOutcome(a, balance.Dropped, "an input is gone")
		e.inputGone()
		v.stageResults.freeAll()
		delete(v.wish.Exclude, s.ID)
		if v.resultsRemade {
			return stepFail, refusal(code.BackendFailed, "stages", failureRetryAfter, "stage results were gone twice"), true
		}
		v.resultsRemade = true
		v.attempts--
		return stepRetry, refusal(code.BackendFailed, "stages", failureRetryAfter, "stage results were gone"), true
	case reply.AddressReused: // a server got the request, so it counts towards the operator's limit of attempts
		reply.Close(false)
		v.recordOutcome(a, balance.Replaced, "another server has the address")
		return stepRetry, refusal(code.BackendsDown, "pool", failureRetryAfter, "%s is gone", s.ID), true
	case reply.NotRun:
		reply.Close(false)
		outcome, after := balance.Full, failureRetryAfter
		if reply.Signals.Rest > 0 {
			outcome, after, v.restingServers = balance.AsksRest, otherBoxRetryAfter, append(v.restingServers, s.ID)
		}
		v.recordOutcome(a, outcome, http.StatusText(reply.Status)+", not run")
		if _, resting := v.restEnds(e, g.now()); resting {
			return stepRetry, v.noServer(e, g.now()), true
		}
		return stepRetry, refusal(code.QueueFull, "pool", after, "%s did not take the request: status %d", s.ID, reply.Status), true
	}
	v.maybeRan = true
	if err := reply.check(); err != nil {
		reply.Close(false)
		v.recordOutcome(a, balance.Failed, err.Error())
		return v.afterBreak(), code.New(code.OutcomeUnknown, "", "%s: %v", s.ID, err), true
	}
	if reply.Events && exchange.IsSuccess(reply.Status) {
		return v.relay(a)
	}
	a.hedge.Resume()
	answer := intake.From(reply.Read, reply.Length)
	defer answer.Release()
	body, err := g.answers.Receive(a.ctx, answer, maxAnswer, time.Now().Add(v.deadline.Sub(g.now())))
	if err == nil {
		v.discardSecond(a)
	} else if v.givenUp(a) {
		err = errSilent
	}
	if err != nil {
		reply.Close(false)
		v.recordBreak(a, err, "answer interrupted: ")
		return v.afterBreak(), code.New(code.OutcomeUnknown, "", "the answer of %s was interrupted: %v", s.ID, err), true
	}
	reply.Close(true)
	if reply.Status >= http.StatusInternalServerError && v.repeatable() && !v.begun && (v.next != nil || v.attempts < v.pipeline.Attempts && v.takeRetry(a.ctx)) {
		v.retryTaken = v.next == nil
		v.recordOutcome(a, balance.Failed, "status "+http.StatusText(reply.Status))
		return stepRetry, code.New(code.OutcomeUnknown, "", "%s failed: status %d", s.ID, reply.Status), true
	}
	if v.begun {
		v.recordOutcome(a, balance.Failed, "status "+http.StatusText(reply.Status))
		return stepFail, code.New(code.AnswerInterrupted, "", "the stream could not be resumed: status %d", reply.Status), true
	}
	outcome := balance.Good
	if reply.Status >= http.StatusInternalServerError {
		outcome = balance.Failed
	}
	v.recordOutcome(a, outcome, "status "+http.StatusText(reply.Status))
	v.recordSuccess(reply)
	v.firstOut = v.gateway.now()
	v.compareForecast(v.firstOut, false)
	if exchange.IsSuccess(reply.Status) {
		e.speeds.RecordPlain(v.firstOut, paceServer(&s), reply.Told, v.firstOut.Sub(a.began))
	}
	v.ended("answered", "status", reply.Status, "server", s.ID, "bytes", len(body))
	v.caller.Whole(reply.Status, reply.Header, body)
	return stepDone, nil, true
}

// recordOutcome records in the pool how an exchange ended.
func (v *requestRun) recordOutcome(a *attempt, o balance.Outcome, detail string) {
	g, e, s := v.gateway, a.pool, a.call.Server
	now := g.now()
	e.mu.Lock()
	rests := e.picker.Current(s) && e.picker.Ended(now, s.ID, &v.wish, o)
	e.mu.Unlock()
	took := now.Sub(a.began)
	g.Log.Info("exchange", "request", v.request.ID, "pool", e.name, "content", v.content.String(), "parts", v.partNames(o), "server", s.ID, "incarnation", s.Incarnation, "build", s.Build, "domain", s.Domain, "outcome", o.String(), "took_ms", took.Milliseconds(), "detail", detail, "chosen", a.why, "rests", rests, "says_leaving", a.signals.Leaving, "asks_rest_ms", a.signals.Rest.Milliseconds(), "names_limit", a.signals.Limit, "says_brittle", a.signals.Brittle)
	g.brittle.Release(&s, v.request.ID, brittle.EndOf(o))
	if g.Observer.Exchanged != nil {
		g.Observer.Exchanged(e.name, o.String(), took)
	}
}
