package gateway

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/port"
)

// reader paces one document's reads and tells of the store being lost and found again.
type reader struct {
	gateway  *Gateway
	document string
	feed     *catalog.Feed
	failures int
}

// wait holds a reader until this box should read; it gives false when the context ended.
func (r *reader) wait(ctx context.Context) bool {
	g := r.gateway
	if r.failures > 0 {
		d := min(maxBackoff, readBackoff<<min(r.failures-1, 4))
		sleep(ctx, d/2+time.Duration(catalog.Hash(g.ID.Name, strconv.Itoa(r.failures))%uint64(d)))
	}
	for ctx.Err() == nil {
		living := g.fleet.usable()
		g.published.mu.Lock()
		reads := r.feed.Reads(g.now(), living)
		g.published.mu.Unlock()
		if reads {
			return true
		}
		sleep(ctx, notReading)
	}
	return false
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
}

// readCatalog reads the configuration whole and then waits for its changes, over and over.
func (g *Gateway) readCatalog(ctx context.Context) {
	defer g.background.Done()
	r := &reader{gateway: g, document: port.DocumentConfig, feed: g.published.catalogs}
	at := uint64(0)
	for r.wait(ctx) {
		began := g.now()
		var c *catalog.Catalog
		var err error
		if at == 0 {
			one, cancel := context.WithTimeout(ctx, readPatience)
			c, at, err = g.Store.Catalog(one)
			cancel()
		} else {
			one, cancel := context.WithTimeout(ctx, watchWait+readPatience)
			c, at, err = g.Store.WatchCatalog(one, at, watchWait)
			cancel()
			began = g.now()
		}
		if err == ErrHistoryGone {
			at, err = 0, nil
		} else if err != nil {
			at = 0
		}
		r.ended(err)
		switch {
		case c != nil:
			g.takeCatalog(c, at, began, "store")
		case at > 0:
			g.confirmCatalog(began, at)
		}
	}
}

func (g *Gateway) confirmCatalog(at time.Time, asOf uint64) {
	p := &g.published
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held != nil {
		p.catalogs.Read(at, asOf, strconv.FormatUint(p.held.Version, 10))
	}
}

// readServers reads the list of servers whole and then waits for its changes, over and over.
func (g *Gateway) readServers(ctx context.Context) {
	defer g.background.Done()
	r := &reader{gateway: g, document: port.DocumentServers, feed: g.published.lists}
	at := uint64(0)
	mine := map[string]catalog.Server{} // as of at
	for r.wait(ctx) {
		began := g.now()
		var err error
		if at == 0 {
			one, cancel := context.WithTimeout(ctx, readPatience)
			var list []catalog.Server
			list, at, err = g.Store.Servers(one)
			cancel()
			mine = map[string]catalog.Server{}
			for _, s := range list {
				mine[s.ID] = s
			}
		} else {
			one, cancel := context.WithTimeout(ctx, watchWait+readPatience)
			var changes []ServerChange
			changes, at, err = g.Store.WatchServers(one, at, watchWait)
			cancel()
			began = g.now()
			if err == nil && len(changes) == 0 {
				r.ended(nil)
				g.confirmServers(began, at)
				continue
			}
			for _, c := range changes {
				if c.Removed != "" {
					delete(mine, c.Removed)
				} else {
					mine[c.Server.ID] = c.Server
				}
			}
		}
		if err == ErrHistoryGone {
			at, err = 0, nil
		} else if err != nil {
			at = 0
		}
		r.ended(err)
		if at > 0 {
			g.takeServers(sortedServers(mine), at, began, "store")
		}
	}
}

// confirmServers notes that a watch brought no change: what was read last is the newest still.
func (g *Gateway) confirmServers(at time.Time, asOf uint64) {
	p := &g.published
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.lists.Say(at); st.Version > 0 {
		p.lists.Read(at, asOf, st.Digest)
	}
}

func sortedServers(m map[string]catalog.Server) []catalog.Server {
	out := make([]catalog.Server, 0, len(m))
	for _, s := range m {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
