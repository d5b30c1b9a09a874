package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/pack"
	"github.com/stilemast/stilemast/src/port"
)

// catalogSource holds what a box needs to send configurations to others: the encoded catalogs that it holds
// or held, and how much of its link is reserved.
type catalogSource struct {
	gateway *Gateway

	mu            sync.Mutex
	held          encoded
	past          []encoded // earlier ones, newest first
	packs         []packed  // cached, newest last
	reservedUntil time.Time // end of the link time reserved for transfers
	holders       []string  // boxes that recently received the newest catalog, latest last

	packing sync.Mutex // held while packing, so that concurrent pulls share the result
}

// encoded is a catalog in the encoding used between boxes.
type encoded struct {
	digest string
	raw    []byte
}

// packed is a compressed encoded catalog, whole or as the difference to another.
type packed struct {
	asOf         uint64 // state at which it was the newest
	digest, base string
	bytes        []byte
	sum          uint64
}

func (v *catalogSource) init(g *Gateway) { v.gateway = g }

// setCurrent records the catalog in force.
func (v *catalogSource) setCurrent(digest string, raw []byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.held.raw != nil {
		v.past = slices.Insert(v.past, 0, v.held)
	}
	v.held = encoded{digest: digest, raw: raw}
	v.holders = nil
	total := 0
	for i, e := range v.past {
		total += len(e.raw)
		if i > 0 && (i >= maxPastCatalogs || total > maxPastBytes) {
			v.past = v.past[:i]
			break
		}
	}
}

// raw returns the encoded catalog with a digest, nil if it is no longer kept.
func (v *catalogSource) raw(digest string) []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.held.digest == digest {
		return v.held.raw
	}
	for _, e := range v.past {
		if e.digest == digest {
			return e.raw
		}
	}
	return nil
}

// base returns the first of the digests whose catalog is kept here, "" for none.
func (v *catalogSource) base(held []string) string {
	for _, d := range held {
		if v.raw(d) != nil {
			return d
		}
	}
	return ""
}

// pack returns a packed catalog, made once for all pulls, or nil if the catalog is no longer kept.
func (v *catalogSource) pack(asOf uint64, digest, base string) *packed {
	v.packing.Lock()
	defer v.packing.Unlock()
	for i := range v.packs {
		if v.packs[i].digest == digest && v.packs[i].base == base {
			return &v.packs[i]
		}
	}
	raw := v.raw(digest)
	if raw == nil {
		return nil
	}
	p := packed{asOf: asOf, digest: digest, base: base}
	p.bytes = pack.Pack(raw, v.raw(base)) // an unset base has an empty digest
	p.sum = catalog.Hash(string(p.bytes))
	v.packs = append(slices.Clone(v.packs[max(0, len(v.packs)+1-maxPacks):]), p)
	return &v.packs[len(v.packs)-1]
}

// bySum returns a packed catalog that another box has begun to pull, nil if it is no longer cached.
func (v *catalogSource) bySum(sum uint64) *packed {
	v.packing.Lock()
	defer v.packing.Unlock()
	for i := range v.packs {
		if v.packs[i].sum == sum {
			return &v.packs[i]
		}
	}
	return nil
}

// reserveLink reserves link time for a transfer. If too much is reserved already, it returns how long to wait
// instead.
func (v *catalogSource) reserveLink(now time.Time, bytes int) (wait time.Duration) {
	link := v.gateway.Settings.Capacity.Link
	if link == 0 {
		link = assumedLink
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if ahead := now.Add(linkReserveAhead); v.reservedUntil.After(ahead) {
		return v.reservedUntil.Sub(ahead)
	}
	if v.reservedUntil.Before(now) {
		v.reservedUntil = now
	}
	v.reservedUntil = v.reservedUntil.Add(time.Duration(float64(bytes) * 8 / (linkShare * float64(link) * 1e6) * float64(time.Second)))
	return 0
}

// noteHolder records a box that received the newest catalog.
func (v *catalogSource) noteHolder(box string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if box != "" && !slices.Contains(v.holders, box) {
		v.holders = append(v.holders[max(0, len(v.holders)+1-maxNamedHolders):], box)
	}
}

func (v *catalogSource) namedHolders() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.holders)
}

// answerPull answers another box's pull of a document.
func (g *Gateway) answerPull(q *port.PullPublished) *port.Published {
	d := g.documentFor(q)
	d.Built = true
	g.published.encodeRevisions(q.Document, d)
	return d
}

func (g *Gateway) documentFor(q *port.PullPublished) *port.Published {
	if q.Document == port.DocumentConfig {
		return g.catalogPart(q)
	}
	p := &g.published
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.lists.Statement(g.now())
	for _, base := range q.Held {
		if d, ok := p.list.DifferenceSince(base); ok {
			return &port.Published{AsOf: st.Version, Digest: p.list.Digest(), Since: &d, Base: base}
		}
	}
	return &port.Published{AsOf: st.Version, Digest: p.list.Digest(), Servers: p.list.Servers()}
}

func (g *Gateway) catalogPart(q *port.PullPublished) *port.Published {
	v := &g.published.source
	st := g.published.catalogStatement(g.now())
	if st.Version == 0 {
		return &port.Published{}
	}
	pk := v.bySum(q.Sum)
	if pk == nil || q.Offset == 0 {
		if pk = v.pack(st.Version, st.Digest, v.base(q.Held)); pk == nil {
			return &port.Published{}
		}
		if pk.sum != q.Sum {
			q.Offset = 0 // the pull began with other bytes
		}
		if wait := v.reserveLink(g.now(), len(pk.bytes)-q.Offset); wait > 0 {
			return g.refuseCatalog(q, st, wait)
		}
		g.Log.Info("document sent", "document", q.Document, "to", q.From, "revision", catalog.ConfigRevision(catalog.State(st.Version)), "base", pk.base, "bytes", len(pk.bytes), "offset", q.Offset)
	}
	if q.Offset < 0 || q.Offset >= len(pk.bytes) {
		q.Offset = 0
	}
	out := &port.Published{AsOf: pk.asOf, Digest: pk.digest, Base: pk.base}
	if pk.digest == st.Digest {
		out.AsOf = st.Version
	}
	end := min(len(pk.bytes), q.Offset+partBytes)
	out.Part = &port.Part{Bytes: pk.bytes[q.Offset:end], Offset: q.Offset, Size: len(pk.bytes), Sum: pk.sum}
	if end == len(pk.bytes) {
		v.noteHolder(q.From)
	}
	return out
}

// refuseCatalog refuses a pull while the link is reserved and names other boxes that hold the catalog.
func (g *Gateway) refuseCatalog(q *port.PullPublished, st core.Statement, wait time.Duration) *port.Published {
	named := g.published.source.namedHolders()
	g.Log.Info("document pull refused, link is reserved", "document", q.Document, "to", q.From, "revision", catalog.ConfigRevision(catalog.State(st.Version)), "wait_ms", wait.Milliseconds(), "named", named)
	return &port.Published{AsOf: st.Version, Digest: st.Digest, Busy: &port.Busy{For: wait, Holders: named}}
}
