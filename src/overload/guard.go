package overload

import (
	"math"
	"sync"
)

// Guard decides which new connections of callers a box accepts, by its load. Set the exported fields before use.
type Guard struct {
	Meter       Meter
	Bodies      Bodies
	Descriptors int   // that this process may have open, 0 if unknown
	Memory      int64 // bytes for connections of callers, 0 if unknown
	// HeadLimit returns the allowed size of the head of a request in bytes; nil for no limit.
	HeadLimit func() int

	callers    callers
	mu         sync.Mutex
	controller controller
	last       Load
	closed     int64
}

// Status is the state of a guard.
type Status struct {
	Load   Load
	Share  float64 // of new connections that are accepted
	Full   bool    // whether hardly any are accepted, until some of those accepted are served
	Open   int64   // accepted connections
	Idle   int64   // of them, those without a request
	Closed int64   // connections closed unread since the start
	Heads  int64   // of the open ones, those on which the head of a request arrives
	// Numbers of connections closed since the start: without a request, for others; because a head or the next request did not
	// come in time; because a head was far beyond its limit.
	ClosedIdle, ClosedLate, ClosedLong int64
}

// Accept reports whether to accept a new connection.
func (g *Guard) Accept() bool {
	g.Meter.Probe()
	return g.accept()
}

// accept decides on a new connection without a probe.
func (g *Guard) accept() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.update()
	if g.controller.accept(g.Meter.now(), g.full()) {
		g.makeRoom()
		return true
	}
	g.closed++
	return false
}

// Busy reports whether this box closes new connections, so that it should take no other work either.
func (g *Guard) Busy() bool {
	s := g.Status()
	return s.Share < 1 || s.Full
}

// Status returns the current state.
func (g *Guard) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.update()
	s := Status{Load: g.last, Share: g.controller.accepting(), Full: g.full(), Closed: g.closed}
	g.callers.addTo(&s)
	return s
}

// full reports whether accepted connections take the whole link with their bodies, or the descriptors or the memory. The caller holds
// g.mu.
func (g *Guard) full() bool {
	link := g.last.Link > minLink && g.Bodies.takes(g.Meter.now(), g.Meter.LinkMbps) > maxBodies
	return link || g.callers.full(g.room(), g.Meter.now())
}

// room returns what callers and their requests may take.
func (g *Guard) room() room {
	r := room{descriptors: math.MaxInt, connections: math.MaxInt}
	if g.Descriptors > 0 {
		r.descriptors = int(maxDescriptors * float64(g.Descriptors))
	}
	if g.Memory > 0 {
		r.connections = max(1, int(g.Memory/connectionMemory))
	}
	return r
}

// makeRoom closes connections without a request if descriptors or memory are short.
func (g *Guard) makeRoom() { g.callers.makeRoom(g.room(), g.Meter.now()) }

// requestArrives counts a connection as one with a request, which takes another descriptor if it was idle.
func (g *Guard) requestArrives(c *countedConn) {
	g.callers.beginHead(c, g.Meter.now())
	g.makeRoom()
}

// update takes the load of the last interval if it has ended. The caller holds g.mu.
func (g *Guard) update() {
	if l, ok := g.Meter.Take(); ok {
		g.last = l
		g.controller.update(l)
	}
}
