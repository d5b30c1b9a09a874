package gateway

import (
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// departureLife is how long a box remembers that a server left, for its logs: longer than any server was seen
// to serve on after it said so.
const departureLife = time.Minute

// departure is a server that this box knew as leaving or gone.
type departure struct {
	at       time.Time // when this box learned of it
	revision uint64    // the store's, at which it was seen
	how      string    // "draining" or "gone"
}

// departures remember the servers that left lately, so that logs show when one is used all the same.
type departures struct {
	mu  sync.Mutex
	all map[string]departure
}

// note takes a change of the list. It gives the servers that had left and take work again.
func (d *departures) note(now time.Time, change catalog.Difference, revision uint64) (back map[string]departure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.all == nil {
		d.all = map[string]departure{}
	}
	for id, old := range d.all {
		if now.Sub(old.at) > departureLife {
			delete(d.all, id)
		}
	}
	for _, s := range change.Put {
		old, left := d.all[s.ID]
		switch {
		case s.Draining && !left:
			d.all[s.ID] = departure{at: now, revision: revision, how: "draining"}
		case !s.Draining && left:
			if back == nil {
				back = map[string]departure{}
			}
			back[s.ID] = old
			delete(d.all, s.ID)
		}
	}
	for _, id := range change.Gone {
		if _, left := d.all[id]; !left {
			d.all[id] = departure{at: now, revision: revision, how: "gone"}
		}
	}
	return back
}

// of is what is known of a server's departure.
func (d *departures) of(id string) (departure, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	left, ok := d.all[id]
	return left, ok
}

// logBack tells of servers that are used again after they had left, by whose list and against which knowledge.
func (g *Gateway) logBack(back map[string]departure, revision uint64, from string) {
	now := g.now()
	for id, d := range back {
		g.Log.Warn("server that had left is listed again", "server", id, "left_as", d.how, "left_ms", now.Sub(d.at).Milliseconds(), "left_revision", d.revision, "revision", revision, "from", from)
	}
}

// startOf is what is asked just before the first byte goes to a server that was chosen at a time.
func (g *Gateway) startOf(s catalog.Server, what string, chosen time.Time) func() error {
	return func() error {
		if g.mayUse(s.ID) {
			return nil
		}
		now := g.now()
		line := []any{"server", s.ID, "pool", s.Pool, "what", what, "choice_ms", now.Sub(chosen).Milliseconds()}
		if d, ok := g.departures.of(s.ID); ok {
			line = append(line, "left_as", d.how, "left_ms", now.Sub(d.at).Milliseconds(), "left_revision", d.revision)
		}
		g.Log.Warn("sending to a server that takes no new work", line...)
		if g.Watch.SentLate != nil {
			g.Watch.SentLate(s.Pool)
		}
		return nil
	}
}
