package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/pushback"
)

// ErrServerLeft says that nothing was sent, since the server takes no new work any more.
var ErrServerLeft = errors.New("the server takes no new work any more")

// startOf is what is asked just before the first byte goes to a server that was chosen at a time. Between the choice and
// that byte a connection may take most of a second to open and this process may stand still, while the server
// leaves: so the list decides once more, and after a pause only once it is confirmed. It guards up to 0.7 s of the 2 s in which
// a leaving server may still get requests (TestAServerThatLeftAfterItWasChosenIsSentNothing).
func (g *Gateway) startOf(ctx context.Context, s catalog.Server, what, owner string, chosen time.Time) func() error {
	return func() error {
		g.awaitAwake(ctx)
		if g.mayUse(s.ID) {
			return g.beginAt(s, what, owner, chosen)
		}
		g.logWithheld(s, what, chosen)
		if g.Watch.Withheld != nil {
			g.Watch.Withheld(s.Pool)
		}
		return ErrServerLeft
	}
}

// beginAt asks the server's own words once more. Two choices of one moment may have met at a server that wanted no more after
// the first.
func (g *Gateway) beginAt(s catalog.Server, what, owner string, chosen time.Time) error {
	now := g.now()
	v := g.words.begin(now, s, owner)
	if v.Open() {
		return nil
	}
	g.Log.Info("nothing sent to a server that takes no more now", "server", s.ID, "pool", s.Pool, "what", what, "state", v.State.String(), "choice_ms", now.Sub(chosen).Milliseconds(), "left_ms", v.Until.Sub(now).Milliseconds())
	if g.Watch.Withheld != nil {
		g.Watch.Withheld(s.Pool)
	}
	if v.State == pushback.Leaving {
		return ErrServerLeft
	}
	return ErrServerRests
}

func (g *Gateway) logWithheld(s catalog.Server, what string, chosen time.Time) {
	now := g.now()
	line := []any{"server", s.ID, "pool", s.Pool, "what", what, "choice_ms", now.Sub(chosen).Milliseconds()}
	p := &g.published
	p.mu.Lock()
	d, ok := p.registry.DepartureOf(s.ID)
	p.mu.Unlock()
	if ok {
		line = append(line, "draining", d.Draining, "left_ms", now.Sub(d.At).Milliseconds(), "left_revision", d.Revision)
	}
	g.Log.Info("nothing sent to a server that left", line...)
}

// logEffects tells what a list changed in what this box believes, beside the changes of the list itself.
func (g *Gateway) logEffects(t catalog.Effects, revision catalog.Revision, from string) {
	now := g.now()
	if len(t.Lapsed) > 0 {
		g.Log.Warn("servers kept without an entry after an outage or a restore", "servers", len(t.Lapsed), "names", firstOf(t.Lapsed), "revision", revision, "from", from)
	}
	if len(t.Doubted) > 0 {
		g.Log.Warn("servers that had left are listed again by a restored store", "servers", len(t.Doubted), "names", firstOf(t.Doubted), "revision", revision, "from", from)
	}
	for i, b := range t.Returned {
		if i < serverLines {
			g.Log.Info("server that had left is back", "server", b.Server.ID, "was_draining", b.Left.Draining, "left_ms", now.Sub(b.Left.At).Milliseconds(),
				"left_revision", b.Left.Revision, "left_incarnation", b.Left.Incarnation, "incarnation", b.Server.Incarnation, "revision", revision, "from", from)
		}
	}
	for i, s := range t.Ignored {
		if i < serverLines {
			g.Log.Warn("older word of a server passed over", "server", s.ID, "draining", s.Draining, "incarnation", s.Incarnation, "entry_revision", s.Revision, "revision", revision, "from", from)
		}
	}
}
