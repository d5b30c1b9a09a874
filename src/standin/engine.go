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
	Switches
	Log Log

	mu      sync.Mutex
	model   *Model
	jobs    map[string]*job
	wake    chan struct{}
	reports reports
	events  []lateEvent
	seq     uint64
	order   core.Order
	ready   time.Time // when the ordered model serves
	orders  []core.Order
}

type lateEvent struct {
	event core.CacheEvent
	at    time.Time
}

// job is one sequence and what it has made.
type job struct {
	req     port.CallRequest
	start   int // token number of its first token
	text    []byte
	done    bool
	gone    bool
	use     core.Use
	changed chan struct{}
	ended   time.Time
}

// jobKept is how long an ended job can still be resumed.
const jobKept = 20 * time.Second

// Init makes the engine ready to be called; Run calls it.
func (e *Engine) Init() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.model != nil {
		return
	}
	e.model = NewModel(e.Cost)
	e.jobs = map[string]*job{}
	e.wake = make(chan struct{}, 1)
	e.reports.life = uint64(time.Now().UnixNano())
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
		e.wait()
		e.mu.Lock()
		e.model.Slow = e.slowness()
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
	e.wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, o := range e.model.Step(now) {
		j := e.jobs[o.ID]
		if j == nil {
			continue
		}
		if o.Token {
			j.text = append(j.text, Token(j.req.Input, j.start+len(j.text)/TokenBytes)...)
		}
		if o.Done {
			j.done, j.use, j.ended = true, o.Use, now
		}
		close(j.changed)
		j.changed = make(chan struct{})
	}
	e.publish(now)
	for id, j := range e.jobs {
		if j.done && now.Sub(j.ended) > jobKept {
			delete(e.jobs, id)
		}
	}
}

// publish numbers the cache's changes; some are lost, all come late.
func (e *Engine) publish(now time.Time) {
	stored, removed := e.model.TakeEvents()
	if len(stored)+len(removed) == 0 {
		return
	}
	e.seq++
	if e.EventGap > 0 && e.seq%uint64(e.EventGap) == 0 {
		return
	}
	e.events = append(e.events, lateEvent{core.CacheEvent{Seq: e.seq, Stored: stored, Removed: removed}, now.Add(e.EventLag)})
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
		if ev.event.Seq > after && !ev.at.After(time.Now()) {
			out = append(out, ev.event)
		}
	}
	return out
}

// Call generates, or goes on with, one sequence.
func (e *Engine) Call(ctx context.Context, r port.CallRequest, emit func(int, []byte)) (port.CallResult, *port.CallError) {
	e.wait()
	f, delay := e.take()
	if err := e.before(ctx, f); err != nil {
		return port.CallResult{}, err
	}
	j, err := e.find(r)
	if err != nil {
		return port.CallResult{}, err
	}
	return e.follow(ctx, j, r, f, delay, emit)
}

// find takes the running job that a resume means, or submits a new one.
func (e *Engine) find(r port.CallRequest) (*job, *port.CallError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Resume {
		j := e.jobs[r.Attempt]
		if j == nil || j.gone {
			return nil, &port.CallError{Failure: core.Broken, Message: "nothing to resume"}
		}
		return j, nil
	}
	now := time.Now()
	if r.Model != "" && (e.order.Model != r.Model || now.Before(e.ready)) {
		return nil, &port.CallError{Failure: core.Busy, Message: "the model is not loaded"}
	}
	start := len(r.Continue) / TokenBytes
	total := TokenCount(r.Input, r.MaxTokens+start)
	j := &job{req: r, start: start, changed: make(chan struct{})}
	e.jobs[r.Attempt] = j
	e.Log.add(r)
	if total <= start {
		j.done, j.ended = true, now
		return j, nil
	}
	e.model.Submit(now, Job{
		ID: r.Attempt, Prompt: (len(r.Input)+len(r.Continue))/TokenBytes + 1, Tokens: total - start,
		Priority: r.Priority, Prefix: r.Prefix,
	})
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return j, nil
}

// follow hands on a job's text as it grows.
func (e *Engine) follow(ctx context.Context, j *job, r port.CallRequest, f Fault, delay time.Duration, emit func(int, []byte)) (port.CallResult, *port.CallError) {
	base := j.start * TokenBytes
	at := max(0, r.Offset-base)
	for {
		e.mu.Lock()
		text, done, gone, use, changed := j.text, j.done, j.gone, j.use, j.changed
		e.mu.Unlock()
		if gone {
			return port.CallResult{}, &port.CallError{Failure: core.Broken, Message: "cancelled"}
		}
		if at < len(text) && f != LateReply {
			emit(base+at, text[at:])
			if f == TwiceReply {
				emit(base+at, text[at:])
			}
			at = len(text)
		}
		if f == BreakMid && len(text) >= 3*TokenBytes || f == DropReply && done {
			return port.CallResult{}, &port.CallError{Failure: core.Broken, Message: "connection broke"}
		}
		if done {
			if f == LateReply {
				time.Sleep(delay)
				emit(base+at, text[at:])
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
	j.gone = true
	close(j.changed)
	j.changed = make(chan struct{})
	delete(e.jobs, attempt)
}

// Report gives the load as of the last renewal.
func (e *Engine) Report() core.Report {
	return e.reports.get(func() core.Report {
		e.mu.Lock()
		defer e.mu.Unlock()
		running, waiting := e.model.Load()
		return core.Report{
			Running: running, Waiting: waiting, Slots: e.Cost.Slots, Leaving: e.isLeaving(),
			Model: e.order.Model, Version: e.order.Version, Adapters: e.order.Adapters, Role: e.order.Role,
			Loading: max(0, time.Until(e.ready)), Fence: e.order.Fence,
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
	e.ready = time.Now()
	if e.Store != nil {
		e.ready = e.Store.Fetch(time.Now(), o.LoadTime)
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
