package standin

import (
	"sync"
	"time"
)

// Fault is a way in which a fake backend server can be made to misbehave.
type Fault uint8

// The faults of backend servers.
const (
	None            Fault = iota
	Fail                  // reply with an error, without running the call
	Busy                  // reject the call as busy, without running it
	Hang                  // accept the call, but neither run nor answer it
	DropReply             // run the call, then break the connection
	LateReply             // run the call, reply after the delay of SetDelay
	DuplicateChunks       // send every chunk of a stream twice
	BreakStream           // break the connection in the middle of a stream
	Refuse                // refuse connections
	BadRequest            // reject the call as invalid
)

// FaultInjector holds the faults injected into a fake backend server. The zero value injects none.
// Safe for concurrent use.
type FaultInjector struct {
	mu           sync.Mutex
	fault        Fault
	remaining    int // calls that the fault still affects; negative for all
	delay        time.Duration
	slowFactor   float64
	paused       chan struct{}
	leaving      bool
	refusedCalls int // calls rejected because the server is leaving
}

// Arm injects a fault into the next n calls, or with a negative n into all until Arm(None, 0).
func (s *FaultInjector) Arm(fault Fault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.remaining = fault, n
}

// SetDelay sets the delay of LateReply.
func (s *FaultInjector) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetSlowdown multiplies the duration of all work by a factor; 0 or less means 1.
func (s *FaultInjector) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowFactor = factor
}

// SetLeaving makes the server report that it is leaving and reject new calls.
func (s *FaultInjector) SetLeaving(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = on
}

// Pause stops all work until Resume, like SIGSTOP on a process.
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

// nextFault returns the fault for the next call and the delay of late replies.
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

// Refused returns how many calls were rejected because the server was leaving.
func (s *FaultInjector) Refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedCalls
}

// refuseIfLeaving reports whether the server is leaving, and counts the call as refused if it is.
func (s *FaultInjector) refuseIfLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		s.refusedCalls++
	}
	return s.leaving
}

// waitWhilePaused blocks from Pause until Resume.
func (s *FaultInjector) waitWhilePaused() {
	s.mu.Lock()
	p := s.paused
	s.mu.Unlock()
	if p != nil {
		<-p
	}
}
