// Package gateway serves opaque requests. It does not interpret their bodies, but decides where each stage
// and the request itself run, what waits and what is refused.
//
//	callers ─► serve.go ─► admission.go ─► stages.go ─► scheduling.go (one box for each pool) ─► pieces
//	               │                                                                          at servers
//	               └────► attempts.go ─► balance.Pool, retry.Budget ─► server ─► relay.go ─► caller
//	platform ─► published.go ─► catalog and servers ◄─► peers (fleet.go: heartbeats, loads, waits)
//
// The decisions are made by the pure packages batch, balance, retry, catalog and core. This package holds
// their state under its locks and carries the decisions out through ports.
package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stilemast/stilemast/src/admission"
	"github.com/stilemast/stilemast/src/balance"
	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/brittle"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/clock"
	"github.com/stilemast/stilemast/src/connections"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/holdings"
	"github.com/stilemast/stilemast/src/intake"
	"github.com/stilemast/stilemast/src/observe"
	"github.com/stilemast/stilemast/src/paths"
	"github.com/stilemast/stilemast/src/policy"
	"github.com/stilemast/stilemast/src/port"
	"github.com/stilemast/stilemast/src/pushback"
	"github.com/stilemast/stilemast/src/registrar"
	"github.com/stilemast/stilemast/src/resume"
	"github.com/stilemast/stilemast/src/retry"
	"github.com/stilemast/stilemast/src/seen"
	"github.com/stilemast/stilemast/src/suspects"
)

// Settings configure a gateway at its start.
type Settings struct {
	Address       string // where other boxes reach this one
	FailureDomain string // of this box
	Regions       catalog.Regions
	Seeds         []string // addresses of boxes to contact first; they may be gone
	Capacity      core.Capacity
	RetryRatio    float64
	RetrySlack    float64
	RetryWindow   time.Duration
	Admission     bool // refuse requests at arrival that are forecast to miss their objective
	SharedBatches bool // one box schedules all calls of a pool; false is a baseline for comparison
	Policy        policy.Settings
	MemoryBytes   int64 // memory limit of the process, 0 for none
}

// Gateway is the opaque-request side of one box. The exported fields must be set before Init.
type Gateway struct {
	Settings Settings
	ID       core.BoxID
	Backends Backends
	Store    Store
	Peers    port.Peers
	Paths    *paths.Router // opens the connections of Backends; Init connects it to this box
	Log      *slog.Logger
	Observer observe.Gateway
	Clock    func() time.Time // monotonic
	Busy     func() bool      // reports whether this box should take no work from others; nil for never
	Rand     *rand.Rand

	index       atomic.Pointer[catalog.Index]
	published   published
	fleet       fleet
	pools       pools
	schedulers  schedulers // jobs that this box schedules
	ownedJobs   ownedJobs
	estimates   admission.FirstOutputs
	durations   admission.Durations
	lengths     balance.StreamLengths
	calibration admission.Calibration
	trend       admission.Trend
	holdings    holdings.Table[*results]
	handles     seen.Set // in answers to this box's calls of pieces
	suspects    suspects.Tracker
	returning   registrar.Tracker
	streams     resume.Tracker // that callers may take up at any box
	retries     retry.Borrower
	signals     pushback.Shared
	permits     permits
	brittle     brittle.Tracker
	limitsDue   atomic.Bool // a message on servers' limits is scheduled
	writes      connections.Writes
	intake      intake.Account // of requests' bodies
	answers     intake.Account // that are read whole
	aliveBoxes  atomic.Int64   // boxes that may be alive, as of the last tick
	noPath      []string       // pools announced as without a path; used by tick only

	stages     context.Context // ends when no further stages may run
	endStages  context.CancelFunc
	requests   context.Context // ends when no request may run any longer
	endAll     context.CancelFunc
	draining   atomic.Bool
	drainedAt  atomic.Int64 // unix nanoseconds of the start of the planned stop
	stopsAt    atomic.Int64 // unix nanoseconds of its end
	lastTick   atomic.Int64 // unix nanoseconds
	resumedAt  atomic.Int64 // end of the last pause of this process, 0 for none
	startedAt  time.Time
	running    atomic.Int64
	deadlines  sync.Map // *requestRun to the context.CancelFunc of its deadline
	background sync.WaitGroup
}

// Run works until the context ends. Init must have been called.
func (g *Gateway) Run(ctx context.Context) {

	g.every(ctx, tickEvery, g.tick)
	g.every(ctx, core.HeartbeatEvery, g.sendHeartbeats)
	g.every(ctx, core.LoadNotesEvery, g.sendNews)
	g.every(ctx, seedContactInterval, g.contactSeeds)
	g.every(ctx, scheduleTick, g.schedulers.tick)
	g.every(ctx, tickEvery, g.pullPublished)
	g.every(ctx, speedsInterval, g.applySpeeds)
	g.background.Add(2)
	go g.readCatalog(ctx)
	go g.readServers(ctx)
	<-ctx.Done()
	g.background.Wait()
}

// Init prepares the gateway. It must be called before Run and before any message is handled.
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
	g.requests, g.endAll = context.WithCancel(context.Background())
	g.lastTick.Store(g.now().UnixNano())
	g.handles.Keep = handlesKept
	g.published.init(g)
	g.fleet.init(g)
	g.pools.init(g)
	g.schedulers.init(g)
	g.ownedJobs.init(g)
	g.calibration.Self = catalog.Hash(g.ID.Name, fmt.Sprint(g.ID.Incarnation))
	g.initSuspects()
	g.initMemory()
	g.initPaths()
	g.initBrittle()
	g.aliveBoxes.Store(int64(g.fleet.boxes(g.now())))
	g.initReturning()
	g.initStreams()
	g.initRetries()
}

func (g *Gateway) now() time.Time { return g.Clock() }

// every runs a function at once and then at each tick until the context ends.
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

// tick detects pauses of this process and expires old state.
func (g *Gateway) tick(context.Context) {
	now := g.now()
	g.logMembers()
	last := time.Unix(0, g.lastTick.Swap(now.UnixNano()))
	if now.Sub(last) > pauseLimit {
		g.resumedAt.Store(now.UnixNano())
		g.published.resumed(now, last)
		g.endExpired(now)
		g.Log.Warn("process was paused", "gap_ms", now.Sub(last).Milliseconds())
	}
	g.dropLapsed(now)
	g.endDoubts(now)
	g.suspects.Tick()
	g.sweepSignals(now)
	g.permits.sweep(now)
	g.announcePaths()
	g.brittle.Tick()
	if g.published.listAge(now) > resume.ListTrust {
		g.streams.ListUnknown()
	}
	g.streams.Tick()
	g.aliveBoxes.Store(int64(g.fleet.boxes(now)))
	g.writes.Enforce(time.Now())
}

// awake reports whether the held documents can be trusted: the process was not paused since they were last
// confirmed. It reads the clock itself, because after a pause a request may run before the next tick.
func (g *Gateway) awake() bool {
	now := g.now()
	if now.Sub(time.Unix(0, g.lastTick.Load())) > pauseLimit {
		return false
	}
	woken := g.resumedAt.Load()
	if woken == 0 {
		return true
	}
	if g.published.confirmedAt().UnixNano() > woken || now.Sub(time.Unix(0, woken)) > wakeWait {
		g.resumedAt.CompareAndSwap(woken, 0)
		return true
	}
	return false
}

// awaitConfirmed holds a request after a pause until the documents are confirmed, for at most wakeWait.
func (g *Gateway) awaitConfirmed(ctx context.Context) {
	for !g.awake() && ctx.Err() == nil {
		clock.Sleep(ctx, 20*time.Millisecond)
	}
}

// awaitDocuments holds a request while a newly started box fetches its first documents. Waiting takes a part of
// the caller's time, but a refusal would use up its one retry: after a loss of 59 boxes at once the wait
// saves the retry of about 260 callers.
func (g *Gateway) awaitDocuments(ctx context.Context, r *Request) {
	if g.hasDocuments() {
		return
	}
	began := g.now()
	wait := documentsWait
	if r.Left > 0 {
		wait = min(wait, time.Duration(documentsWaitShare*float64(r.Left)))
	}
	for !g.hasDocuments() && ctx.Err() == nil && g.now().Sub(began) < wait {
		clock.Sleep(ctx, documentsPollInterval)
	}
	g.Log.Info("request waited for the first documents", "request", r.ID, "waited_ms", g.now().Sub(began).Milliseconds(), "known", g.hasDocuments(), "box_age_ms", g.now().Sub(g.startedAt).Milliseconds())
}

// hasDocuments reports whether this box has a configuration and a list of servers.
func (g *Gateway) hasDocuments() bool { return g.index.Load() != nil && g.published.hasServers() }

// Ready reports whether the load balancer should send requests here.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.hasDocuments()
}

// Drain begins a planned stop that ends after a time: this box is no longer ready and announces to the others that it leaves.
func (g *Gateway) Drain(within time.Duration) {
	now := g.now()
	if !g.stopsAt.CompareAndSwap(0, now.Add(within).UnixNano()) {
		return
	}
	g.drainedAt.Store(now.UnixNano())
	g.draining.Store(true)
	g.fleet.leave()
	g.Log.Info("planned stop begins", "running", g.running.Load(), "within_ms", within.Milliseconds())
}

// stopLeft returns the time left until the end of a planned stop.
func (g *Gateway) stopLeft() time.Duration { return time.Unix(0, g.stopsAt.Load()).Sub(g.now()) }

// EndStages refuses the requests whose stages have not completed: late in a planned stop there is no time
// left to run them, and their callers can retry at another box.
func (g *Gateway) EndStages() { g.endStages() }

// EndRequests ends all requests at the end of a planned stop. Callers that have no part of an answer get a response.
func (g *Gateway) EndRequests() { g.endAll() }

// closing reports whether a planned stop is so advanced that further requests are refused, because they might
// not complete in the time left.
func (g *Gateway) closing() bool {
	return g.draining.Load() && g.now().Sub(time.Unix(0, g.drainedAt.Load())) > acceptsFor
}

// Draining reports whether a planned stop has begun.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// Running returns the number of requests that this box serves, and of jobs that it schedules and connections that it
// carries for others.
func (g *Gateway) Running() int {
	return int(g.running.Load()) + g.schedulers.pendingWork() + g.Paths.Tunnels()
}

// Version returns the version of the catalog in force, 0 for none.
func (g *Gateway) Version() uint64 {
	if x := g.index.Load(); x != nil {
		return x.Version()
	}
	return 0
}

// WriteBy returns the write deadline of a piece of an answer that is written now, on the wall clock that
// connections use.
func (g *Gateway) WriteBy() time.Time { return time.Now().Add(writeTime) }

// Limits returns the size limits of requests: those configured, or defaults.
func (g *Gateway) Limits() catalog.Limits {
	l := catalog.Limits{}
	if x := g.index.Load(); x != nil {
		l = x.Catalog().Limits
	}
	return l.OrDefault()
}

// HandleBatch handles another box's message on jobs.
func (g *Gateway) HandleBatch(m batch.Message) {
	g.fleet.recordSender(m.From, m.Address)
	if m.Submit != nil || m.Confined != nil || m.Withdraw != nil || m.Free != nil || m.Held != nil || m.Handover != nil {
		g.schedulers.handleMessage(m)
		return
	}
	g.ownedJobs.take(m)
}

// ConfirmedAge returns the time since both published documents were last confirmed to be the newest.
func (g *Gateway) ConfirmedAge() time.Duration { return g.now().Sub(g.published.confirmedAt()) }

// BehindFor returns for how long a newer configuration than the held one has been known, 0 when the held one
// is the newest known.
func (g *Gateway) BehindFor() time.Duration { return g.published.catalogBehind(g.now()) }

// Members returns the number of boxes that take work, as far as this box knows.
func (g *Gateway) Members() int { return len(g.fleet.usable()) }
