// Package core makes the decisions of the system: it takes events and the time and returns actions.
// It does no I/O, starts no goroutines, reads no clock and uses no global random source, so that
// every decision can be replayed and tested with generated histories.
//
// The path of one request:
//
//	caller ──► key ──► home? ──► ledger ──► admission
//	                     │no        │seen before
//	                     ▼          ▼
//	                  forward    join / answer / refuse
//
//	admission ──► Enqueue ──► pool: order, window, placement ──► Granted ──► Send
//	                 ▲                                                        │
//	                 │ retry, hedge, next stage                               ▼
//	                 └───────────────── Request.Step ◄──── Chunk, Done, Failed
//	                                        │
//	                                        ▼
//	                                  Emit …, Finish ──► ledger ──► caller, and whoever attaches
package core

import (
	"time"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
)

// Request is one run through a pipeline. Every reply is matched against the live attempts, so late,
// repeated or foreign replies have no effect. Not safe for concurrent use.
type Request struct {
	key       Key
	workspace *config.Workspace
	pipeline  *config.Pipeline
	deadline  time.Time
	maxTokens int
	estimates *Estimates

	stage           int
	input           []byte // of the current stage
	output          []byte // of the current stage so far
	live            map[int]*liveAttempt
	next            int // number of the stage's next attempt
	failed          []string
	pause           time.Duration
	emitted         int
	unconfirmed     int  // sent calls that may have run
	ran             bool // a call was answered, so something ran
	onceSent        bool // a call that must not be repeated was sent
	onceDone        bool // and was answered
	cancelRequested bool // stop after the answer of the running call
	finished        bool
	stale           int
	uses            []StageUse
	trace           []Placement
}

// liveAttempt is an attempt whose reply is still accepted.
type liveAttempt struct {
	id      Attempt
	server  string // empty while it waits in the pool
	hedge   bool
	resumed bool
	sent    time.Time
	trace   int // index in Request.trace, -1 for none
}

// NewRequest returns a request that has not begun; maxTokens 0 means the stage's own limit.
func NewRequest(key Key, w *config.Workspace, p *config.Pipeline, input []byte, deadline time.Time, maxTokens int, est *Estimates) *Request {
	return &Request{
		key: key, workspace: w, pipeline: p, input: input, deadline: deadline,
		maxTokens: maxTokens, estimates: est, live: map[int]*liveAttempt{},
	}
}

// Key returns the key of the request.
func (r *Request) Key() Key { return r.key }

// Pipeline returns the pipeline that the request runs through.
func (r *Request) Pipeline() *config.Pipeline { return r.pipeline }

// Workspace returns the workspace that sent the request.
func (r *Request) Workspace() *config.Workspace { return r.workspace }

// Deadline returns the time by which the answer must be complete.
func (r *Request) Deadline() time.Time { return r.deadline }

// FinalDeadline returns when the request ends in any case: its deadline, or for must-finish work the maximum that
// the pipeline allows.
func (r *Request) FinalDeadline(begun time.Time) time.Time {
	if !r.pipeline.MustFinish() {
		return r.deadline
	}
	if last := begun.Add(r.pipeline.MaxDeadline()); last.After(r.deadline) {
		return last
	}
	return r.deadline
}

// CallTimeout returns the timeout of one call. It doubles with each attempt, so that a stage that became slow
// still completes in the end. It reads nothing that Step changes.
func (r *Request) CallTimeout(now, begun time.Time, id Attempt) time.Duration {
	s := r.pipeline.Stages()[id.Stage]
	left := r.FinalDeadline(begun).Sub(now)
	switch {
	case s.Once():
		return left + OnceGrace
	case s.Kind() == config.Generate:
		return left
	}
	first := max(AttemptFloor, AttemptFactor*r.estimates.Run(now, r.pipeline, s))
	return min(left, first<<min(id.N, maxDoublings))
}

// FirstChunkTimeout returns the timeout for the first chunk of a stream. A call may queue at a busy engine
// behind prompt work, which does not mean that the stream is broken. The timeout doubles with each attempt,
// or with long queues calls would move from engine to engine and never be served.
func FirstChunkTimeout(attempt int) time.Duration { return StallLimit << min(attempt+1, maxDoublings) }

// Finished reports whether the final answer was given.
func (r *Request) Finished() bool { return r.finished }

// Uses lists what the stages consumed so far.
func (r *Request) Uses() []StageUse { return r.uses }

// Trace lists the placements so far.
func (r *Request) Trace() []Placement { return r.trace }

// Stale returns the number of discarded replies.
func (r *Request) Stale() int { return r.stale }

// Step processes one event and returns the resulting actions in order.
func (r *Request) Step(now time.Time, ev Event) []Action {
	switch e := ev.(type) {
	case Begin:
		return r.beginStage(now)
	case Granted:
		return r.granted(now, e)
	case Refused:
		return r.refused(now, e)
	case Chunk:
		return r.chunk(now, e)
	case Done:
		return r.done(now, e)
	case Failed:
		return r.failure(now, e)
	case HedgeDue:
		return r.hedge(now, e)
	case PauseEnded:
		if r.finished || len(r.live) > 0 {
			return nil
		}
		return []Action{r.enqueue(now, false)}
	case DeadlineReached:
		return r.deadlineOver(now)
	case CancelRequested:
		return r.cancelAsked(now)
	}
	return nil
}

func (r *Request) current() *config.Stage { return r.pipeline.Stages()[r.stage] }

func (r *Request) last() bool { return r.stage == len(r.pipeline.Stages())-1 }

func (r *Request) beginStage(now time.Time) []Action {
	r.output = nil
	r.failed = nil
	r.pause = 0
	r.next = 0
	r.uses = append(r.uses, StageUse{Stage: r.current().Name()})
	return []Action{r.enqueue(now, false)}
}

// enqueue adds the stage's next attempt and requests a place for it in the pool.
func (r *Request) enqueue(now time.Time, hedge bool) Action {
	s := r.current()
	id := Attempt{Key: r.key, Stage: r.stage, N: r.next}
	r.next++
	r.live[id.N] = &liveAttempt{id: id, hedge: hedge, trace: -1}
	tokens := 0
	if s.Kind() == config.Generate {
		tokens = max(1, r.TokenLimit(s)-len(r.output)/bytesPerToken)
	}
	return Enqueue{Call: &Call{
		Attempt: id, Workspace: r.workspace, Pipeline: r.pipeline, Stage: s,
		Deadline: r.deadline, Enqueued: now, Avoid: r.failed,
		Tail:         r.estimates.Tail(now, r.pipeline, r.stage+1),
		PromptTokens: (len(r.input) + len(r.output)) / bytesPerToken,
		MaxTokens:    tokens,
		Prefix:       PrefixBlocks(r.workspace.Name(), r.input),
		Retry:        id.N > 0 && !hedge,
		Hedge:        hedge,
		Started:      r.ran || r.unconfirmed > 0,
	}}
}

// TokenLimit returns how many tokens a generate stage may produce for this request.
func (r *Request) TokenLimit(s *config.Stage) int {
	if r.maxTokens > 0 && r.maxTokens < s.MaxTokens() {
		return r.maxTokens
	}
	return s.MaxTokens()
}

// liveOf returns the live attempt that a reply belongs to, or counts the reply as stale and returns nil.
func (r *Request) liveOf(id Attempt) *liveAttempt {
	if id.Key == r.key && id.Stage == r.stage {
		if a := r.live[id.N]; a != nil {
			return a
		}
	}
	r.stale++
	return nil
}

func (r *Request) granted(now time.Time, e Granted) []Action {
	a := r.liveOf(e.Attempt)
	pool := r.pipeline.Stages()[e.Attempt.Stage].Pool()
	if a == nil || r.finished || a.server != "" {
		return []Action{Release{Attempt: e.Attempt, Pool: pool, Server: e.Server}}
	}
	a.server = e.Server
	a.sent = now
	a.trace = len(r.trace)
	s := r.current()
	r.trace = append(r.trace, Placement{Stage: s.Name(), N: a.id.N, Server: e.Server, Waited: e.Waited, Outcome: "running", Candidates: e.Trace})
	r.unconfirmed++
	if s.Once() {
		r.onceSent = true // before the first byte is sent
	}
	u := &r.uses[len(r.uses)-1]
	u.Attempts++
	u.Waited += e.Waited
	out := []Action{Send{
		Attempt: a.id, Pool: pool, Server: e.Server, Input: r.input,
		Offset: len(r.output), Continue: r.output, Once: s.Once(),
	}}
	if !s.Once() && s.Kind() != config.Generate && !a.hedge && a.id.N == 0 {
		after := max(minHedgeDelay, time.Duration(hedgeFactor*float64(r.estimates.Run(now, r.pipeline, s))))
		out = append(out, ArmHedge{Attempt: a.id, After: after})
	}
	return out
}

func (r *Request) refused(now time.Time, e Refused) []Action {
	a := r.liveOf(e.Attempt)
	if a == nil || r.finished {
		return nil
	}
	delete(r.live, a.id.N)
	if len(r.live) > 0 {
		return nil
	}
	if a.hedge {
		return r.retry(now) // the hedged attempt has failed meanwhile
	}
	if r.pipeline.MustFinish() && (r.ran || r.unconfirmed > 0) && e.Err.Code != code.NowhereToRun {
		return r.pauseThenRetry()
	}
	return r.finish(now, e.Err)
}

// pauseThenRetry backs off exponentially up to maxRetryPause before the next attempt.
func (r *Request) pauseThenRetry() []Action {
	r.pause = min(max(2*r.pause, retryPause), maxRetryPause)
	return []Action{Pause{After: r.pause}}
}

func (r *Request) chunk(now time.Time, e Chunk) []Action {
	a := r.liveOf(e.Attempt)
	if a == nil || r.finished {
		return nil
	}
	if e.Offset > len(r.output) {
		return r.handleAttemptFailure(now, a, Broken) // tokens are missing, so resume at the current offset
	}
	have := len(r.output) - e.Offset
	if have >= len(e.Data) {
		r.stale++
		return nil
	}
	r.ran = true
	r.output = append(r.output, e.Data[have:]...)
	return r.emit()
}

// emit returns the output of the last stage that the caller has not received yet.
func (r *Request) emit() []Action {
	if !r.last() || r.emitted >= len(r.output) {
		return nil
	}
	e := Emit{Offset: r.emitted, Data: r.output[r.emitted:]}
	r.emitted = len(r.output)
	return []Action{e}
}

func (r *Request) done(now time.Time, e Done) []Action {
	a := r.liveOf(e.Attempt)
	if a == nil {
		return nil
	}
	r.ran = true
	if r.finished {
		return r.handleLateOnceDone(now, a, e)
	}
	if e.Stream && e.Length != len(r.output) {
		return r.handleAttemptFailure(now, a, Broken)
	}
	if !e.Stream {
		r.output = e.Output
	}
	s := r.current()
	if s.Once() {
		r.onceDone = true
	}
	out := []Action{r.settle(now, a, 0, e.Use, false)}
	out = append(out, r.dropOthers(now)...)
	u := &r.uses[len(r.uses)-1]
	u.Server = a.server
	u.Served = now.Sub(a.sent)
	u.Use = e.Use
	r.estimates.Learn(now, r.pipeline, s, now.Sub(a.sent))
	out = append(out, r.emit()...)
	if r.cancelRequested {
		return append(out, r.finish(now, code.New(code.Cancelled, "", "cancelled after a call that could not be undone"))...)
	}
	if r.last() {
		return append(out, r.finish(now, nil)...)
	}
	r.input = r.output
	r.stage++
	return append(out, r.beginStage(now)...)
}

// handleLateOnceDone processes the answer of a call that must not be repeated after the request was
// answered with "outcome unknown".
func (r *Request) handleLateOnceDone(now time.Time, a *liveAttempt, e Done) []Action {
	out := []Action{r.settle(now, a, 0, e.Use, true)}
	if r.onceSent && !r.onceDone {
		r.onceDone = true
		out = append(out, Amend{Err: code.New(code.DeadlinePassed, "", "a call that must not be repeated ran; its answer arrived after the deadline")})
	}
	return out
}

func (r *Request) deadlineOver(now time.Time) []Action {
	if r.finished {
		return nil
	}
	if r.onceSent && !r.onceDone {
		return r.finish(now, code.New(code.OutcomeUnknown, "", "the deadline passed before the answer of a call that must not be repeated"))
	}
	return r.finish(now, code.New(code.DeadlinePassed, "", "stage %s was not done by the deadline", r.current().Name()))
}

func (r *Request) cancelAsked(now time.Time) []Action {
	if r.finished {
		return nil
	}
	if r.onceSent && !r.onceDone {
		r.cancelRequested = true // the call can't be undone, so wait for its outcome
		return nil
	}
	return r.finish(now, code.New(code.Cancelled, "", "cancelled by the caller"))
}

// finish gives the final answer and ends every attempt, except for a running call that must not be
// repeated: its late answer still shows whether it ran.
func (r *Request) finish(now time.Time, err *code.Error) []Action {
	r.finished = true
	var out []Action
	if !(r.onceSent && !r.onceDone) {
		out = r.dropOthers(now)
	}
	if err == nil {
		return append(out, Finish{})
	}
	if err.Code == code.CannotFinish && (r.ran || r.unconfirmed > 0) {
		err = code.New(code.DeadlinePassed, err.Field, "%s", err.Message).WithRetryAfter(err.RetryAfter)
	}
	return append(out, Finish{Err: err.WithRan(r.didRun(err))})
}

// didRun returns whether anything ran, from the state of the request and not from the usual meaning of the
// code.
func (r *Request) didRun(err *code.Error) code.Ran {
	switch {
	case r.onceSent && !r.onceDone && err.Code != code.BackendRefused:
		return code.RanUnknown
	case r.ran:
		return code.RanYes
	case r.unconfirmed > 0:
		return code.RanUnknown
	}
	return code.RanNo
}

// MayRepeat reports whether the caller may send the request again under a new key without repeating a call
// that must not be repeated.
func (r *Request) MayRepeat() bool { return !r.onceSent }

// Output returns the answer so far, or nil before the last stage.
func (r *Request) Output() []byte {
	if !r.last() {
		return nil
	}
	return r.output[:r.emitted]
}
