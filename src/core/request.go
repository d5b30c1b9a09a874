// Package core holds every decision of the system: events and the time go in, actions come out.
// It does no I/O, starts no goroutine, reads no clock and has no global randomness, so each
// decision can be replayed and searched for faults.
//
// The way of one request:
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

// Request is one pass through a pipeline. Every reply is matched against the live attempts, so a
// late, repeated or foreign one changes nothing. Not safe for concurrent use.
type Request struct {
	key       Key
	workspace *config.Workspace
	pipeline  *config.Pipeline
	deadline  time.Time
	maxTokens int
	estimates *Estimates

	stage    int
	input    []byte // of the current stage
	output   []byte // of the current stage, as far as it has come
	live     map[int]*liveAttempt
	next     int // number of the stage's next attempt
	failed   []string
	pause    time.Duration
	emitted  int
	maybe    int  // calls sent of which it is not known that they ran nothing
	ran      bool // a call was answered, so something ran
	onceSent bool // a call that may not be repeated was sent
	onceDone bool // and answered
	cancel   bool // stop once the call in flight is answered
	finished bool
	stale    int
	uses     []StageUse
	trace    []Placement
}

// liveAttempt is an attempt whose reply counts.
type liveAttempt struct {
	id      Attempt
	server  string // empty while it waits in the pool
	hedge   bool
	resumed bool
	sent    time.Time
	trace   int // its index in Request.trace
}

// NewRequest makes a request that has done nothing yet; maxTokens 0 means the stage's own limit.
func NewRequest(key Key, w *config.Workspace, p *config.Pipeline, input []byte, deadline time.Time, maxTokens int, est *Estimates) *Request {
	return &Request{
		key: key, workspace: w, pipeline: p, input: input, deadline: deadline,
		maxTokens: maxTokens, estimates: est, live: map[int]*liveAttempt{},
	}
}

// Key is the request's identity.
func (r *Request) Key() Key { return r.key }

// Pipeline is what the request runs through.
func (r *Request) Pipeline() *config.Pipeline { return r.pipeline }

// Workspace is whose request it is.
func (r *Request) Workspace() *config.Workspace { return r.workspace }

// Deadline is when the answer has to be whole.
func (r *Request) Deadline() time.Time { return r.deadline }

// GiveUp is when the request ends whatever its state: its deadline, or for must-finish work the
// longest the pipeline allows.
func (r *Request) GiveUp(begun time.Time) time.Time {
	if !r.pipeline.MustFinish() {
		return r.deadline
	}
	if last := begun.Add(r.pipeline.MaxDeadline()); last.After(r.deadline) {
		return last
	}
	return r.deadline
}

// CallLimit is how long one call may take. Each attempt has twice the time of the one before: a stage
// that became slow rather than dead must get through in the end. It reads nothing that Step changes.
func (r *Request) CallLimit(now, begun time.Time, id Attempt) time.Duration {
	s := r.pipeline.Stages()[id.Stage]
	left := r.GiveUp(begun).Sub(now)
	switch {
	case s.Once():
		return left + OnceGrace
	case s.Kind() == config.Generate:
		return left
	}
	first := max(AttemptFloor, AttemptFactor*r.estimates.Run(now, r.pipeline, s))
	return min(left, first<<min(id.N, maxDoublings))
}

// FirstPieceLimit is how long a stream may take to begin. A call can stand in a busy engine's queue
// behind prompt work, which is no sign of a broken stream: each attempt waits twice as long as the one
// before, or a long queue would have calls go from engine to engine and never be served.
func FirstPieceLimit(attempt int) time.Duration { return StallLimit << min(attempt+1, maxDoublings) }

// Finished says whether the final answer is out.
func (r *Request) Finished() bool { return r.finished }

// Uses sums the stages so far.
func (r *Request) Uses() []StageUse { return r.uses }

// Trace lists the placements so far.
func (r *Request) Trace() []Placement { return r.trace }

// Stale counts replies that were discarded.
func (r *Request) Stale() int { return r.stale }

// Step takes one event and gives what has to be done about it, in order.
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
	case PauseOver:
		if r.finished || len(r.live) > 0 {
			return nil
		}
		return []Action{r.enqueue(now, false)}
	case DeadlineOver:
		return r.deadlineOver(now)
	case CancelAsked:
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

// enqueue makes the stage's next attempt live and asks its pool for a place.
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
		Started:      r.ran || r.maybe > 0,
	}}
}

// TokenLimit is how many tokens a generate stage may make for this request.
func (r *Request) TokenLimit(s *config.Stage) int {
	if r.maxTokens > 0 && r.maxTokens < s.MaxTokens() {
		return r.maxTokens
	}
	return s.MaxTokens()
}

// liveOf finds the attempt a reply belongs to, or counts the reply as stale.
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
	r.maybe++
	if s.Once() {
		r.onceSent = true // marked as spent before the first byte goes out
	}
	u := &r.uses[len(r.uses)-1]
	u.Attempts++
	u.Waited += e.Waited
	out := []Action{Send{
		Attempt: a.id, Pool: pool, Server: e.Server, Input: r.input,
		Offset: len(r.output), Continue: r.output, Once: s.Once(),
	}}
	if !s.Once() && s.Kind() != config.Generate && !a.hedge && a.id.N == 0 {
		after := max(hedgeFloor, time.Duration(hedgeFactor*float64(r.estimates.Run(now, r.pipeline, s))))
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
		return r.again(now) // the attempt it was to help has failed meanwhile
	}
	if r.pipeline.MustFinish() && (r.ran || r.maybe > 0) && e.Err.Code != code.NowhereToRun {
		return r.pauseThenRetry()
	}
	return r.finish(now, e.Err)
}

// pauseThenRetry backs off, doubling up to a limit: must-finish work waits out what stops it.
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
		return r.lost(now, a, Broken) // tokens are missing: ask for them again from where we are
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

// emit hands on what the last stage has produced and the caller has not got.
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
		return r.lateOnce(now, a, e)
	}
	if e.Stream && e.Length != len(r.output) {
		return r.lost(now, a, Broken)
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
	if r.cancel {
		return append(out, r.finish(now, code.New(code.Cancelled, "", "stopped after a call that could not be undone"))...)
	}
	if r.last() {
		return append(out, r.finish(now, nil)...)
	}
	r.input = r.output
	r.stage++
	return append(out, r.beginStage(now)...)
}

// lateOnce takes the answer of a once-call whose request was already answered "outcome unknown".
func (r *Request) lateOnce(now time.Time, a *liveAttempt, e Done) []Action {
	out := []Action{r.settle(now, a, 0, e.Use, true)}
	if r.onceSent && !r.onceDone {
		r.onceDone = true
		out = append(out, Amend{Err: code.New(code.DeadlinePassed, "", "the call that may not be repeated ran; its answer came after the deadline")})
	}
	return out
}

func (r *Request) deadlineOver(now time.Time) []Action {
	if r.finished {
		return nil
	}
	if r.onceSent && !r.onceDone {
		return r.finish(now, code.New(code.OutcomeUnknown, "", "the deadline came before the answer of a call that may not be repeated"))
	}
	return r.finish(now, code.New(code.DeadlinePassed, "", "stage %s was not done by the deadline", r.current().Name()))
}

func (r *Request) cancelAsked(now time.Time) []Action {
	if r.finished {
		return nil
	}
	if r.onceSent && !r.onceDone {
		r.cancel = true // it can't be undone, so its outcome is awaited
		return nil
	}
	return r.finish(now, code.New(code.Cancelled, "", "cancelled by the caller"))
}

// finish gives the final answer once and ends every attempt but a once-call in flight, whose late
// answer still tells what happened.
func (r *Request) finish(now time.Time, err *code.Error) []Action {
	r.finished = true
	var out []Action
	if !(r.onceSent && !r.onceDone) {
		out = r.dropOthers(now)
	}
	if err == nil {
		return append(out, Finish{})
	}
	if err.Code == code.CannotFinish && (r.ran || r.maybe > 0) {
		err = code.New(code.DeadlinePassed, err.Field, "%s", err.Message).WithRetryAfter(err.RetryAfter)
	}
	return append(out, Finish{Err: err.WithRan(r.didRun(err))})
}

// didRun says whether anything ran: the request knows, whatever the code's usual meaning.
func (r *Request) didRun(err *code.Error) code.Ran {
	switch {
	case r.onceSent && !r.onceDone && err.Code != code.BackendRefused:
		return code.RanUnknown
	case r.ran:
		return code.RanYes
	case r.maybe > 0:
		return code.RanUnknown
	}
	return code.RanNo
}

// MayRepeat says whether making the request again under a new key doubles nothing that may not be.
func (r *Request) MayRepeat() bool { return !r.onceSent }

// Output is the answer so far when the last stage has begun, or nil.
func (r *Request) Output() []byte {
	if !r.last() {
		return nil
	}
	return r.output[:r.emitted]
}
