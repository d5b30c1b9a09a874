package gateway

import (
	"context"
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

	mu       sync.Mutex
	catalogs *catalog.Feed
	lists    *catalog.Feed
	held     *catalog.Catalog
	servers  map[string]catalog.Server
	known    bool // a list of servers was seen
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
	return &port.Published{AsOf: st.Version, Digest: st.Digest, Servers: p.list()}
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

// digestOf names the content of a list of servers.
func digestOf(list []catalog.Server) string {
	words := make([]string, 0, 4*len(list))
	for _, s := range list {
		words = append(words, s.ID, s.Pool, s.Address, s.Domain+strconv.FormatBool(s.Draining))
	}
	return strconv.FormatUint(catalog.Hash(words...), 36)
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
	p.held = c
	g.index.Store(catalog.NewIndex(c))
	p.mu.Unlock()
	g.Log.Info("configuration in force", "version", c.Version, "revision", asOf, "from", from, "pipelines", len(c.Pipelines), "workspaces", len(c.Workspaces))
	g.applyServers()
	g.announce()
}

// takeServers takes a list of servers as of a revision.
func (g *Gateway) takeServers(list []catalog.Server, asOf uint64, readAt time.Time, from string) {
	p := &g.published
	digest := digestOf(list)
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
	p.servers = make(map[string]catalog.Server, len(list))
	for _, s := range list {
		p.servers[s.ID] = s
	}
	after := p.servers
	p.mu.Unlock()
	g.logServers(before, after, asOf, from)
	g.applyServers()
	g.announce()
}

func (g *Gateway) logServers(before, after map[string]catalog.Server, asOf uint64, from string) {
	for id, s := range after {
		if old, ok := before[id]; !ok || old.Draining != s.Draining {
			g.Log.Info("server listed", "server", id, "pool", s.Pool, "domain", s.Domain, "draining", s.Draining, "revision", asOf, "from", from)
		}
	}
	for id, s := range before {
		if _, ok := after[id]; !ok {
			g.Log.Info("server gone", "server", id, "pool", s.Pool, "revision", asOf, "from", from)
		}
	}
}

// applyServers gives pools and schedulers the servers that take new work.
func (g *Gateway) applyServers() {
	by := map[string][]catalog.Server{}
	p := &g.published
	p.mu.Lock()
	for _, s := range p.list() {
		if !s.Draining {
			by[s.Pool] = append(by[s.Pool], s)
		}
	}
	p.mu.Unlock()
	g.pools.configure(by)
	g.desk.configure(by)
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
		a, err := g.Peers.Ask(ctx, address, port.Question{Publish: &port.PullPublished{Document: document}})
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
	if document == port.DocumentServers {
		g.takeServers(d.Servers, d.AsOf, time.Time{}, from)
	} else if d.Catalog != nil {
		g.takeCatalog(d.Catalog, d.AsOf, time.Time{}, from)
	}
}
