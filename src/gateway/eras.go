package gateway

import (
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
	"github.com/stilemast/stilemast/src/pushback"
)

// eras is what a box knows of the store's eras. The store begins a new era when it is restored from an older
// copy.
type eras struct {
	newest catalog.Era // read from the store or received from a peer
	base   catalog.Era // the earliest era known to any box; revisions in messages count from it
	known  bool        // base is known
}

// advanceEra records an era. If it is newer than the known one, the store was restored from an older copy, and
// the previous era is returned. p.mu is held.
func (p *published) advanceEra(era catalog.Era) (before catalog.Era) {
	e := &p.eras
	if !e.known && era > 0 {
		e.base, e.known = era, true
	}
	if era <= e.newest {
		return 0
	}
	before, e.newest = e.newest, era
	if before > 0 {
		p.catalogs.Restored, p.lists.Restored = true, true
	}
	return before
}

// confirmList confirms the registry for the era of the held list; the same list may belong to a later era.
// p.mu is held.
func (p *published) confirmList(now time.Time) {
	p.registry.Confirm(now, p.heldRevision(port.DocumentServers).Era())
}

// reportRestore reports that the store was restored from an older copy; before is 0 if it was not.
func (g *Gateway) reportRestore(before catalog.Era, held, revision catalog.Revision, from string) {
	if before == 0 {
		return
	}
	g.Log.Warn("store restored from an older copy", "era", revision.Era(), "era_before", before, "revision", revision, "held_revision", held, "from", from)
	if g.Observer.Restored != nil {
		g.Observer.Restored()
	}
}

// fillEra fills a heartbeat with the base era of its revisions, and with evacuations and doubts about servers
// that no document of the newest era contains. p.mu is held.
func (p *published) fillEra(now time.Time, b *core.Beat) {
	base := p.eras.base
	b.Era = uint64(base)
	b.Config.Version = catalog.ConfigToWire(p.catalogs.AsOf(), base)
	b.List.Version = catalog.ListToWire(p.lists.AsOf(), base)
	b.Settled = p.registry.Settled(now)
	b.Closures, b.Doubts = nil, nil
	for _, n := range p.evacuations.Notes(now, p.configEra(), pushback.MaxNotes) {
		b.Closures = append(b.Closures, core.ClosureNote{Domain: n.Domain, Closed: n.Evacuated, Revision: n.At.ToWire(base)})
	}
	for _, n := range p.registry.DoubtNotes(now, pushback.MaxNotes) {
		b.Doubts = append(b.Doubts, core.DoubtNote{Server: n.Server, Incarnation: int64(n.Incarnation), For: n.For})
	}
}

// configEra returns the era of the held configuration. p.mu is held.
func (p *published) configEra() catalog.Era { return p.heldRevision(port.DocumentConfig).Era() }

// messageBase returns the base era of a message's revisions: this box's own if the message has none. p.mu is
// held.
func (p *published) messageBase(era uint64) catalog.Era {
	e := &p.eras
	if era == 0 {
		return e.base
	}
	if !e.known || catalog.Era(era) < e.base {
		e.base, e.known = catalog.Era(era), true
	}
	return catalog.Era(era)
}

// correctEra compares the revision of a read that began at a time with the held one. Within an era the
// store never goes back, so a held revision that is later belongs to an earlier era than assumed: boxes of
// earlier releases send no era, and a box that learns of one after a restore would assign their revisions to it.
func (g *Gateway) correctEra(document string, began time.Time, at catalog.Revision) {
	p := &g.published
	asOf := catalog.ConfigAt(at)
	if document == port.DocumentServers {
		asOf = catalog.ListAt(at)
	}
	p.mu.Lock()
	held, feed := p.heldRevision(document), p.feed(document)
	mistaken := at.Era() > 0 && held.Era() == at.Era() && feed.Renumber(began, asOf)
	if mistaken && p.eras.base >= at.Era() && at.Era() > 1 {
		p.eras.base = at.Era() - 1
	}
	unassigned := at.Era() > 1 && !p.eras.known && held.Number() > at.Number() && feed.HeldBefore(began)
	if unassigned {
		p.eras.base, p.eras.known = at.Era()-1, true
		p.catalogs.Restored, p.lists.Restored = true, true
	}
	p.mu.Unlock()
	switch {
	case mistaken:
		g.Log.Warn("revisions from boxes that send no era were assigned to a later era", "document", document, "revision", at, "held_revision", held)
	case unassigned:
		g.Log.Info("revisions from boxes that send no era belong to an earlier era", "document", document, "revision", at, "held_revision", held)
	}
}

// heldRevision returns the revision at which the held document was the newest. p.mu is held.
func (p *published) heldRevision(document string) catalog.Revision {
	if document == port.DocumentConfig {
		return catalog.ConfigRevision(p.catalogs.AsOf())
	}
	return catalog.ListRevision(p.lists.AsOf())
}

// decodeRevisions converts the revisions of a heartbeat into states. p.mu is held.
func (p *published) decodeRevisions(b *core.Beat) {
	base := p.messageBase(b.Era)
	b.Config.Version = uint64(catalog.ConfigFromWire(b.Config.Version, base))
	b.List.Version = uint64(catalog.ListFromWire(b.List.Version, base))
}

// mergeStoreNotes merges another box's notes on evacuations and doubted servers that no document of the newest era
// contains.
func (g *Gateway) mergeStoreNotes(b core.Beat) {
	if len(b.Closures)+len(b.Doubts) == 0 {
		return
	}
	p := &g.published
	now := g.now()
	p.mu.Lock()
	base, closed := p.messageBase(b.Era), false
	for _, n := range b.Closures[:min(len(b.Closures), pushback.MaxNotes)] {
		note := catalog.EvacuationNote{Domain: n.Domain, Evacuated: n.Closed, At: catalog.RevisionFromWire(n.Revision, base)}
		if p.evacuations.ApplyNote(now, note, p.configEra()) {
			closed = true
			g.Log.Warn("evacuation learned from a peer is missing in the store", "domain", n.Domain, "evacuated", n.Closed, "revision", note.At, "from", b.From.ID.Name)
		}
	}
	var doubted []catalog.Changed
	for _, n := range b.Doubts[:min(len(b.Doubts), pushback.MaxNotes)] {
		note := catalog.DoubtNote{Server: n.Server, Incarnation: catalog.Incarnation(n.Incarnation), For: n.For}
		if c, changed := p.registry.ApplyDoubt(now, note); changed {
			doubted = append(doubted, c)
			g.Log.Warn("server not used, it had left before the store was restored", "server", n.Server, "for_ms", n.For.Milliseconds(), "from", b.From.ID.Name)
		}
	}
	p.mu.Unlock()
	if closed {
		g.applyAll()
	} else if len(doubted) > 0 {
		g.applyChanged(doubted)
	}
}

// endEvacuations applies that the operator ended the evacuation of failure domains.
func (g *Gateway) endEvacuations(domains []string, at catalog.Revision) {
	if len(domains) == 0 {
		return
	}
	p := &g.published
	p.mu.Lock()
	changed := p.evacuations.End(g.now(), domains, at)
	p.mu.Unlock()
	if changed {
		g.Log.Info("evacuations ended", "domains", domains, "revision", at)
		g.applyAll()
		g.announce()
	}
}

// reannounceLeaving handles servers that a restored list names as working although they had signalled that they
// leave. All boxes are notified as if the server had signalled it now, because boxes that started since don't
// know.
func (g *Gateway) reannounceLeaving(servers []catalog.Server) {
	now := g.now()
	var updated []catalog.Server
	g.signals.With(func(r *pushback.Register) {
		for _, s := range servers {
			if r.RecordLeaving(now, signalServer(s)) {
				updated = append(updated, s)
			}
		}
	})
	if len(updated) > 0 {
		g.stopUsing(updated, "an earlier era of the store")
	}
}

// endDoubts readmits doubted servers whose entries outlasted a lease since the store was restored.
func (g *Gateway) endDoubts(now time.Time) {
	p := &g.published
	p.mu.Lock()
	back := p.registry.EndDoubts(now)
	p.mu.Unlock()
	if len(back) == 0 {
		return
	}
	names := make([]string, len(back))
	for i, c := range back {
		names[i] = c.ID
	}
	g.Log.Info("servers used again, their entries outlasted a lease after the restore", "servers", len(back), "names", firstNames(names))
	g.applyChanged(back)
}

// encodeRevisions converts the revisions of a document to be sent into numbers that count from the base era.
func (p *published) encodeRevisions(document string, d *port.Published) {
	p.mu.Lock()
	base := p.eras.base
	p.mu.Unlock()
	d.Era = uint64(base)
	if document == port.DocumentConfig {
		d.AsOf = catalog.ConfigToWire(catalog.State(d.AsOf), base)
		return
	}
	d.AsOf = catalog.ListToWire(catalog.State(d.AsOf), base)
	d.EachServer(func(s *catalog.Server) { s.Revision = catalog.Revision(s.Revision.ToWire(base)) })
}

// decodeDocument converts the numbers of a document received from another box into revisions.
func (p *published) decodeDocument(document string, d *port.Published) {
	p.mu.Lock()
	base := p.messageBase(d.Era)
	p.mu.Unlock()
	if document == port.DocumentConfig {
		d.AsOf = uint64(catalog.ConfigFromWire(d.AsOf, base))
		return
	}
	d.AsOf = uint64(catalog.ListFromWire(d.AsOf, base))
	d.EachServer(func(s *catalog.Server) { s.Revision = catalog.RevisionFromWire(uint64(s.Revision), base) })
}
