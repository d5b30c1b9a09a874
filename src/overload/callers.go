package overload

import (
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
	closed int64     // for others, since the start
}

// place is where a connection stands in a list of callers. It belongs to callers.mu.
type place struct {
	list  *list.List // nil while a request is read or runs
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

// setBusy records that a request arrives on a connection.
func (s *callers) setBusy(c *countedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.take()
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
	var closed []*countedConn
	s.mu.Lock()
	for s.exceeds(r) {
		c := s.leastUseful(now)
		if c == nil {
			break
		}
		s.drop(c)
		s.closed++
		closed = append(closed, c)
	}
	s.mu.Unlock()
	for _, c := range closed {
		_ = c.Conn.Close()
	}
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

// counts returns the numbers of connections: open, without a request, and closed for others.
func (s *callers) counts() (open, idle, closed int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.open), int64(s.idle.Len() + s.silent.Len()), s.closed
}

// put adds a connection to the end of a list.
func (p *countedConn) put(l *list.List, now time.Time) {
	p.list, p.at, p.since = l, l.PushBack(p), now
	p.waits.Store(true)
}

// take removes a connection from its list.
func (p *countedConn) take() {
	if p.list != nil {
		p.list.Remove(p.at)
	}
	p.list, p.at = nil, nil
	p.waits.Store(false)
}

// SetState is a hook for http.Server.ConnState. It learns which connections are idle.
func (g *Guard) SetState(c net.Conn, state http.ConnState) {
	if own, ok := c.(*countedConn); ok && state == http.StateIdle {
		g.callers.setIdle(own, g.Meter.now())
	}
}
