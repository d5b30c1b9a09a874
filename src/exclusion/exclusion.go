// Package exclusion keeps names that are not chosen for a while, such as those of boxes that did not answer.
package exclusion

import (
	"sync"
	"time"
)

// Set holds excluded names. The zero value is empty. It is safe for concurrent use.
type Set struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// Add excludes a name for a while.
func (s *Set) Add(now time.Time, name string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[string]time.Time{}
	}
	s.until[name] = now.Add(d)
}

// Has reports whether a name is excluded.
func (s *Set) Has(now time.Time, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holds(now, name)
}

// Names returns the excluded names.
func (s *Set) Names(now time.Time) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]bool{}
	for name := range s.until {
		if s.holds(now, name) {
			out[name] = true
		}
	}
	return out
}

// holds reports whether a name is excluded, and drops it if its time is over.
func (s *Set) holds(now time.Time, name string) bool {
	until, ok := s.until[name]
	if ok && !now.Before(until) {
		delete(s.until, name)
		ok = false
	}
	return ok
}
