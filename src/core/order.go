package core

import (
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/config"
)

// Order tells an engine what to hold or be. Its fence is the version of the accepted configuration
// that asks for it: two boxes that order by the same configuration order the same, and an engine
// that checks refuses whatever is older than what it took.
type Order struct {
	Server   string
	Fence    uint64
	Model    string
	Version  string
	Adapters []string
	Role     string
	LoadTime time.Duration // what the configuration says a load takes
	Decided  time.Time     // the order is void orderLife after this
}

// orderLife bounds how long a decided order may wait to be sent; a box that paused in between
// drops it and decides anew from what it then observes.
const orderLife = time.Second

// Void says whether too much time passed since the order was decided.
func (o Order) Void(now time.Time) bool { return now.Sub(o.Decided) > orderLife }

// Orders compares what a configuration asks of an engine with what the engine reports.
//
// An engine that checks fences needs one order per version. One that checks nothing may have taken
// an old order late, so what it reports is compared at each report and put right.
type Orders struct {
	Self string

	sent map[string]time.Time
}

// orderAgain is the least time between two orders to one engine.
const orderAgain = 2 * time.Second

// NewOrders has sent nothing yet.
func NewOrders(self string) *Orders { return &Orders{Self: self, sent: map[string]time.Time{}} }

// Decide gives the order an engine needs now, if this box is the one to send it. Boxes rank
// themselves for each engine; when their views differ two may send, which does no harm.
func (o *Orders) Decide(now time.Time, c *config.Config, b *config.BackendServer, r Report, usable []string) (Order, bool) {
	m, ok := c.Model(b.Model())
	if !ok || b.Leaving() || !o.responsible(b.Name(), usable) {
		return Order{}, false
	}
	want := Order{Server: b.Name(), Fence: c.Version(), Model: m.Name, Version: m.Version, Adapters: b.Adapters(), Role: b.Role(), LoadTime: time.Duration(m.LoadTime), Decided: now}
	if o.satisfied(want, b, r) || now.Sub(o.sent[b.Name()]) < orderAgain {
		return Order{}, false
	}
	o.sent[b.Name()] = now
	return want, true
}

// satisfied says whether the engine is as wanted. A fence newer than ours means that another box
// knows a newer configuration, which must not be overridden by an older one.
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
