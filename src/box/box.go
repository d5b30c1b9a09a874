// Package box runs the decision logic of package core: it keeps the state in shards, passes events to the
// core and carries out the resulting actions through the ports.
//
//	callers ─► serve.go ─► at_most_once.go (home, forward) ─► flight.go ─► pools.go ─► Backends
//	                                                             ▲
//	platform ─► documents.go ─► configuration, list ─────────────┤
//	peers ────► membership.go ─► membership, versions ───────────┤
//	servers ──► polling.go ─► reports, events, orders ───────────┘
package box

import (
	"context"
	crand "crypto/rand"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
	"github.com/stilemast/stilemast/src/suspects"
)

// shardCount is the number of shards, each with its own lock, that requests are distributed over.
const shardCount = 16

// Box is one box of the fleet: it receives callers' requests and runs them on backend servers. Set the
// exported fields before Run.
type Box struct {
	Settings *config.Settings
	ID       core.BoxID
	Release  string // version of the software
	Backends port.Backends
	Platform port.Platform
	Peers    port.Peers
	Log      *slog.Logger
	Clock    func() time.Time // monotonic; measures durations inside this process
	Wall     func() time.Time // wall time, may be wrong; compared with the times in keys
	Rand     *rand.Rand
	Entropy  io.Reader // source of random ids; crypto/rand if nil
	Observer Observer
	Gate     func() // called before each unit of work; tests block here to simulate SIGSTOP

	estimates    *core.Estimates
	cost         *core.Cost
	burn         *core.BurnRates
	shards       [shardCount]shard
	pools        poolSet
	activeConfig atomic.Pointer[config.Config]
	docs         documents
	fleet        fleet
	admission    admissionControl
	orders       orderState
	history      history

	polls           int // servers polled so far; only pollReports uses it
	draining        atomic.Bool
	ready           atomic.Bool
	lastTick        atomic.Int64 // Unix nanoseconds
	resumedAt       atomic.Int64 // when the last pause of the process ended in Unix nanoseconds, 0 for none
	importedLedgers ledgerOwners
	suspects        suspects.Tracker
	background      sync.WaitGroup
}

// Observer receives events for metrics. Nil fields are skipped.
type Observer struct {
	RequestEnded func(p *config.Pipeline, err *code.Error, took, firstOut time.Duration) // a request ended
	CallEnded    func(pool string, f core.Failure, took time.Duration)                   // a call to a server ended
	Waited       func(pool string, d time.Duration)                                      // a call was granted a server after d
	StaleReplies func(n int)                                                             // n stale replies were discarded
	PlatformRead func(document string, ok bool)                                          // the platform was read
}

// shard is the part of the requests and of the ledger under one lock.
type shard struct {
	mu      sync.Mutex
	ledger  *core.Ledger
	flights map[uuid.UUID]*flight
}

// admissionControl is the core's admission control under its lock.
type admissionControl struct {
	mu   sync.Mutex
	core *core.Admission
}

// orderState is the core's state of the orders to model engines under its lock.
type orderState struct {
	mu   sync.Mutex
	core *core.Orders
}

// Init sets defaults and initializes the state. Run calls it; tests that don't use Run call it themselves.
func (b *Box) Init() {
	if b.Clock == nil {
		b.Clock = time.Now
	}
	if b.Wall == nil {
		b.Wall = b.Clock
	}
	if b.Log == nil {
		b.Log = slog.New(slog.DiscardHandler)
	}
	if b.Entropy == nil {
		b.Entropy = crand.Reader
	}
	if b.Rand == nil {
		b.Rand = rand.New(rand.NewPCG(b.ID.Incarnation, 1))
	}
	s := b.Settings
	b.estimates, b.cost, b.burn = core.NewEstimates(), core.NewCost(), core.NewBurnRates()
	for i := range b.shards {
		l := core.NewLedger()
		// A key from a clock that is ahead must expire before its entry is dropped.
		l.Keep = time.Duration(s.AtMostOnce.LedgerKeep) + 2*time.Duration(s.AtMostOnce.ClockSkew)
		l.AnswerKeep = time.Duration(s.Answers.Keep)
		l.MaxBytes = s.Answers.MaxBytes / shardCount
		b.shards[i].ledger = l
		b.shards[i].flights = map[uuid.UUID]*flight{}
	}
	b.admission.core = core.NewAdmission()
	b.admission.core.Disabled = s.Policy.NoAdmission
	b.admission.core.Boxes = b.fleet.size
	b.orders.core = core.NewOrders(b.ID.Name)
	b.pools.init(b)
	b.docs.init(b)
	b.fleet.init(b)
	b.history.init()
	b.importedLedgers.init()
	b.initSuspects()
	b.lastTick.Store(b.Clock().UnixNano())
}

// Run runs the box until the context ends. For a graceful shutdown call Drain before ending the context.
func (b *Box) Run(ctx context.Context) {
	b.Init()
	b.Start(ctx)
	<-ctx.Done()
	b.background.Wait()
}

// Start starts the background tasks of an initialized box; they end with the context.
func (b *Box) Start(ctx context.Context) {
	b.every(ctx, core.TickEvery, b.tick)
	b.every(ctx, core.HeartbeatEvery, b.sendHeartbeats)
	b.every(ctx, core.LoadNotesEvery, b.sendLoads)
	b.every(ctx, core.TickEvery, b.docs.step)
	b.every(ctx, pollInterval, b.pollReports)
	b.every(ctx, sweepInterval, b.sweep)
}

// sweepInterval is how often expired ledger entries are dropped.
const sweepInterval = 5 * time.Second

// every runs fn periodically until the context ends; a slow run delays the next one.
func (b *Box) every(ctx context.Context, pace time.Duration, fn func(context.Context)) {
	b.background.Add(1)
	go func() {
		defer b.background.Done()
		t := time.NewTicker(pace)
		defer t.Stop()
		for {
			if b.gate(); ctx.Err() != nil {
				return
			}
			fn(ctx)
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	}()
}

func (b *Box) gate() {
	if b.Gate != nil {
		b.Gate()
	}
}

func (b *Box) now() time.Time { return b.Clock() }

func (b *Box) wall() time.Time { return b.Wall() }

// tick detects pauses of this process and re-evaluates waiting calls.
func (b *Box) tick(context.Context) {
	now := b.now()
	last := time.Unix(0, b.lastTick.Swap(now.UnixNano()))
	if now.Sub(last) > core.PauseLimit {
		b.resumedAt.Store(now.UnixNano())
		b.Log.Warn("process was paused", "gap", now.Sub(last).String())
	}
	b.pools.kickAll()
	b.suspects.Tick()
}

// confirmedSincePause reports whether this process may rely on its state: it was not paused since its
// configuration was last confirmed. It reads the clock itself, since after a pause a sender may run before
// the next tick.
func (b *Box) confirmedSincePause() bool {
	now := b.now()
	if now.Sub(time.Unix(0, b.lastTick.Load())) > core.PauseLimit {
		return false
	}
	woken := b.resumedAt.Load()
	if woken == 0 {
		return true
	}
	if b.docs.confirmed().UnixNano() >= woken || now.Sub(time.Unix(0, woken)) > resumeWait {
		b.resumedAt.CompareAndSwap(woken, 0)
		return true
	}
	return false
}

// resumeWait is how long a box that was paused holds calls back until its configuration is confirmed. If the
// platform is down for longer, it goes on with what it has, like any disconnected box.
const resumeWait = 2 * time.Second

// sweep drops expired ledger entries.
func (b *Box) sweep(context.Context) {
	now := b.now()
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		s.ledger.Expire(now)
		s.mu.Unlock()
	}
	b.importedLedgers.expire(now, 2*time.Duration(b.Settings.AtMostOnce.LedgerKeep))
}

func (b *Box) shardOf(k core.Key) *shard { return &b.shards[k.Hash()%shardCount] }

// Config returns the configuration in force, or nil.
func (b *Box) Config() *config.Config { return b.activeConfig.Load() }

// Ready reports whether the load balancer should send callers to this box.
func (b *Box) Ready() bool { return b.ready.Load() && !b.draining.Load() }

// domainOf returns the index of this box's failure domain in a configuration, or -1.
func (b *Box) domainOf(c *config.Config) int { return c.DomainIndex(b.Settings.FailureDomain) }
