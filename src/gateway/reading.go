package gateway

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// reader paces one document's reads and tells of the store being lost and found again.
type reader struct {
	gateway  *Gateway
	document string
	feed     *catalog.Feed
	failures int
	relieves bool // it reads because others asked it to
}

// wait holds a reader until this box should read; it gives false when the context ended.
func (r *reader) wait(ctx context.Context) bool {
	g := r.gateway
	if r.failures > 0 {
		d := r.backoff()
		sleep(ctx, d/2+time.Duration(catalog.Hash(g.ID.Name, strconv.Itoa(r.failures))%uint64(d)))
	}
	for ctx.Err() == nil {
		living, chosen := g.fleet.usable(), g.fleet.readers(g.now())
		g.published.mu.Lock()
		r.feed.Chosen = chosen
		reads := r.feed.ShouldRead(g.now(), living)
		round, relieves := r.feed.ReadsForOthers(g.now())
		g.published.mu.Unlock()
		if relieves != r.relieves {
			r.relieves = relieves
			g.Log.Info("reading for others", "document", r.document, "reads", relieves, "round", round)
		}
		if reads {
			return true
		}
		sleep(ctx, notReading)
	}
	return false
}

// backoff is the pause after a failed read. Boxes that many others read before ask more rarely: whichever
// of them finds the store again, the rest hear of it, and every call counts while it is down.
func (r *reader) backoff() time.Duration {
	living := r.gateway.fleet.usable() // the feed ranks those chosen as it did when this box began to read
	most := maxBackoff * time.Duration(1+r.feed.ReadersAhead(living)/backoffBoxes)
	return min(most, readBackoff<<min(r.failures-1, mostBackoffs))
}

// ended notes how a read went.
func (r *reader) ended(err error) {
	g := r.gateway
	if g.Watch.StoreRead != nil {
		g.Watch.StoreRead(r.document, err == nil)
	}
	if err == nil {
		if r.failures > 0 {
			g.Log.Info("store regained", "document", r.document, "after_failures", r.failures)
		}
		r.failures = 0
		return
	}
	if r.failures == 0 {
		g.Log.Warn("store lost", "document", r.document, "cause", fmt.Sprint(err))
	}
	r.failures++
	g.tellUnanswered(r.document)
}

// tellUnanswered tells the boxes that read beside this one that its reads bring nothing, and has the next ones read once that
// holds for all of them.
func (g *Gateway) tellUnanswered(document string) {
	now := g.now()
	living := g.fleet.usable()
	p := &g.published
	p.mu.Lock()
	plea := p.feed(document).ReadUnanswered(now, living)
	p.mu.Unlock()
	g.plead(now, document, plea)
}

// hearUnanswered asks the next boxes to read once the last of the readers beside this one has said that it has no answers.
func (g *Gateway) hearUnanswered(u *core.Unanswered) {
	if u == nil {
		return
	}
	now := g.now()
	living := g.fleet.usable()
	p := &g.published
	p.mu.Lock()
	plea := p.feed(u.Document).PeerUnanswered(now, living)
	p.mu.Unlock()
	g.plead(now, u.Document, plea)
}

// plead tells other boxes that reads of a document bring nothing.
func (g *Gateway) plead(now time.Time, document string, plea catalog.ReliefRequest) {
	if len(plea.Readers)+len(plea.Next) == 0 {
		return
	}
	if plea.First {
		g.Log.Warn("others are asked to read the store", "document", document, "round", plea.Round, "boxes", len(plea.Next), "names", firstOf(plea.Next))
	}
	b := g.newsBeat(now)
	b.Unanswered = &core.Unanswered{Document: document}
	g.tellBoxes(plea.Readers, b)
	b.Unanswered = &core.Unanswered{Document: document, Round: uint8(plea.Round)}
	g.tellBoxes(plea.Next, b)
}

// tellBoxes sends boxes a heartbeat that wants no answer.
func (g *Gateway) tellBoxes(boxes []string, b core.Beat) {
	for _, box := range boxes {
		if address := g.fleet.addressOf(box); address != "" {
			g.Peers.Beat(address, b)
		}
	}
}

// overdue tells other readers when a watch brings nothing in time, until it is stopped. Its call goes on.
func (g *Gateway) overdue(document string) *time.Timer {
	return time.AfterFunc(watchWait+overdueAfter, func() { g.tellUnanswered(document) })
}

// readCatalog reads the configuration whole and then waits for its changes, over and over.
func (g *Gateway) readCatalog(ctx context.Context) {
	defer g.background.Done()
	r := &reader{gateway: g, document: port.DocumentConfig, feed: g.published.catalogs}
	var f catalogFollower
	for r.wait(ctx) {
		asked := g.now()
		after, began, err := f.next(ctx, g)
		r.ended(err)
		if f.at == 0 || after == nil {
			continue
		}
		f.held = after
		g.checkNumbers(port.DocumentConfig, asked, f.at)
		g.liftClosures(f.restored, f.at)
		g.takeCatalog(after, nil, catalog.ConfigAt(f.at), began, "store")
	}
}

// catalogFollower is the configuration as one reader of the store follows it.
type catalogFollower struct {
	at         catalog.Revision // 0 to read it whole next
	held       *catalog.Catalog // as of at
	restored   []string         // failure domains of which an evacuation was taken back by the last change
	unreadable catalog.Revision // of the last configuration that could not be read
}

// next reads the configuration whole or waits for its changes. It gives what holds after that, nil for nothing, and since
// when that is known.
func (f *catalogFollower) next(ctx context.Context, g *Gateway) (after *catalog.Catalog, began time.Time, err error) {
	limit := readLimit
	if f.at > 0 {
		limit += watchWait
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	began = g.now()
	var change CatalogChange
	if f.at == 0 {
		change, f.at, err = g.Store.Catalog(ctx)
		g.logWholeRead(port.DocumentConfig, f.at, err)
		if f.held == nil {
			f.held = g.published.heldCatalog() // what stays in force should this one be unreadable
		}
		after = change.whole(f.held)
	} else {
		late := g.overdue(port.DocumentConfig)
		change, f.at, err = g.Store.WatchCatalog(ctx, f.at, watchWait)
		late.Stop()
		after = change.apply(f.held)
		began = g.now()
	}
	f.restored = change.Restored
	if u := change.Unreadable; u != nil && u.Revision != f.unreadable {
		f.unreadable = u.Revision
		g.logUnreadable(u, f.held)
	}
	switch {
	case err == ErrHistoryGone:
		f.at, err = 0, nil
	case err != nil:
		f.at = 0
	}
	return after, began, err
}

// logUnreadable tells of a configuration that can't be read, once for each revision.
func (g *Gateway) logUnreadable(u *Unreadable, held *catalog.Catalog) {
	g.Log.Error("configuration can't be read, nothing changes", "revision", u.Revision, "held_version", versionOf(held), "cause", u.Cause.Error())
	if g.Watch.Refused != nil {
		g.Watch.Refused(port.DocumentConfig, "unreadable")
	}
}

// readServers reads the list of servers whole and then waits for its changes, over and over.
func (g *Gateway) readServers(ctx context.Context) {
	defer g.background.Done()
	r := &reader{gateway: g, document: port.DocumentServers, feed: g.published.lists}
	at := catalog.Revision(0)
	listing := &catalog.Listing{} // as of at
	for r.wait(ctx) {
		began := g.now()
		asked := began
		var err error
		if at == 0 {
			at, err = g.readListing(ctx, listing)
		} else {
			at, err = g.watchListing(ctx, listing, at)
			began = g.now()
		}
		if err == ErrHistoryGone {
			at, err = 0, nil
		} else if err != nil {
			at = 0
		}
		r.ended(err)
		if at == 0 {
			continue
		}
		g.checkNumbers(port.DocumentServers, asked, at)
		if listing.Changed() || !g.confirmServers(began, catalog.ListAt(at), listing.Digest()) {
			g.takeListing(listing, catalog.ListAt(at), began)
			sleep(ctx, min(mostListPace, time.Duration(len(listing.Servers()))*listPace)) // changes of a large list go round together
		}
	}
}

// readListing reads the list whole.
func (g *Gateway) readListing(ctx context.Context, l *catalog.Listing) (catalog.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	list, at, err := g.Store.Servers(ctx)
	g.logWholeRead(port.DocumentServers, at, err)
	if err != nil {
		return 0, err
	}
	l.Replace(list)
	return at, nil
}

// watchListing waits for changes of the list.
func (g *Gateway) watchListing(ctx context.Context, l *catalog.Listing, after catalog.Revision) (catalog.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+readLimit)
	defer cancel()
	defer g.overdue(port.DocumentServers).Stop()
	changes, at, err := g.Store.WatchServers(ctx, after, watchWait)
	if err != nil {
		return 0, err
	}
	for _, c := range changes {
		if c.Removed != "" {
			l.Remove(c.Removed)
		} else {
			l.Put(c.Server)
		}
	}
	return at, nil
}

// logWholeRead tells which state of the store a whole read showed, beside the one that is held.
func (g *Gateway) logWholeRead(document string, at catalog.Revision, err error) {
	if err != nil {
		return
	}
	_, _, held := g.published.behind(document)
	g.Log.Info("store read whole", "document", document, "revision", at, "held_revision", held)
}

// logPassedOver tells of a state of the store that is not taken since a later one is held.
func (g *Gateway) logPassedOver(document string, revision, held catalog.Revision, digest, heldDigest string) {
	g.Log.Warn("older state of the store passed over", "document", document, "revision", revision, "held_revision", held, "digest", digest, "held_digest", heldDigest)
}

// confirmServers notes that a watch brought no change: what was read last is the newest still. It says whether that is what this box
// holds; it may hold a later list of another box, and what it did not take before may be newer now.
func (g *Gateway) confirmServers(at time.Time, asOf catalog.State, digest string) bool {
	p := &g.published
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lists.Statement(at).Digest != digest {
		return asOf < p.lists.AsOf()
	}
	p.lists.ApplyRead(at, asOf, digest, 0)
	return true
}
