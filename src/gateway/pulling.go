package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
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
	began := g.now()
	d, err := g.askDocument(ctx, from, document)
	g.logPull(document, from, g.now().Sub(began), d, err)
	if err != nil {
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

// errNotHeld says that a box does not have the document that it was asked for.
var errNotHeld = errors.New("the box does not hold the document")

func (g *Gateway) askDocument(ctx context.Context, from, document string) (*port.Published, error) {
	address := g.fleet.addressOf(from)
	if address == "" {
		return nil, errors.New("the box's address is not known")
	}
	a, err := g.Peers.Ask(ctx, address, port.Question{Publish: g.published.question(document)})
	switch {
	case err != nil:
		return nil, err
	case a.Publish == nil || a.Publish.AsOf == 0:
		return nil, errNotHeld
	}
	return a.Publish, nil
}

// logPull tells how asking a box for a document went. What the list of servers brings has lines of its own.
func (g *Gateway) logPull(document, from string, took time.Duration, d *port.Published, err error) {
	if g.Watch.Pulled != nil {
		g.Watch.Pulled(document, err == nil, took)
	}
	since, newest, held := g.published.behind(document)
	line := []any{"document", document, "from", from, "took_ms", took.Milliseconds(), "held", held, "newest_known", newest, "behind_ms", milliseconds(g.now(), since)}
	if err == nil {
		if document == port.DocumentConfig {
			g.Log.Info("document pulled", append(line, "revision", d.AsOf)...)
		}
		return
	}
	var broken *port.Interrupted
	if errors.As(err, &broken) {
		line = append(line, "got_bytes", broken.Got, "of_bytes", broken.Want)
	}
	g.Log.Warn("document pull failed", append(line, "cause", err.Error())...)
}

// milliseconds is how long ago something was, 0 when it was not.
func milliseconds(now, since time.Time) int64 {
	if since.IsZero() {
		return 0
	}
	return now.Sub(since).Milliseconds()
}

// behind is since when a newer state of a document is known than is held, its revision, and the revision held.
func (p *published) behind(document string) (since time.Time, newest, held uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.feed(document)
	since, newest = f.Behind()
	return since, newest, f.AsOf()
}

// feed is that of a document.
func (p *published) feed(document string) *catalog.Feed {
	if document == port.DocumentConfig {
		return p.catalogs
	}
	return p.lists
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
