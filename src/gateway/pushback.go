package gateway

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/pushback"
)

// ErrServerRests says that nothing was sent, since the server asked this box for rest or takes no more requests now.
var ErrServerRests = errors.New("the server asked for rest")

// words holds what servers said of themselves, under a lock that is taken only while anything is known.
type words struct {
	any atomic.Bool

	mu       sync.Mutex
	register pushback.Register
}

// with does something to the register and notes whether anything is known after it.
func (w *words) with(do func(r *pushback.Register)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	do(&w.register)
	w.any.Store(!w.register.Empty())
}

// judge says what a server's own words leave open for it.
func (w *words) judge(now time.Time, s catalog.Server) pushback.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.register.Check(now, wordLife(s))
}

// begin judges a server just before the first byte of a request goes there.
func (w *words) begin(now time.Time, s catalog.Server, owner string) pushback.Verdict {
	if !w.any.Load() {
		return pushback.Verdict{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.register.Begin(now, wordLife(s), owner)
}

// giveBack leaves the permit of a request that was not sent to others.
func (w *words) giveBack(id, owner string) {
	if w.any.Load() {
		w.with(func(r *pushback.Register) { r.ReleasePermit(id, owner) })
	}
}

// wordLife names the life of a listed server.
func wordLife(s catalog.Server) pushback.Server {
	return pushback.Server{ID: s.ID, Incarnation: int64(s.Incarnation)}
}

// restsUntil is until when a server may be sent nothing, zero when it may now. The choice asks for each server: while nothing is
// known it costs no clock and no lock, and a choice among 600 servers 151 us in place of 224, as without words (BenchmarkChoice).
func (g *Gateway) restsUntil(s *catalog.Server) time.Time {
	if !g.words.any.Load() {
		return time.Time{}
	}
	return g.words.judge(g.now(), *s).Until
}

// leaves says whether a server, as it is listed, said that it leaves.
func (g *Gateway) leaves(s catalog.Server) bool {
	return g.words.any.Load() && g.words.judge(g.now(), s).State == pushback.Leaving
}

// hear takes what the answer of a server says of it. what names the exchange, for logs; sent is when it began, zero where no answer
// of that server came.
func (g *Gateway) hear(s catalog.Server, w pushback.Signals, what string, sent time.Time) {
	if w == (pushback.Signals{}) && !g.words.any.Load() {
		return
	}
	if w.Limit != 0 || !sent.IsZero() {
		g.hearLimit(s, w.Limit, sent, what)
	}
	now := g.now()
	var until time.Time
	leaves, rests := false, false
	g.words.with(func(r *pushback.Register) {
		if w.Leaving {
			leaves = r.RecordLeaving(now, wordLife(s))
		}
		if w.Rest > 0 {
			until, rests = r.RecordRest(now, s.ID, w.Rest)
		} else {
			r.RecordResponse(now, s.ID)
		}
	})
	if rests {
		g.Log.Info("server asks for rest", "server", s.ID, "pool", s.Pool, "what", what, "asks_ms", w.Rest.Milliseconds(), "rests_ms", until.Sub(now).Milliseconds())
		g.watchWord(s.Pool, wordRest)
	}
	if leaves {
		g.takeDepartures([]catalog.Server{s}, what)
	}
}

// The words of servers, for metrics.
const (
	wordLeaving = "leaving"
	wordRest    = "rest"
	wordLimit   = "limit"
)

func (g *Gateway) watchWord(pool, word string) {
	if g.Watch.Said != nil {
		g.Watch.Said(pool, word)
	}
}

// takeDepartures takes servers out of use that are known to leave from now on, and has all boxes told.
func (g *Gateway) takeDepartures(list []catalog.Server, from string) {
	var changed []catalog.Changed
	for i, s := range list {
		changed = append(changed, catalog.Changed{ID: s.ID, Pool: s.Pool})
		g.watchWord(s.Pool, wordLeaving)
		if i < serverLines {
			g.Log.Info("server says that it leaves", "server", s.ID, "incarnation", s.Incarnation, "pool", s.Pool, "from", from, "list_age_ms", g.published.listAge(g.now()).Milliseconds())
		}
	}
	g.applyChanged(changed)
	g.announce()
}

// departures tells of servers that said that they leave, as long as the list of this box names them as ones that take work.
func (g *Gateway) departures() []core.LeavingNote {
	if !g.words.any.Load() {
		return nil
	}
	p := &g.published
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []core.LeavingNote
	g.words.with(func(r *pushback.Register) {
		for _, s := range r.LeavingServers(p.named) {
			out = append(out, core.LeavingNote{Server: s.ID, Incarnation: uint64(s.Incarnation)})
		}
	})
	return out
}

// named says whether a server is listed as one that takes work, or used without an entry. p.mu is held.
func (p *published) named(id string) bool {
	if s := p.list.Get(id); s != nil && s.AcceptsWork() {
		return true
	}
	_, works := p.registry.Get(id)
	return works
}

// hearDepartures takes from another box which servers said that they leave.
func (g *Gateway) hearDepartures(notes []core.LeavingNote, from string) {
	if len(notes) == 0 {
		return
	}
	now := g.now()
	news := map[string]catalog.Server{}
	g.words.with(func(r *pushback.Register) {
		for _, n := range notes[:min(len(notes), pushback.MaxNotes)] {
			s := pushback.Server{ID: n.Server, Incarnation: int64(n.Incarnation)}
			if r.RecordLeaving(now, s) {
				news[s.ID] = catalog.Server{ID: s.ID, Incarnation: catalog.Incarnation(s.Incarnation)}
			}
		}
	})
	if len(news) == 0 {
		return
	}
	p := &g.published
	p.mu.Lock()
	for id := range news {
		if s, ok := p.registry.Get(id); ok {
			news[id] = *s
		}
	}
	p.mu.Unlock()
	g.takeDepartures(slices.Collect(maps.Values(news)), from)
}

// sweepWords forgets words that are of no use any more.
func (g *Gateway) sweepWords(now time.Time) {
	if !g.words.any.Load() {
		return
	}
	p := &g.published
	p.mu.Lock()
	defer p.mu.Unlock()
	g.words.with(func(r *pushback.Register) {
		r.Sweep(now, func(id string) bool { return p.list.Get(id) != nil })
	})
}
