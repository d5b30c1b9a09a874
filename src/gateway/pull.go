package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/pack"
	"github.com/stilemast/stilemast/src/port"
)

// partialDocument is a partially received packed catalog. Its parts are kept when the sending box fails: another box
// with the same packed bytes sends the rest.
type partialDocument struct {
	sum    uint64
	size   int
	base   string
	digest string
	bytes  []byte
	whole  bool // the difference did not apply: request the whole catalog next
}

// pullPublished pulls newer documents from peers.
func (g *Gateway) pullPublished(ctx context.Context) {
	now := g.now()
	links := g.fleet.links(now)
	p := &g.published
	p.mu.Lock()
	p.catalogs.Links, p.lists.Links = links, links
	fromCatalog, fromList := p.catalogs.NextPull(now), p.lists.NextPull(now)
	p.mu.Unlock()
	if fromCatalog != "" {
		go g.pull(ctx, fromCatalog, port.DocumentConfig)
	}
	if fromList != "" {
		go g.pull(ctx, fromList, port.DocumentServers)
	}
}

// pull requests a document from a box, part by part.
func (g *Gateway) pull(ctx context.Context, from, document string) {
	began := g.now()
	p := &g.published
	for ctx.Err() == nil {
		d, err := g.askDocument(ctx, from, document)
		more := false
		if err == nil {
			more, err = g.applyPulled(d, from, began)
		}
		busy := errors.Is(err, errPeerBusy)
		if !more && !busy {
			g.watchPull(document, began, err == nil)
		}
		if err != nil && !busy {
			g.logPull(document, from, began, d, err)
		}
		p.mu.Lock()
		feed := p.feed(document)
		switch {
		case more:
			feed.PullProgressed(g.now())
		case busy:
			feed.PullBusy(g.now(), from, d.Busy.For)
		case err != nil:
			feed.PullFailed(g.now(), from) // the rest is pulled from another box
		default:
			feed.PullEnded(from)
		}
		p.mu.Unlock()
		if !more {
			return
		}
	}
}

// applyPulled applies a box's answer to a pull. more reports whether parts are missing.
func (g *Gateway) applyPulled(d *port.Published, from string, began time.Time) (more bool, err error) {
	switch {
	case d.Busy != nil:
		g.published.recordHolders(d)
		return false, errPeerBusy
	case d.Part != nil:
		raw, err := g.published.addPart(d)
		if raw == nil || err != nil {
			return err == nil, err
		}
		c := &catalog.Catalog{}
		if err := msgpack.Unmarshal(raw, c); err != nil {
			return false, eris.Wrap(err, "configuration can't be decoded")
		}
		if !c.Bounded {
			return false, errNoBoundaries
		}
		if c.Digest() != d.Digest {
			return false, eris.Errorf("the configuration's digest is %s, want %s", c.Digest(), d.Digest)
		}
		g.logPull(port.DocumentConfig, from, began, d, nil)
		g.applyCatalog(c, raw, catalog.State(d.AsOf), time.Time{}, from)
	case !d.Built:
		return false, errNoBuilds
	case d.Since != nil:
		g.applyDifference(d, from)
	default:
		g.applyServers(catalog.ByID(d.Servers), catalog.State(d.AsOf), time.Time{}, from)
	}
	return false, nil
}

var (
	errNotHeld        = errors.New("the box does not hold the document")
	errPeerBusy       = errors.New("the box is busy sending to others")
	errUnexpectedPart = errors.New("the part does not follow those already received")
	// errNoBoundaries rejects a configuration from a release that drops boundaries, which would look as if there were
	// none: this box reads the store itself.
	errNoBoundaries = errors.New("the configuration comes from a release without support for boundaries")
	// errNoBuilds rejects a list of servers from a release that drops their builds: this box reads the store itself.
	errNoBuilds = errors.New("the list of servers comes from a release without support for builds")
)

// askDocument requests one part of a document from a box.
func (g *Gateway) askDocument(ctx context.Context, from, document string) (*port.Published, error) {
	address := g.fleet.addressOf(from)
	if address == "" {
		return nil, errors.New("the box's address is not known")
	}
	ctx, cancel := context.WithTimeout(ctx, partTime)
	defer cancel()
	a, err := g.Peers.Ask(ctx, address, port.Question{Publish: g.published.pullRequest(document)})
	switch {
	case err != nil:
		return nil, err
	case a.Publish == nil || a.Publish.AsOf == 0:
		return nil, errNotHeld
	}
	g.published.decodeDocument(document, a.Publish)
	return a.Publish, nil
}

// addPart adds a part to those received and returns the document when it is complete.
func (p *published) addPart(d *port.Published) (raw []byte, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := &p.partial
	if t.sum != d.Part.Sum || t.digest != d.Digest || t.base != d.Base {
		*t = partialDocument{sum: d.Part.Sum, size: d.Part.Size, digest: d.Digest, base: d.Base}
	}
	if d.Part.Offset != len(t.bytes) || len(d.Part.Bytes) == 0 || d.Part.Size > maxPackedBytes || len(t.bytes)+len(d.Part.Bytes) > t.size {
		*t = partialDocument{}
		return nil, errUnexpectedPart
	}
	t.bytes = append(t.bytes, d.Part.Bytes...)
	if len(t.bytes) < t.size {
		return nil, nil
	}
	done := *t
	*t = partialDocument{}
	var base []byte
	if done.base != "" {
		base = p.source.raw(done.base)
	}
	if done.base != "" && base == nil || catalog.Hash(string(done.bytes)) != done.sum {
		t.whole = true
		return nil, errUnexpectedPart
	}
	if raw, err = pack.Unpack(done.bytes, base); err != nil {
		t.whole = true
	}
	return raw, err
}

// recordHolders records the other holders that a busy box names.
func (p *published) recordHolders(d *port.Published) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, box := range d.Busy.Holders {
		p.catalogs.NoteHolder(box, catalog.State(d.AsOf), d.Digest)
	}
}

// pullRequest returns a pull of a document that asks only for the difference to a held one and only for the
// missing parts.
func (p *published) pullRequest(document string) *port.PullPublished {
	q := &port.PullPublished{Document: document, From: p.gateway.ID.Name}
	p.mu.Lock()
	defer p.mu.Unlock()
	if document == port.DocumentServers {
		if p.known {
			q.Held = p.list.KnownDigests(namedLists)
		}
		return q
	}
	if p.held != nil && !p.partial.whole {
		q.Held = []string{p.held.Digest()}
	}
	q.Offset, q.Sum = len(p.partial.bytes), p.partial.sum
	return q
}

// logPull logs the outcome of a pull. Changes of the list of servers have log lines of their own.
func (g *Gateway) logPull(document, from string, began time.Time, d *port.Published, err error) {
	took := g.now().Sub(began)
	since, newest, held := g.published.behind(document)
	line := []any{"document", document, "from", from, "took_ms", took.Milliseconds(), "held", held, "newest_known", newest, "behind_ms", milliseconds(g.now(), since)}
	if err == nil {
		g.Log.Info("document pulled", append(line, "revision", catalog.ConfigRevision(catalog.State(d.AsOf)), "bytes", d.Part.Size, "base", d.Base)...)
		return
	}
	var broken *port.InterruptedError
	if errors.As(err, &broken) {
		line = append(line, "got_bytes", broken.Got, "of_bytes", broken.Want)
	}
	g.Log.Warn("document pull failed", append(line, "cause", err.Error())...)
}

func (g *Gateway) watchPull(document string, began time.Time, ok bool) {
	if g.Observer.Pulled != nil {
		g.Observer.Pulled(document, ok, g.now().Sub(began))
	}
}

// milliseconds returns the time since an event, 0 if it has not happened.
func milliseconds(now, since time.Time) int64 {
	if since.IsZero() {
		return 0
	}
	return now.Sub(since).Milliseconds()
}

// behind returns since when a newer state of a document than the held one has been known, its revision and
// the held revision.
func (p *published) behind(document string) (since time.Time, newest, held catalog.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.feed(document)
	since, state := f.Behind()
	if document == port.DocumentConfig {
		return since, catalog.ConfigRevision(state), catalog.ConfigRevision(f.AsOf())
	}
	return since, catalog.ListRevision(state), catalog.ListRevision(f.AsOf())
}

// feed returns the feed of a document.
func (p *published) feed(document string) *catalog.Feed {
	if document == port.DocumentConfig {
		return p.catalogs
	}
	return p.lists
}
