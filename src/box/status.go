package box

import (
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/core"
)

// historyKept is how many ended requests can be explained.
const historyKept = 512

// history keeps how the last ended requests were placed. Safe for concurrent use.
type history struct {
	mu   sync.Mutex
	all  map[string]Explained
	ring []string
	next int
}

// Explained tells how one request was placed.
type Explained struct {
	Key        string
	Outcome    string
	Placements []core.Placement
}

func (h *history) init() {
	h.all = map[string]Explained{}
	h.ring = make([]string, historyKept)
}

func (h *history) add(f *flight, err *code.Error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := f.req.Key().String()
	delete(h.all, h.ring[h.next])
	h.ring[h.next] = key
	h.next = (h.next + 1) % historyKept
	h.all[key] = Explained{Key: key, Outcome: errorCode(err).String(), Placements: f.req.Trace()}
}

// Explain finds how a recent request was placed.
func (b *Box) Explain(key string) (Explained, bool) {
	b.past.mu.Lock()
	defer b.past.mu.Unlock()
	e, ok := b.past.all[key]
	return e, ok
}

// Status is what a box knows, with the age of each fact.
type Status struct {
	Draining      bool
	Ready         bool
	Config        core.Statement
	List          core.Statement
	Conflict      uint64
	Refusal       string
	Members       []core.Member
	Servers       []core.ServerView
	Running       int
	Waiting       int
	LedgerEntries int
	LedgerBytes   int
	At            time.Time
}

// Status gathers what the box knows.
func (b *Box) Status() Status {
	now := b.now()
	s := Status{At: now, Draining: b.draining.Load(), Ready: b.Ready(), Members: b.fleet.each(), Running: b.running(), Waiting: b.pools.waiting()}
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

// Cost sums what stages consumed since the box started.
func (b *Box) Cost() []core.StageCost { return b.cost.Sums() }

// Burn reads the service levels.
func (b *Box) Burn() []core.BurnReading { return b.burn.Read(b.now()) }
