package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/port"
)

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
