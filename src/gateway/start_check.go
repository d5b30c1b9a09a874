package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/pushback"
)

// ErrServerLeft means that nothing was sent because the server takes no new work.
var ErrServerLeft = errors.New("the server takes no new work")

// startCheck returns the check that runs just before the first byte goes to a chosen server. Between the choice
// and that byte a connection may take most of a second to open, or this process may be paused, while the
// server leaves. The list of servers therefore decides again, after a pause only once it is confirmed. This
// covers up to 0.7 s of the 2 s in which a leaving server may still get requests.
func (g *Gateway) startCheck(ctx context.Context, s catalog.Server, what, owner string, chosen time.Time) func() error {
	return func() error {
		g.awaitConfirmed(ctx)
		if g.mayUse(s.ID) {
			return g.checkSignals(s, what, owner, chosen)
		}
		g.logWithheld(s, what, chosen)
		if g.Observer.Withheld != nil {
			g.Observer.Withheld(s.Pool)
		}
		return ErrServerLeft
	}
}

// checkSignals checks the server's own signals again: two concurrent choices may have picked a server that wants
// no more after the first.
func (g *Gateway) checkSignals(s catalog.Server, what, owner string, chosen time.Time) error {
	now := g.now()
	v := g.signals.Begin(now, signalServer(s), owner)
	if v.Open() {
		return nil
	}
	g.Log.Info("request not sent, server takes no more requests now", "server", s.ID, "pool", s.Pool, "what", what, "state", v.State.String(), "choice_ms", now.Sub(chosen).Milliseconds(), "left_ms", v.Until.Sub(now).Milliseconds())
	if g.Observer.Withheld != nil {
		g.Observer.Withheld(s.Pool)
	}
	if v.State == pushback.Leaving {
		return ErrServerLeft
	}
	return ErrServerRests
}

// logWithheld logs that a request was not sent to a server that had left.
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
	g.Log.Info("request not sent, server left", line...)
}

// logEffects logs what a new list changed in the registry, beyond the changes of the list itself.
func (g *Gateway) logEffects(t catalog.Effects, revision catalog.Revision, from string) {
	now := g.now()
	if len(t.Lapsed) > 0 {
		g.Log.Warn("servers without an entry kept after an outage or restore of the store", "servers", len(t.Lapsed), "names", firstNames(t.Lapsed), "revision", revision, "from", from)
	}
	if len(t.Doubted) > 0 {
		g.Log.Warn("servers that had left are listed again by the restored store", "servers", len(t.Doubted), "names", firstNames(t.Doubted), "revision", revision, "from", from)
	}
	for i, b := range t.Returned {
		if i < serverLines {
			g.Log.Info("server that had left is back", "server", b.Server.ID, "was_draining", b.Left.Draining, "left_ms", now.Sub(b.Left.At).Milliseconds(),
				"left_revision", b.Left.Revision, "left_incarnation", b.Left.Incarnation, "incarnation", b.Server.Incarnation, "revision", revision, "from", from)
		}
	}
	for i, s := range t.Ignored {
		if i < serverLines {
			g.Log.Warn("older entry of a server ignored", "server", s.ID, "draining", s.Draining, "incarnation", s.Incarnation, "entry_revision", s.Revision, "revision", revision, "from", from)
		}
	}
}
