package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/candidates"
	"github.com/stilemast/stilemast/src/connections"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/exchange"
	"github.com/stilemast/stilemast/src/intake"
	"github.com/stilemast/stilemast/src/paths"
)

// heldPerWrite is the memory that a blocked write to a caller takes besides its data: the goroutine and buffers of its
// connection.
const heldPerWrite = 32 << 10

// connectionShare returns this box's part of the connections that each server of a pool accepts from all boxes.
func (g *Gateway) connectionShare(pool string) connections.Share {
	x := g.index.Load()
	if x == nil {
		return connections.Share{}
	}
	p := x.Pool(pool)
	if p == nil || !g.Settings.Policy.ConnectionShares.Enabled(p.Connections > 0) {
		return connections.Share{}
	}
	return connections.ShareOf(p.Connections, int(g.aliveBoxes.Load()))
}

// initMemory bounds what this box holds for callers: the bodies of requests, and answers that are read slowly.
func (g *Gateway) initMemory() {
	shares := intake.SharesOf(g.Settings.MemoryBytes)
	g.intake.Limit, g.answers.Limit, g.answers.Firm = shares.Bodies, shares.Answers, true
	g.writes = connections.Writes{
		Limit: shares.Answers, Overhead: heldPerWrite, Wanted: g.answers.Wanted, Exceeded: g.answers.Exceeded,
		Cut: func(held int64) {
			g.Log.Warn("caller cut off, it reads too slowly and the box holds too much", "held_bytes", held)
			if g.Observer.CutOff != nil {
				g.Observer.CutOff()
			}
		},
	}
}

// initPaths connects the router of connections to servers to this box.
func (g *Gateway) initPaths() {
	if g.Paths == nil {
		g.Paths = &paths.Router{}
	}
	r := g.Paths
	r.Self, r.Domain, r.Now, r.Log, r.Through, r.Tunnelled = g.ID.Name, g.Settings.FailureDomain, g.now, g.Log, g.Peers.Tunnel, g.Observer.Tunnelled
	r.Table.Now, r.Table.Log = g.now, g.Log
	r.Boxes = func() []candidates.Box { return g.fleet.boxesToAsk(g.now()) }
	r.MayAsk = func(domain string) bool {
		return g.Settings.Regions[domain] == g.Settings.Regions[g.Settings.FailureDomain]
	}
	r.Usable = func(box string) bool { return g.fleet.stateOf(box) == core.MemberAlive }
	r.Reserve = g.lendConnection
	r.MayCarry = func(to paths.Target) bool { return !g.Draining() && (g.Busy == nil || !g.Busy()) && g.lists(to) }
}

// lendConnection reserves one of this box's connections to a server for another box whose own are all open.
func (g *Gateway) lendConnection(to paths.Target) (release func(), ok bool) {
	share := g.connectionShare(to.Pool)
	if share.Open == 0 || g.Backends.Reserve == nil {
		return nil, false
	}
	return g.Backends.Reserve(to.Address, share.Lendable())
}

// announcePaths announces to which pools this box has no path, so that their duties move to boxes that have one.
func (g *Gateway) announcePaths() {
	pools := g.Paths.Tick()
	if slices.Equal(pools, g.noPath) {
		return
	}
	g.Log.Info("pools without a path announced", "pools", len(pools), "names", firstNames(pools), "before", len(g.noPath))
	g.noPath = pools
	g.fleet.setNoPath(pools)
	g.announce()
	g.schedulers.handOverAll()
}

// HandleMalformed records a malformed response of a server or of the store.
func (g *Gateway) HandleMalformed(from exchange.Target, err error) {
	source := cmp.Or(from.Pool, from.Server)
	g.Log.Warn("malformed response", "source", source, "server", from.Server, "address", from.Address, "cause", err.Error())
	if g.Observer.Malformed != nil {
		g.Observer.Malformed(source)
	}
}

// lists reports whether a server is listed at the address of a target.
func (g *Gateway) lists(to paths.Target) bool {
	p := &g.published
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.registry.Get(to.Server)
	return ok && s.Address == to.Address && s.Pool == to.Pool
}

// BeginWrite records a write to a caller; see connections.Writes.
func (g *Gateway) BeginWrite(bytes int, cut func()) *connections.Write {
	return g.writes.Begin(time.Now(), bytes, cut)
}

// Intake returns the account of the bodies of callers' requests.
func (g *Gateway) Intake() *intake.Account { return &g.intake }

// Answers returns the account of the answers that are read whole.
func (g *Gateway) Answers() *intake.Account { return &g.answers }
