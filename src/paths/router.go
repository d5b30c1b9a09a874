// Package paths opens this box's connections to backend servers and knows to which pools it has no path.
package paths

import (
	"context"
	"errors"
	"net"
)

// Router opens connections to backend servers. Set the exported fields before use.
type Router struct {
	Table Table
	// Direct opens a connection from this box.
	Direct func(ctx context.Context, address string) (net.Conn, error)
}

// Dial opens a connection to a server of a pool.
func (r *Router) Dial(ctx context.Context, pool, address string) (net.Conn, error) {
	c, err := r.Direct(ctx, address)
	switch {
	case err == nil:
		r.Table.Reached(pool, address)
	case !errors.Is(ctx.Err(), context.Canceled):
		r.Table.Failed(pool, address, err)
	}
	return c, err
}
