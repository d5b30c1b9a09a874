package overload

import (
	"cmp"
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// callers are the accepted connections, by the descriptors that they need: an idle one needs its own, each other one needs another
// to a server.
type callers struct {
	mu     sync.Mutex
	open   int
	silent list.List // connections that have sent nothing yet, the oldest first
	idle   list.List // connections between two requests, the longest idle first
	heads  list.List // connections on which the head of a request arrives, the oldest first
	closed int64     // for others, since the start
	late   int64     // because a head or the next request did not come in time, since the start
	long   int64     // because a head was far beyond its limit, since the start
}

// Timeouts are how long callers may take.
type Timeouts struct {
	Head time.Duration // from the first byte of a request to the end of its head
	Idle time.Duration // without a request
}

// place is where a connection stands in a list of callers. It belongs to callers.mu.
type place struct {
	list  *list.List // nil while a body is read or a request runs
	at    *list.Element
	since time.Time
	ended bool
}

// add counts a new connection.
func (s *callers) add(c *countedConn, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open++
	c.put(&s.silent, now)
}

// remove ends the count of a connection.
func (s *callers) remove(c *countedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(c)
}

func (s *callers) drop(c *countedConn) {
	if c.ended {
		return
	}
	c.ended = true
	c.take()
	s.open--
}

// setIdle records that a connection has no request.
func (s *callers) setIdle(c *countedConn, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.ended {
		c.take()
		c.put(&s.idle, now)
	}
}

// beginHead records that the head of a request arrives on a connection.
func (s *callers) beginHead(c *countedConn, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.ended {
		c.take()
		c.put(&s.heads, now)
		c.waits.Store(false)
		c.inHead.Store(true)
	}
}

// endHead records that the head of a request is whole.
func (s *callers) endHead(c *countedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.take()
}

// closeEach closes connections one after the other and counts them, while next returns one. next is called with the lock held.
func (s *callers) closeEach(next func() *countedConn, count *int64) {
	var closed []*countedConn
	s.mu.Lock()
	for c := next(); c != nil; c = next() {
		s.drop(c)
		*count++
		closed = append(closed, c)
	}
	s.mu.Unlock()
	for _, c := range closed {
		_ = c.Conn.Close()
	}
}

// oldest returns the connection that has been in a list for longest, nil if none has been there for longer than a time.
func oldest(l *list.List, now time.Time, least time.Duration) *countedConn {
	if first := l.Front(); first != nil {
		if c := first.Value.(*countedConn); now.Sub(c.since) > least {
			return c
		}
	}
	return nil
}

// expire closes the connections whose head or next request did not come in time.
func (s *callers) expire(now time.Time, t Timeouts) {
	s.closeEach(func() *countedConn {
		return cmp.Or(oldest(&s.heads, now, t.Head), oldest(&s.silent, now, t.Idle), oldest(&s.idle, now, t.Idle))
	}, &s.late)
}

// countLong counts a connection that is closed because of a long head.
func (s *callers) countLong() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.long++
}

// room is what callers and their requests may take.
type room struct {
	descriptors int // with those to servers
	connections int
}

// exceeds reports whether the open connections need more than there is room for. The caller holds the lock.
func (s *callers) exceeds(r room) bool { return s.needed() > r.descriptors || s.open > r.connections }

// full reports whether connections with a request need more than there is room for, so that closing others makes none.
func (s *callers) full(r room, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exceeds(r) && s.leastUseful(now) == nil
}

// makeRoom closes connections without a request while all need more than there is room for. Those that have sent nothing for long go
// first, then those that have been idle for longest.
func (s *callers) makeRoom(r room, now time.Time) {
	s.closeEach(func() *countedConn {
		if !s.exceeds(r) {
			return nil
		}
		return s.leastUseful(now)
	}, &s.closed)
}

// needed returns the number of descriptors that the open connections need. The caller holds the lock.
func (s *callers) needed() int { return descriptorsPerCaller*s.open - s.idle.Len() }

// leastUseful returns the connection to close first, or nil. The caller holds the lock.
func (s *callers) leastUseful(now time.Time) *countedConn {
	if first := s.silent.Front(); first != nil {
		if c := first.Value.(*countedConn); now.Sub(c.since) >= maxSilence {
			return c
		}
	}
	if first := s.idle.Front(); first != nil {
		return first.Value.(*countedConn)
	}
	return nil
}

// addTo adds the numbers of connections to a status.
func (s *callers) addTo(t *Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Open, t.Idle, t.Heads = int64(s.open), int64(s.idle.Len()+s.silent.Len()), int64(s.heads.Len())
	t.ClosedIdle, t.ClosedLate, t.ClosedLong = s.closed, s.late, s.long
}

// put adds a connection to the end of a list.
func (c *countedConn) put(l *list.List, now time.Time) {
	c.list, c.at, c.since = l, l.PushBack(c), now
	c.waits.Store(true)
}

// take removes a connection from its list.
func (c *countedConn) take() {
	if c.list != nil {
		c.list.Remove(c.at)
	}
	c.list, c.at = nil, nil
	c.waits.Store(false)
	c.inHead.Store(false)
}

// SetState is a hook for http.Server.ConnState. It learns which connections are idle, and when a head is whole.
func (g *Guard) SetState(c net.Conn, state http.ConnState) {
	own, ok := c.(*countedConn)
	switch {
	case !ok:
	case state == http.StateIdle:
		g.callers.setIdle(own, g.Meter.now())
	case state == http.StateActive:
		g.callers.endHead(own)
	}
}

// Expire closes the connections whose head or next request did not come in time.
func (g *Guard) Expire(t Timeouts) { g.callers.expire(g.Meter.now(), t) }
