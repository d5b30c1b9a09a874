package gateway

import (
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
	"github.com/stilemast/stilemast/src/pushback"
)

// eras is what a box knows of the store's eras.
type eras struct {
	newest catalog.Era // seen or heard of
	base   catalog.Era // from which boxes count the numbers that they tell one another: the earliest that any of them knows
	known  bool        // base is known
}

// takeEra notes an era. It gives the one before where the era rose: the store came back from an older copy. p.mu is held.
func (p *published) takeEra(era catalog.Era) (before catalog.Era) {
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

// confirmList has the registry know the era of the list that is held: the same list may be that of a later one. p.mu is held.
func (p *published) confirmList(now time.Time) {
	p.registry.Confirm(now, p.heldRevision(port.DocumentServers).Era())
}

// noteRise tells that the store came back from an older copy; before is 0 where it did not.
func (g *Gateway) noteRise(before catalog.Era, held, revision catalog.Revision, from string) {
	if before == 0 {
		return
	}
	g.Log.Warn("store restored from an older copy", "era", revision.Era(), "era_before", before, "revision", revision, "held_revision", held, "from", from)
	if g.Watch.Restored != nil {
		g.Watch.Restored()
	}
}

// tellEra fills a heartbeat with the era from which its numbers count, and with what no document of the newest era has. p.mu is held.
func (p *published) tellEra(now time.Time, b *core.Beat) {
	base := p.eras.base
	b.Era = uint64(base)
	b.Config.Version = catalog.ConfigToWire(p.catalogs.AsOf(), base)
	b.List.Version = catalog.ListToWire(p.lists.AsOf(), base)
	b.Settled = p.registry.Settled(now)
	b.Closures, b.Doubts = nil, nil
	for _, n := range p.closures.Notes(now, p.configEra(), pushback.MaxNotes) {
		b.Closures = append(b.Closures, core.ClosureNote{Domain: n.Domain, Closed: n.Evacuated, Revision: n.At.ToWire(base)})
	}
	for _, n := range p.registry.DoubtNotes(now, pushback.MaxNotes) {
		b.Doubts = append(b.Doubts, core.DoubtNote{Server: n.Server, Incarnation: int64(n.Incarnation), For: n.For})
	}
}

// configEra is the era of the configuration that is held. p.mu is held.
func (p *published) configEra() catalog.Era { return p.heldRevision(port.DocumentConfig).Era() }

// heardBase is the era from which a message's numbers count, 0 where it does not say: then as this box's. p.mu is held.
func (p *published) heardBase(era uint64) catalog.Era {
	e := &p.eras
	if era == 0 {
		return e.base
	}
	if !e.known || catalog.Era(era) < e.base {
		e.base, e.known = catalog.Era(era), true
	}
	return catalog.Era(era)
}

// checkNumbers compares a read that began at a time with what is held. The store never goes back within an era, so a held revision
// that is later counts from an earlier era than was taken: boxes of earlier releases tell none, and a box that first hears of one
// after a restore takes their numbers for the same.
func (g *Gateway) checkNumbers(document string, began time.Time, at catalog.Revision) {
	p := &g.published
	asOf := catalog.ConfigAt(at)
	if document == port.DocumentServers {
		asOf = catalog.ListAt(at)
	}
	p.mu.Lock()
	held := p.heldRevision(document)
	mistaken := at.Era() > 0 && held.Era() == at.Era() && p.feed(document).Renumber(began, asOf)
	if mistaken && p.eras.base >= at.Era() && at.Era() > 1 {
		p.eras.base = at.Era() - 1
	}
	p.mu.Unlock()
	if mistaken {
		g.Log.Warn("revisions of boxes that tell no era were taken for those of a later one", "document", document, "revision", at, "held_revision", held)
	}
}

// heldRevision is as of when the held document was the newest. p.mu is held.
func (p *published) heldRevision(document string) catalog.Revision {
	if document == port.DocumentConfig {
		return catalog.ConfigRevision(p.catalogs.AsOf())
	}
	return catalog.ListRevision(p.lists.AsOf())
}

// hearEra turns the numbers of a heartbeat into states. p.mu is held.
func (p *published) hearEra(b *core.Beat) {
	base := p.heardBase(b.Era)
	b.Config.Version = uint64(catalog.ConfigFromWire(b.Config.Version, base))
	b.List.Version = uint64(catalog.ListFromWire(b.List.Version, base))
}

// hearNotes takes what another box tells of evacuations and of servers that no document of the newest era has.
func (g *Gateway) hearNotes(b core.Beat) {
	if len(b.Closures)+len(b.Doubts) == 0 {
		return
	}
	p := &g.published
	now := g.now()
	p.mu.Lock()
	base, closed := p.heardBase(b.Era), false
	for _, n := range b.Closures[:min(len(b.Closures), pushback.MaxNotes)] {
		note := catalog.EvacuationNote{Domain: n.Domain, Evacuated: n.Closed, At: catalog.RevisionFromWire(n.Revision, base)}
		if p.closures.ApplyNote(now, note, p.configEra()) {
			closed = true
			g.Log.Warn("evacuation heard that the store does not say", "domain", n.Domain, "evacuated", n.Closed, "revision", note.At, "from", b.From.ID.Name)
		}
	}
	var doubted []catalog.Changed
	for _, n := range b.Doubts[:min(len(b.Doubts), pushback.MaxNotes)] {
		note := catalog.DoubtNote{Server: n.Server, Incarnation: catalog.Incarnation(n.Incarnation), For: n.For}
		if c, changed := p.registry.ApplyDoubt(now, note); changed {
			doubted = append(doubted, c)
			g.Log.Warn("server not used, had left before the store was restored", "server", n.Server, "for_ms", n.For.Milliseconds(), "from", b.From.ID.Name)
		}
	}
	p.mu.Unlock()
	if closed {
		g.applyAll()
	} else if len(doubted) > 0 {
		g.applyChanged(doubted)
	}
}

// liftClosures takes the operator's word that failure domains are not evacuated any more.
func (g *Gateway) liftClosures(domains []string, at catalog.Revision) {
	if len(domains) == 0 {
		return
	}
	p := &g.published
	p.mu.Lock()
	changed := p.closures.End(g.now(), domains, at)
	p.mu.Unlock()
	if changed {
		g.Log.Info("evacuations taken back", "domains", domains, "revision", at)
		g.applyAll()
		g.announce()
	}
}

// hearRestored takes that servers which a restored list names as working had said that they leave. All boxes are told as of a server's
// own word: one that started since knows of none.
func (g *Gateway) hearRestored(servers []catalog.Server) {
	now := g.now()
	var news []catalog.Server
	g.words.with(func(r *pushback.Register) {
		for _, s := range servers {
			if r.RecordLeaving(now, wordLife(s)) {
				news = append(news, s)
			}
		}
	})
	if len(news) > 0 {
		g.takeDepartures(news, "an earlier era of the store")
	}
}

// endDoubts takes servers back whose entries outlasted a lease since the store was restored.
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
	g.Log.Info("servers used again, their entries outlasted a lease", "servers", len(back), "names", firstOf(names))
	g.applyChanged(back)
}

// tellPublished turns the revisions of a document that is given into numbers.
func (p *published) tellPublished(document string, d *port.Published) {
	p.mu.Lock()
	base := p.eras.base
	p.mu.Unlock()
	d.Era = uint64(base)
	if document == port.DocumentConfig {
		d.AsOf = catalog.ConfigToWire(catalog.State(d.AsOf), base)
		return
	}
	d.AsOf = catalog.ListToWire(catalog.State(d.AsOf), base)
	eachEntry(d, func(s *catalog.Server) { s.Revision = catalog.Revision(s.Revision.ToWire(base)) })
}

// hearPublished turns the numbers of a document that another box gave into revisions.
func (p *published) hearPublished(document string, d *port.Published) {
	p.mu.Lock()
	base := p.heardBase(d.Era)
	p.mu.Unlock()
	if document == port.DocumentConfig {
		d.AsOf = uint64(catalog.ConfigFromWire(d.AsOf, base))
		return
	}
	d.AsOf = uint64(catalog.ListFromWire(d.AsOf, base))
	eachEntry(d, func(s *catalog.Server) { s.Revision = catalog.RevisionFromWire(uint64(s.Revision), base) })
}

func eachEntry(d *port.Published, do func(s *catalog.Server)) {
	for i := range d.Servers {
		do(&d.Servers[i])
	}
	if d.Since == nil {
		return
	}
	for i := range d.Since.Put {
		do(&d.Since.Put[i])
	}
}
