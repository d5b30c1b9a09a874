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

// Parameters of the planned stop, the graceful shutdown of a box.
const (
	handoverBatch   = 200             // ledger entries per message
	handoverTimeout = 3 * time.Second // timeout of one message
	minDrainTime    = 3 * time.Second // minimum time for the load balancer and other boxes to notice
	successorBeats  = 6               // heartbeats that announce the successor
	drainPoll       = 50 * time.Millisecond
)

// Drain performs the planned stop: the box is no longer ready, lets running requests finish, hands its ledger
// with the finished answers over to another box, and announces that box to the others. It returns the number
// of requests still running when ctx ended, 0 after a clean stop. A second call has no effect.
func (b *Box) Drain(ctx context.Context) int {
	if b.draining.Swap(true) {
		return b.running()
	}
	b.fleet.mu.Lock()
	b.fleet.core.Leave("")
	b.fleet.mu.Unlock()
	b.Log.Info("planned stop begins", "running", b.running())
	notice := b.now().Add(minDrainTime)
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

// running returns the number of running requests.
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

// handOver sends the ledger to the first box that accepts all of it. Only boxes that may hold the data of all
// workspaces concerned are tried, since only with the complete ledger can the successor answer "not run" for
// an unused ticket.
func (b *Box) handOver(ctx context.Context) {
	records := b.exportAll()
	for _, m := range b.successors(records) {
		if b.sendLedger(ctx, m, records) {
			b.announceSuccessor(m.ID().Name)
			b.Log.Info("ledger handed over", "to", m.ID().Name, "entries", len(records))
			return
		}
	}
	b.Log.Warn("no box took the ledger over", "entries", len(records))
}

// exportAll returns the entries of all shards.
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

// successors returns the live boxes inside the boundaries of all records, those of the same failure domain
// first.
func (b *Box) successors(records []core.Record) []core.Member {
	c := b.Config()
	if c == nil {
		return nil
	}
	workspaces := map[string]bool{}
	for _, r := range records {
		workspaces[r.Workspace] = true
	}
	var near, far []core.Member
	for _, m := range b.fleet.members() {
		if m.State() != core.MemberAlive || !mayHoldAll(c, workspaces, m.FailureDomain()) {
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

// mayHoldAll reports whether the data of all given workspaces may be held in a failure domain.
func mayHoldAll(c *config.Config, workspaces map[string]bool, domain string) bool {
	for name := range workspaces {
		w := c.Workspace(name)
		if w != nil && !config.MayEnter(w, c.DomainIndex(domain)) {
			return false
		}
	}
	return true
}

// sendLedger sends the records to a box and reports whether it accepted all of them.
func (b *Box) sendLedger(ctx context.Context, m core.Member, records []core.Record) bool {
	for at := 0; ; at += handoverBatch {
		end := min(at+handoverBatch, len(records))
		h := port.Handover{From: b.ID, Records: records[at:end], Last: end == len(records)}
		one, cancel := context.WithTimeout(ctx, handoverTimeout)
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

// announceSuccessor notifies the other boxes which box answers for this incarnation from now on.
func (b *Box) announceSuccessor(successor string) {
	b.fleet.mu.Lock()
	b.fleet.core.Leave(successor)
	b.fleet.mu.Unlock()
	for range successorBeats {
		b.sendHeartbeats(context.Background())
		time.Sleep(drainPoll)
	}
}

// acceptHandover takes over ledger entries of a stopping box. It returns false if this box is itself
// stopping, must not hold the data, or has no configuration yet to check that.
func (b *Box) acceptHandover(h port.Handover) bool {
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
		b.importedLedgers.add(now, h.From)
	}
	return true
}

// ledgerOwners records the incarnations whose complete ledger this box took over, and when.
type ledgerOwners struct {
	mu  sync.Mutex
	ids map[core.BoxID]time.Time
}

func (c *ledgerOwners) init() { c.ids = map[core.BoxID]time.Time{} }

func (c *ledgerOwners) add(now time.Time, id core.BoxID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ids[id] = now
}

func (c *ledgerOwners) has(id core.BoxID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.ids[id]
	return ok
}

func (c *ledgerOwners) hasName(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.ids {
		if id.Name == name {
			return true
		}
	}
	return false
}

func (c *ledgerOwners) expire(now time.Time, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, at := range c.ids {
		if now.Sub(at) > after {
			delete(c.ids, id)
		}
	}
}

// errorCode returns the code of an error, OK for nil.
func errorCode(err *code.Error) code.Code {
	if err == nil {
		return code.OK
	}
	return err.Code
}
