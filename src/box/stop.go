package box

import (
	"context"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// The planned stop.
const (
	handoverRecords = 200             // entries in one message
	handoverWait    = 3 * time.Second // for one message
	noticeWait      = 3 * time.Second // for the balancer and other boxes to notice
	farewellBeats   = 6               // heartbeats that tell who took over
	drainPoll       = 50 * time.Millisecond
)

// Drain is the planned stop: the box leaves readiness, lets every running request end, hands its
// ledger and finished answers to another box, and tells the others. It gives the requests that were
// still running when ctx ended, 0 after a clean stop. A second call changes nothing.
func (b *Box) Drain(ctx context.Context) int {
	if b.draining.Swap(true) {
		return b.running()
	}
	b.fleet.mu.Lock()
	b.fleet.core.Leave("")
	b.fleet.mu.Unlock()
	b.Log.Info("planned stop begins", "running", b.running())
	notice := b.now().Add(noticeWait)
	for b.running() > 0 || b.now().Before(notice) {
		select {
		case <-ctx.Done():
			b.Log.Warn("planned stop ran out of time", "running", b.running())
			return b.running()
		case <-time.After(drainPoll):
		}
	}
	b.handOver(ctx)
	b.Log.Info("planned stop is done")
	return 0
}

// StartDrain begins a planned stop in the background and gives the requests that run now.
func (b *Box) StartDrain(ctx context.Context) int {
	n := b.running()
	go b.Drain(ctx)
	return n
}

// running counts the requests that have not ended.
func (b *Box) running() int {
	n := 0
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		n += len(s.flights)
		s.mu.Unlock()
	}
	return n
}

// handOver gives the ledger to the first box that takes it whole. Entries go only to a box that may
// hold their workspace's data; one box that may hold all is preferred, since only a whole ledger
// lets the successor say "not run" of a ticket that was never used.
func (b *Box) handOver(ctx context.Context) {
	records := b.exportAll()
	for _, m := range b.successors(records) {
		if b.giveTo(ctx, m, records) {
			b.farewell(m.ID().Name)
			b.Log.Info("ledger handed over", "to", m.ID().Name, "entries", len(records))
			return
		}
	}
	b.Log.Warn("no box took the ledger over", "entries", len(records))
}

func (b *Box) exportAll() []core.Record {
	var out []core.Record
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		out = append(out, s.ledger.Export()...)
		s.mu.Unlock()
	}
	return out
}

// successors lists the live boxes inside the boundary of every record, the nearest first.
func (b *Box) successors(records []core.Record) []core.Member {
	c := b.Config()
	if c == nil {
		return nil
	}
	spaces := map[string]bool{}
	for _, r := range records {
		spaces[r.Workspace] = true
	}
	var near, far []core.Member
	for _, m := range b.fleet.each() {
		if m.State() != core.MemberAlive || !holdsAll(c, spaces, m.FailureDomain()) {
			continue
		}
		if m.FailureDomain() == b.Settings.FailureDomain {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	return append(near, far...)
}

func holdsAll(c *config.Config, spaces map[string]bool, domain string) bool {
	for name := range spaces {
		w := c.Workspace(name)
		if w != nil && !config.MayEnter(w, c.DomainIndex(domain)) {
			return false
		}
	}
	return true
}

func (b *Box) giveTo(ctx context.Context, m core.Member, records []core.Record) bool {
	for at := 0; ; at += handoverRecords {
		end := min(at+handoverRecords, len(records))
		h := port.Handover{From: b.ID, Records: records[at:end], Last: end == len(records)}
		one, cancel := context.WithTimeout(ctx, handoverWait)
		a, err := b.Peers.Ask(one, m.Address(), port.Question{Handover: &h})
		cancel()
		if err != nil || !a.Taken {
			return false
		}
		if h.Last {
			return true
		}
	}
}

// farewell tells the others who answers for this incarnation from now on.
func (b *Box) farewell(successor string) {
	b.fleet.mu.Lock()
	b.fleet.core.Leave(successor)
	b.fleet.mu.Unlock()
	for range farewellBeats {
		b.beat(context.Background())
		time.Sleep(drainPoll)
	}
}

// takeHandover takes over entries of a box that stops; false when this box is stopping itself or has
// no configuration yet to hold the entries against.
func (b *Box) takeHandover(h port.Handover) bool {
	c := b.Config()
	if c == nil || b.draining.Load() {
		return false
	}
	now := b.now()
	for _, r := range h.Records {
		if w := c.Workspace(r.Workspace); w != nil && !config.MayEnter(w, b.domainOf(c)) {
			return false
		}
		s := b.shardOf(r.Key)
		s.mu.Lock()
		s.ledger.Import(now, r)
		s.mu.Unlock()
	}
	if h.Last {
		b.imported.add(now, h.From)
	}
	return true
}

// closedLives are the incarnations whose whole ledger this box holds.
type closedLives struct {
	mu  sync.Mutex
	ids map[core.BoxID]time.Time
}

func (c *closedLives) init() { c.ids = map[core.BoxID]time.Time{} }

func (c *closedLives) add(now time.Time, id core.BoxID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ids[id] = now
}

func (c *closedLives) has(id core.BoxID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.ids[id]
	return ok
}

func (c *closedLives) hasName(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.ids {
		if id.Name == name {
			return true
		}
	}
	return false
}

func (c *closedLives) expire(now time.Time, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, at := range c.ids {
		if now.Sub(at) > after {
			delete(c.ids, id)
		}
	}
}

// errorCode gives a result's number, 0 for a whole answer.
func errorCode(err *code.Error) code.Code {
	if err == nil {
		return code.OK
	}
	return err.Code
}
