package standin

import (
	"context"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// Engine is a fake model engine: an EngineModel driven by the wall clock. Its streams can be resumed and
// cancelled, its cache events are delayed and can be lost, and it accepts orders to load models.
// Set its fields before Run.
type Engine struct {
	Name         string
	Cost         EngineCost
	ChecksOrders bool
	Store        *WeightStore // nil makes loads instant
	EventLag     time.Duration
	EventGap     int // one event in every EventGap is lost; 0 for none
	FaultInjector
	Log ExecutionLog

	mu         sync.Mutex
	model      *EngineModel
	jobs       map[string]*job
	wake       chan struct{}
	reports    reportCache
	events     []delayedEvent
	seq        uint64
	order      core.Order
	modelReady time.Time // when the ordered model has loaded
	orders     []core.Order
}

// delayedEvent is a cache event that Events returns from visibleAt on.
type delayedEvent struct {
	event     core.CacheEvent
	visibleAt time.Time
}

// job is one sequence and its output so far.
type job struct {
	req        port.CallRequest
	firstToken int // index in the answer of the first token it generates
	text       []byte
	done       bool
	cancelled  bool
	use        core.Use
	changed    chan struct{}
	endedAt    time.Time
}

// jobRetention is how long a finished job can still be resumed.
const jobRetention = 20 * time.Second

// Init prepares the engine for calls. Run calls it; further calls do nothing.
func (e *Engine) Init() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.model != nil {
		return
	}
	e.model = NewEngineModel(e.Cost)
	e.jobs = map[string]*job{}
	e.wake = make(chan struct{}, 1)
	e.reports.incarnation = uint64(time.Now().UnixNano())
}

// SetSlots changes the maximum batch size. Call it only while nothing runs.
func (e *Engine) SetSlots(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Cost.Slots, e.model.Cost.Slots = n, n
}

// Run steps the engine until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	e.Init()
	for {
		e.waitWhilePaused()
		e.mu.Lock()
		e.model.SlowFactor = e.slowdown()
		at, busy := e.model.Next()
		e.mu.Unlock()
		if !busy {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
				continue
			}
		}
		t := time.NewTimer(time.Until(at))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
			e.step()
		}
	}
}

// step ends the model's current step and appends its tokens to the jobs' output.
func (e *Engine) step() {
	e.waitWhilePaused()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, o := range e.model.Step(now) {
		j := e.jobs[o.ID]
		if j == nil {
			continue
		}
		if o.Token {
			j.text = append(j.text, Token(j.req.Input, j.firstToken+len(j.text)/TokenBytes)...)
		}
		if o.Done {
			j.done, j.use, j.endedAt = true, o.Use, now
		}
		close(j.changed)
		j.changed = make(chan struct{})
	}
	e.publishCacheEvents(now)
	for id, j := range e.jobs {
		if j.done && now.Sub(j.endedAt) > jobRetention {
			delete(e.jobs, id)
		}
	}
}

// publishCacheEvents numbers the cache's changes and queues them to become visible after EventLag, except
// for those that EventGap drops.
func (e *Engine) publishCacheEvents(now time.Time) {
	stored, removed := e.model.TakeEvents()
	if len(stored)+len(removed) == 0 {
		return
	}
	e.seq++
	if e.EventGap > 0 && e.seq%uint64(e.EventGap) == 0 {
		return
	}
	e.events = append(e.events, delayedEvent{core.CacheEvent{Seq: e.seq, Stored: stored, Removed: removed}, now.Add(e.EventLag)})
	if len(e.events) > 256 {
		e.events = e.events[128:]
	}
}

// Events returns the visible cache events with a sequence number greater than after.
func (e *Engine) Events(after uint64) []core.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []core.CacheEvent
	for _, ev := range e.events {
		if ev.event.Seq > after && !ev.visibleAt.After(time.Now()) {
			out = append(out, ev.event)
		}
	}
	return out
}

// Call generates a sequence, or resumes one, and passes its output to emit as pairs of offset and data.
func (e *Engine) Call(ctx context.Context, r port.CallRequest, emit func(int, []byte)) (port.CallResult, *port.CallError) {
	e.waitWhilePaused()
	fault, delay := e.nextFault()
	if err := e.failBeforeRun(ctx, fault); err != nil {
		return port.CallResult{}, err
	}
	j, err := e.findOrSubmit(r)
	if err != nil {
		return port.CallResult{}, err
	}
	return e.streamOutput(ctx, j, r, fault, delay, emit)
}

// findOrSubmit returns the job that the request resumes, or submits a new one.
func (e *Engine) findOrSubmit(req port.CallRequest) (*job, *port.CallError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if req.Resume {
		j := e.jobs[req.Attempt]
		if j == nil || j.cancelled {
			return nil, &port.CallError{Failure: core.Broken, Message: "no such sequence to resume"}
		}
		return j, nil
	}
	now := time.Now()
	if req.Model != "" && (e.order.Model != req.Model || now.Before(e.modelReady)) {
		return nil, &port.CallError{Failure: core.Busy, Message: "model is not loaded"}
	}
	start := len(req.Continue) / TokenBytes
	total := TokenCount(req.Input, req.MaxTokens+start)
	j := &job{req: req, firstToken: start, changed: make(chan struct{})}
	e.jobs[req.Attempt] = j
	e.Log.record(req)
	if total <= start {
		j.done, j.endedAt = true, now
		return j, nil
	}
	e.model.Submit(now, Job{
		ID: req.Attempt, Prompt: (len(req.Input)+len(req.Continue))/TokenBytes + 1, Tokens: total - start,
		Priority: req.Priority, Prefix: req.Prefix,
	})
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return j, nil
}

// streamOutput emits a job's output as it grows, until the job or ctx ends.
func (e *Engine) streamOutput(ctx context.Context, j *job, r port.CallRequest, fault Fault, delay time.Duration, emit func(int, []byte)) (port.CallResult, *port.CallError) {
	base := j.firstToken * TokenBytes
	sent := max(0, r.Offset-base)
	for {
		e.mu.Lock()
		text, done, gone, use, changed := j.text, j.done, j.cancelled, j.use, j.changed
		e.mu.Unlock()
		if gone {
			return port.CallResult{}, &port.CallError{Failure: core.Broken, Message: "cancelled"}
		}
		if sent < len(text) && fault != LateReply {
			emit(base+sent, text[sent:])
			if fault == DuplicateChunks {
				emit(base+sent, text[sent:])
			}
			sent = len(text)
		}
		if fault == BreakStream && len(text) >= 3*TokenBytes || fault == DropReply && done {
			return port.CallResult{}, &port.CallError{Failure: core.Broken, Message: "connection lost"}
		}
		if done {
			if fault == LateReply {
				time.Sleep(delay)
				emit(base+sent, text[sent:])
			}
			return port.CallResult{Stream: true, Length: base + len(text), Use: use}, nil
		}
		select {
		case <-ctx.Done():
			return port.CallResult{}, &port.CallError{Failure: core.Broken, Message: "context done"}
		case <-changed:
		}
	}
}

// Stop cancels the unfinished sequence of an attempt, if there is one.
func (e *Engine) Stop(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j := e.jobs[attempt]
	if j == nil || j.done {
		return
	}
	e.model.Cancel(time.Now(), attempt)
	j.cancelled = true
	close(j.changed)
	j.changed = make(chan struct{})
	delete(e.jobs, attempt)
}

// Report returns a load report that is at most reportInterval old.
func (e *Engine) Report() core.Report {
	return e.reports.current(func() core.Report {
		e.mu.Lock()
		defer e.mu.Unlock()
		running, waiting := e.model.Load()
		return core.Report{
			Running: running, Waiting: waiting, Slots: e.Cost.Slots, Leaving: e.isLeaving(),
			Model: e.order.Model, Version: e.order.Version, Adapters: e.order.Adapters, Role: e.order.Role,
			Loading: max(0, time.Until(e.modelReady)), Fence: e.order.Fence,
		}
	})
}

// AcceptOrder accepts an order. It returns false if the engine checks fences and the order's fence is lower than
// that of the last order.
func (e *Engine) AcceptOrder(o core.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksOrders && o.Fence < e.order.Fence {
		return false
	}
	same := e.order.Model == o.Model && e.order.Version == o.Version
	e.order = o
	e.orders = append(e.orders, o)
	if same {
		return true
	}
	e.modelReady = time.Now()
	if e.Store != nil {
		e.modelReady = e.Store.Fetch(time.Now(), o.LoadTime)
	}
	return true
}

// Orders returns the accepted orders, oldest first.
func (e *Engine) Orders() []core.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]core.Order(nil), e.orders...)
}

// Export returns the leading blocks of a prefix that the cache holds.
func (e *Engine) Export(prefix []uint64) []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.Export(prefix)
}

// Import adds another engine's exported blocks to the cache.
func (e *Engine) Import(blocks []uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Import(blocks)
}

// WeightStore simulates a shared store of model weights that serves one load at a time.
type WeightStore struct {
	mu   sync.Mutex
	free time.Time
}

// Fetch queues a load that takes the duration alone if nothing else loads, and returns when it ends.
func (w *WeightStore) Fetch(now time.Time, alone time.Duration) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.free.Before(now) {
		w.free = now
	}
	w.free = w.free.Add(alone)
	return w.free
}
