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

// taking is a packed catalog of which this box has some parts. They are kept when the box that gave
// them fails: another that packed the same gives the rest.
type taking struct {
	sum    uint64
	size   int
	base   string
	digest string
	bytes  []byte
	whole  bool // the difference did not fit: ask for the whole next
}

// pullPublished asks peers for what they hold newer.
func (g *Gateway) pullPublished(ctx context.Context) {
	now := g.now()
	links := g.fleet.links(now)
	p := &g.published
	p.mu.Lock()
	p.catalogs.Links, p.lists.Links = links, links
	fromCatalog, fromList := p.catalogs.Pull(now), p.lists.Pull(now)
	p.mu.Unlock()
	if fromCatalog != "" {
		go g.pull(ctx, fromCatalog, port.DocumentConfig)
	}
	if fromList != "" {
		go g.pull(ctx, fromList, port.DocumentServers)
	}
}

// pull takes a document of a box, in as many parts as it has.
func (g *Gateway) pull(ctx context.Context, from, document string) {
	began := g.now()
	p := &g.published
	for ctx.Err() == nil {
		d, err := g.askDocument(ctx, from, document)
		more := false
		if err == nil {
			more, err = g.takePublished(d, from, began)
		}
		busy := errors.Is(err, errBusy)
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
			feed.PullGoesOn(g.now())
		case busy:
			feed.PullBusy(g.now(), from, d.Busy.For)
		case err != nil:
			feed.PullFailed(g.now(), from) // another box gives what is missing
		default:
			feed.PullEnded(from)
		}
		p.mu.Unlock()
		if !more {
			return
		}
	}
}

// takePublished takes what a box gave. more says that parts are missing.
func (g *Gateway) takePublished(d *port.Published, from string, began time.Time) (more bool, err error) {
	switch {
	case d.Busy != nil:
		g.published.hearHolders(d)
		return false, errBusy
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
			return false, errUnbounded
		}
		if c.Digest() != d.Digest {
			return false, eris.Errorf("the configuration is %s and not %s", c.Digest(), d.Digest)
		}
		g.logPull(port.DocumentConfig, from, began, d, nil)
		g.takeCatalog(c, raw, catalog.State(d.AsOf), time.Time{}, from)
	case d.Since != nil:
		g.takeDifference(d, from)
	default:
		g.takeServers(serversByID(d.Servers), catalog.State(d.AsOf), time.Time{}, from)
	}
	return false, nil
}

var (
	errNotHeld = errors.New("the box does not hold the document")
	errBusy    = errors.New("the box gives others")
	errStrange = errors.New("the part does not follow those that are here")
	// errUnbounded keeps boundaries that a box of an earlier release left out from being taken for none: this box reads the store itself.
	errUnbounded = errors.New("the configuration comes from a release that knows no boundaries")
)

func (g *Gateway) askDocument(ctx context.Context, from, document string) (*port.Published, error) {
	address := g.fleet.addressOf(from)
	if address == "" {
		return nil, errors.New("the box's address is not known")
	}
	ctx, cancel := context.WithTimeout(ctx, partTime)
	defer cancel()
	a, err := g.Peers.Ask(ctx, address, port.Question{Publish: g.published.question(document)})
	switch {
	case err != nil:
		return nil, err
	case a.Publish == nil || a.Publish.AsOf == 0:
		return nil, errNotHeld
	}
	g.published.hearPublished(document, a.Publish)
	return a.Publish, nil
}

// addPart adds a part to those that are here, and gives the document when all are.
func (p *published) addPart(d *port.Published) (raw []byte, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := &p.taking
	if t.sum != d.Part.Sum || t.digest != d.Digest || t.base != d.Base {
		*t = taking{sum: d.Part.Sum, size: d.Part.Size, digest: d.Digest, base: d.Base}
	}
	if d.Part.Offset != len(t.bytes) || len(d.Part.Bytes) == 0 || d.Part.Size > mostPacked || len(t.bytes)+len(d.Part.Bytes) > t.size {
		*t = taking{}
		return nil, errStrange
	}
	t.bytes = append(t.bytes, d.Part.Bytes...)
	if len(t.bytes) < t.size {
		return nil, nil
	}
	done := *t
	*t = taking{}
	var base []byte
	if done.base != "" {
		base = p.given.raw(done.base)
	}
	if done.base != "" && base == nil || catalog.Hash(string(done.bytes)) != done.sum {
		t.whole = true
		return nil, errStrange
	}
	if raw, err = pack.Unpack(done.bytes, base); err != nil {
		t.whole = true
	}
	return raw, err
}

// hearHolders notes the boxes that a busy one names.
func (p *published) hearHolders(d *port.Published) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, box := range d.Busy.Holders {
		p.catalogs.Holds(box, catalog.State(d.AsOf), d.Digest)
	}
}

// question asks for a document; only for what differs from one that is known here, and only for what is
// missing of it.
func (p *published) question(document string) *port.PullPublished {
	q := &port.PullPublished{Document: document, From: p.gateway.ID.Name}
	p.mu.Lock()
	defer p.mu.Unlock()
	if document == port.DocumentServers {
		if p.known {
			q.Held = p.list.Held(namedLists)
		}
		return q
	}
	if p.held != nil && !p.taking.whole {
		q.Held = []string{p.held.Digest()}
	}
	q.Offset, q.Sum = len(p.taking.bytes), p.taking.sum
	return q
}

// logPull tells how asking a box for a document went. What the list of servers brings has lines of its own.
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
	if g.Watch.Pulled != nil {
		g.Watch.Pulled(document, ok, g.now().Sub(began))
	}
}

// milliseconds is how long ago something was, 0 when it was not.
func milliseconds(now, since time.Time) int64 {
	if since.IsZero() {
		return 0
	}
	return now.Sub(since).Milliseconds()
}

// behind is since when a newer state of a document is known than is held, its revision, and the revision held.
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

// feed is that of a document.
func (p *published) feed(document string) *catalog.Feed {
	if document == port.DocumentConfig {
		return p.catalogs
	}
	return p.lists
}
