// Package gateway serves opaque requests: it does not look into them, but decides where each stage
// and the request itself run, what waits and what is refused.
//
//	callers ─► serve.go ─► admission.go ─► stages.go ─► scheduling.go (one box for each pool) ─► pieces
//	                │                                                                          at servers
//	                └────► attempts.go ─► balance.Pool, retry.Budget ─► server ─► relay.go ─► caller
//	platform ─► published.go ─► catalog and servers ◄─► peers (fleet.go: heartbeats, loads, waits)
//
// Decisions lie in the pure packages batch, balance, retry, catalog and core; this package holds the
// state under its locks and carries the decisions out through ports.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
	"github.com/stilemast/stilemast/src/suspects"
)

// Settings are what a gateway is told at its start.
type Settings struct {
	Address       string // where other boxes reach this one
	FailureDomain string // where it stands
	Regions       catalog.Regions
	Seeds         []string // addresses of boxes to begin with; they may be gone
	Capacity      core.Capacity
	RetryRatio    float64
	RetrySlack    float64
	RetryWindow   time.Duration
	Admission     bool // refuse at arrival what can't be in time
	SharedBatches bool // one box forms the calls of a pool; false is a baseline
}

// Gateway is the opaque-request side of one box. Set the exported fields before Run.
type Gateway struct {
	Settings Settings
	ID       core.BoxID
	Backends Backends
	Store    Store
	Peers    port.Peers
	Log      *slog.Logger
	Watch    Watcher
	Clock    func() time.Time // never steps
	Rand     *rand.Rand

	index     atomic.Pointer[catalog.Index]
	published published
	fleet     fleet
	pools     pools
	desk      desk // jobs that this box schedules
	waiting   waiting
	estimates estimates
	holdings  holdings
	suspects  suspects.Tracker
	words     words
	permits   permits
	limitsDue atomic.Bool // a message on servers' limits is to be sent

	stages     context.Context // ends when no more stages are waited for
	endStages  context.CancelFunc
	draining   atomic.Bool
	drainedAt  atomic.Int64 // unix nanoseconds at which the planned stop began
	lastTick   atomic.Int64 // unix nanoseconds
	wokenAt    atomic.Int64 // end of the last pause of this process, 0 for none
	startedAt  time.Time
	running    atomic.Int64
	deadlines  sync.Map // of *visit to the context.CancelFunc of its deadline
	background sync.WaitGroup
}

// Watcher is told what happened, for metrics. Nil fields are skipped.
type Watcher struct {
	Ended     func(pipeline, result string, took, first time.Duration)
	Exchanged func(pool, outcome string, took time.Duration)
	Batched   func(pool string, pieces int, outcome string, took time.Duration)
	StoreRead func(document string, ok bool)
	Restored  func()                                             // the store came back from an older copy
	Pulled    func(document string, ok bool, took time.Duration) // from another box
	Retried   func(pool string, allowed bool)
	Refused   func(document, reason string) // an entry or a configuration that can't be used was read
	Withheld  func(pool string)             // a server that was chosen takes no new work when the first byte is due
	Suspected func(contents int)            // a server ended under so many contents
	Said      func(pool, word string)       // a server said that it leaves, wants rest or limits its requests, or another box that it leaves
	Permitted func(pool string, ok bool)    // a permit for a server with a limit was asked for
}

// Run works until the context ends. Init must have been called.
func (g *Gateway) Run(ctx context.Context) {

	g.every(ctx, tickEvery, g.tick)
	g.every(ctx, core.HeartbeatEvery, g.beat)
	g.every(ctx, core.LoadNotesEvery, g.tellNews)
	g.every(ctx, introduceEvery, g.introduce)
	g.every(ctx, scheduleTick, g.desk.tick)
	g.every(ctx, tickEvery, g.pullPublished)
	g.background.Add(2)
	go g.readCatalog(ctx)
	go g.readServers(ctx)
	<-ctx.Done()
	g.background.Wait()
}

// Init fills what Run needs; it must be called before Run and before any message is taken.
func (g *Gateway) Init() {
	if g.Clock == nil {
		g.Clock = time.Now
	}
	if g.Log == nil {
		g.Log = slog.New(slog.DiscardHandler)
	}
	if g.Rand == nil {
		g.Rand = rand.New(rand.NewPCG(g.ID.Incarnation, 1))
	}
	g.startedAt = g.now()
	g.stages, g.endStages = context.WithCancel(context.Background())
	g.lastTick.Store(g.now().UnixNano())
	g.published.init(g)
	g.fleet.init(g)
	g.pools.init(g)
	g.desk.init(g)
	g.waiting.init(g)
	g.estimates.init()
	g.permits.init()
	g.holdings.init(g)
	g.initSuspects()
}

func (g *Gateway) now() time.Time { return g.Clock() }

func (g *Gateway) every(ctx context.Context, pace time.Duration, fn func(context.Context)) {
	g.background.Add(1)
	go func() {
		defer g.background.Done()
		t := time.NewTicker(pace)
		defer t.Stop()
		for {
			fn(ctx)
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	}()
}

// tick watches for pauses of this process.
func (g *Gateway) tick(context.Context) {
	now := g.now()
	g.logMembers()
	last := time.Unix(0, g.lastTick.Swap(now.UnixNano()))
	if now.Sub(last) > pauseLimit {
		g.wokenAt.Store(now.UnixNano())
		g.published.woke(now, last)
		g.endLapsed(now)
		g.Log.Warn("process was paused", "gap_ms", now.Sub(last).Milliseconds())
	}
	g.dropLapsed(now)
	g.endDoubts(now)
	g.suspects.Tick()
	g.sweepWords(now)
	g.permits.sweep(now)
}

// awake says whether this process can trust what it believes: it was not paused since its documents
// were last confirmed. It looks at the clock itself, since after a pause a sender may run before the
// tick does.
func (g *Gateway) awake() bool {
	now := g.now()
	if now.Sub(time.Unix(0, g.lastTick.Load())) > pauseLimit {
		return false
	}
	woken := g.wokenAt.Load()
	if woken == 0 {
		return true
	}
	if g.published.confirmedAt().UnixNano() > woken || now.Sub(time.Unix(0, woken)) > wakeWait {
		g.wokenAt.CompareAndSwap(woken, 0)
		return true
	}
	return false
}

// awaitAwake holds a request back after a pause until beliefs are confirmed, for a bounded time.
func (g *Gateway) awaitAwake(ctx context.Context) {
	for !g.awake() && ctx.Err() == nil {
		sleep(ctx, 20*time.Millisecond)
	}
}

// awaitKnown holds a request for the short time in which a box that has just started gets its documents: a caller
// that is refused meanwhile spends its return, while the wait is a part of its time. After a loss of 59 boxes at once
// it keeps the return of some 260 callers (counted in the boxes' logs).
func (g *Gateway) awaitKnown(ctx context.Context, r *Request) {
	if g.knows() {
		return
	}
	began := g.now()
	wait := knownWait
	if r.Left > 0 {
		wait = min(wait, time.Duration(knownPart*float64(r.Left)))
	}
	for !g.knows() && ctx.Err() == nil && g.now().Sub(began) < wait {
		sleep(ctx, knownPace)
	}
	g.Log.Info("request waited for the documents", "request", r.ID, "waited_ms", g.now().Sub(began).Milliseconds(), "known", g.knows(), "box_age_ms", g.now().Sub(g.startedAt).Milliseconds())
}

// knows says whether this box has a configuration and a list of servers.
func (g *Gateway) knows() bool { return g.index.Load() != nil && g.published.hasServers() }

// Ready says whether the balancer should send callers here.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.knows()
}

// Drain begins a planned stop: this box is not ready any more and tells the others that it leaves.
func (g *Gateway) Drain() {
	if g.draining.Swap(true) {
		return
	}
	g.drainedAt.Store(g.now().UnixNano())
	g.fleet.leave()
	g.Log.Info("planned stop begins", "running", g.running.Load())
}

// EndStages refuses the requests whose stages are not made yet: late in a planned stop there is no
// time left to run them, and their callers may come back elsewhere.
func (g *Gateway) EndStages() { g.endStages() }

// closing says whether a planned stop has come so far that no further request is taken: it might not
// end in the time that is left.
func (g *Gateway) closing() bool {
	return g.draining.Load() && g.now().Sub(time.Unix(0, g.drainedAt.Load())) > takesFor
}

// Draining says whether a planned stop has begun.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// Running counts the requests that this box serves and the jobs that it schedules for others.
func (g *Gateway) Running() int { return int(g.running.Load()) + g.desk.foreign() }

// Version is the version of the catalog in force, 0 for none.
func (g *Gateway) Version() uint64 {
	if x := g.index.Load(); x != nil {
		return x.Version()
	}
	return 0
}

// WriteBy is until when a caller must have taken a piece of its answer that is written now, on the clock of connections.
func (g *Gateway) WriteBy() time.Time { return time.Now().Add(writeTime) }

// Limits are what callers may send: as configured, or defaults while nothing is known.
func (g *Gateway) Limits() catalog.Limits {
	l := catalog.Limits{}
	if x := g.index.Load(); x != nil {
		l = x.Catalog().Limits
	}
	if l.BodyBytes == 0 {
		l.BodyBytes = defaultBody
	}
	if l.HeaderBytes == 0 {
		l.HeaderBytes = defaultHeader
	}
	return l
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// TakeBatch takes another box's message on jobs.
func (g *Gateway) TakeBatch(m batch.Message) {
	g.fleet.heardFrom(m.From, m.Address)
	if m.Submit != nil || m.Withdraw != nil || m.Free != nil || m.Held != nil || m.Handover != nil {
		g.desk.take(m)
		return
	}
	g.waiting.take(m)
}

// ConfirmedAge is how long ago both published documents were last known to be the newest.
func (g *Gateway) ConfirmedAge() time.Duration { return g.now().Sub(g.published.confirmedAt()) }

// BehindFor is for how long this box has known of a newer configuration than it holds, 0 when it holds the newest known.
func (g *Gateway) BehindFor() time.Duration { return g.published.catalogBehind(g.now()) }

// Members counts the boxes that take work, as far as this one knows.
func (g *Gateway) Members() int { return len(g.fleet.usable()) }
