package gateway

import (
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/port"
)

// listChange works out how the list that this box holds changes; false where that can't be told.
type listChange func(l *catalog.List) (catalog.Difference, bool)

// takeServers takes a whole list of servers by id in a state. readAt is zero when it came from a peer.
func (g *Gateway) takeServers(after map[string]catalog.Server, asOf catalog.State, readAt time.Time, from string) {
	g.takeList(asOf, readAt, from, func(l *catalog.List) (catalog.Difference, bool) { return l.DifferenceTo(after), true })
}

// takeListing takes what a reader of the store follows: what has changed since this box took it last, unless another list
// came in between that this one can't tell the difference to.
func (g *Gateway) takeListing(listing *catalog.Listing, asOf catalog.State, readAt time.Time) {
	base, since := listing.Changes()
	g.takeList(asOf, readAt, "store", func(l *catalog.List) (catalog.Difference, bool) {
		if d, ok := l.Rebase(base, since); ok && l.DigestAfter(d) == listing.Digest() {
			return d, true
		}
		return l.DifferenceTo(listing.Servers()), true
	})
}

// takeList takes a change of the list of servers; false where it can't be told or does not fit. Work and memory grow with what
// changed and not with the list.
func (g *Gateway) takeList(asOf catalog.State, readAt time.Time, from string, change listChange) bool {
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
	rise, heldRevision := p.takeEra(revision.Era()), catalog.ListRevision(catalog.State(held.Version))
	if !changed {
		p.confirmList(now)
		p.mu.Unlock()
		g.noteRise(rise, heldRevision, revision, from)
		if !readAt.IsZero() && digest != held.Digest {
			g.logPassedOver(port.DocumentServers, revision, heldRevision, digest, held.Digest)
		}
		return true
	}
	for i := range d.Put {
		warm(now, p.list.Get(d.Put[i].ID), &d.Put[i])
	}
	c := p.list.Apply(d)
	effects := p.registry.Apply(now, d, revision, p.lists.PlatformReturnedAt())
	listed := p.list.Len()
	p.mu.Unlock()
	g.noteRise(rise, heldRevision, revision, from)
	g.logServers(c, listed, revision, from)
	g.logEffects(effects, revision, from)
	g.hearRestored(effects.Leaving)
	g.applyChanged(effects.Changed)
	g.listEnds(c, effects)
	g.takeRestarts(effects.Restarted, revision, from)
	g.announce()
	if len(effects.Doubted)+len(effects.Leaving) > 0 {
		g.tellBoxes([]string{from}, g.newsBeat(now)) // it may have started since, and know of neither
	}
	return true
}

// serversByID is a list of servers by id.
func serversByID(list []catalog.Server) map[string]catalog.Server {
	out := make(map[string]catalog.Server, len(list))
	for _, s := range list {
		out[s.ID] = s
	}
	return out
}

// dropLapsed gives up the servers whose entries went while the store was away and are not back in time.
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
	g.Log.Warn("servers given up that came back with no entry", "servers", len(dropped), "names", firstOf(names))
	g.applyChanged(dropped)
}

// warm notes until when a cold server is cold. An entry that says what it said before, nil for none, is no news.
func warm(now time.Time, old, s *catalog.Server) {
	switch {
	case s.Cold <= 0:
	case old != nil && old.Cold == s.Cold && old.Incarnation == s.Incarnation:
		s.ColdUntil = old.ColdUntil
	default:
		s.ColdUntil = now.Add(s.Cold)
	}
}

// logServers tells of each server that is new, leaving or gone; of many at once, as of a box's first list, in
// one line.
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
			g.Log.Info("server listed", "server", s.ID, "pool", s.Pool, "domain", s.Domain, "draining", s.Draining, "revision", revision, "from", from)
		}
	}
	for _, id := range change.Gone {
		g.Log.Info("server gone", "server", id, "pool", change.Before[id].Pool, "revision", revision, "from", from)
	}
}

// logFaults tells of entries that name no server to use, once for each as long as it says the same.
func (g *Gateway) logFaults(change catalog.Change, revision catalog.Revision, from string) {
	lines := 0
	for i := range change.Put {
		s, old := &change.Put[i], change.Before[change.Put[i].ID]
		if s.Fault == "" || old != nil && old.Fault == s.Fault {
			continue
		}
		if g.Watch.Refused != nil {
			g.Watch.Refused(port.DocumentServers, s.Fault)
		}
		if lines++; lines <= serverLines {
			g.Log.Warn("entry names no server to use", "server", s.ID, "fault", s.Fault, "draining", s.Draining, "entry_revision", s.Revision, "revision", revision, "from", from)
		}
	}
}

// poolChange is what changes in the servers of one pool that take new work.
type poolChange struct {
	put  []*catalog.Server
	gone []string
}

// applyChanged gives pools and schedulers the servers of which something has changed.
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
		g.desk.change(pool, n)
	}
}

// applyAll gives all pools and schedulers their servers anew.
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
	g.desk.configure(by)
}

// serversOf lists the servers of a pool that take new work.
func (p *published) serversOf(pool string) []*catalog.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(p.registry.Working(pool), func(s *catalog.Server) bool { return !p.inUse(s) })
}

// mayUse says whether a server still takes new work, as far as this box knows.
func (g *Gateway) mayUse(id string) bool {
	p := &g.published
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.registry.Get(id)
	return ok && p.inUse(s)
}

// inUse says whether a listed server's failure domain is not evacuated and it has not said that it leaves. Its own word counts
// whatever the list says: while the store takes no writes a list names leaving servers as ready for as long as that lasts.
// p.mu is held.
func (p *published) inUse(s *catalog.Server) bool {
	return !p.closures.IsEvacuated(s.Domain) && !p.gateway.leaves(*s)
}

// takeDifference takes a list of servers that was told as a difference to another. When that other is
// not known any more, the list is asked for again.
func (g *Gateway) takeDifference(d *port.Published, from string) {
	asOf := catalog.State(d.AsOf)
	fits := g.takeList(asOf, time.Time{}, from, func(l *catalog.List) (catalog.Difference, bool) {
		change, known := l.Rebase(d.Base, *d.Since)
		return change, known && l.DigestAfter(change) == d.Digest
	})
	if !fits {
		g.Log.Warn("difference of servers does not fit", "from", from, "revision", catalog.ListRevision(asOf))
		p := &g.published
		p.mu.Lock()
		p.lists.PullFailed(g.now(), from)
		p.mu.Unlock()
	}
}
