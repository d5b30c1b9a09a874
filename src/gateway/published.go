package gateway

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// published holds the two documents of the platform.
type published struct {
	gateway *Gateway

	applying sync.Mutex // held while pools and schedulers are given their servers, so that the newest list wins

	mu       sync.Mutex
	catalogs *catalog.Feed
	lists    *catalog.Feed
	held     *catalog.Catalog
	servers  map[string]catalog.Server
	known    bool // a list of servers was seen
	digest   string
	history  catalog.History // changes of the list
	recent   []recentList    // the latest lists, the newest last
}

// recentList is a list that this box holds or held. Boxes follow different readers, so a peer may know
// an earlier list of this box and not the last.
type recentList struct {
	digest  string
	servers map[string]catalog.Server // must not change
}

func (p *published) init(g *Gateway) {
	p.gateway = g
	p.catalogs = catalog.NewFeed(g.ID.Name)
	p.lists = catalog.NewFeed(g.ID.Name)
	p.servers = map[string]catalog.Server{}
}

func (p *published) hasServers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known
}

// confirmedAt is when both documents were last known to be the newest.
func (p *published) confirmedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, b := p.catalogs.Confirmed(), p.lists.Confirmed()
	if a.Before(b) {
		return a
	}
	return b
}

// catalogAge is how long ago the catalog was last known to be the newest.
func (p *published) catalogAge(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.catalogs.Confirmed())
}

// say fills the statements of a heartbeat.
func (p *published) say(now time.Time, b *core.Beat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.Config, b.List = p.catalogs.Say(now), p.lists.Say(now)
}

// hear takes the statements of a heartbeat.
func (p *published) hear(b core.Beat, askedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.gateway.now()
	p.catalogs.Hear(now, b.From.ID.Name, b.Config, askedAt)
	p.lists.Hear(now, b.From.ID.Name, b.List, askedAt)
}

func (p *published) forget(box string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.catalogs.Forget(box)
	p.lists.Forget(box)
}

// answer gives a document to another box.
func (p *published) answer(q port.PullPublished) *port.Published {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q.Document == port.DocumentConfig {
		st := p.catalogs.Say(p.gateway.now())
		return &port.Published{AsOf: st.Version, Digest: st.Digest, Catalog: p.held}
	}
	st := p.lists.Say(p.gateway.now())
	for _, base := range q.Held {
		if d, ok := p.history.Since(base); ok {
			return &port.Published{AsOf: st.Version, Digest: p.digest, Since: &d, Base: base}
		}
	}
	return &port.Published{AsOf: st.Version, Digest: p.digest, Servers: p.list()}
}

// heldServers lists the servers that this box believes in.
func (p *published) heldServers() []catalog.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list()
}

func (p *published) list() []catalog.Server {
	out := make([]catalog.Server, 0, len(p.servers))
	for _, s := range p.servers {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// takeCatalog puts a catalog in force unless it is older than the one that is. readAt is zero when
// it came from a peer.
func (g *Gateway) takeCatalog(c *catalog.Catalog, asOf uint64, readAt time.Time, from string) {
	p := &g.published
	digest := strconv.FormatUint(c.Version, 10)
	p.mu.Lock()
	if p.held != nil && c.Version < p.held.Version {
		p.mu.Unlock()
		return
	}
	changed := false
	if readAt.IsZero() {
		changed = p.catalogs.Pulled(asOf, digest)
	} else {
		changed = p.catalogs.Read(readAt, asOf, digest)
	}
	if !changed {
		p.mu.Unlock()
		return
	}
	before := p.held
	p.held = c
	g.index.Store(catalog.NewIndex(c))
	p.mu.Unlock()
	g.Log.Info("configuration in force", "version", c.Version, "revision", asOf, "from", from, "pipelines", len(c.Pipelines), "workspaces", len(c.Workspaces))
	g.logChanges(c.Version, catalog.ChangesOf(before, c))
	g.applyServers(nil)
	g.announce()
}

// logChanges says what a version changes; lists of names are shortened.
func (g *Gateway) logChanges(version uint64, c catalog.Changes) {
	line := []any{"version", version}
	for _, f := range []struct {
		name string
		list []string
	}{
		{"pipelines_added", c.PipelinesAdded}, {"pipelines_removed", c.PipelinesRemoved}, {"pipelines_changed", c.PipelinesChanged},
		{"pools_changed", c.PoolsChanged}, {"tokens_added_of", c.TokensAdded}, {"tokens_removed_of", c.TokensRemoved},
	} {
		if len(f.list) > 0 {
			line = append(line, f.name, len(f.list), f.name+"_names", firstOf(f.list))
		}
	}
	g.Log.Info("configuration changes", line...)
}

// takeServers takes a list of servers in a state (catalog.Listing.State). readAt is zero when it came
// from a peer.
func (g *Gateway) takeServers(list []catalog.Server, asOf uint64, readAt time.Time, from string) {
	after := make(map[string]catalog.Server, len(list))
	for _, s := range list {
		after[s.ID] = s
	}
	g.takeServerMap(after, asOf, readAt, from)
}

// takeServerMap takes a list of servers by id, which must not change any more.
func (g *Gateway) takeServerMap(after map[string]catalog.Server, asOf uint64, readAt time.Time, from string) {
	p := &g.published
	digest := catalog.Digest(after)
	p.mu.Lock()
	changed := false
	if readAt.IsZero() {
		changed = p.lists.Pulled(asOf, digest)
	} else {
		changed = p.lists.Read(readAt, asOf, digest)
	}
	p.known = true
	if !changed {
		p.mu.Unlock()
		return
	}
	before := p.servers
	change := catalog.Diff(before, after)
	p.history.Add(p.digest, digest, change)
	p.servers, p.digest = after, digest
	p.recent = append(p.recent[max(0, len(p.recent)+1-recentLists):], recentList{digest: digest, servers: after})
	p.mu.Unlock()
	g.logServers(before, change, asOf, from)
	g.applyServers(poolsOf(before, change))
	g.announce()
}

// poolsOf names the pools that a change touches.
func poolsOf(before map[string]catalog.Server, change catalog.Difference) map[string]bool {
	out := map[string]bool{}
	for _, s := range change.Put {
		out[s.Pool] = true
		out[before[s.ID].Pool] = true
	}
	for _, id := range change.Gone {
		out[before[id].Pool] = true
	}
	return out
}

func (g *Gateway) logServers(before map[string]catalog.Server, change catalog.Difference, state uint64, from string) {
	for _, s := range change.Put {
		if old, ok := before[s.ID]; !ok || old.Draining != s.Draining {
			g.Log.Info("server listed", "server", s.ID, "pool", s.Pool, "domain", s.Domain, "draining", s.Draining, "revision", catalog.RevisionOf(state), "from", from)
		}
	}
	for _, id := range change.Gone {
		g.Log.Info("server gone", "server", id, "pool", before[id].Pool, "revision", catalog.RevisionOf(state), "from", from)
	}
}

// applyServers gives pools and schedulers the servers that take new work; nil touches all pools.
func (g *Gateway) applyServers(touched map[string]bool) {
	by := map[string][]catalog.Server{}
	for name := range touched {
		by[name] = nil
	}
	p := &g.published
	p.applying.Lock()
	defer p.applying.Unlock()
	p.mu.Lock()
	for _, s := range p.servers {
		if !s.Draining && (touched == nil || touched[s.Pool]) {
			by[s.Pool] = append(by[s.Pool], s)
		}
	}
	p.mu.Unlock()
	g.pools.configure(by, touched == nil)
	g.desk.configure(by, touched == nil)
}

// mayUse says whether a server still takes new work, as far as this box knows.
func (g *Gateway) mayUse(id string) bool {
	p := &g.published
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.servers[id]
	return ok && !s.Draining
}

// pullPublished asks peers for what they hold newer.
func (g *Gateway) pullPublished(ctx context.Context) {
	now := g.now()
	p := &g.published
	p.mu.Lock()
	fromCatalog, fromList := p.catalogs.Pull(now), p.lists.Pull(now)
	p.mu.Unlock()
	if fromCatalog != "" {
		go g.pull(ctx, fromCatalog, port.DocumentConfig)
	}
	if fromList != "" {
		go g.pull(ctx, fromList, port.DocumentServers)
	}
}

func (g *Gateway) pull(ctx context.Context, from, document string) {
	ctx, cancel := context.WithTimeout(ctx, pullTime)
	defer cancel()
	address := g.fleet.addressOf(from)
	var d *port.Published
	if address != "" {
		a, err := g.Peers.Ask(ctx, address, port.Question{Publish: g.published.question(document)})
		if err == nil {
			d = a.Publish
		}
	}
	if d == nil || d.AsOf == 0 {
		g.published.mu.Lock()
		g.published.catalogs.PullFailed(from)
		g.published.lists.PullFailed(from)
		g.published.mu.Unlock()
		return
	}
	switch {
	case document == port.DocumentServers && d.Since != nil:
		g.takeDifference(d, from)
	case document == port.DocumentServers:
		g.takeServers(d.Servers, d.AsOf, time.Time{}, from)
	case d.Catalog != nil:
		g.takeCatalog(d.Catalog, d.AsOf, time.Time{}, from)
	}
}

// question asks for a document; of the list of servers only what differs from one that is known here.
func (p *published) question(document string) *port.PullPublished {
	q := &port.PullPublished{Document: document}
	if document == port.DocumentServers {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, r := range slices.Backward(p.recent) {
			q.Held = append(q.Held, r.digest)
		}
	}
	return q
}

// recentServers is a copy of a list that this box holds or held, nil when it is not known any more.
func (p *published) recentServers(digest string) map[string]catalog.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.recent {
		if r.digest == digest {
			return maps.Clone(r.servers)
		}
	}
	return nil
}

// takeDifference takes a list of servers that was told as a difference to another. When that other is
// not known any more, the list is asked for again.
func (g *Gateway) takeDifference(d *port.Published, from string) {
	p := &g.published
	after := p.recentServers(d.Base)
	if after != nil {
		d.Since.Apply(after)
	}
	if after == nil || catalog.Digest(after) != d.Digest {
		g.Log.Warn("difference of servers does not fit", "from", from, "revision", catalog.RevisionOf(d.AsOf))
		p.mu.Lock()
		p.lists.PullFailed(from)
		p.mu.Unlock()
		return
	}
	g.takeServerMap(after, d.AsOf, time.Time{}, from)
}
