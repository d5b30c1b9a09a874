package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/duties"
	"github.com/stilemast/stilemast/src/exclusion"
	"github.com/stilemast/stilemast/src/port"
	"github.com/stilemast/stilemast/src/pushback"
	"github.com/stilemast/stilemast/src/quota"
)

// permits holds the permits that this box grants at servers with a limit, and which other boxes can't grant
// any.
type permits struct {
	mu          sync.Mutex
	limiter     quota.Limiter
	unsupported exclusion.Set // boxes without limit support, which are not chosen
	// Boxes that did not answer are not asked. They remain coordinators: a second one beside it would double the
	// requests that a server gets.
	silent exclusion.Set
}

var (
	errNoCoordinator  = errors.New("the server's coordinator is not known")
	errCoordinatorOff = errors.New("the coordinator did not answer recently")
)

// coordinatorOf returns the box that grants the permits of a server; no single box sees the requests of all.
// For a pool with batches it is the pool's scheduler, which then needs no message. Otherwise it is chosen by
// rendezvous hash on the server, which spreads many servers over many coordinators.
func (g *Gateway) coordinatorOf(pool, server string, passed map[string]bool) string {
	if x := g.index.Load(); x != nil {
		if p := x.Pool(pool); p != nil && p.Batch != nil {
			return g.schedulerOf(pool, passed)
		}
	}
	if !g.Settings.SharedBatches {
		return g.ID.Name
	}
	return withRoster(&g.fleet, func(r *duties.Roster) string { return r.CoordinatorOf(g.now(), pool, server, passed) })
}

// limitAt returns the limit in force at a server; false for none.
func (g *Gateway) limitAt(s catalog.Server) (pushback.ActiveLimit, bool) {
	if !g.signals.Any() {
		return pushback.ActiveLimit{}, false
	}
	return g.signals.LimitOf(g.now(), signalServer(s))
}

// limitRate returns the requests per second that all boxes together may send to a server, 0 for no limit.
func (g *Gateway) limitRate(s *catalog.Server) float64 {
	l, _ := g.limitAt(*s)
	return l.Rate
}

// initBrittle connects the tracker of brittle servers to this box.
func (g *Gateway) initBrittle() {
	t := &g.brittle
	t.Self, t.Now, t.Log, t.Announce = g.ID.Name, g.now, g.Log, g.announceLimits
	t.Coordinator = func(pool, server string) string { return g.coordinatorOf(pool, server, nil) }
	t.Ask = func(ctx context.Context, box string, q port.AskPlace) (*port.Place, error) {
		a, err := g.Peers.Ask(ctx, g.fleet.addressOf(box), port.Question{Place: &q})
		return a.Place, err
	}
}

// takePermit gets what a request needs to be sent to a server, within its patience: a permit, and a place if the server is
// brittle. It returns when the permit begins, or false; the server is then not chosen again until one is free.
func (g *Gateway) takePermit(ctx context.Context, s catalog.Server, owner string, priority int, patience time.Duration) (time.Time, bool) {
	begin, ok := g.takeRatePermit(ctx, s, owner, patience)
	if ok && !g.brittle.Acquire(ctx, &s, owner, priority, patience) {
		g.signals.ReleasePermit(s.ID, owner)
		return begin, false
	}
	return begin, ok
}

// takeRatePermit gets a permit of a server that limits its requests.
func (g *Gateway) takeRatePermit(ctx context.Context, s catalog.Server, owner string, patience time.Duration) (time.Time, bool) {
	now := g.now()
	l, limited := g.limitAt(s)
	if !limited {
		return now, true
	}
	has := false
	g.signals.With(func(r *pushback.Register) { has = r.HasPermit(now, signalServer(s), owner) })
	if has {
		return now, true
	}
	box, a, err := g.askCoordinator(ctx, s, port.AskPermits{
		From: g.ID.Name, Pool: s.Pool, Limit: noteOf(l.LimitNote), Known: l.Known, Patience: patience, Wants: l.Wants,
	})
	took := g.now().Sub(now)
	if now = g.now(); err != nil {
		a = port.Permits{Next: coordinatorPause}
	}
	updated := false
	g.signals.With(func(r *pushback.Register) {
		updated = r.MergeNote(now, noteFrom(a.Limit))
		r.AddPermits(now, s.ID, owner, a.N, a.Begin, a.Next)
	})
	if updated {
		g.announceLimits()
	}
	line := []any{"server", s.ID, "pool", s.Pool, "what", owner, "limit", l.Rate, "known_ms", l.Known.Milliseconds(), "coordinator", box, "patience_ms", patience.Milliseconds(),
		"permits", a.N, "begin_ms", a.Begin.Milliseconds(), "next_ms", a.Next.Milliseconds(), "took_ms", took.Milliseconds()}
	if err != nil {
		line = append(line, "cause", err.Error())
	}
	g.Log.Info("permit requested", line...)
	if g.Observer.Permitted != nil {
		g.Observer.Permitted(s.Pool, a.N > 0)
	}
	return now.Add(a.Begin), a.N > 0
}

// askCoordinator asks the coordinator of a server for a permit. It asks the next box if the first has no
// limit support, names another one, or does not answer.
func (g *Gateway) askCoordinator(ctx context.Context, s catalog.Server, q port.AskPermits) (string, port.Permits, error) {
	passed := g.permits.unsupported.Names(g.now())
	box := g.coordinatorOf(s.Pool, s.ID, passed)
	var last error
	for range coordinatorsAsked {
		q.Passed = slices.Sorted(maps.Keys(passed))
		a, err := g.askBox(ctx, box, q)
		switch {
		case err != nil && q.Silent == "":
			q.Silent, last = box, err
			passed[box] = true
			box = g.coordinatorOf(s.Pool, s.ID, passed)
			delete(passed, q.Silent)
		case err != nil:
			return box, port.Permits{}, err
		case a == nil: // a release without limit support
			g.permits.unsupported.Add(g.now(), box, unableFor)
			passed[box] = true
			box = g.coordinatorOf(s.Pool, s.ID, passed)
		case a.Coordinator == "":
			return box, *a, nil
		default:
			box, last = a.Coordinator, errNoCoordinator
		}
	}
	return box, port.Permits{}, last
}

// askBox asks a box for permits; the result is nil without an error if it has no limit support.
func (g *Gateway) askBox(ctx context.Context, box string, q port.AskPermits) (*port.Permits, error) {
	if box == g.ID.Name {
		a := g.grantPermits(ctx, q)
		return &a, nil
	}
	address := g.fleet.addressOf(box)
	if address == "" {
		return nil, errNoCoordinator
	}
	if g.permits.silent.Has(g.now(), box) {
		return nil, errCoordinatorOff
	}
	ctx, cancel := context.WithTimeout(ctx, coordinatorPatience)
	defer cancel()
	a, err := g.Peers.Ask(ctx, address, port.Question{Permits: &q})
	if err != nil {
		g.permits.silent.Add(g.now(), box, coordinatorPause)
		return nil, err
	}
	return a.Permits, nil
}

// grantPermits answers a request for permits.
func (g *Gateway) grantPermits(ctx context.Context, q port.AskPermits) port.Permits {
	now := g.now()
	note := noteFrom(q.Limit)
	box, standsIn := g.permitGranter(ctx, q)
	if box != g.ID.Name {
		return port.Permits{Coordinator: box, Next: coordinatorPause}
	}
	updated, limited := false, false
	var l pushback.ActiveLimit
	g.signals.With(func(r *pushback.Register) {
		updated = r.MergeNote(now, note)
		l, limited = r.LimitOf(now, note.Server)
	})
	if updated {
		g.announceLimits()
	}
	if !limited { // this box knows that the limit ended
		return port.Permits{N: max(1, q.Wants), Limit: noteOf(l.LimitNote)}
	}
	a := quota.PermitRequest{Server: l.Server.ID, Incarnation: l.Server.Incarnation, PerSecond: l.Rate, Known: max(q.Known, l.Known), Patience: q.Patience, Wants: q.Wants, Substitute: standsIn}
	part := g.fleet.reachableShare(now)
	g.permits.mu.Lock()
	t := g.permits.limiter.Take(now, a, part)
	g.permits.mu.Unlock()
	return port.Permits{N: t.Permits, Begin: t.Begin, Next: t.Next, Limit: noteOf(l.LimitNote)}
}

// permitGranter returns the box that should answer a request for permits, and whether it answers in place of
// the coordinator. This box does so if it is next in rank and the coordinator answers neither the asking box
// nor this one.
func (g *Gateway) permitGranter(ctx context.Context, q port.AskPermits) (box string, standsIn bool) {
	passed := map[string]bool{}
	for _, b := range q.Passed {
		passed[b] = true
	}
	box = g.coordinatorOf(q.Pool, q.Limit.Server, passed)
	if box == g.ID.Name || box != q.Silent {
		return box, false
	}
	passed[box] = true
	if next := g.coordinatorOf(q.Pool, q.Limit.Server, passed); next != g.ID.Name {
		return next, false
	}
	if _, err := g.askBox(ctx, box, port.AskPermits{From: g.ID.Name, Pool: q.Pool, Limit: q.Limit, Patience: -1}); err == nil {
		return box, false
	}
	return g.ID.Name, true
}

// reachableShare returns the share of the possibly running boxes that this box can reach. Boxes lost recently may
// still run on the other side of a partition, with a coordinator of their own.
func (f *fleet) reachableShare(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := max(1, len(f.usableNow))
	return float64(n) / float64(n+f.core.RecentlyLost(now, possiblyAliveFor))
}

func (p *permits) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.Sweep(now)
}
