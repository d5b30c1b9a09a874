// Package box is the shell around the decision core: it holds the state in shards, drives the core
// with events and carries out the actions that come back through the ports.
//
//	callers ─► serve.go ─► once.go (home, forward) ─► flight.go ─► pools.go ─► Backends
//	                                                     ▲
//	platform ─► documents.go ─► configuration, list ─────┤
//	peers ────► beats.go ─► membership, versions ────────┤
//	servers ──► watch.go ─► reports, events, orders ─────┘
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

// shardCount is how many locks the requests are spread over.
const shardCount = 16

// Box is one entry box. Set the exported fields before Run.
type Box struct {
	Settings *config.Settings
	ID       core.BoxID
	Release  string // version of the program
	Backends port.Backends
	Platform port.Platform
	Peers    port.Peers
	Log      *slog.Logger
	Clock    func() time.Time // never steps; measures what goes by inside this process
	Wall     func() time.Time // may be ahead or behind; compared with the times in keys
	Rand     *rand.Rand
	Entropy  io.Reader // of ids; crypto/rand's when nil
	Watch    Watcher
	Gate     func() // called before every piece of work; tests stop a box here as SIGSTOP would

	est     *core.Estimates
	cost    *core.Cost
	burn    *core.BurnRates
	shards  [shardCount]shard
	pools   poolSet
	conf    atomic.Pointer[config.Config]
	docs    documents
	fleet   fleet
	entries admissions
	orders  orderDesk
	past    history

	visits     int // servers asked for reports so far; only pollReports uses it
	draining   atomic.Bool
	ready      atomic.Bool
	lastTick   atomic.Int64 // unix nanoseconds
	wokenAt    atomic.Int64 // when the last pause ended, 0 for none
	imported   closedLives
	suspects   suspects.Tracker
	background sync.WaitGroup
}

// Watcher is told what happened, for metrics. Nil fields are skipped.
type Watcher struct {
	Ended    func(p *config.Pipeline, err *code.Error, took, firstOut time.Duration)
	Settled  func(pool string, f core.Failure, took time.Duration)
	Waited   func(pool string, d time.Duration)
	Stale    func(n int)
	Platform func(document string, ok bool)
}

type shard struct {
	mu      sync.Mutex
	ledger  *core.Ledger
	flights map[uuid.UUID]*flight
}

type admissions struct {
	mu   sync.Mutex
	core *core.Admission
}

type orderDesk struct {
	mu   sync.Mutex
	core *core.Orders
}

// Init fills what Run needs; tests that drive a box by hand call it themselves.
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
	b.est, b.cost, b.burn = core.NewEstimates(), core.NewCost(), core.NewBurnRates()
	for i := range b.shards {
		l := core.NewLedger()
		// A key made by a clock that is ahead must be expired before it is forgotten.
		l.Keep = time.Duration(s.AtMostOnce.LedgerKeep) + 2*time.Duration(s.AtMostOnce.ClockSkew)
		l.AnswerKeep = time.Duration(s.Answers.Keep)
		l.MaxBytes = s.Answers.MaxBytes / shardCount
		b.shards[i].ledger = l
		b.shards[i].flights = map[uuid.UUID]*flight{}
	}
	b.entries.core = core.NewAdmission()
	b.entries.core.Disabled = s.Policy.NoAdmission
	b.entries.core.Boxes = b.fleet.size
	b.orders.core = core.NewOrders(b.ID.Name)
	b.pools.init(b)
	b.docs.init(b)
	b.fleet.init(b)
	b.past.init()
	b.imported.init()
	b.initSuspects()
	b.lastTick.Store(b.Clock().UnixNano())
}

// Run works until the context ends. A planned stop is Drain first, then the end of the context.
func (b *Box) Run(ctx context.Context) {
	b.Init()
	b.Start(ctx)
	<-ctx.Done()
	b.background.Wait()
}

// Start begins the background work of a box that Init prepared; it ends with the context.
func (b *Box) Start(ctx context.Context) {
	b.every(ctx, core.TickEvery, b.tick)
	b.every(ctx, core.HeartbeatEvery, b.beat)
	b.every(ctx, core.LoadNotesEvery, b.tellLoads)
	b.every(ctx, core.TickEvery, b.docs.step)
	b.every(ctx, reportEvery, b.pollReports)
	b.every(ctx, sweepEvery, b.sweep)
}

// sweepEvery is the pace of forgetting what is old.
const sweepEvery = 5 * time.Second

// every runs fn at a pace until the context ends; a run that takes long delays the next.
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

// tick watches for pauses of this process and lets waiting calls be judged again.
func (b *Box) tick(context.Context) {
	now := b.now()
	last := time.Unix(0, b.lastTick.Swap(now.UnixNano()))
	if now.Sub(last) > core.PauseLimit {
		b.wokenAt.Store(now.UnixNano())
		b.Log.Warn("process was paused", "gap", now.Sub(last).String())
	}
	b.pools.kickAll()
	b.suspects.Tick()
}

// awake says whether this process can trust what it believed: it was not paused since its
// configuration was last confirmed. It looks at the clock itself, since after a pause a sender may
// run before the tick does.
func (b *Box) awake() bool {
	now := b.now()
	if now.Sub(time.Unix(0, b.lastTick.Load())) > core.PauseLimit {
		return false
	}
	woken := b.wokenAt.Load()
	if woken == 0 {
		return true
	}
	if b.docs.confirmed().UnixNano() >= woken || now.Sub(time.Unix(0, woken)) > wakeWait {
		b.wokenAt.CompareAndSwap(woken, 0)
		return true
	}
	return false
}

// wakeWait is how long a box that was paused holds its calls back to confirm its configuration; with
// the service down for long it then serves on with what it has, as any cut-off box does.
const wakeWait = 2 * time.Second

func (b *Box) sweep(context.Context) {
	now := b.now()
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		s.ledger.Expire(now)
		s.mu.Unlock()
	}
	b.imported.expire(now, 2*time.Duration(b.Settings.AtMostOnce.LedgerKeep))
}

func (b *Box) shardOf(k core.Key) *shard { return &b.shards[k.Hash()%shardCount] }

// Config is the configuration in force, or nil.
func (b *Box) Config() *config.Config { return b.conf.Load() }

// Ready says whether the balancer should send callers here.
func (b *Box) Ready() bool { return b.ready.Load() && !b.draining.Load() }

// domainOf is this box's failure domain in a configuration, or -1.
func (b *Box) domainOf(c *config.Config) int { return c.DomainIndex(b.Settings.FailureDomain) }
