package standin

import (
	"sync"
	"time"
)

// Fault is something a stand-in can be told to do wrong.
type Fault uint8

// The faults of backend servers.
const (
	None       Fault = iota
	Fail             // answer with an error before running anything
	Busy             // answer that no work is taken now
	Hang             // take the call, run nothing, answer nothing
	DropReply        // run the call, then break the connection
	LateReply        // run the call, answer after Delay
	TwiceReply       // send every piece of a stream twice
	BreakMid         // break a stream in its middle
	Refuse           // take no connection
	BadRequest       // answer that the call is wrong
)

// Switches hold what a stand-in does wrong. The zero value does nothing wrong.
type FaultInjector struct {
	mu           sync.Mutex
	fault        Fault
	remaining    int // calls the fault still hits; negative for all
	delay        time.Duration
	slowFactor   float64
	paused       chan struct{}
	leaving      bool
	refusedCalls int // calls turned away because it is leaving
}

// Arm makes the next n calls go wrong; a negative n means all until Arm(None, 0).
func (s *FaultInjector) Arm(fault Fault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.remaining = fault, n
}

// SetDelay says how late LateReply is.
func (s *FaultInjector) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetSlow multiplies the time of all work.
func (s *FaultInjector) SetSlow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowFactor = factor
}

// SetLeaving makes the server say that it is leaving and take no new work.
func (s *FaultInjector) SetLeaving(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = on
}

// Pause stops all work until Resume, as a stopped process would.
func (s *FaultInjector) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paused == nil {
		s.paused = make(chan struct{})
	}
}

// Resume ends a Pause.
func (s *FaultInjector) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paused != nil {
		close(s.paused)
		s.paused = nil
	}
}

// take gives the fault that the next call has.
func (s *FaultInjector) nextFault() (Fault, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault == None || s.remaining == 0 {
		return None, 0
	}
	if s.remaining > 0 {
		s.remaining--
	}
	return s.fault, s.delay
}

func (s *FaultInjector) slowdown() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slowFactor <= 0 {
		return 1
	}
	return s.slowFactor
}

func (s *FaultInjector) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// Refused counts the calls that came although the server is leaving.
func (s *FaultInjector) Refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedCalls
}

// turnAway says whether the server is leaving, and counts the call if it is.
func (s *FaultInjector) refuseIfLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		s.refusedCalls++
	}
	return s.leaving
}

// wait blocks while paused.
func (s *FaultInjector) waitWhilePaused() {
	s.mu.Lock()
	p := s.paused
	s.mu.Unlock()
	if p != nil {
		<-p
	}
}
