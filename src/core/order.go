package core

import (
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/config"
)

// Order tells an engine which model, adapters and role to load. Its fence is the version of the
// configuration that requires it: boxes with the same configuration send the same order, and an engine that
// checks fences refuses orders older than the last one it accepted.
type Order struct {
	Server   string
	Fence    uint64
	Model    string
	Version  string
	Adapters []string
	Role     string
	LoadTime time.Duration // configured loading time of the model
	Decided  time.Time     // the order expires orderValidity after this
}

// orderValidity bounds the time between the decision and the sending of an order. A box that paused in between
// drops it and decides again from what it observes then.
const orderValidity = time.Second

// Expired reports whether the order has expired.
func (o Order) Expired(now time.Time) bool { return now.Sub(o.Decided) > orderValidity }

// Orders compares what the configuration requires of an engine with what the engine reports.
//
// An engine that checks fences needs one order per version. One that does not may have accepted an old
// order late, so every report is compared and corrected.
type Orders struct {
	Self string

	sent map[string]time.Time
}

// orderInterval is the least time between two orders to one engine.
const orderInterval = 2 * time.Second

// NewOrders returns Orders for the named box, with no order sent.
func NewOrders(self string) *Orders { return &Orders{Self: self, sent: map[string]time.Time{}} }

// Decide returns the order that an engine needs now, if this box is responsible for sending it. The
// responsible box is found by hashing; when the views of boxes differ two may send, which does no harm.
func (o *Orders) Decide(now time.Time, c *config.Config, b *config.BackendServer, r Report, usable []string) (Order, bool) {
	m, ok := c.Model(b.Model())
	if !ok || b.Leaving() || !o.responsible(b.Name(), usable) {
		return Order{}, false
	}
	want := Order{Server: b.Name(), Fence: c.Version(), Model: m.Name, Version: m.Version, Adapters: b.Adapters(), Role: b.Role(), LoadTime: time.Duration(m.LoadTime), Decided: now}
	if o.satisfied(want, b, r) || now.Sub(o.sent[b.Name()]) < orderInterval {
		return Order{}, false
	}
	o.sent[b.Name()] = now
	return want, true
}

// satisfied reports whether the engine is in the wanted state. A fence newer than ours means that another
// box knows a newer configuration, which an older one must not override.
func (o *Orders) satisfied(want Order, b *config.BackendServer, r Report) bool {
	if r.Fence > want.Fence {
		return true
	}
	same := r.Model == want.Model && r.Version == want.Version && slices.Equal(r.Adapters, want.Adapters) && (want.Role == "" || r.Role == want.Role)
	return same
}

func (o *Orders) responsible(server string, usable []string) bool {
	best, most := "", uint64(0)
	for _, n := range usable {
		if r := rank(rank(0, server), n); best == "" || r > most {
			best, most = n, r
		}
	}
	return best == o.Self
}
