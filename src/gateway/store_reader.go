package gateway

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/clock"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// reader paces the reads of one document and logs when the store is lost and found again.
type reader struct {
	gateway   *Gateway
	document  string
	feed      *catalog.Feed
	failures  int
	onRequest bool // reads because other boxes asked for it
}

// wait blocks until this box should read; it returns false if the context ended.
func (r *reader) wait(ctx context.Context) bool {
	g := r.gateway
	if r.failures > 0 {
		d := r.backoff()
		clock.Sleep(ctx, d/2+time.Duration(catalog.Hash(g.ID.Name, strconv.Itoa(r.failures))%uint64(d)))
	}
	for ctx.Err() == nil {
		living, chosen := g.fleet.usable(), g.fleet.readers(g.now())
		g.published.mu.Lock()
		r.feed.Chosen = chosen
		reads := r.feed.ShouldRead(g.now(), living)
		round, relieves := r.feed.ReadsForOthers(g.now())
		g.published.mu.Unlock()
		if relieves != r.onRequest {
			r.onRequest = relieves
			g.Log.Info("reading the store on request of other boxes", "document", r.document, "reads", relieves, "round", round)
		}
		if reads {
			return true
		}
		clock.Sleep(ctx, readCheckInterval)
	}
	return false
}

// backoff returns the pause after a failed read. Boxes ranked behind many other readers retry more rarely:
// whichever box finds the store again, the rest learn of it, and every call adds load while it is down.
func (r *reader) backoff() time.Duration {
	living := r.gateway.fleet.usable() // the feed still ranks the readers chosen when this box began to read
	most := maxBackoff * time.Duration(1+r.feed.ReadersAhead(living)/backoffBoxes)
	return min(most, readBackoff<<min(r.failures-1, maxBackoffDoublings))
}

// ended records the outcome of a read.
func (r *reader) ended(err error) {
	g := r.gateway
	if g.Observer.StoreRead != nil {
		g.Observer.StoreRead(r.document, err == nil)
	}
	if err == nil {
		if r.failures > 0 {
			g.Log.Info("store available again", "document", r.document, "after_failures", r.failures)
		}
		r.failures = 0
		return
	}
	if r.failures == 0 {
		g.Log.Warn("store lost", "document", r.document, "cause", fmt.Sprint(err))
	}
	r.failures++
	g.reportUnanswered(r.document)
}

// reportUnanswered notifies the other readers that this box's reads get no answer. Once that holds for all of
// them, the next boxes in rank are asked to read.
func (g *Gateway) reportUnanswered(document string) {
	now := g.now()
	living := g.fleet.usable()
	p := &g.published
	p.mu.Lock()
	relief := p.feed(document).ReadUnanswered(now, living)
	p.mu.Unlock()
	g.notifyReaders(now, document, relief)
}

// handleUnanswered handles another reader's notice that it gets no answers; if it is the last of the readers,
// the next boxes in rank are asked to read.
func (g *Gateway) handleUnanswered(u *core.Unanswered) {
	if u == nil {
		return
	}
	now := g.now()
	living := g.fleet.usable()
	p := &g.published
	p.mu.Lock()
	relief := p.feed(u.Document).PeerUnanswered(now, living)
	p.mu.Unlock()
	g.notifyReaders(now, u.Document, relief)
}

// notifyReaders notifies other boxes that reads of a document get no answer.
func (g *Gateway) notifyReaders(now time.Time, document string, relief catalog.ReliefRequest) {
	if len(relief.Readers)+len(relief.Next) == 0 {
		return
	}
	if relief.First {
		g.Log.Warn("others are asked to read the store", "document", document, "round", relief.Round, "boxes", len(relief.Next), "names", firstNames(relief.Next))
	}
	b := g.newsBeat(now)
	b.Unanswered = &core.Unanswered{Document: document}
	g.sendBeatTo(relief.Readers, b)
	b.Unanswered = &core.Unanswered{Document: document, Round: uint8(relief.Round)}
	g.sendBeatTo(relief.Next, b)
}

// sendBeatTo sends a heartbeat that needs no answer to boxes.
func (g *Gateway) sendBeatTo(boxes []string, b core.Beat) {
	for _, box := range boxes {
		if address := g.fleet.addressOf(box); address != "" {
			g.Peers.Beat(address, b)
		}
	}
}

// overdue starts a timer that notifies the other readers when a watch is overdue. The watch itself continues.
func (g *Gateway) overdue(document string) *time.Timer {
	return time.AfterFunc(watchWait+overdueAfter, func() { g.reportUnanswered(document) })
}

// readCatalog reads the whole configuration and then waits for its changes, in a loop.
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
		g.correctEra(port.DocumentConfig, asked, f.at)
		g.endEvacuations(f.restored, f.at)
		g.applyCatalog(after, nil, catalog.ConfigAt(f.at), began, "store")
	}
}

// catalogFollower is one reader's state of the configuration.
type catalogFollower struct {
	at         catalog.Revision // 0 to read everything next
	held       *catalog.Catalog // as of at
	restored   []string         // failure domains whose evacuation the last change ended
	unreadable catalog.Revision // of the last unreadable configuration
}

// next reads the whole configuration or waits for a change. It returns the resulting catalog, nil for none,
// and from when it is known to be current.
func (f *catalogFollower) next(ctx context.Context, g *Gateway) (after *catalog.Catalog, began time.Time, err error) {
	limit := readLimit
	if f.at > 0 {
		limit += watchWait
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	began = g.now()
	var change catalog.PublishedChange
	if f.at == 0 {
		change, f.at, err = g.Store.Catalog(ctx)
		g.logWholeRead(port.DocumentConfig, f.at, err)
		if f.held == nil {
			f.held = g.published.heldCatalog() // stays in force if this one is unreadable
		}
		after = change.Whole(f.held)
	} else {
		late := g.overdue(port.DocumentConfig)
		change, f.at, err = g.Store.WatchCatalog(ctx, f.at, watchWait)
		late.Stop()
		after = change.Apply(f.held)
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

// logUnreadable logs an unreadable configuration, once for each revision.
func (g *Gateway) logUnreadable(u *catalog.Unreadable, held *catalog.Catalog) {
	g.Log.Error("unreadable configuration, the previous one stays in force", "revision", u.Revision, "held_version", held.VersionOrZero(), "cause", u.Cause.Error())
	if g.Observer.Unusable != nil {
		g.Observer.Unusable(port.DocumentConfig, "unreadable")
	}
}

// readServers reads the whole list of servers and then waits for its changes, in a loop.
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
		g.correctEra(port.DocumentServers, asked, at)
		if listing.Changed() || !g.confirmServers(began, catalog.ListAt(at), listing.Digest()) {
			g.applyListing(listing, catalog.ListAt(at), began)
			clock.Sleep(ctx, min(maxListPause, time.Duration(len(listing.Servers()))*listPausePerServer)) // batches changes of a large list
		}
	}
}

// readListing reads the whole list.
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

// watchListing waits for changes of the list and applies them.
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

// logWholeRead logs the revision that a full read returned, beside the held one.
func (g *Gateway) logWholeRead(document string, at catalog.Revision, err error) {
	if err != nil {
		return
	}
	_, _, held := g.published.behind(document)
	g.Log.Info("full read of the store", "document", document, "revision", at, "held_revision", held)
}

// logIgnoredState logs that a state of the store was ignored because a later one is held.
func (g *Gateway) logIgnoredState(document string, revision, held catalog.Revision, digest, heldDigest string) {
	g.Log.Warn("older state of the store ignored", "document", document, "revision", revision, "held_revision", held, "digest", digest, "held_digest", heldDigest)
}

// confirmServers records that a watch brought no change, so the last state read is still the newest. It
// returns whether this box holds that state or a later one: it may have received a later list from a peer,
// and a list that it ignored before may now be newer.
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
