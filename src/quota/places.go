package quota

import (
	"context"
	"slices"
	"sync"
	"time"
)

// PlaceRequest is a request of a box for a place at a brittle server: the right to have one request there.
type PlaceRequest struct {
	Server      string
	Incarnation int64
	Owner       string        // of the place, unique among all boxes
	Slots       int           // requests that the server runs at once, as listed
	Rejections  int           // requests per second that it can turn away
	Known       time.Duration // time for which boxes have known that it is brittle
	Hold        time.Duration // after which the place is free again if its release is lost
	Patience    time.Duration // longest acceptable wait
	Priority    int           // the lowest first
}

// PlaceEnd is how the request that had a place ended.
type PlaceEnd uint8

// Ends of requests.
const (
	PlaceUsed     PlaceEnd = iota + 1 // the server responded, or the request was not sent
	PlaceRejected                     // the server turned the request away
	PlaceFailed                       // the server did not respond or is gone
)

// Places limits how many requests are at a brittle server at once, for all boxes together. Such a server fails when it turns
// away more than some requests in a second, and nobody but itself knows how many it lets wait.
//
// The limit starts with the slots of the server. Each rejection reduces it by a part, and while there is none it rises slowly,
// to a little more than the slots, so that the server does not idle between two requests. After as many rejections as the
// server bears in half a second, and after a failure, it gets nothing or one request first, and doubles from there.
//
// A request that finds no place waits in line, the urgent first, unless by the pace of the last releases its turn comes later
// than it can wait; then it is refused at once. Safe for concurrent use; Now must be set.
type Places struct {
	Now func() time.Time // must be monotonic

	mu      sync.Mutex
	servers map[string]*placesServer
}

// placesServer is the state of one brittle server.
type placesServer struct {
	incarnation int64
	slots       float64
	rejections  int
	limit       float64              // places
	slowStart   bool                 // the limit doubles with each round of requests
	taken       map[string]time.Time // when each place is free at the latest, by owner
	line        []*waiter            // by priority
	gap         time.Duration        // mean time between releases while all places are taken
	releasedAt  time.Time            // last release while all places were taken
	rejectedAt  []time.Time          // within the last second
	reducedAt   time.Time            // when the limit was last reduced
	usedAt      time.Time
}

// waiter is a request in line.
type waiter struct {
	request PlaceRequest
	granted chan struct{}
}

// Take waits for a place for at most the patience of the request. It returns false, with the time after which asking again makes
// sense, if there is none.
func (p *Places) Take(ctx context.Context, a PlaceRequest) (next time.Duration, ok bool) {
	p.mu.Lock()
	now := p.Now()
	s := p.serverOf(now, a)
	if len(s.line) == 0 && s.free(now) {
		s.taken[a.Owner] = now.Add(a.Hold)
		p.mu.Unlock()
		return 0, true
	}
	wait := s.wait(now, a.Priority)
	if wait > a.Patience {
		p.mu.Unlock()
		return wait, false
	}
	w := &waiter{request: a, granted: make(chan struct{})}
	at := len(s.line)
	for at > 0 && s.line[at-1].request.Priority > a.Priority {
		at--
	}
	s.line = slices.Insert(s.line, at, w)
	p.mu.Unlock()
	timer := time.NewTimer(a.Patience)
	defer timer.Stop()
	select {
	case <-w.granted:
		return 0, true
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	at = slices.Index(s.line, w)
	if at < 0 {
		return 0, true // granted meanwhile
	}
	s.line = slices.Delete(s.line, at, at+1)
	return s.wait(p.Now(), a.Priority), false
}

// Release ends the place of an owner.
func (p *Places) Release(server, owner string, end PlaceEnd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	s := p.servers[server]
	if s == nil {
		return
	}
	_, had := s.taken[owner]
	delete(s.taken, owner)
	switch {
	case end == PlaceRejected:
		s.reject(now)
	case end == PlaceFailed:
		s.fail(now)
	case had:
		s.succeed(now)
	}
	s.grant(now)
}

// Sweep frees places whose time is over and forgets servers that were not used for serverTTL.
func (p *Places) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	for id, s := range p.servers {
		for owner, until := range s.taken {
			if !now.Before(until) {
				delete(s.taken, owner)
			}
		}
		s.grant(now)
		if now.Sub(s.usedAt) > serverTTL && len(s.taken)+len(s.line) == 0 {
			delete(p.servers, id)
		}
	}
}

// serverOf returns the state of the server of a request. A limiter that takes over from another does not know what is at the
// server, so it starts with a part of the slots.
func (p *Places) serverOf(now time.Time, a PlaceRequest) *placesServer {
	if p.servers == nil {
		p.servers = map[string]*placesServer{}
	}
	s := p.servers[a.Server]
	if s == nil || s.incarnation < a.Incarnation {
		next := &placesServer{incarnation: a.Incarnation, taken: map[string]time.Time{}}
		next.limit = float64(max(1, a.Slots))
		if a.Known > takeoverFor {
			next.limit = max(1, takeoverPart*next.limit)
		}
		if s != nil {
			next.line = s.line
		}
		s = next
		p.servers[a.Server] = s
	}
	s.slots, s.rejections, s.usedAt = float64(max(1, a.Slots)), max(1, a.Rejections), now
	return s
}

// free reports whether a place can be given now.
func (s *placesServer) free(now time.Time) bool {
	return len(s.taken) < int(s.limit) && !s.resting(now)
}

// resting reports whether the server gets nothing, because another rejection might be one too many.
func (s *placesServer) resting(now time.Time) bool {
	s.rejectedAt = slices.DeleteFunc(s.rejectedAt, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	return 2*len(s.rejectedAt) >= s.rejections && len(s.taken) > 0
}

// wait estimates when a new request in line gets a place.
func (s *placesServer) wait(now time.Time, priority int) time.Duration {
	ahead := 1
	for _, w := range s.line {
		if w.request.Priority <= priority {
			ahead++
		}
	}
	wait := time.Duration(ahead) * max(s.gap, minPlaceGap)
	if s.resting(now) {
		wait += time.Second - now.Sub(s.rejectedAt[0])
	}
	return wait
}

// grant gives free places to the requests in line.
func (s *placesServer) grant(now time.Time) {
	for len(s.line) > 0 && s.free(now) {
		w := s.line[0]
		s.line = slices.Delete(s.line, 0, 1)
		s.taken[w.request.Owner] = now.Add(w.request.Hold)
		close(w.granted)
	}
}

// reject reduces the limit, at most once for the requests that are at the server together.
func (s *placesServer) reject(now time.Time) {
	s.rejectedAt = append(s.rejectedAt, now)
	s.slowStart = false
	if now.Sub(s.reducedAt) >= reduceEvery {
		s.limit = max(1, rejectedPart*min(s.limit, float64(len(s.taken)+1)))
		s.reducedAt = now
	}
}

// fail restarts the limit.
func (s *placesServer) fail(now time.Time) {
	s.limit, s.slowStart, s.reducedAt = 1, true, now
}

// succeed raises the limit and learns the pace of releases.
func (s *placesServer) succeed(now time.Time) {
	most := s.slots + max(1, spareSlots*s.slots)
	switch {
	case s.slowStart && s.limit < s.slots:
		s.limit++
	case s.slowStart:
		s.slowStart = false
	case now.Sub(s.reducedAt) >= reduceEvery:
		s.limit = min(most, s.limit+risePart/s.limit)
	}
	if len(s.line) == 0 {
		s.releasedAt = time.Time{}
		return
	}
	if !s.releasedAt.IsZero() {
		s.gap += time.Duration(gapWeight * float64(now.Sub(s.releasedAt)-s.gap))
	}
	s.releasedAt = now
}
