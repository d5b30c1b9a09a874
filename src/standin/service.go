package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// reportEvery is how often a stand-in renews its load report, so a report lags by as much.
const reportInterval = 250 * time.Millisecond

// Ran is one call that a stand-in really ran.
type Ran struct {
	Attempt string // key/stage/attempt
	Kind    string
	Once    bool
	Input   uint64 // hash of the input
	At      time.Time
}

// Log is what a stand-in ran, so that a test can count. Safe for concurrent use.
type ExecutionLog struct {
	mu  sync.Mutex
	ran []Ran
}

func (l *ExecutionLog) record(r port.CallRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran = append(l.ran, Ran{Attempt: r.Attempt, Kind: r.Kind, Once: r.Once, Input: xxhash.Sum64(r.Input), At: time.Now()})
}

// All copies the log.
func (l *ExecutionLog) All() []Ran {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Ran(nil), l.ran...)
}

// Service stands in for a plain service, an encoder, a retriever or a reranker.
type Service struct {
	Name  string
	Slots int
	Base  time.Duration // typical time of one call
	FaultInjector
	Log ExecutionLog

	once    sync.Once
	slots   chan struct{}
	reports reportCache
	mu      sync.Mutex
	running int
	waiting int
}

// SetSlots changes how many calls run at once; call it while none runs.
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

// Call runs one call.
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
		return port.CallResult{}, &port.CallError{Failure: core.Broken, Message: "cancelled while waiting"}
	}
	s.addLoad(1, -1)
	defer func() {
		s.addLoad(-1, 0)
		<-s.slots
	}()
	s.Log.record(r)
	duration := time.Duration(s.slowdown() * float64(s.Base) * timeFactor(r.Input))
	time.Sleep(duration)
	s.waitWhilePaused()
	res := port.CallResult{Output: ServiceOutput(r.Kind, r.Input), Use: core.Use{Engine: duration}}
	res.Length = len(res.Output)
	switch fault {
	case DropReply, BreakMid:
		return port.CallResult{}, &port.CallError{Failure: core.Broken, Message: "connection broke"}
	case LateReply:
		time.Sleep(delay)
	}
	return res, nil
}

// before applies the faults that keep a call from running.
func (s *FaultInjector) failBeforeRun(ctx context.Context, fault Fault) *port.CallError {
	switch fault {
	case Fail:
		return &port.CallError{Failure: core.Broken, Message: "stand-in was told to fail"}
	case Busy:
		return &port.CallError{Failure: core.Busy, Message: "stand-in was told to be busy"}
	case Refuse:
		return &port.CallError{Failure: core.NotSent, Message: "no connection"}
	case BadRequest:
		return &port.CallError{Failure: core.Wrong, Message: "stand-in was told to refuse"}
	case Hang:
		<-ctx.Done()
		return &port.CallError{Failure: core.Broken, Message: "hung until given up"}
	}
	if s.refuseIfLeaving() {
		return &port.CallError{Failure: core.Leaving, Message: "leaving"}
	}
	return nil
}

// spreadOf varies a call's time by its input, from 0.75 to 1.25.
func timeFactor(input []byte) float64 { return 0.75 + float64(xxhash.Sum64(input)%1000)/2000 }

func (s *Service) addLoad(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.waiting += waiting
}

// Report gives the load as of the last renewal.
func (s *Service) Report() core.Report {
	s.init()
	return s.reports.current(func() core.Report {
		s.mu.Lock()
		defer s.mu.Unlock()
		return core.Report{Running: s.running, Waiting: s.waiting, Slots: s.Slots, Leaving: s.isLeaving()}
	})
}

// reports renews a report at most every reportEvery and numbers each.
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
