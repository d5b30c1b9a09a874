package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/port"
	"github.com/stilemast/stilemast/src/pushback"
	"github.com/stilemast/stilemast/src/quota"
)

// permits are the permits that this box grants at servers with a limit, and what it knows of the boxes that grant others.
type permits struct {
	mu      sync.Mutex
	limiter quota.Limiter
	unable  map[string]time.Time // boxes that know no limits, and until when they are passed over
	silent  map[string]time.Time // boxes that did not answer, and until when they are not asked
}

func (p *permits) init() { p.unable, p.silent = map[string]time.Time{}, map[string]time.Time{} }

var (
	errNoCoordinator  = errors.New("no box is known that coordinates the server")
	errCoordinatorOff = errors.New("the coordinator did not answer lately")
)

// coordinatorOf is the box that grants the permits of a server, since no box sees what all of them send: the scheduler of a pool whose
// calls one box forms, which so needs no message; otherwise the first by rendezvous hash on the server, so that many servers have many
// coordinators.
func (g *Gateway) coordinatorOf(pool, server string, passed map[string]bool) string {
	if x := g.index.Load(); x != nil {
		if p := x.Pool(pool); p != nil && p.Batch != nil {
			return g.schedulerOf(pool, passed)
		}
	}
	if !g.Settings.SharedBatches {
		return g.ID.Name
	}
	return g.fleet.coordinatorOf(g.now(), server, passed)
}

// limitAt gives the limit in force at a server; false for none.
func (g *Gateway) limitAt(s catalog.Server) (pushback.ActiveLimit, bool) {
	if !g.words.any.Load() {
		return pushback.ActiveLimit{}, false
	}
	w := &g.words
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.register.LimitOf(g.now(), wordLife(s))
}

// limitRate is the requests a second that all boxes may send to a server, 0 for no limit.
func (g *Gateway) limitRate(s *catalog.Server) float64 {
	l, _ := g.limitAt(*s)
	return l.Rate
}

// takePermit gets a request a permit of a server, within its patience. It gives when the permit begins; false when
// there is none, and the server is not chosen again until one is free.
func (g *Gateway) takePermit(ctx context.Context, s catalog.Server, owner string, patience time.Duration) (time.Time, bool) {
	now := g.now()
	l, limited := g.limitAt(s)
	if !limited {
		return now, true
	}
	has := false
	g.words.with(func(r *pushback.Register) { has = r.HasPermit(now, wordLife(s), owner) })
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
	news := false
	g.words.with(func(r *pushback.Register) {
		news = r.MergeNote(now, noteFrom(a.Limit))
		r.AddPermits(now, s.ID, owner, a.N, a.Begin, a.Next)
	})
	if news {
		g.announceLimits()
	}
	line := []any{"server", s.ID, "pool", s.Pool, "what", owner, "limit", l.Rate, "known_ms", l.Known.Milliseconds(), "coordinator", box, "patience_ms", patience.Milliseconds(),
		"permits", a.N, "begin_ms", a.Begin.Milliseconds(), "next_ms", a.Next.Milliseconds(), "took_ms", took.Milliseconds()}
	if err != nil {
		line = append(line, "cause", err.Error())
	}
	g.Log.Info("permit asked for", line...)
	if g.Watch.Permitted != nil {
		g.Watch.Permitted(s.Pool, a.N > 0)
	}
	return now.Add(a.Begin), a.N > 0
}

// askCoordinator asks the coordinator of a server. The next one is asked where a box knows no limits, names another, or does not answer.
func (g *Gateway) askCoordinator(ctx context.Context, s catalog.Server, q port.AskPermits) (string, port.Permits, error) {
	passed := g.permits.passedOver(g.now())
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
		case a == nil: // a box of an earlier release
			g.permits.passOver(box, g.now().Add(unableFor))
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

// askBox asks a box for permits; nil without an error when it knows no limits.
func (g *Gateway) askBox(ctx context.Context, box string, q port.AskPermits) (*port.Permits, error) {
	if box == g.ID.Name {
		a := g.permitsOf(ctx, q)
		return &a, nil
	}
	address := g.fleet.addressOf(box)
	if address == "" {
		return nil, errNoCoordinator
	}
	if !g.permits.mayAsk(box, g.now()) {
		return nil, errCoordinatorOff
	}
	ctx, cancel := context.WithTimeout(ctx, coordinatorPatience)
	defer cancel()
	a, err := g.Peers.Ask(ctx, address, port.Question{Permits: &q})
	if err != nil {
		g.permits.noAnswer(box, g.now().Add(coordinatorPause))
		return nil, err
	}
	return a.Permits, nil
}

// permitsOf answers a question for permits.
func (g *Gateway) permitsOf(ctx context.Context, q port.AskPermits) port.Permits {
	now := g.now()
	note := noteFrom(q.Limit)
	box, standsIn := g.grants(ctx, q)
	if box != g.ID.Name {
		return port.Permits{Coordinator: box, Next: coordinatorPause}
	}
	news, limited := false, false
	var l pushback.ActiveLimit
	g.words.with(func(r *pushback.Register) {
		news = r.MergeNote(now, note)
		l, limited = r.LimitOf(now, note.Server)
	})
	if news {
		g.announceLimits()
	}
	if !limited { // it ended, as this box has heard
		return port.Permits{N: max(1, q.Wants), Limit: noteOf(l.LimitNote)}
	}
	a := quota.PermitRequest{Server: l.Server.ID, Incarnation: l.Server.Incarnation, PerSecond: l.Rate, Known: max(q.Known, l.Known), Patience: q.Patience, Wants: q.Wants, Substitute: standsIn}
	part := g.fleet.inSight(now)
	g.permits.mu.Lock()
	t := g.permits.limiter.Take(now, a, part)
	g.permits.mu.Unlock()
	return port.Permits{N: t.Permits, Begin: t.Begin, Next: t.Next, Limit: noteOf(l.LimitNote)}
}

// grants is the box that should answer a question for permits, and whether it stands in for the coordinator. This one does where it is
// the next, and the coordinator answers neither the asker nor this box.
func (g *Gateway) grants(ctx context.Context, q port.AskPermits) (box string, standsIn bool) {
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

// inSight is the part of the boxes that may be running which this box can see. Those that it lost a moment ago may go on at the
// other side of a partition, with a coordinator of their own.
func (f *fleet) inSight(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := max(1, len(f.usableNow))
	return float64(n) / float64(n+f.core.RecentlyLost(now, seenLately))
}

// passOver takes a box out of the choice of coordinators: it knows no limits.
func (p *permits) passOver(box string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unable[box] = until
}

// passedOver lists the boxes that know no limits.
func (p *permits) passedOver(now time.Time) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]bool{}
	for box, until := range p.unable {
		if now.Before(until) {
			out[box] = true
		} else {
			delete(p.unable, box)
		}
	}
	return out
}

// noAnswer notes that a box did not answer. It stays the coordinator: another one beside it would double what a server gets.
func (p *permits) noAnswer(box string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent[box] = until
}

// mayAsk says whether a box answered lately, as far as this one asked.
func (p *permits) mayAsk(box string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.silent[box]) {
		return false
	}
	delete(p.silent, box)
	return true
}

func (p *permits) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.Sweep(now)
}
