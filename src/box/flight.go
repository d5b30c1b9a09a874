package box

import (
	"context"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/crasher"
	"github.com/stilemast/stilemast/src/port"
)

// flight is a request in flight. Events are queued and processed one by one by whichever goroutine finds the
// queue idle, so that actions are carried out in order and without holding a lock.
type flight struct {
	box       *Box
	req       *core.Request // used only by the goroutine that has set stepping
	conf      *config.Config
	startedAt time.Time

	content crasher.Content

	mu       sync.Mutex
	queue    []core.Event
	stepping bool
	answer   []byte
	ended    bool
	end      port.End
	changed  chan struct{}
	firstOut time.Time
	lastOut  time.Time
	calls    map[core.Attempt]context.CancelFunc
	sentAt   map[core.Attempt]time.Time
	deadline *time.Timer
	admitted bool
}

func newFlight(b *Box, req *core.Request, c *config.Config) *flight {
	return &flight{
		box: b, req: req, conf: c, startedAt: b.now(), changed: make(chan struct{}),
		calls: map[core.Attempt]context.CancelFunc{}, sentAt: map[core.Attempt]time.Time{},
	}
}

// start runs an admitted request.
func (f *flight) start() {
	f.mu.Lock()
	f.admitted = true
	f.deadline = time.AfterFunc(f.req.FinalDeadline(f.startedAt).Sub(f.box.now()), func() { f.post(core.DeadlineReached{}) })
	f.mu.Unlock()
	f.post(core.Begin{})
}

// post queues an event, and processes the queue unless another goroutine already does.
func (f *flight) post(ev core.Event) {
	f.mu.Lock()
	f.queue = append(f.queue, ev)
	if f.stepping {
		f.mu.Unlock()
		return
	}
	f.stepping = true
	for len(f.queue) > 0 {
		ev := f.queue[0]
		f.queue = f.queue[1:]
		f.mu.Unlock()
		f.step(ev)
		f.mu.Lock()
	}
	f.queue = nil
	f.stepping = false
	f.mu.Unlock()
}

// step processes one event and carries out the resulting actions.
func (f *flight) step(ev core.Event) {
	f.box.gate()
	stale := f.req.Stale()
	for _, a := range f.req.Step(f.box.now(), ev) {
		f.execute(a)
	}
	if n := f.req.Stale() - stale; n > 0 && f.box.Observer.StaleReplies != nil {
		f.box.Observer.StaleReplies(n)
	}
}

// execute carries out one action.
func (f *flight) execute(a core.Action) {
	switch a := a.(type) {
	case core.Enqueue:
		f.enqueue(a.Call)
	case core.Withdraw:
		if p := f.box.pools.get(a.Pool); p != nil {
			p.withdraw(a.Attempt)
		}
	case core.Release:
		if p := f.box.pools.get(a.Pool); p != nil {
			p.release(a.Attempt, a.Server)
		}
	case core.Send:
		f.send(a)
	case core.Stop:
		f.stop(a)
	case core.ArmHedge:
		time.AfterFunc(a.After, func() { f.post(core.HedgeDue{Attempt: a.Attempt}) })
	case core.Pause:
		time.AfterFunc(a.After, func() { f.post(core.PauseEnded{}) })
	case core.Emit:
		f.emit(a.Data)
	case core.Settle:
		f.callEnded(a)
	case core.Finish:
		f.finish(a.Err)
	case core.Amend:
		s := f.box.shardOf(f.req.Key())
		s.mu.Lock()
		s.ledger.Amend(f.req.Key(), a.Err)
		s.mu.Unlock()
	}
}

// enqueue queues a call in its pool.
func (f *flight) enqueue(c *core.Call) {
	if err := f.barred(c.Stage); err != nil {
		f.post(core.Refused{Attempt: c.Attempt, Err: err.WithRan(code.RanUnknown)})
		return
	}
	p := f.box.pools.get(c.Stage.Pool())
	if p == nil {
		f.post(core.Refused{Attempt: c.Attempt, Err: code.New(code.NowhereToRun, "", "no pool %s", c.Stage.Pool())})
		return
	}
	if err := p.push(f.box.now(), c, f); err != nil {
		f.post(core.Refused{Attempt: c.Attempt, Err: err})
	}
}

// send makes a call in its own goroutine.
func (f *flight) send(a core.Send) {
	ctx, cancel := context.WithCancel(context.Background())
	f.mu.Lock()
	f.calls[a.Attempt] = cancel
	if _, again := f.sentAt[a.Attempt]; !again {
		f.sentAt[a.Attempt] = f.box.now()
	}
	f.mu.Unlock()
	f.box.background.Add(1)
	go func() {
		defer f.box.background.Done()
		defer cancel()
		f.call(ctx, a)
	}()
}

// call makes the call if the placement is still valid, and posts its outcome.
func (f *flight) call(ctx context.Context, a core.Send) {
	server, why := f.recheck(ctx, a)
	if why != 0 {
		f.post(core.Failed{Attempt: a.Attempt, Failure: why})
		return
	}
	stage := f.req.Pipeline().Stages()[a.Attempt.Stage]
	ctx, cancel := context.WithTimeout(ctx, f.req.CallTimeout(f.box.now(), f.startedAt, a.Attempt))
	defer cancel()
	stall := newStallTimer(stage, a.Attempt.N, cancel)
	defer stall.stop()
	emit := func(offset int, data []byte) {
		stall.progress()
		f.post(core.Chunk{Attempt: a.Attempt, Offset: offset, Data: data})
	}
	res, err := f.box.Backends.Call(ctx, server, f.request(a, stage), emit)
	f.recordCall(server, stage, err)
	if err != nil {
		f.recordRest(server, stage, err)
		f.post(core.Failed{Attempt: a.Attempt, Failure: err.Failure, Message: err.Message})
		return
	}
	if res.Stream && stage.Kind() == config.Generate {
		f.box.estimates.LearnTokens(f.box.now(), f.req.Pipeline(), stage, res.Length/approxTokenBytes, stage.MaxTokens())
	}
	f.post(core.Done{Attempt: a.Attempt, Output: res.Output, Length: res.Length, Stream: res.Stream, Use: res.Use})
}

// recordRest applies the time for which a server that rejected a call asks for no further calls.
func (f *flight) recordRest(s *config.BackendServer, stage *config.Stage, err *port.CallError) {
	if p := f.box.pools.get(stage.Pool()); p != nil && err.RetryAfter > 0 {
		f.box.Log.Info("server asks for rest", "server", s.Name(), "pool", stage.Pool(), "asks_ms", err.RetryAfter.Milliseconds())
		p.locked(func(c *core.Pool) { c.RecordRest(f.box.now(), s.Name(), err.RetryAfter) })
	}
}

// approxTokenBytes is the approximate size of an output token in bytes.
const approxTokenBytes = 4

// recheck verifies just before sending that the placement is still valid: this process was not paused since,
// and the configuration now in force still allows the stage to run there. If it fails, nothing has been sent.
func (f *flight) recheck(ctx context.Context, a core.Send) (*config.BackendServer, core.Failure) {
	for !f.box.confirmedSincePause() {
		select {
		case <-ctx.Done():
			return nil, core.NotSent
		case <-time.After(core.TickEvery):
		}
	}
	c := f.box.Config()
	server := c.BackendServer(a.Server)
	w := c.Workspace(f.req.Workspace().Name())
	stage := f.req.Pipeline().Stages()[a.Attempt.Stage]
	if server == nil || w == nil || !config.MayRun(w, stage, server.Domain()) {
		return nil, core.NotSent
	}
	if p := c.Pipeline(f.req.Pipeline().Name()); p != nil {
		if s := stageNamed(p, stage.Name()); s != nil && !config.MayRun(w, s, server.Domain()) {
			return nil, core.NotSent
		}
	}
	if server.Leaving() && !a.Resume || f.barred(stage) != nil {
		return nil, core.NotSent
	}
	return server, 0
}

func stageNamed(p *config.Pipeline, name string) *config.Stage {
	for _, s := range p.Stages() {
		if s.Name() == name {
			return s
		}
	}
	return nil
}

// request returns the request to the backend server for a call.
func (f *flight) request(a core.Send, s *config.Stage) port.CallRequest {
	r := port.CallRequest{
		Attempt: a.Attempt.WireID(f.box.ID), Kind: string(s.Kind()), Input: a.Input, Offset: a.Offset,
		Priority: core.ServerPriority(f.req.Pipeline().Class(), f.req.Deadline()), Salt: f.req.Workspace().Name(), Model: s.Model(), Adapter: s.Adapter(),
		Once: a.Once, Resume: a.Resume,
	}
	if s.Kind() == config.Generate {
		r.Continue = a.Continue
		r.MaxTokens = f.req.TokenLimit(s) - len(a.Continue)/approxTokenBytes
		r.Prefix = core.PrefixBlocks(f.req.Workspace().Name(), a.Input)
	}
	return r
}

// stallTimer cancels a stream that makes no progress; it does nothing for other kinds of calls.
type stallTimer struct{ t *time.Timer }

func newStallTimer(s *config.Stage, attempt int, cancel func()) *stallTimer {
	if s.Kind() != config.Generate {
		return &stallTimer{}
	}
	return &stallTimer{t: time.AfterFunc(core.FirstChunkTimeout(attempt), cancel)}
}

// progress notes that the stream made progress.
func (w *stallTimer) progress() {
	if w.t != nil {
		w.t.Reset(core.StallLimit)
	}
}

func (w *stallTimer) stop() {
	if w.t != nil {
		w.t.Stop()
	}
}

// stop cancels a call and tells the server to stop working on it.
func (f *flight) stop(a core.Stop) {
	f.mu.Lock()
	cancel := f.calls[a.Attempt]
	f.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	server := f.conf.BackendServer(a.Server)
	if server == nil {
		return
	}
	f.box.background.Add(1)
	go func() {
		defer f.box.background.Done()
		ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
		defer done()
		f.box.Backends.Stop(ctx, server, a.Attempt.WireID(f.box.ID))
	}()
}

// cancelTimeout is the timeout of the message that cancels a call.
const cancelTimeout = time.Second

// settle records the outcome of a call in its pool, the costs and the metrics.
func (f *flight) callEnded(a core.Settle) {
	now := f.box.now()
	f.mu.Lock()
	took := now.Sub(f.sentAt[a.Attempt])
	delete(f.calls, a.Attempt)
	delete(f.sentAt, a.Attempt)
	f.mu.Unlock()
	if p := f.box.pools.get(a.Pool); p != nil {
		p.done(now, a)
	}
	stage := f.req.Pipeline().Stages()[a.Attempt.Stage]
	f.box.cost.Add(f.req.Pipeline(), stage, a.Attempt.N, a.Use, took, a.Wasted)
	if f.box.Observer.CallEnded != nil {
		f.box.Observer.CallEnded(a.Pool, a.Failure, took)
	}
}

// emit appends data to the answer.
func (f *flight) emit(data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.box.now()
	if f.firstOut.IsZero() {
		f.firstOut = now
	}
	f.lastOut = now
	f.answer = append(f.answer, data...)
	f.notifyLocked()
}

// notifyLocked wakes all goroutines in follow. The caller holds the lock.
func (f *flight) notifyLocked() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// finish ends the request. The ledger is updated first, so that no copy of the request runs after a refusal.
func (f *flight) finish(err *code.Error) {
	b := f.box
	key := f.req.Key()
	end := port.End{Err: err, MayRepeat: f.req.MayRepeat(), Uses: f.req.Uses()}
	f.mu.Lock()
	end.Length = len(f.answer)
	answer := f.answer
	f.mu.Unlock()
	s := b.shardOf(key)
	s.mu.Lock()
	s.ledger.Close(b.now(), key, err, answer, end.Uses, end.MayRepeat)
	delete(s.flights, key.ID)
	s.mu.Unlock()
	f.mu.Lock()
	admitted := f.admitted
	if f.deadline != nil {
		f.deadline.Stop()
	}
	f.mu.Unlock()
	b.recordOutcome(f, err, admitted) // before the end is published: a caller that has the answer may query Explain at once
	f.mu.Lock()
	f.ended, f.end = true, end
	f.notifyLocked()
	f.mu.Unlock()
}

// follow emits the events of the answer from an offset on, until its end or until ctx is done.
func (f *flight) follow(ctx context.Context, offset int, emit func(port.ForwardEvent) error) error {
	for {
		f.mu.Lock()
		data := f.answer[min(offset, len(f.answer)):]
		ended, end, changed := f.ended, f.end, f.changed
		f.mu.Unlock()
		if len(data) > 0 {
			if err := emit(port.ForwardEvent{Chunk: &port.Chunk{Offset: offset, Data: data}}); err != nil {
				return err
			}
			offset += len(data)
		}
		if ended {
			return emit(port.ForwardEvent{End: &end})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
