package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/pushback"
	"github.com/stilemast/stilemast/src/suspects"
)

// desk holds the schedulers of the pools that this box forms calls for.
type desk struct {
	gateway *Gateway

	mu  sync.Mutex
	all map[string]*scheduler
}

type scheduler struct {
	mu      sync.Mutex
	core    *batch.Scheduler
	pool    string
	usedAt  time.Time
	heldAt  time.Time // when calls were last put off for a handover
	givenAt time.Time // when another box last handed the pool over to this one
	foreign bool      // another box had the pool when this one last looked
}

// keeps says whether another box has just handed the pool over.
func (s *scheduler) keeps(now time.Time) bool { return now.Sub(s.givenAt) < handoverKeeps }

func (d *desk) init(g *Gateway) {
	d.gateway = g
	d.all = map[string]*scheduler{}
}

// get gives the scheduler of a pool, made on the first job; nil when the pool makes no pieces.
func (d *desk) get(pool string) *scheduler {
	x := d.gateway.index.Load()
	if x == nil {
		return nil
	}
	p := x.Pool(pool)
	if p == nil || p.Batch == nil {
		return nil
	}
	d.mu.Lock()
	s := d.all[pool]
	if s != nil {
		d.mu.Unlock()
		return s
	}
	s = &scheduler{core: batch.NewScheduler(d.gateway.ID.Name, *p), pool: pool, foreign: true}
	s.core.VerdictOf, s.core.RestsUntil, s.core.LimitOf = d.gateway.suspects.Verdict, d.gateway.restsUntil, d.gateway.limitRate
	d.all[pool] = s
	d.mu.Unlock()
	d.open(s, *p)
	return s
}

// open gives a new scheduler its servers; changes that come meanwhile wait, so that none is missed.
func (d *desk) open(s *scheduler, limits catalog.Pool) {
	g := d.gateway
	g.published.applying.Lock()
	defer g.published.applying.Unlock()
	servers := g.published.serversOf(s.pool)
	s.mu.Lock()
	a := s.core.Configure(g.now(), limits, servers)
	s.mu.Unlock()
	g.Log.Info("scheduler opened", "pool", s.pool, "servers", len(servers))
	d.carry(s, a)
}

func (d *desk) list() []*scheduler {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*scheduler, 0, len(d.all))
	for _, s := range d.all {
		out = append(out, s)
	}
	return out
}

// configure gives all schedulers their servers and limits. A pool that is not named has none.
func (d *desk) configure(servers map[string][]*catalog.Server) {
	for _, s := range d.list() {
		if limits, ok := d.limitsOf(s.pool); ok {
			s.mu.Lock()
			a := s.core.Configure(d.gateway.now(), limits, servers[s.pool])
			s.mu.Unlock()
			d.carry(s, a)
		}
	}
}

// takeLimits gives all schedulers the limits of the configuration in force.
func (d *desk) takeLimits() {
	for _, s := range d.list() {
		if limits, ok := d.limitsOf(s.pool); ok {
			s.mu.Lock()
			a := s.core.SetLimits(d.gateway.now(), limits)
			s.mu.Unlock()
			d.carry(s, a)
		}
	}
}

// change takes a change of a pool's servers that take new work.
func (d *desk) change(pool string, c *poolChange) {
	d.mu.Lock()
	s := d.all[pool]
	d.mu.Unlock()
	if s == nil {
		return
	}
	s.mu.Lock()
	a := s.core.UpdateServers(d.gateway.now(), c.put, c.gone)
	s.mu.Unlock()
	d.carry(s, a)
}

// limitsOf gives the limits of a pool; false when it makes no pieces.
func (d *desk) limitsOf(pool string) (catalog.Pool, bool) {
	x := d.gateway.index.Load()
	if x == nil || x.Pool(pool) == nil || x.Pool(pool).Batch == nil {
		return catalog.Pool{}, false
	}
	return *x.Pool(pool), true
}

// handOverAll passes on the pools that other boxes schedule now.
func (d *desk) handOverAll() {
	for _, s := range d.list() {
		d.handOver(s)
	}
}

func (d *desk) tick(context.Context) {
	d.handOverAll()
	for _, s := range d.list() {
		s.mu.Lock()
		a := s.core.Tick(d.gateway.now())
		s.mu.Unlock()
		d.carry(s, a)
	}
}

// handOver passes a pool on that another box schedules now.
func (d *desk) handOver(s *scheduler) {
	g := d.gateway
	next := g.schedulerOf(s.pool, nil)
	if next == g.ID.Name {
		return
	}
	now := g.now()
	s.mu.Lock()
	if s.keeps(now) && !g.Draining() { // the giver knew better: giving it back would start a circle
		s.mu.Unlock()
		return
	}
	s.foreign = true
	h, a := s.core.HandOver(now, next)
	s.mu.Unlock()
	g.fleet.disclaim(s.pool)
	d.carry(s, a)
	if !h.Empty() {
		g.Log.Info("scheduler handed over", "pool", s.pool, "to", next, "results", len(h.Held), "calls", len(h.Busy), "jobs", len(a.Replies))
		g.tell(next, batch.Message{Handover: &h})
	}
}

func (d *desk) takeOver(h batch.Handover) {
	s := d.get(h.Pool)
	if s == nil {
		return
	}
	now := d.gateway.now()
	s.mu.Lock()
	s.givenAt, s.foreign = now, false
	s.core.TakeOver(now, h)
	s.mu.Unlock()
	d.gateway.fleet.claim(h.Pool)
}

// take serves a message of an owner.
func (d *desk) take(m batch.Message) {
	switch {
	case m.Submit != nil:
		d.submit(m.Submit)
	case m.Confined != nil:
		d.submit(m.Confined)
	case m.Withdraw != nil:
		d.withdraw(*m.Withdraw)
	case m.Free != nil:
		d.free(*m.Free)
	case m.Held != nil:
		d.hold(*m.Held)
	case m.Handover != nil:
		d.takeOver(*m.Handover)
	}
}

func (d *desk) submit(j *batch.Submit) {
	s := d.get(j.Pool)
	if s == nil {
		d.reply(batch.Reply{Box: j.ID.Box, Message: batch.Message{Failed: &batch.Failed{ID: j.ID, Reason: batch.NoPool}}})
		return
	}
	now := d.gateway.now()
	d.gateway.fleet.toldSilent(now, j.Silent, j.ID.Box)
	elsewhere := d.gateway.schedulerOf(j.Pool, nil)
	if elsewhere == d.gateway.ID.Name {
		elsewhere = ""
	}
	s.mu.Lock()
	s.usedAt = now
	if s.keeps(now) && !d.gateway.Draining() {
		elsewhere = ""
	}
	if elsewhere == "" && s.foreign && now.Sub(s.heldAt) > handoverAgain {
		s.heldAt = now
		s.core.HoldUntil(now.Add(handoverWait))
	}
	s.foreign = elsewhere != ""
	a := s.core.Submit(now, j.Job(now), elsewhere)
	s.mu.Unlock()
	if elsewhere == "" {
		d.gateway.fleet.claim(j.Pool)
	}
	d.carry(s, a)
}

func (d *desk) withdraw(w batch.Withdraw) {
	d.with(w.Pool, func(now time.Time, s *batch.Scheduler) batch.Actions { return s.Withdraw(now, w.ID) })
}

func (d *desk) free(f batch.Free) {
	d.with(f.Pool, func(now time.Time, s *batch.Scheduler) batch.Actions {
		s.Free(now, f.Results)
		return batch.Actions{}
	})
}

func (d *desk) hold(h batch.Held) {
	d.with(h.Pool, func(now time.Time, s *batch.Scheduler) batch.Actions {
		s.AddHeld(now, h.Results)
		return batch.Actions{}
	})
}

// with has the scheduler of a pool do something under its lock, and carries out what follows; nothing when
// the pool makes no pieces.
func (d *desk) with(pool string, do func(now time.Time, s *batch.Scheduler) batch.Actions) {
	s := d.get(pool)
	if s == nil {
		return
	}
	s.mu.Lock()
	a := do(d.gateway.now(), s.core)
	s.mu.Unlock()
	d.carry(s, a)
}

// carry carries a scheduler's actions out.
func (d *desk) carry(s *scheduler, a batch.Actions) {
	for _, r := range a.Replies {
		d.reply(r)
	}
	for _, f := range a.Frees {
		go d.freeAt(f)
	}
	for _, c := range a.Calls {
		go d.call(s, c)
	}
}

func (d *desk) freeAt(f batch.FreeCall) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	d.giveUp(ctx, f.Server, f.Handles)
}

// giveUp gives results up at a server, unless it wants nothing now: they are lost by age then. The scheduler keeps them while it
// knows of the rest, so that only a word which came in between has this effect.
func (d *desk) giveUp(ctx context.Context, s catalog.Server, handles []string) {
	g := d.gateway
	owner, v := "results of "+handles[0], pushback.Verdict{State: pushback.Full}
	if _, ok := g.takePermit(ctx, s, owner, 0); ok {
		v = g.words.begin(g.now(), s, owner)
	}
	if !v.Open() {
		g.Log.Info("results not given up at a server that wants nothing", "server", s.ID, "state", v.State.String(), "results", len(handles))
		return
	}
	g.hear(s, g.Backends.FreePieces(ctx, s, handles), "results given up", time.Time{})
}

// call runs one call and tells its scheduler how it ended.
func (d *desk) call(s *scheduler, c batch.Call) {
	g := d.gateway
	began := g.now()
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	owner := fmt.Sprint("call ", c.N)
	r := PieceReply{Outcome: batch.CallWithheld}
	if _, ok := g.takePermit(ctx, c.Server, owner, 0); ok {
		if len(c.Free) > 0 {
			d.giveUp(ctx, c.Server, c.Free)
		}
		r = g.Backends.RunPieces(ctx, PieceCall{Server: c.Server, Items: c.Items, Start: g.startOf(ctx, c.Server, "pieces", owner, began)})
	}
	cancel()
	outcome, results := r.Outcome, r.Results
	sent := began
	if outcome != batch.CallDone && outcome != batch.CallFull {
		sent = time.Time{}
	}
	g.hear(c.Server, r.Said, "pieces", sent)
	d.noteContents(c, outcome, results)
	now := g.now()
	took := now.Sub(began)
	s.mu.Lock()
	a := s.core.CallEnded(now, c.N, outcome, results)
	pending, calls := s.core.Pending()
	s.mu.Unlock()
	late, gone, noRoom, failed := batch.CountReasons(results)
	g.Log.Info("batch ended", "pool", s.pool, "server", c.Server.ID, "pieces", len(c.Items), "outcome", outcome.String(), "took_ms", took.Milliseconds(), "pending", pending, "calls", calls, "late", late, "gone", gone, "no_room", noRoom, "failed", failed, "says_leaving", r.Said.Leaving, "asks_rest_ms", r.Said.Rest.Milliseconds(), "names_limit", r.Said.Limit, "requests", c.Requests())
	if g.Watch.Batched != nil {
		g.Watch.Batched(s.pool, len(c.Items), outcome.String(), took)
	}
	d.carry(s, a)
}

// noteContents tells what the end of a call says of the contents in it.
func (d *desk) noteContents(c batch.Call, outcome batch.CallOutcome, results []batch.ItemResult) {
	g := d.gateway
	switch outcome {
	case batch.CallBroken:
		g.brokeAt(c.Server, contentsOf(c.Items)...)
	case batch.CallAbsent:
		g.suspects.RecordCrash(lifeOf(c.Server), suspects.Refused)
	case batch.CallDone:
		var made []batch.Item
		for i, r := range results[:min(len(results), len(c.Items))] {
			if r.Handle != "" {
				made = append(made, c.Items[i])
			}
		}
		g.suspects.RecordGood(contentsOf(made)...)
	}
}

// reply sends an answer to the owner of a job.
func (d *desk) reply(r batch.Reply) {
	g := d.gateway
	m := r.Message
	m.From, m.Address = g.ID.Name, g.Settings.Address
	if r.Box == g.ID.Name {
		g.waiting.take(m)
		return
	}
	if a := g.fleet.addressOf(r.Box); a != "" {
		g.Peers.Batch(a, m)
	}
}

// waits tells how long pieces wait in the pools that this box schedules.
func (d *desk) waits(now time.Time) []core.WaitNote {
	var out []core.WaitNote
	for _, s := range d.list() {
		s.mu.Lock()
		if now.Sub(s.usedAt) < waitLife {
			w := s.core.Waits(now)
			out = append(out, core.WaitNote{Pool: catalog.Hash(s.pool), Wait: w.All, Steps: w.Steps})
		}
		s.mu.Unlock()
	}
	return out
}

// foreign counts the calls and waiting pieces of this box's schedulers, for a planned stop.
func (d *desk) foreign() int {
	n := 0
	for _, s := range d.list() {
		s.mu.Lock()
		pieces, calls := s.core.Pending()
		s.mu.Unlock()
		n += pieces + calls
	}
	return n
}
