package overload

import "sync"

// Guard decides which new connections of callers a box accepts, by its load. Set the exported fields before use.
type Guard struct {
	Meter  Meter
	Bodies Bodies

	mu         sync.Mutex
	controller controller
	last       Load
	closed     int64
}

// Status is the state of a guard.
type Status struct {
	Load   Load
	Share  float64 // of new connections that are accepted
	Closed int64   // connections closed unread since the start
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
	full := g.last.Link > minLink && g.Bodies.takes(g.Meter.LinkMbps) > maxBodies
	if g.controller.accept(g.Meter.now(), full) {
		return true
	}
	g.closed++
	return false
}

// Busy reports whether this box closes new connections, so that it should take no other work either.
func (g *Guard) Busy() bool { return g.Status().Share < 1 }

// Status returns the current state.
func (g *Guard) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.update()
	return Status{Load: g.last, Share: g.controller.accepting(), Closed: g.closed}
}

// update takes the load of the last interval if it has ended. The caller holds g.mu.
func (g *Guard) update() {
	if l, ok := g.Meter.Take(); ok {
		g.last = l
		g.controller.update(l)
	}
}
