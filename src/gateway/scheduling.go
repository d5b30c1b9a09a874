package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/clock"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/crasher"
	"github.com/stilemast/stilemast/src/exchange"
	"github.com/stilemast/stilemast/src/pushback"
	"github.com/stilemast/stilemast/src/quota"
	"github.com/stilemast/stilemast/src/suspects"
)

// schedulers holds the schedulers of the pools that this box schedules.
type schedulers struct {
	gateway *Gateway

	mu  sync.Mutex
	all map[string]*scheduler
}

// scheduler is the scheduler of one pool.
type scheduler struct {
	mu                 sync.Mutex
	core               *batch.Scheduler
	pool               string
	usedAt             time.Time
	delayedAt          time.Time       // when calls were last delayed for a handover
	receivedAt         time.Time       // when another box last handed the pool over to this one
	scheduledElsewhere bool            // another box was the pool's scheduler at the last check
	probing            map[string]bool // servers that are probed because they can't be reached
}

// justReceived reports whether another box has just handed the pool over to this one.
func (s *scheduler) justReceived(now time.Time) bool {
	return now.Sub(s.receivedAt) < minHoldAfterHandover
}

func (d *schedulers) init(g *Gateway) {
	d.gateway = g
	d.all = map[string]*scheduler{}
}

// get returns the scheduler of a pool, created on first use; nil if the pool has no batches.
func (d *schedulers) get(pool string) *scheduler {
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
	s = &scheduler{core: batch.NewScheduler(d.gateway.ID.Name, *p), pool: pool, scheduledElsewhere: true, probing: map[string]bool{}}
	s.core.VerdictOf = func(k crasher.Key) crasher.Verdict { return d.gateway.suspects.Check(k) }
	s.core.RestsUntil, s.core.LimitOf = d.gateway.restsUntil, d.gateway.limitRate
	d.enableOverdue(s.core, pool)
	s.core.MayYield = func() bool {
		return d.gateway.Settings.Policy.Yielding.Enabled(d.gateway.index.Load().ServesContended(pool))
	}
	s.core.Overtaken = func(jobs int, request string) { d.gateway.recordYielded(pool, "overtaken", jobs, request) }
	d.all[pool] = s
	d.mu.Unlock()
	d.open(s, *p)
	return s
}

// open configures a new scheduler with its servers; concurrent changes wait, so that none is missed.
func (d *schedulers) open(s *scheduler, limits catalog.Pool) {
	g := d.gateway
	g.published.applying.Lock()
	defer g.published.applying.Unlock()
	servers := g.published.serversOf(s.pool)
	s.mu.Lock()
	a := s.core.Configure(g.now(), limits, servers)
	s.mu.Unlock()
	g.Log.Info("scheduler opened", "pool", s.pool, "servers", len(servers))
	d.execute(s, a)
}

func (d *schedulers) list() []*scheduler {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*scheduler, 0, len(d.all))
	for _, s := range d.all {
		out = append(out, s)
	}
	return out
}

// configure sets the servers and limits of all schedulers. A pool missing from the map gets no servers.
func (d *schedulers) configure(servers map[string][]*catalog.Server) {
	for _, s := range d.list() {
		if limits, ok := d.limitsOf(s.pool); ok {
			s.mu.Lock()
			a := s.core.Configure(d.gateway.now(), limits, servers[s.pool])
			s.mu.Unlock()
			d.execute(s, a)
		}
	}
}

// takeLimits sets the limits of all schedulers from the configuration in force.
func (d *schedulers) takeLimits() {
	for _, s := range d.list() {
		if limits, ok := d.limitsOf(s.pool); ok {
			s.mu.Lock()
			a := s.core.SetLimits(d.gateway.now(), limits)
			s.mu.Unlock()
			d.execute(s, a)
		}
	}
}

// change applies a change of a pool's servers that take new work.
func (d *schedulers) change(pool string, c *poolChange) {
	d.mu.Lock()
	s := d.all[pool]
	d.mu.Unlock()
	if s == nil {
		return
	}
	s.mu.Lock()
	a := s.core.UpdateServers(d.gateway.now(), c.put, c.gone)
	s.mu.Unlock()
	d.execute(s, a)
}

// limitsOf returns the limits of a pool; false if it has no batches.
func (d *schedulers) limitsOf(pool string) (catalog.Pool, bool) {
	x := d.gateway.index.Load()
	if x == nil || x.Pool(pool) == nil || x.Pool(pool).Batch == nil {
		return catalog.Pool{}, false
	}
	return *x.Pool(pool), true
}

// handOverAll hands over the pools that other boxes schedule now.
func (d *schedulers) handOverAll() {
	for _, s := range d.list() {
		d.handOver(s)
	}
}

// tick hands pools over and starts the calls that are due.
func (d *schedulers) tick(context.Context) {
	d.handOverAll()
	boxes := d.gateway.fleet.boxes(d.gateway.now()) // not under s.mu, which is locked under that of the fleet
	for _, s := range d.list() {
		s.mu.Lock()
		s.core.Boxes = boxes
		a := s.core.Tick(d.gateway.now())
		s.mu.Unlock()
		d.execute(s, a)
	}
}

// handOver hands a pool over to the box that schedules it now.
func (d *schedulers) handOver(s *scheduler) {
	g := d.gateway
	next := g.schedulerOf(s.pool, nil)
	if next == g.ID.Name {
		return
	}
	now := g.now()
	s.mu.Lock()
	if s.justReceived(now) && !g.Draining() { // handing it back would start a loop, and the box that gave it may know more
		s.mu.Unlock()
		return
	}
	s.scheduledElsewhere = true
	h, a := s.core.HandOver(now, next)
	s.mu.Unlock()
	g.fleet.releaseClaim(s.pool)
	d.execute(s, a)
	if !h.Empty() {
		g.Log.Info("scheduler handed over", "pool", s.pool, "to", next, "results", len(h.Held), "calls", len(h.Busy), "jobs", len(a.Replies))
		g.sendBatch(next, batch.Message{Handover: &h})
	}
}

// takeOver takes a pool over from another box.
func (d *schedulers) takeOver(h batch.Handover) {
	s := d.get(h.Pool)
	if s == nil {
		return
	}
	now := d.gateway.now()
	s.mu.Lock()
	s.receivedAt, s.scheduledElsewhere = now, false
	s.core.TakeOver(now, h)
	s.mu.Unlock()
	d.gateway.fleet.claim(h.Pool)
}

// handleMessage handles a message of a job's owner or of another scheduler.
func (d *schedulers) handleMessage(m batch.Message) {
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

func (d *schedulers) submit(j *batch.Submit) {
	s := d.get(j.Pool)
	if s == nil {
		d.reply(batch.Reply{Box: j.ID.Box, Message: batch.Message{Failed: &batch.Failed{ID: j.ID, Reason: batch.NoPool}}})
		return
	}
	now := d.gateway.now()
	d.gateway.fleet.handleSilenceReport(now, j.Silent, j.ID.Box)
	elsewhere := d.gateway.schedulerOf(j.Pool, nil)
	if elsewhere == d.gateway.ID.Name {
		elsewhere = ""
	}
	s.mu.Lock()
	s.usedAt = now
	if s.justReceived(now) && !d.gateway.Draining() {
		elsewhere = ""
	}
	if elsewhere == "" && s.scheduledElsewhere && now.Sub(s.delayedAt) > handoverAgain {
		s.delayedAt = now
		s.core.HoldUntil(now.Add(handoverWait))
	}
	s.scheduledElsewhere = elsewhere != ""
	a := s.core.Submit(now, j.Job(now), elsewhere)
	s.mu.Unlock()
	if elsewhere == "" {
		d.gateway.fleet.claim(j.Pool)
	}
	d.execute(s, a)
}

func (d *schedulers) withdraw(w batch.Withdraw) {
	d.with(w.Pool, func(now time.Time, s *batch.Scheduler) batch.Actions { return s.Withdraw(now, w.ID) })
}

func (d *schedulers) free(f batch.Free) {
	d.with(f.Pool, func(now time.Time, s *batch.Scheduler) batch.Actions {
		s.Free(now, f.Results)
		return batch.Actions{}
	})
}

func (d *schedulers) hold(h batch.Held) {
	d.with(h.Pool, func(now time.Time, s *batch.Scheduler) batch.Actions {
		s.AddHeld(now, h.Results)
		return batch.Actions{}
	})
}

// with runs a function on the scheduler of a pool under its lock and carries out the resulting actions; it
// does nothing if the pool has no batches.
func (d *schedulers) with(pool string, do func(now time.Time, s *batch.Scheduler) batch.Actions) {
	s := d.get(pool)
	if s == nil {
		return
	}
	s.mu.Lock()
	a := do(d.gateway.now(), s.core)
	s.mu.Unlock()
	d.execute(s, a)
}

// execute executes a scheduler's actions.
func (d *schedulers) execute(s *scheduler, a batch.Actions) {
	for _, r := range a.Replies {
		if f := r.Message.Failed; f != nil && f.Reason == batch.Yielded {
			d.gateway.recordYielded(s.pool, "ended", 1, f.For, "owner", f.ID.Box, "job", f.ID.N)
		}
		d.reply(r)
	}
	for _, f := range a.Frees {
		go d.freeAt(f)
	}
	d.reportOverdue(s.pool, a.Overdue)
	for _, c := range a.Calls {
		go d.call(s, c)
	}
}

// recordYielded logs and counts queued jobs that made room for a more urgent one of a request.
func (g *Gateway) recordYielded(pool, how string, jobs int, request string, more ...any) {
	g.Log.Info("job yielded", append([]any{"pool", pool, "how", how, "jobs", jobs, "for", request}, more...)...)
	if g.Observer.Yielded != nil {
		g.Observer.Yielded(pool, how, jobs)
	}
}

func (d *schedulers) freeAt(f batch.FreeCall) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	d.freeResults(ctx, f.Server, f.Handles)
}

// freeResults frees results at a server, unless it wants no requests now; the results then expire there. The
// scheduler keeps results while it knows that the server wants rest, so this only happens for a signal
// received since.
func (d *schedulers) freeResults(ctx context.Context, s catalog.Server, handles []string) {
	g := d.gateway
	owner, v := "results of "+handles[0], pushback.Verdict{State: pushback.Full}
	if _, ok := g.takePermit(ctx, s, owner, 0, 0); ok {
		v = g.signals.Begin(g.now(), signalServer(s), owner)
	}
	if !v.Open() {
		g.Log.Info("results not freed, server accepts no requests now", "server", s.ID, "state", v.State.String(), "results", len(handles))
		return
	}
	g.recordSignals(s, g.Backends.FreePieces(ctx, s, handles), "results given up", time.Time{})
	g.brittle.Release(&s, owner, quota.PlaceUsed)
}

// call runs one call and reports its end to the scheduler.
func (d *schedulers) call(s *scheduler, c batch.Call) {
	g := d.gateway
	began := g.now()
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	owner := fmt.Sprint("call ", c.N)
	r, sentAt := PieceReply{Outcome: batch.CallWithheld}, began
	if _, ok := g.takePermit(ctx, c.Server, owner, 0, 0); ok {
		if len(c.Free) > 0 {
			d.freeResults(ctx, c.Server, c.Free)
		}
		sentAt = g.now()
		r = g.Backends.RunPieces(ctx, PieceCall{Server: c.Server, Items: c.Items, Share: g.connectionShare(s.pool), Start: g.startCheck(ctx, c.Server, "pieces", owner, began), NewHandles: g.newHandles})
	}
	cancel()
	outcome, results := r.Outcome, r.Results
	g.brittle.Release(&c.Server, owner, callEnd(outcome))
	sent := began
	if outcome != batch.CallDone && outcome != batch.CallFull {
		sent = time.Time{}
	}
	g.recordSignals(c.Server, r.Signals, "pieces", sent)
	d.recordContents(c, outcome, results)
	now := g.now()
	speeds, server := g.pools.get(s.pool).speeds, paceServer(&c.Server)
	speeds.RecordTold(now, server, r.Told)
	if limits, ok := d.limitsOf(s.pool); ok && outcome == batch.CallDone {
		speeds.RecordCall(now, server, r.Told, now.Sub(sentAt), limits.Batch.ExpectedCall(len(c.Items)))
	}
	took := now.Sub(began)
	s.mu.Lock()
	a := s.core.CallEnded(now, c.N, outcome, results)
	pending, calls := s.core.Pending()
	s.mu.Unlock()
	late, gone, noRoom, failed := batch.CountReasons(results)
	if outcome == batch.CallUnreachable {
		go d.awaitServer(s, c.Server)
	}
	g.Log.Info("batch ended", "pool", s.pool, "server", c.Server.ID, "pieces", len(c.Items), "outcome", outcome.String(), "took_ms", took.Milliseconds(), "pending", pending, "calls", calls, "late", late, "gone", gone, "no_room", noRoom, "failed", failed, "says_leaving", r.Signals.Leaving, "asks_rest_ms", r.Signals.Rest.Milliseconds(), "names_limit", r.Signals.Limit, "says_brittle", r.Signals.Brittle, "requests", c.Requests())
	if g.Observer.Batched != nil {
		g.Observer.Batched(s.pool, len(c.Items), outcome.String(), took)
	}
	d.execute(s, a)
}

// callEnd returns what the outcome of a call shows of a brittle server.
func callEnd(o batch.CallOutcome) quota.PlaceEnd {
	switch o {
	case batch.CallFull:
		return quota.PlaceRejected
	case batch.CallBroken, batch.CallAbsent:
		return quota.PlaceFailed
	}
	return quota.PlaceUsed
}

// awaitServer probes a server to which no connection could be opened until one can, and resumes calls to it then: waiting
// pieces are not used to find out.
func (d *schedulers) awaitServer(s *scheduler, v catalog.Server) {
	g := d.gateway
	s.mu.Lock()
	probing := s.probing[v.ID]
	s.probing[v.ID] = true
	s.mu.Unlock()
	if probing {
		return
	}
	began, reached := g.now(), false
	for !reached && g.Backends.Probe != nil && g.now().Sub(began) < maxProbing && g.mayUse(v.ID) && g.schedulerOf(s.pool, nil) == g.ID.Name && g.stages.Err() == nil {
		clock.Sleep(g.stages, probeInterval)
		reached = g.Backends.Probe(g.stages, exchange.Target{Pool: v.Pool, Server: v.ID, Address: v.Address}) == nil
	}
	s.mu.Lock()
	delete(s.probing, v.ID)
	var a batch.Actions
	if reached {
		a = s.core.Resume(g.now(), v.ID)
	}
	s.mu.Unlock()
	g.Log.Info("server probed after a call could not be sent", "pool", s.pool, "server", v.ID, "reached", reached, "took_ms", g.now().Sub(began).Milliseconds())
	d.execute(s, a)
}

// recordContents records what the end of a call shows about the contents in it.
func (d *schedulers) recordContents(c batch.Call, outcome batch.CallOutcome, results []batch.ItemResult) {
	g := d.gateway
	switch outcome {
	case batch.CallBroken:
		g.recordBrokenExchanges(c.Server, c.Contents()...)
	case batch.CallAbsent:
		g.suspects.RecordCrash(serverIncarnation(c.Server), suspects.Refused)
	case batch.CallDone:
		g.suspects.RecordGood(c.ContentsMade(results)...)
	}
}

// reply sends an answer to the owner of a job.
func (d *schedulers) reply(r batch.Reply) {
	g := d.gateway
	m := r.Message
	m.From, m.Address = g.ID.Name, g.Settings.Address
	if r.Box == g.ID.Name {
		g.ownedJobs.take(m)
		return
	}
	if a := g.fleet.addressOf(r.Box); a != "" {
		g.Peers.Batch(a, m)
	}
}

// waits returns the waiting times in the pools that this box schedules.
func (d *schedulers) waits(now time.Time) []core.WaitNote {
	var out []core.WaitNote
	for _, s := range d.list() {
		s.mu.Lock()
		if now.Sub(s.usedAt) < waitNoteValidity {
			w := s.core.Waits(now)
			out = append(out, core.WaitNote{Pool: catalog.Hash(s.pool), Wait: w.All, Steps: w.Steps, Levels: w.Levels})
		}
		s.mu.Unlock()
	}
	return out
}

// pendingWork counts the calls and waiting pieces of this box's schedulers, for a planned stop.
func (d *schedulers) pendingWork() int {
	n := 0
	for _, s := range d.list() {
		s.mu.Lock()
		pieces, calls := s.core.Pending()
		s.mu.Unlock()
		n += pieces + calls
	}
	return n
}

// newHandles reports whether handles are new and remembers them.
func (g *Gateway) newHandles(handles []string) bool { return g.handles.AddNew(g.now(), handles) }
