package pushback

import (
	"sync"
	"sync/atomic"
	"time"
)

// Shared is a Register for concurrent use. Its lock is taken only while the register holds anything.
type Shared struct {
	any atomic.Bool

	mu       sync.Mutex
	register Register
}

// Any reports whether the register holds anything.
func (s *Shared) Any() bool { return s.any.Load() }

// With runs a function on the register.
func (s *Shared) With(do func(r *Register)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do(&s.register)
	s.any.Store(!s.register.Empty())
}

// Check returns what a server's signals allow now.
func (s *Shared) Check(now time.Time, server Server) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.register.Check(now, server)
}

// Begin checks a server's signals just before the first byte of a request is sent to it.
func (s *Shared) Begin(now time.Time, server Server, owner string) Verdict {
	if !s.any.Load() {
		return Verdict{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.register.Begin(now, server, owner)
}

// LimitOf returns the limit in force at a server; false for none.
func (s *Shared) LimitOf(now time.Time, server Server) (ActiveLimit, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.register.LimitOf(now, server)
}

// ReleasePermit returns the permit of a request that was not sent.
func (s *Shared) ReleasePermit(id, owner string) {
	if s.any.Load() {
		s.With(func(r *Register) { r.ReleasePermit(id, owner) })
	}
}
