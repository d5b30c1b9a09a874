// Package paths opens this box's connections to backend servers.
//
// A box may lose its path to servers while callers and the other boxes reach it, and other boxes reach the servers. Then
// another box, the carrier, opens the connection and carries its bytes. The box that took the request keeps all
// decisions; a carrier only connects, directly or not at all, so no connection passes through two of them.
//
// A connection is tried directly first and through carriers when that fails or takes long, all within one dial timeout. A
// server that a carrier reaches and this box does not is evidence that the path is lost. Where the path to a pool is lost,
// carriers are asked first and one direct connection a second is tried.
package paths

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/stilemast/stilemast/src/candidates"
	"github.com/stilemast/stilemast/src/exchange"
	"github.com/stilemast/stilemast/src/exclusion"
	"github.com/stilemast/stilemast/src/port"
)

// Target is a server to connect to.
type Target = exchange.Target

// errNoLender is returned if no box can be asked for a connection of its own.
var errNoLender = errors.New("no other box lends a connection to the server")

// errUnconfirmed is returned for a server that refuses connections from this box while no other box can tell whether it is
// absent.
var errUnconfirmed = errors.New("the connection was refused, and no other box has a path to the server")

// Router opens connections to backend servers for one box, and for boxes without a path. Set the exported fields before
// use.
type Router struct {
	Table Table
	// Direct opens a connection from this box.
	Direct func(ctx context.Context, address string) (net.Conn, error)
	// Through opens a connection through the box at an address. The error is a port.TunnelError if that box answered. nil:
	// connections are opened directly only.
	Through func(ctx context.Context, box string, t port.Tunnel) (net.Conn, error)
	// Self and Domain are the name and failure domain of this box.
	Self, Domain string
	// Boxes lists the boxes that take work; the list must not be changed.
	Boxes func() []candidates.Box
	// MayAsk reports whether a request may pass through a failure domain on its way to a server.
	MayAsk func(domain string) bool
	// Usable reports whether a box may still carry connections.
	Usable func(box string) bool
	// MayCarry reports whether this box may connect to a server for another box.
	MayCarry func(to Target) bool
	// Reserve reserves one of this box's connections to a server that it can spare, to lend it to another box; false if there
	// is none. nil: it lends none.
	Reserve func(to Target) (release func(), ok bool)
	Now     func() time.Time // must be monotonic
	Log     *slog.Logger
	// Tunnelled, if set, is called with the result of each connection through another box.
	Tunnelled func(pool, result string)

	avoided exclusion.Set // carriers that failed
	tunnels atomic.Int64  // connections carried for other boxes
}

// Dial opens a connection to a server.
func (r *Router) Dial(ctx context.Context, to Target) (net.Conn, error) {
	own, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
	d := &dial{router: r, cancel: cancel, to: to, began: r.Now(), tried: map[string]bool{}, results: make(chan result, 1+maxCarriers), direct: r.Table.HasPath(to)}
	conn, err := d.run(ctx, own)
	if conn != nil {
		cancel()
	}
	if d.running > 0 {
		go d.drain()
	} else {
		cancel()
	}
	return conn, err
}

// Borrow opens a connection to a server out of the part of another box, which carries it. The error is the last box's.
func (r *Router) Borrow(ctx context.Context, to Target) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	began, tried, err := r.Now(), map[string]bool{}, errNoLender
	for range maxLenders {
		by, ok := r.carrier(to.Pool, tried, false)
		if !ok {
			break
		}
		tried[by.Name] = true
		var c net.Conn
		c, err = r.Through(ctx, by.Address, port.Tunnel{From: r.Self, Pool: to.Pool, Server: to.Server, Address: to.Address, Lent: true})
		if err == nil {
			r.report(to.Pool, "borrowed")
			r.Log.Info("connection borrowed", "pool", to.Pool, "server", to.Server, "peer", by.Name, "asked", len(tried), "took_ms", r.Now().Sub(began).Milliseconds())
			return &carried{Conn: c, by: by.Name, lent: true}, nil
		}
	}
	r.report(to.Pool, "not lent")
	return nil, err
}

// Reusable reports whether an idle connection to a server may be used again: not if it leads through a box that is no
// longer needed or stops, nor if the path on which it was opened is dead.
func (r *Router) Reusable(to Target, c net.Conn) bool {
	if t, ok := c.(*carried); ok {
		return (t.lent || !r.Table.HasPath(to)) && r.Usable(t.by)
	}
	return !r.Table.Silent(to.Pool)
}

// Tick probes the paths that are lost. It returns the pools to announce as lost.
func (r *Router) Tick() []string {
	for _, to := range r.Table.dueProbes() {
		go func() {
			defer r.Table.probeEnded(to.Pool)
			if c, err := r.Direct(context.Background(), to.Address); err == nil {
				_ = c.Close()
				r.Table.Reached(to)
			}
		}()
	}
	return r.Table.Announced()
}

// carried is a connection that another box carries.
type carried struct {
	net.Conn
	by   string // name of that box
	lent bool   // out of that box's part
}

// SetLinger implements *net.TCPConn's method.
func (c *carried) SetLinger(seconds int) error { return exchange.SetLinger(c.Conn, seconds) }

// SyscallConn returns the connection to the carrier, so that its state can be checked.
func (c *carried) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, syscall.ENOTSUP
}

// isRefusal reports whether an error means that the connection was refused or reset, not that it was not answered.
func isRefusal(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
