package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/status"
)

// Status returns the state of this box.
func (g *Gateway) Status() status.Gateway {
	now := g.now()
	s := status.Gateway{Box: g.ID.Name, Version: g.Version(), ConfirmedAge: status.Ms(g.ConfirmedAge()), Members: g.Members(), Running: g.Running(), Draining: g.Draining(), Tunnels: g.Paths.Tunnels(), Writes: g.writes.Status(), Bodies: g.intake.Status(), Answers: g.answers.Status(), Forecasts: g.forecastStatus(now), Returning: g.returning.Status(), Streams: g.streams.Status(), Suspects: g.suspects.Status()}
	overdue := g.OverdueStatus()
	for _, e := range g.pools.list() {
		s.Pools = append(s.Pools, g.poolStatus(now, e, overdue))
	}
	slices.SortFunc(s.Pools, func(a, b status.Pool) int { return cmp.Compare(a.Pool, b.Pool) })
	return s
}

func (g *Gateway) poolStatus(now time.Time, e *pool, overdue map[string]batch.OverdueStatus) status.Pool {
	e.mu.Lock()
	servers, builds := e.picker.Size(), e.picker.Builds()
	e.mu.Unlock()
	x := g.index.Load()
	waits, _ := g.waitsIn(now, e.name)
	out := status.Pool{Pool: e.name, Servers: servers, Builds: builds, Contended: x != nil && x.Contended(e.name), Wait: status.Ms(waits.All), NoPath: g.Paths.Table.Lost(e.name), Connections: g.connectionShare(e.name)}
	if e.speeds.InForce() {
		s := e.speeds.Status(now)
		out.Speeds = &s
	}
	if s, ok := overdue[e.name]; ok {
		out.Overdue = &s
	}
	return out
}

func (g *Gateway) forecastStatus(now time.Time) []status.Forecast {
	names := map[uint64]string{}
	if x := g.index.Load(); x != nil {
		for _, p := range x.Catalog().Pipelines {
			names[catalog.Hash(p.Name)] = p.Name
		}
	}
	var out []status.Forecast
	for _, c := range g.calibration.Status(now) {
		out = append(out, status.Forecast{Pipeline: names[c.Pipeline], ClassStatus: c})
	}
	return out
}
