package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// published holds the two documents of the platform: the configuration and the list of servers.
type published struct {
	gateway *Gateway

	applying sync.Mutex // held while pools and schedulers get their servers, so that the newest change wins

	mu          sync.Mutex
	catalogs    *catalog.Feed
	lists       *catalog.Feed
	held        *catalog.Catalog
	list        *catalog.List    // of servers, as published
	registry    catalog.Registry // this box's view of the servers
	evacuations catalog.Evacuations
	eras        eras
	known       bool // a list of servers has been received
	source      catalogSource
	partial     partialDocument
}

func (p *published) init(g *Gateway) {
	p.gateway = g
	p.catalogs = catalog.NewFeed(g.ID.Name)
	p.lists = catalog.NewFeed(g.ID.Name)
	for _, f := range []*catalog.Feed{p.catalogs, p.lists} {
		f.Started = g.startedAt
		f.First = len(g.Settings.Seeds) == 0 || slices.Contains(g.Settings.Seeds, g.Settings.Address)
	}
	p.list = catalog.NewList()
	p.source.init(g)
}

func (p *published) hasServers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known
}

// confirmedAt returns when both documents were last known to be the newest.
func (p *published) confirmedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, b := p.catalogs.Confirmed(), p.lists.Confirmed()
	if a.Before(b) {
		return a
	}
	return b
}

// catalogBehind returns for how long a newer configuration than the held one has been known.
func (p *published) catalogBehind(now time.Time) time.Duration {
	since, _, _ := p.behind(port.DocumentConfig)
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// catalogAge returns the time since the catalog was last known to be the newest.
func (p *published) catalogAge(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.catalogs.Confirmed())
}

// fillStatements fills the statements on documents in a heartbeat.
func (p *published) fillStatements(now time.Time, b *core.Beat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.Config, b.List = p.catalogs.Statement(now), p.lists.Statement(now)
	p.fillEra(now, b)
}

// mergeStatements merges the statements of a heartbeat and reports whether a newer document than a held one is known.
func (p *published) mergeStatements(b core.Beat, askedAt time.Time) (behind bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, held := p.gateway.now(), p.heldRevision(port.DocumentServers)
	p.decodeRevisions(&b)
	p.catalogs.HandleStatement(now, b.From.ID.Name, b.Config, askedAt)
	p.lists.HandleStatement(now, b.From.ID.Name, b.List, askedAt)
	p.confirmList(now)
	revision := p.heldRevision(port.DocumentServers)
	p.gateway.reportRestore(p.advanceEra(revision.Era()), held, revision, b.From.ID.Name)
	if b.Settled {
		p.registry.Settle(now, catalog.ListRevision(catalog.State(b.List.Version)).Era())
	}
	if u := b.Unanswered; u != nil {
		p.feed(u.Document).HandleUnanswered(now, b.From.ID.Name, int(u.Round))
	}
	config, _ := p.catalogs.Behind()
	list, _ := p.lists.Behind()
	return !config.IsZero() || !list.IsZero()
}

// empty reports whether this box lacks one of the documents.
func (p *published) empty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.catalogs.AsOf() == 0 || p.lists.AsOf() == 0
}

// resumed records that this process was paused since a time.
func (p *published) resumed(now, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.catalogs.NotePause(now, since)
	p.lists.NotePause(now, since)
	p.registry.EndGrace(now)
}

func (p *published) forget(box string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.catalogs.Forget(box)
	p.lists.Forget(box)
}

// catalogStatement returns this box's statement on the catalog that it holds.
func (p *published) catalogStatement(now time.Time) core.Statement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.catalogs.Statement(now)
}

// heldCatalog returns the configuration in force, nil for none.
func (p *published) heldCatalog() *catalog.Catalog {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// listAge returns the time since the list of servers was last known to be the newest.
func (p *published) listAge(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.lists.Confirmed())
}

// applyCatalog puts a catalog in force unless it is older than the current one. readAt is zero if it came from
// a peer; raw is its encoded form, nil if unknown. If the store returns a version below the one in force,
// which it lost, only the evacuations are applied.
func (g *Gateway) applyCatalog(c *catalog.Catalog, raw []byte, asOf catalog.State, readAt time.Time, from string) {
	p := &g.published
	if raw == nil && (p.heldCatalog() == nil || c.Version > p.heldCatalog().Version) {
		raw = g.encode(c)
	}
	p.mu.Lock()
	now, before := p.gateway.now(), p.held
	if before != nil && c.Version < before.Version {
		if readAt.IsZero() {
			p.mu.Unlock()
			return
		}
		c, raw = before.WithEvacuated(c.Evacuated), nil
	}
	digest := c.Digest()
	behindSince, _ := p.catalogs.Behind()
	held, revision := p.catalogs.Statement(now), catalog.ConfigRevision(asOf)
	heldRevision := catalog.ConfigRevision(catalog.State(held.Version))
	changed := false
	if readAt.IsZero() {
		changed = p.catalogs.ApplyPull(now, asOf, digest, c.Version)
	} else {
		changed = p.catalogs.ApplyRead(readAt, asOf, digest, c.Version)
	}
	rise := p.advanceEra(revision.Era())
	if !changed {
		p.mu.Unlock()
		g.reportRestore(rise, heldRevision, revision, from)
		if !readAt.IsZero() && digest != held.Digest {
			g.logIgnoredState(port.DocumentConfig, revision, heldRevision, digest, held.Digest)
		}
		return
	}
	if raw == nil {
		raw = g.encode(c)
	}
	p.held = c
	evacuations := p.evacuations.ApplyConfig(now, c.Evacuated, revision, heldRevision.Era())
	kept := p.evacuations.Unlisted()
	p.source.setCurrent(digest, raw)
	g.index.Store(catalog.NewIndex(c))
	p.mu.Unlock()
	g.reportRestore(rise, heldRevision, revision, from)
	g.Log.Info("configuration in force", "version", c.Version, "revision", revision, "from", from, "pipelines", len(c.Pipelines), "workspaces", len(c.Workspaces), "evacuated", c.Evacuated, "kept_evacuated", kept, "held_version", before.VersionOrZero(), "behind_ms", milliseconds(g.now(), behindSince))
	g.logChanges(c.Version, catalog.ChangesOf(before, c))
	if before == nil || evacuations {
		g.applyAll()
	} else {
		g.schedulers.takeLimits()
	}
	g.announce()
}

// encode returns a catalog in the encoding used between boxes, nil if that fails; this box then sends it to
// nobody.
func (g *Gateway) encode(c *catalog.Catalog) []byte {
	out := *c
	out.Bounded = true
	raw, err := msgpack.Marshal(&out)
	if err != nil {
		g.Log.Error("configuration can't be encoded", "version", c.Version, "cause", err.Error())
		return nil
	}
	return raw
}

// logChanges logs what a version changes, with shortened lists of names.
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
			line = append(line, f.name, len(f.list), f.name+"_names", firstNames(f.list))
		}
	}
	g.Log.Info("configuration changes", line...)
}
