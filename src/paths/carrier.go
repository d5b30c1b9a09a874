package paths

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/stilemast/stilemast/src/candidates"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/exchange"
	"github.com/stilemast/stilemast/src/port"
)

// carrier draws a box to carry a connection to a server of a pool, or false if there is none. Boxes of this box's failure
// domain come first, as their link to it is short, unless the last one failed: what cut this box off may have cut off its
// domain.
func (r *Router) carrier(pool string, tried map[string]bool, elsewhere bool) (candidates.Box, bool) {
	if r.Through == nil {
		return candidates.Box{}, false
	}
	all, hash := r.Boxes(), catalog.Hash(pool)
	var second candidates.Box
	take := func(b candidates.Box) bool {
		if b.Name == r.Self || tried[b.Name] || !b.HasPath(hash) || !r.MayAsk(b.Domain) || r.avoided.Has(r.Now(), b.Name) {
			return false
		}
		if (b.Domain == r.Domain) != elsewhere {
			return true
		}
		if second.Name == "" {
			second = b
		}
		return false
	}
	if len(all) == 0 {
		return candidates.Box{}, false
	}
	for range min(draws, len(all)) {
		if b := all[rand.IntN(len(all))]; take(b) {
			return b, true
		}
	}
	if second.Name != "" {
		return second, true
	}
	for i, first := 0, rand.IntN(len(all)); i < len(all); i++ {
		if b := all[(first+i)%len(all)]; take(b) {
			return b, true
		}
	}
	return second, second.Name != ""
}

// report reports the result of a connection through another box to the metrics.
func (r *Router) report(pool, result string) {
	if r.Tunnelled != nil {
		r.Tunnelled(pool, result)
	}
}

// Carry opens a connection to a server for another box. The connection is nil unless the result is TunnelOpen.
func (r *Router) Carry(ctx context.Context, t port.Tunnel) (net.Conn, port.TunnelResult) {
	to := Target{Pool: t.Pool, Server: t.Server, Address: t.Address}
	conn, result := r.carryFor(ctx, to, t.Lent)
	r.report(t.Pool, "carry "+result.String())
	if result != port.TunnelOpen {
		r.Log.Info("connection not carried for another box", "peer", t.From, "pool", t.Pool, "server", t.Server, "result", result.String(), "tunnels", r.tunnels.Load())
	}
	return conn, result
}

// carryFor opens a connection for another box; a lent one takes one of this box's own until it is closed.
func (r *Router) carryFor(ctx context.Context, to Target, lent bool) (net.Conn, port.TunnelResult) {
	if !lent {
		return r.carry(ctx, to)
	}
	if r.Reserve == nil {
		return nil, port.TunnelDeclined
	}
	release, ok := r.Reserve(to)
	if !ok {
		return nil, port.TunnelDeclined
	}
	conn, result := r.carry(ctx, to)
	if result != port.TunnelOpen {
		release()
		return nil, result
	}
	return &counted{Conn: conn, end: sync.OnceFunc(release)}, result
}

func (r *Router) carry(ctx context.Context, to Target) (net.Conn, port.TunnelResult) {
	if !r.MayCarry(to) || r.tunnels.Load() >= maxTunnels {
		return nil, port.TunnelDeclined
	}
	if !r.Table.HasPath(to) {
		return nil, port.TunnelNoPath
	}
	c, err := r.Direct(ctx, to.Address)
	switch {
	case err == nil:
		r.Table.Reached(to)
		r.tunnels.Add(1)
		return &counted{Conn: c, end: sync.OnceFunc(func() { r.tunnels.Add(-1) })}, port.TunnelOpen
	case exchange.ConnectionRefused(err) && r.confirmPath(ctx, to):
		return nil, port.TunnelRefused
	}
	return nil, port.TunnelNoPath
}

// confirmPath reports whether this box can connect to another server now, so that the one that refused it is absent.
func (r *Router) confirmPath(ctx context.Context, to Target) bool {
	other, ok := r.Table.ReachedBeside(to)
	if !ok {
		return false
	}
	c, err := r.Direct(ctx, other.Address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// Tunnels returns the number of connections that this box carries for others.
func (r *Router) Tunnels() int { return int(r.tunnels.Load()) }

// counted is a connection that is carried for another box.
type counted struct {
	net.Conn
	end func()
}

// SetLinger implements *net.TCPConn's method.
func (c *counted) SetLinger(seconds int) error { return exchange.SetLinger(c.Conn, seconds) }

// Close closes the connection.
func (c *counted) Close() error {
	c.end()
	return c.Conn.Close()
}
