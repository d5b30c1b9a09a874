package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// reportInterval is how often load reports are renewed, so a report can be this old.
const reportInterval = 250 * time.Millisecond

// Execution records one call that a fake backend server ran.
type Execution struct {
	Attempt string // format: key/stage/attempt, then the calling box
	Kind    string
	Once    bool
	Input   uint64 // hash of the input
	At      time.Time
}

// ExecutionLog records the calls that a fake backend server ran, so that tests can count them.
// Safe for concurrent use.
type ExecutionLog struct {
	mu         sync.Mutex
	executions []Execution
}

func (l *ExecutionLog) record(r port.CallRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, Execution{Attempt: r.Attempt, Kind: r.Kind, Once: r.Once, Input: xxhash.Sum64(r.Input), At: time.Now()})
}

// All returns a copy of the log.
func (l *ExecutionLog) All() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.executions...)
}

// Service is a fake backend server that does not generate: a plain service, encoder, retriever or reranker.
type Service struct {
	Name     string
	Slots    int
	CallTime time.Duration // mean duration of a call
	FaultInjector
	Log ExecutionLog

	once    sync.Once
	slots   chan struct{}
	reports reportCache
	mu      sync.Mutex
	running int
	waiting int
}

// SetSlots changes how many calls run at once. Call it only while none runs.
func (s *Service) SetSlots(n int) {
	s.init()
	s.Slots = n
	s.slots = make(chan struct{}, n)
}

func (s *Service) init() {
	s.once.Do(func() {
		s.slots = make(chan struct{}, s.Slots)
		s.reports.incarnation = uint64(time.Now().UnixNano())
	})
}

// Call waits for a free slot and runs one call.
func (s *Service) Call(ctx context.Context, r port.CallRequest, _ func(int, []byte)) (port.CallResult, *port.CallError) {
	s.init()
	s.waitWhilePaused()
	fault, delay := s.nextFault()
	if err := s.failBeforeRun(ctx, fault); err != nil {
		return port.CallResult{}, err
	}
	s.addLoad(0, 1)
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		s.addLoad(0, -1)
		return port.CallResult{}, &port.CallError{Failure: core.Broken, Message: "cancelled while queued"}
	}
	s.addLoad(1, -1)
	defer func() {
		s.addLoad(-1, 0)
		<-s.slots
	}()
	s.Log.record(r)
	duration := time.Duration(s.slowdown() * float64(s.CallTime) * timeFactor(r.Input))
	time.Sleep(duration)
	s.waitWhilePaused()
	res := port.CallResult{Output: ServiceOutput(r.Kind, r.Input), Use: core.Use{Engine: duration}}
	res.Length = len(res.Output)
	switch fault {
	case DropReply, BreakStream:
		return port.CallResult{}, &port.CallError{Failure: core.Broken, Message: "connection lost"}
	case LateReply:
		time.Sleep(delay)
	}
	return res, nil
}

// failBeforeRun applies the faults that prevent a call from running. It returns nil if the call may run.
func (s *FaultInjector) failBeforeRun(ctx context.Context, fault Fault) *port.CallError {
	switch fault {
	case Fail:
		return &port.CallError{Failure: core.Broken, Message: "injected fault: error"}
	case Busy:
		return &port.CallError{Failure: core.Busy, Message: "injected fault: busy"}
	case Refuse:
		return &port.CallError{Failure: core.NotSent, Message: "injected fault: connection refused"}
	case BadRequest:
		return &port.CallError{Failure: core.InvalidCall, Message: "injected fault: invalid request"}
	case Hang:
		<-ctx.Done()
		return &port.CallError{Failure: core.Broken, Message: "injected fault: hung until the caller's context ended"}
	}
	if s.refuseIfLeaving() {
		return &port.CallError{Failure: core.Leaving, Message: "server is leaving"}
	}
	return nil
}

// timeFactor derives the factor on a call's duration from its input, from 0.75 to 1.25.
func timeFactor(input []byte) float64 { return 0.75 + float64(xxhash.Sum64(input)%1000)/2000 }

func (s *Service) addLoad(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.waiting += waiting
}

// Report returns a load report that is at most reportInterval old.
func (s *Service) Report() core.Report {
	s.init()
	return s.reports.current(func() core.Report {
		s.mu.Lock()
		defer s.mu.Unlock()
		return core.Report{Running: s.running, Waiting: s.waiting, Slots: s.Slots, Leaving: s.isLeaving()}
	})
}

// reportCache renews a load report at most every reportInterval and numbers the renewals.
type reportCache struct {
	mu          sync.Mutex
	incarnation uint64
	seq         uint64
	renewedAt   time.Time
	last        core.Report
}

func (r *reportCache) current(measure func() core.Report) core.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.seq == 0 || now.Sub(r.renewedAt) >= reportInterval {
		r.last = measure()
		r.seq++
		r.renewedAt = now
		r.last.Incarnation, r.last.Seq = r.incarnation, r.seq
	}
	return r.last
}
