// Package seen remembers names for a while, to notice those that come twice.
package seen

import (
	"sync"
	"time"
)

// Set remembers names for Keep to twice as long. Set Keep before use. It is safe for concurrent use.
type Set struct {
	Keep time.Duration

	mu         sync.Mutex
	young, old map[string]struct{}
	turned     time.Time // when young became old last
}

// AddNew adds names if all of them are new, and reports whether they are.
func (s *Set) AddNew(now time.Time, names []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	for _, n := range names {
		if s.has(n) {
			return false
		}
	}
	for _, n := range names {
		s.young[n] = struct{}{}
	}
	return true
}

func (s *Set) has(name string) bool {
	_, young := s.young[name]
	_, old := s.old[name]
	return young || old
}

// turn forgets the older names if their time is over.
func (s *Set) turn(now time.Time) {
	age := now.Sub(s.turned)
	if s.young != nil && age < s.Keep {
		return
	}
	if s.old = s.young; age >= 2*s.Keep {
		s.old = nil
	}
	s.young, s.turned = map[string]struct{}{}, now
}
