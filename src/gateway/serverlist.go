package gateway

import (
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/port"
)

// listChange computes the change of the held list; false if it can't.
type listChange func(l *catalog.List) (catalog.Difference, bool)

// applyServers applies a whole list of servers by id. readAt is zero if it came from a peer.
func (g *Gateway) applyServers(after map[string]catalog.Server, asOf catalog.State, readAt time.Time, from string) {
	g.applyList(asOf, readAt, from, func(l *catalog.List) (catalog.Difference, bool) { return l.DifferenceTo(after), true })
}

// applyListing applies the changes that a reader of the store collected since this box last applied them. If
// another list came in between whose difference is unknown, it applies the whole list.
func (g *Gateway) applyListing(listing *catalog.Listing, asOf catalog.State, readAt time.Time) {
	base, since := listing.Changes()
	g.applyList(asOf, readAt, "store", func(l *catalog.List) (catalog.Difference, bool) {
		if d, ok := l.Rebase(base, since); ok && l.DigestAfter(d) == listing.Digest() {
			return d, true
		}
		return l.DifferenceTo(listing.Servers()), true
	})
}

// applyList applies a change of the list of servers; it returns false if the change can't be computed or does
// not match. Work and memory grow with the change, not with the list.
func (g *Gateway) applyList(asOf catalog.State, readAt time.Time, from string, change listChange) bool {
	p := &g.published
	p.mu.Lock()
	now := g.now()
	d, ok := change(p.list)
	if !ok {
		p.mu.Unlock()
		return false
	}
	digest, changed := p.list.DigestAfter(d), false
	held, revision := p.lists.Statement(now), catalog.ListRevision(asOf)
	if readAt.IsZero() {
		changed = p.lists.ApplyPull(now, asOf, digest, 0)
	} else {
		changed = p.lists.ApplyRead(readAt, asOf, digest, 0)
	}
	p.known = true
	rise, heldRevision := p.advanceEra(revision.Era()), catalog.ListRevision(catalog.State(held.Version))
	if !changed {
		p.confirmList(now)
		p.mu.Unlock()
		g.reportRestore(rise, heldRevision, revision, from)
		if !readAt.IsZero() && digest != held.Digest {
			g.logIgnoredState(port.DocumentServers, revision, heldRevision, digest, held.Digest)
		}
		return true
	}
	for i := range d.Put {
		d.Put[i].SetColdUntil(now, p.list.Get(d.Put[i].ID))
	}
	c := p.list.Apply(d)
	effects := p.registry.Apply(now, d, revision, p.lists.PlatformReturnedAt())
	listed := p.list.Len()
	p.mu.Unlock()
	g.reportRestore(rise, heldRevision, revision, from)
	g.logServers(c, listed, revision, from)
	g.logEffects(effects, revision, from)
	g.reannounceLeaving(effects.Leaving)
	g.applyChanged(effects.Changed)
	g.listEnds(c, effects)
	g.dropEarlierIncarnations(effects.Restarted, revision, from)
	g.announce()
	if len(effects.Doubted)+len(effects.Leaving) > 0 {
		g.sendBeatTo([]string{from}, g.newsBeat(now)) // the sender may have started since and know of neither
	}
	return true
}

// dropLapsed drops the servers whose entries vanished while the store was unavailable and did not return in
// time.
func (g *Gateway) dropLapsed(now time.Time) {
	p := &g.published
	p.mu.Lock()
	dropped := p.registry.DropLapsed(now, p.lists.PlatformAnswering(now))
	p.mu.Unlock()
	if len(dropped) == 0 {
		return
	}
	names := make([]string, len(dropped))
	for i, c := range dropped {
		names[i] = c.ID
	}
	g.Log.Warn("servers dropped, their entries did not return", "servers", len(dropped), "names", firstNames(names))
	g.applyChanged(dropped)
}

// logServers logs each server that is new, leaving or gone; many at once, as in a box's first list, get one
// line.
func (g *Gateway) logServers(change catalog.Change, listed int, revision catalog.Revision, from string) {
	g.logFaults(change, revision, from)
	if n := len(change.Put) + len(change.Gone); n > serverLines {
		g.Log.Info("servers changed", "listed", len(change.Put), "gone", len(change.Gone), "all", listed, "revision", revision, "from", from)
		return
	}
	for i := range change.Put {
		s := &change.Put[i]
		if s.Fault != "" {
			continue
		}
		if old := change.Before[s.ID]; old == nil || old.Draining != s.Draining {
			g.Log.Info("server listed", "server", s.ID, "pool", s.Pool, "build", s.Build, "domain", s.Domain, "draining", s.Draining, "revision", revision, "from", from)
		}
	}
	for _, id := range change.Gone {
		g.Log.Info("server gone", "server", id, "pool", change.Before[id].Pool, "revision", revision, "from", from)
	}
}

// logFaults logs entries without a usable server, once for each as long as its fault is the same.
func (g *Gateway) logFaults(change catalog.Change, revision catalog.Revision, from string) {
	lines := 0
	for i := range change.Put {
		s, old := &change.Put[i], change.Before[change.Put[i].ID]
		if s.Fault == "" || old != nil && old.Fault == s.Fault {
			continue
		}
		if g.Observer.Unusable != nil {
			g.Observer.Unusable(port.DocumentServers, s.Fault)
		}
		if lines++; lines <= serverLines {
			g.Log.Warn("server entry is not usable", "server", s.ID, "fault", s.Fault, "draining", s.Draining, "entry_revision", s.Revision, "revision", revision, "from", from)
		}
	}
}

// poolChange is a change of the servers of a pool that take new work.
type poolChange struct {
	put  []*catalog.Server
	gone []string
}

// applyChanged passes changed servers on to pools and schedulers.
func (g *Gateway) applyChanged(changed []catalog.Changed) {
	p := &g.published
	p.applying.Lock()
	defer p.applying.Unlock()
	by := map[string]*poolChange{}
	p.mu.Lock()
	for _, c := range changed {
		n := by[c.Pool]
		if n == nil {
			n = &poolChange{}
			by[c.Pool] = n
		}
		if s, ok := p.registry.Get(c.ID); ok && s.Pool == c.Pool && p.inUse(s) {
			n.put = append(n.put, s)
		} else {
			n.gone = append(n.gone, c.ID)
		}
	}
	p.mu.Unlock()
	for pool, n := range by {
		g.pools.change(pool, n)
		g.schedulers.change(pool, n)
	}
}

// applyAll sets the servers of all pools and schedulers.
func (g *Gateway) applyAll() {
	p := &g.published
	p.applying.Lock()
	defer p.applying.Unlock()
	by := map[string][]*catalog.Server{}
	p.mu.Lock()
	for _, s := range p.registry.Working("") {
		if p.inUse(s) {
			by[s.Pool] = append(by[s.Pool], s)
		}
	}
	p.mu.Unlock()
	g.pools.configure(by)
	g.schedulers.configure(by)
}

// serversOf lists the servers of a pool that take new work.
func (p *published) serversOf(pool string) []*catalog.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(p.registry.Working(pool), func(s *catalog.Server) bool { return !p.inUse(s) })
}

// mayUse reports whether a server still takes new work, as far as this box knows.
func (g *Gateway) mayUse(id string) bool {
	p := &g.published
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.registry.Get(id)
	return ok && p.inUse(s)
}

// inUse reports whether a listed server is neither in an evacuated failure domain nor leaving. A server's own
// signal overrides the list: while the store accepts no writes, the list keeps naming leaving servers as
// ready. p.mu is held.
func (p *published) inUse(s *catalog.Server) bool {
	return !p.evacuations.IsEvacuated(s.Domain) && !p.gateway.isLeaving(*s)
}

// applyDifference applies a list of servers sent as a difference to another. If that other list is no longer
// known, the list is pulled again.
func (g *Gateway) applyDifference(d *port.Published, from string) {
	asOf := catalog.State(d.AsOf)
	fits := g.applyList(asOf, time.Time{}, from, func(l *catalog.List) (catalog.Difference, bool) {
		change, known := l.Rebase(d.Base, *d.Since)
		return change, known && l.DigestAfter(change) == d.Digest
	})
	if !fits {
		g.Log.Warn("difference of the list of servers does not apply", "from", from, "revision", catalog.ListRevision(asOf))
		p := &g.published
		p.mu.Lock()
		p.lists.PullFailed(g.now(), from)
		p.mu.Unlock()
	}
}
