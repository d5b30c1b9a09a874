package gateway

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/stilemast/stilemast/src/admission"
	"github.com/stilemast/stilemast/src/balance"
	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/crasher"
	"github.com/stilemast/stilemast/src/intake"
	"github.com/stilemast/stilemast/src/returning"
)

// requestRun is the state of one request that the gateway serves.
type requestRun struct {
	gateway        *Gateway
	request        *Request
	caller         *Caller
	pipeline       *catalog.Pipeline
	pool           string
	workspace      string
	content        crasher.Content
	suspects       []crasher.Key // content and shared prompt parts, at the pool
	confines       *catalog.Confines
	priority       int
	version        uint64
	began          time.Time
	objective      time.Time
	deadline       time.Time
	limitedBy      string // what set the deadline: the caller or the pipeline
	stageResults   *results
	stages         *stageRun
	earlier        returning.Record // of the caller's refused attempts
	late           bool             // the caller was refused before and can no longer be in time
	wish           balance.Request
	attempts       int
	next           *attempt // accepted by its server while the one before was silent
	retryTaken     bool     // from the budget, for the next attempt
	resultsRemade  bool
	maybeRan       bool
	restingServers []string // servers that asked for rest instead of taking this request
	// The last attempt sent nothing because the server asked for rest or had no permit; it does not count.
	uncounted      bool
	permitRequests int // permits requested at servers with limits that were not free at once

	// State of a stream that has begun.
	begun     bool
	build     *string     // of the server that began it, perhaps in an earlier attempt of the caller; nil if it has not begun
	bound     atomic.Bool // build is set
	lastEvent string
	events    int
	firstOut  time.Time
	admitted  admission.Forecasted
}

// Serve runs one request and passes its answer to the caller.
func (g *Gateway) Serve(ctx context.Context, r *Request, c *Caller) {
	g.running.Add(1)
	defer g.running.Add(-1)
	v := &requestRun{gateway: g, request: r, caller: c, began: g.now()}
	g.awaitConfirmed(ctx)
	g.awaitDocuments(ctx, r)
	if err := v.route(); err != nil {
		v.refuse(err)
		return
	}
	if r.Upload != nil {
		defer r.Upload.Release()
	}
	if err := v.receive(); err != nil {
		v.refuse(err)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(v.deadline.Sub(g.now())))
	defer cancel()
	defer context.AfterFunc(g.requests, cancel)()
	g.deadlines.Store(v, cancel)
	defer g.deadlines.Delete(v)
	v.run(ctx)
}

// endExpired ends the requests whose deadline passed while the machine was suspended, as timers don't advance
// meanwhile.
func (g *Gateway) endExpired(now time.Time) {
	ended := 0
	g.deadlines.Range(func(key, cancel any) bool {
		if !now.Before(key.(*requestRun).deadline) {
			cancel.(context.CancelFunc)()
			ended++
		}
		return true
	})
	if ended > 0 {
		g.Log.Warn("requests ended, their deadlines passed during a pause", "requests", ended)
	}
}

// route finds the pipeline and the workspace of a request by its head. It reports that there is none only if the
// configuration was confirmed recently; otherwise the caller is asked to retry.
func (v *requestRun) route() *code.Error {
	g, r := v.gateway, v.request
	if err := v.checkSize(); err != nil {
		return err
	}
	x := g.index.Load()
	if x == nil {
		return refusal(code.NotReady, "configuration", notReadyAfter, "no configuration is known yet")
	}
	v.version = x.Version()
	if g.closing() {
		return refusal(code.Draining, "box", otherBoxRetryAfter, "this box is stopping")
	}
	unsure := g.published.catalogAge(g.now()) > trustFor
	p := x.Route(r.Host, r.Path)
	if p == nil {
		if unsure {
			return refusal(code.NotReady, "path", notReadyAfter, "no pipeline matches, but the configuration is not confirmed")
		}
		return refusal(code.UnknownPipeline, "path", 0, "no pipeline there")
	}
	v.pipeline, v.priority = p, p.Priority
	if !p.Public && x.NeedsTokens() {
		w := x.Workspace(r.Token)
		if w == nil {
			if unsure {
				return refusal(code.NotReady, "token", notReadyAfter, "the token is not known, but the configuration is not confirmed")
			}
			return refusal(code.Unauthenticated, "token", 0, "the token is not known")
		}
		v.workspace = w.Name
		if w.HasPriority {
			v.priority += 3 * w.Priority
		}
	}
	v.confines = v.currentConfines()
	v.deadline, v.limitedBy = v.began.Add(p.Timeout), "pipeline"
	if r.Left > 0 && r.Left < p.Timeout {
		v.deadline, v.limitedBy = v.began.Add(r.Left), "caller"
	}
	v.objective = v.began.Add(p.Objective)
	if err := v.checkStop(); err != nil {
		return err
	}
	return v.checkPieces()
}

// checkStop refuses a request that this box would probably cut at the end of its planned stop.
func (v *requestRun) checkStop() *code.Error {
	g := v.gateway
	if !g.Draining() {
		return nil
	}
	left, likely := g.stopLeft(), g.durations.Likely(v.pipeline.Name)
	if likely <= left || v.deadline.Sub(g.now()) <= left {
		return nil
	}
	return refusal(code.Draining, "box", otherBoxRetryAfter, "this box stops in %s, the request is expected to take %s", left.Round(time.Millisecond), likely.Round(time.Millisecond))
}

// receive reads the body of a routed request. If the configuration changes or this box stops meanwhile, it is routed again.
func (v *requestRun) receive() *code.Error {
	g, r := v.gateway, v.request
	if r.Upload != nil {
		body, err := g.intake.Receive(g.stages, r.Upload, int64(g.Limits().BodyBytes), time.Now().Add(v.deadline.Sub(g.now())))
		if err != nil {
			return v.bodyRefusal(err)
		}
		r.Body = body
		if g.Draining() || g.Version() != v.version {
			if err := v.route(); err != nil {
				return err
			}
		}
	}
	v.content = crasher.ContentOf(v.workspace, r.Method, r.Host, r.Target, r.Body)
	v.setPool(v.pipeline.PickPool(r.ID))
	return nil
}

// bodyRefusal returns the refusal of a request whose body was not received.
func (v *requestRun) bodyRefusal(err error) *code.Error {
	if errors.Is(err, os.ErrDeadlineExceeded) && v.gateway.stages.Err() != nil {
		return refusal(code.Draining, "box", otherBoxRetryAfter, "this box is stopping and the body is not whole")
	}
	u := v.request.Upload
	if refused := intake.Refusal(err, "body", fmt.Sprintf("%d of %d bytes came, limited by the %s", u.Received(), u.Length, v.limitedBy)); refused != nil {
		return refused
	}
	return refusal(code.BadField, "body", 0, "could not be read to its end")
}

// checkSize refuses a request without an id and one that exceeds the size limits.
func (v *requestRun) checkSize() *code.Error {
	r, limits := v.request, v.gateway.Limits()
	switch {
	case r.ID == "":
		return refusal(code.BadField, "id", 0, "is missing")
	case r.HeaderBytes > limits.HeaderBytes:
		return refusal(code.HeaderTooLarge, "header", 0, "%d bytes, at most %d", r.HeaderBytes, limits.HeaderBytes)
	case r.BodyBytes > int64(limits.BodyBytes):
		return refusal(code.MessageTooLarge, "body", 0, "%d bytes, at most %d", r.BodyBytes, limits.BodyBytes)
	}
	return nil
}

// checkPieces checks the numbers of pieces and completes them with 0 for the remaining stages.
func (v *requestRun) checkPieces() *code.Error {
	r, n := v.request, len(v.pipeline.Stages)
	for _, c := range r.Pieces {
		if c < 0 || c > maxPieces {
			return refusal(code.BadField, "pieces", 0, "%d is not from 0 to %d", c, maxPieces)
		}
	}
	for len(r.Pieces) < n {
		r.Pieces = append(r.Pieces, 0)
	}
	return nil
}

// run serves a routed request.
func (v *requestRun) run(ctx context.Context) {
	g, p := v.gateway, v.pipeline
	awaitEarlier := v.findEarlier(ctx)
	if err := v.checkBarred(); err != nil {
		v.refuse(err)
		return
	}
	if err := v.checkBoundary(); err != nil {
		v.refuse(err)
		return
	}
	if err := v.takeUp(ctx); err != nil {
		v.refuse(err)
		return
	}
	e := g.pools.get(v.pool)
	e.mu.Lock()
	e.budget.Request(g.now())
	e.mu.Unlock()
	awaitEarlier()
	// The stages may take all of the caller's remaining time: a late answer is worth more than a second try, which
	// is late too. This gains 0.003 to 0.013 of worth over 0.45 of the time (four sites, 6 and 15 runs of each).
	v.stages = &stageRun{gateway: g, pipeline: p, request: v.request, content: v.content, priority: v.priority, objective: v.objective, deadline: v.deadline, confines: v.confines, tried: v.earlier.Known()}
	v.stages.followers = p.Followers()
	v.rankReturned()
	if err := v.admit(); err != nil {
		v.refuse(err)
		return
	}
	v.wish = balance.Request{Parts: v.request.Parts, Exclude: map[string]bool{}, Producers: g.producersOf(p), Within: v.confines, Build: v.build, Resumable: p.Resumable, Events: g.lengths.Expected(p.Name)}
	if g.Settings.Policy.StreamGaps.Enabled(p.Gap > 0) {
		v.wish.Gap = p.Gap
	}
	if err := v.checkRest(e); err != nil {
		v.refuse(err)
		return
	}
	e.mu.Lock()
	v.stages.domain = e.picker.HomeDomain(&v.wish)
	e.mu.Unlock()
	if err := v.makeStages(ctx); err != nil {
		v.refuse(err)
		return
	}
	defer func() { v.stageResults.freeAll() }()
	v.runAttempts(ctx)
}

// makeStages runs the stages and records where their results are held.
func (v *requestRun) makeStages(ctx context.Context) *code.Error {
	if len(v.pipeline.Stages) == 0 {
		return nil
	}
	g := v.gateway
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(g.stages, cancel)()
	for again := range 2 {
		made, reason := g.runStages(ctx, v.stages)
		if reason == 0 {
			v.stageResults = made
			_, v.wish.Domain, v.wish.InputBytes = made.final()
			return nil
		}
		if reason != batch.Gone || again > 0 {
			return v.stageError(ctx, reason)
		}
	}
	return nil
}

// stageError returns the refusal for stages that were not produced. The request itself has not run.
func (v *requestRun) stageError(ctx context.Context, r batch.Reason) *code.Error {
	switch {
	case v.gateway.stages.Err() != nil:
		return refusal(code.Draining, "box", otherBoxRetryAfter, "this box is stopping and the stages are not complete")
	case ctx.Err() != nil && v.callerLeft(ctx):
		return refusal(code.Cancelled, "", 0, "the caller left during the stages")
	case r == batch.Late || ctx.Err() != nil:
		return refusal(code.CannotFinish, "deadline", v.stagesReturn(), "the stages could not be made in time")
	}
	if r == batch.Yielded {
		return refusal(code.CannotFinish, "stages", v.stagesReturn(), "its place went to more urgent work")
	}
	if r == batch.Nowhere {
		return v.boundaryRefusal("a stage")
	}
	if r == batch.Barred {
		if err := v.checkBarred(); err != nil {
			return err
		}
	}
	return refusal(code.BackendsDown, "stages", returning.MinWaitAfter, "the stages could not be made: %s", r)
}

// callerLeft reports whether the context ended because the caller left and not because the deadline passed.
func (v *requestRun) callerLeft(ctx context.Context) bool {
	return ctx.Err() == context.Canceled && v.gateway.now().Before(v.deadline) && v.gateway.requests.Err() == nil
}

// refuse ends a request with an error.
func (v *requestRun) refuse(err *code.Error) {
	v.ended(err.Code.String(), "ran", err.DidRun().String(), "field", err.Field, "cause", err.Message, "retry_after_ms", err.RetryAfter.Milliseconds())
	v.recordRefusal(err)
	v.caller.Refuse(err)
}

// ended logs and counts the end of a request.
func (v *requestRun) ended(result string, more ...any) {
	g := v.gateway
	now := g.now()
	name, first, objective := "", time.Duration(0), time.Duration(0)
	if v.pipeline != nil {
		name, objective = v.pipeline.Name, v.pipeline.Objective
	}
	if !v.firstOut.IsZero() {
		first = v.firstOut.Sub(v.began)
	} else {
		v.compareForecast(now, true)
	}
	took := now.Sub(v.began)
	if v.earlier.Known() {
		more = append(more, "refusals", v.earlier.Refusals, "age_ms", v.earlier.Age.Milliseconds())
		v.observeReturned(result)
	}
	g.Log.Info("request ended", append([]any{"request", v.request.ID, "content", v.content.String(), "pipeline", name, "workspace", v.workspace,
		"result", result, "took_ms", took.Milliseconds(), "first_ms", first.Milliseconds(), "objective_ms", objective.Milliseconds(), "attempts", v.attempts,
		"version", v.version}, more...)...)
	if g.Observer.Ended != nil {
		g.Observer.Ended(name, result, took, first)
	}
}

// producersOf counts, by failure domain, the servers of the pool that produces the largest results that the
// request itself reads; nil if the results are small.
func (g *Gateway) producersOf(p *catalog.Pipeline) map[string]int {
	pool, most := "", 0
	for _, i := range p.FinalStages() {
		if n := p.Stages[i].ResultBytes; n >= largeResults && n > most {
			pool, most = p.Stages[i].Pool, n
		}
	}
	if pool == "" {
		return nil
	}
	e := g.pools.get(pool)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.picker.Domains()
}
