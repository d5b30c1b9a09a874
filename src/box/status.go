package box

import (
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/core"
)

// historySize is the number of ended requests that can be explained.
const historySize = 512

// history keeps the placements of the last ended requests. Safe for concurrent use.
type history struct {
	mu   sync.Mutex
	all  map[string]Explained
	ring []string
	next int
}

// Explained describes how one request was placed on servers.
type Explained struct {
	Key        string
	Outcome    string
	Placements []core.Placement
}

func (h *history) init() {
	h.all = map[string]Explained{}
	h.ring = make([]string, historySize)
}

func (h *history) add(f *flight, err *code.Error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := f.req.Key().String()
	delete(h.all, h.ring[h.next])
	h.ring[h.next] = key
	h.next = (h.next + 1) % historySize
	h.all[key] = Explained{Key: key, Outcome: errorCode(err).String(), Placements: f.req.Trace()}
}

// Explain returns how a recent request was placed; false if it is not in the history.
func (b *Box) Explain(key string) (Explained, bool) {
	b.history.mu.Lock()
	defer b.history.mu.Unlock()
	e, ok := b.history.all[key]
	return e, ok
}

// Status is the state of a box and its view of the fleet, with the age of each item.
type Status struct {
	Draining      bool
	Ready         bool
	Config        core.Statement
	List          core.Statement
	Conflict      uint64 // version that was published twice with different content, or 0
	Refusal       string // why the newest published configuration was rejected, or ""
	Members       []core.Member
	Servers       []core.ServerView
	Running       int
	Waiting       int
	LedgerEntries int
	LedgerBytes   int
	At            time.Time
}

// Status returns the current status of the box.
func (b *Box) Status() Status {
	now := b.now()
	s := Status{At: now, Draining: b.draining.Load(), Ready: b.Ready(), Members: b.fleet.members(), Running: b.running(), Waiting: b.pools.waiting()}
	b.docs.mu.Lock()
	s.Config, s.List = b.docs.config.Statement(now), b.docs.list.Statement(now)
	s.Conflict, s.Refusal = b.docs.config.Conflict(), b.docs.refusal
	b.docs.mu.Unlock()
	for _, p := range b.pools.list() {
		p.locked(func(c *core.Pool) { s.Servers = append(s.Servers, c.View(now)...) })
	}
	for i := range b.shards {
		sh := &b.shards[i]
		sh.mu.Lock()
		s.LedgerEntries += sh.ledger.Len()
		s.LedgerBytes += sh.ledger.Bytes()
		sh.mu.Unlock()
	}
	return s
}

// Cost returns the resources that each stage has consumed since the box started.
func (b *Box) Cost() []core.StageCost { return b.cost.Sums() }

// Burn returns the burn rates of the service levels' error budgets.
func (b *Box) Burn() []core.BurnReading { return b.burn.Read(b.now()) }
