package gateway

import (
	"context"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/pace"
)

// paceServer returns the id and incarnation of a listed server.
func paceServer(s *catalog.Server) pace.Server {
	return pace.Server{ID: s.ID, Hash: catalog.Hash(s.ID), Incarnation: int64(s.Incarnation)}
}

func paceServers(list []*catalog.Server) []pace.Server {
	out := make([]pace.Server, len(list))
	for i, s := range list {
		out[i] = paceServer(s)
	}
	return out
}

// applySpeeds puts the speeds of each pool in force where the settings and the pool call for it, and reports changes.
func (g *Gateway) applySpeeds(context.Context) {
	now, boxes, x := g.now(), len(g.fleet.usable()), g.index.Load()
	for _, e := range g.pools.list() {
		changes := e.speeds.Apply(now, boxes, x != nil && x.Contended(e.name))
		e.mu.Lock()
		if inForce := e.speeds.InForce(); inForce != e.usesSpeeds {
			e.usesSpeeds = inForce
			e.useSpeeds(g)
		}
		e.mu.Unlock()
		for _, c := range changes {
			g.Log.Info("server speed changed", "server", c.Server.ID, "incarnation", c.Server.Incarnation, "pool", e.name, "before", c.Before, "after", c.After, "reported", c.Reported, "samples", c.Samples, "age_ms", c.Age.Milliseconds())
		}
		if g.Observer.Paced != nil && e.speeds.InForce() {
			g.Observer.Paced(e.name, e.speeds.Status(now), len(changes))
		}
	}
}

// fillPace adds what the other boxes need to know of speeds to a heartbeat. One-way messages, which go to many boxes at
// once, carry none.
func (g *Gateway) fillPace(now time.Time, b *core.Beat) {
	var n core.PaceNote
	for _, e := range g.pools.list() {
		if !b.News {
			e.speeds.Fill(now, &n)
		}
	}
	if len(n.Speeds)+len(n.Rates) > 0 {
		b.Pace = &n
	}
}

// useSpeeds has the choice of servers use their speeds or not, as is in force. e.mu is held.
func (e *pool) useSpeeds(g *Gateway) {
	e.picker.SpeedOf, e.picker.Rates = nil, nil
	if e.usesSpeeds {
		e.picker.SpeedOf = func(now time.Time, s *catalog.Server) pace.Speed {
			return e.speeds.Speed(now, s.ID, int64(s.Incarnation))
		}
		e.picker.Rates = func() pace.Rates { return e.speeds.Rates(g.now()) }
	}
}
