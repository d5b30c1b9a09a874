package standin

import (
	"context"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// Engine stands in for a model engine: the cost model driven by the clock, with streams that can be
// resumed and cancelled, late and gapped cache events, and orders. Set its fields before Run.
type Engine struct {
	Name         string
	Cost         EngineCost
	ChecksOrders bool
	Store        *WeightStore // nil loads at once
	EventLag     time.Duration
	EventGap     int // every so many events one is lost; 0 for none
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
	modelReady time.Time // when the ordered model serves
	orders     []core.Order
}

type delayedEvent struct {
	event     core.CacheEvent
	visibleAt time.Time
}

// job is one sequence and what it has made.
type job struct {
	req        port.CallRequest
	firstToken int // token number of its first token
	text       []byte
	done       bool
	cancelled  bool
	use        core.Use
	changed    chan struct{}
	endedAt    time.Time
}

// jobKept is how long an ended job can still be resumed.
const jobRetention = 20 * time.Second

// Init makes the engine ready to be called; Run calls it.
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

// SetSlots changes the size of the batch; call it while nothing runs.
func (e *Engine) SetSlots(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Cost.Slots, e.model.Cost.Slots = n, n
}

// Run steps the engine until the context ends.
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

// publish numbers the cache's changes; some are lost, all come late.
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

// Events gives the cache events after a sequence number that are published by now.
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

// Call generates, or goes on with, one sequence.
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

// find takes the running job that a resume means, or submits a new one.
func (e *Engine) findOrSubmit(req port.CallRequest) (*job, *port.CallError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if req.Resume {
		j := e.jobs[req.Attempt]
		if j == nil || j.cancelled {
			return nil, &port.CallError{Failure: core.Broken, Message: "nothing to resume"}
		}
		return j, nil
	}
	now := time.Now()
	if req.Model != "" && (e.order.Model != req.Model || now.Before(e.modelReady)) {
		return nil, &port.CallError{Failure: core.Busy, Message: "the model is not loaded"}
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

// follow hands on a job's text as it grows.
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
			if fault == TwiceReply {
				emit(base+sent, text[sent:])
			}
			sent = len(text)
		}
		if fault == BreakMid && len(text) >= 3*TokenBytes || fault == DropReply && done {
			return port.CallResult{}, &port.CallError{Failure: core.Broken, Message: "connection broke"}
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
			return port.CallResult{}, &port.CallError{Failure: core.Broken, Message: "given up"}
		case <-changed:
		}
	}
}

// Stop cancels a sequence.
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

// Report gives the load as of the last renewal.
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

// Take accepts an order, unless the engine checks fences and this one is older than the last.
func (e *Engine) Take(o core.Order) bool {
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

// Orders lists the orders the engine took.
func (e *Engine) Orders() []core.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]core.Order(nil), e.orders...)
}

// Export lists the cached blocks of a prefix.
func (e *Engine) Export(prefix []uint64) []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.Export(prefix)
}

// Import takes another engine's blocks.
func (e *Engine) Import(blocks []uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Import(blocks)
}

// WeightStore hands out model weights one after another at a limited rate.
type WeightStore struct {
	mu   sync.Mutex
	free time.Time
}

// Fetch books a load that takes the given time alone and says when it will be done.
func (w *WeightStore) Fetch(now time.Time, alone time.Duration) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.free.Before(now) {
		w.free = now
	}
	w.free = w.free.Add(alone)
	return w.free
}
