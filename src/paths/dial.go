package paths

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/stilemast/stilemast/src/candidates"
	"github.com/stilemast/stilemast/src/port"
)

// dial is one connection that is being opened, on several ways beside each other if the first take long.
type dial struct {
	router  *Router
	cancel  context.CancelFunc // of all ways but the direct one
	to      Target
	began   time.Time
	direct  bool // the direct way comes before the carriers
	ways    int  // started
	asked   int  // carriers asked
	tried   map[string]bool
	results chan result
	running int

	directErr error // of the direct way, once it failed
	carried   bool  // a carrier connected
	refused   bool  // a carrier that has a path was refused, so no process listens at the server
	noPath    int   // carriers that could not reach the server
}

// result is the end of one way.
type result struct {
	by     candidates.Box // the carrier, with an empty name for the direct way
	conn   net.Conn
	err    error
	ceased bool // the way was given up because another one was faster or the caller left
}

// run starts the ways one after another and returns the first connection. The ways end with own; if the caller leaves
// before, they go on, as their ends are evidence.
func (d *dial) run(ctx, own context.Context) (net.Conn, error) {
	timer := time.NewTimer(stagger)
	defer timer.Stop()
	d.start(own)
	if d.direct && d.router.Table.AnyLost() {
		d.start(own)
	}
	for d.running > 0 {
		select {
		case x := <-d.results:
			d.running--
			d.record(x)
			if x.err == nil {
				return d.connection(x), nil
			}
			if d.refused {
				return nil, syscall.ECONNREFUSED
			}
			if d.running == 0 {
				d.start(own)
				timer.Reset(stagger)
			}
		case <-timer.C:
			for range silentWays {
				d.start(own)
			}
			timer.Reset(stagger)
		case <-ctx.Done():
			return nil, d.failure(ctx.Err())
		case <-own.Done():
			return nil, d.failure(own.Err())
		}
	}
	return nil, d.failure(errUnconfirmed)
}

// start starts the next way, if there is one.
func (d *dial) start(ctx context.Context) {
	r := d.router
	if d.direct && d.ways == 0 {
		d.startDirect(ctx)
		return
	}
	if d.asked < maxCarriers {
		if by, ok := r.carrier(d.to.Pool, d.tried, d.asked > 0); ok {
			d.startCarrier(ctx, by)
			return
		}
		d.asked = maxCarriers
	}
	if !d.direct {
		d.direct = true
		d.startDirect(ctx)
	}
}

// startDirect starts the direct way. It goes on if another way wins, as its end is evidence.
func (d *dial) startDirect(ctx context.Context) {
	d.ways++
	d.running++
	own := context.WithoutCancel(ctx)
	go func() {
		c, err := d.router.Direct(own, d.to.Address)
		d.results <- result{conn: c, err: err}
	}()
}

func (d *dial) startCarrier(ctx context.Context, by candidates.Box) {
	d.ways++
	d.asked++
	d.running++
	d.tried[by.Name] = true
	r := d.router
	go func() {
		c, err := r.Through(ctx, by.Address, port.Tunnel{From: r.Self, Pool: d.to.Pool, Server: d.to.Server, Address: d.to.Address})
		d.results <- result{by: by, conn: c, err: err, ceased: errors.Is(ctx.Err(), context.Canceled)}
	}()
}

// record records what the end of a way shows.
func (d *dial) record(x result) {
	r := d.router
	if x.by.Name == "" {
		if x.err == nil {
			r.Table.Reached(d.to)
			return
		}
		d.directErr = x.err
		if d.carried {
			r.Table.OnlyOthers(d.to, x.err)
		}
		return
	}
	if x.err == nil {
		d.carried = true
		if d.directErr != nil {
			r.Table.OnlyOthers(d.to, d.directErr)
		} else {
			r.Table.Carried(d.to)
		}
		r.report(d.to.Pool, "open")
		return
	}
	if x.ceased {
		return
	}
	var answer *port.TunnelError
	switch {
	case !errors.As(x.err, &answer):
		r.avoided.Add(r.Now(), x.by.Name, avoidCarrier)
		r.report(d.to.Pool, "unreachable")
	case answer.Result == port.TunnelRefused:
		d.refused = true
		r.report(d.to.Pool, "refused")
	default:
		if answer.Result == port.TunnelNoPath {
			d.noPath++
		}
		r.avoided.Add(r.Now(), x.by.Name, avoidCarrier)
		r.report(d.to.Pool, answer.Result.String())
	}
}

// connection returns the connection of the first way that succeeded.
func (d *dial) connection(x result) net.Conn {
	if x.by.Name == "" {
		return x.conn
	}
	r := d.router
	cause := ""
	if d.directErr != nil {
		cause = d.directErr.Error()
	}
	r.Log.Info("connection carried by another box", "pool", d.to.Pool, "server", d.to.Server, "peer", x.by.Name, "peer_domain", x.by.Domain, "ways", d.ways, "took_ms", r.Now().Sub(d.began).Milliseconds(), "direct_cause", cause)
	return &carried{Conn: x.conn, by: x.by.Name}
}

// failure returns the error of a dial without a connection. A refusal counts as such only if no other box could be asked
// about it.
func (d *dial) failure(err error) error {
	switch {
	case d.directErr == nil:
		return err
	case isRefusal(d.directErr) && d.noPath > 0:
		return errUnconfirmed
	}
	return d.directErr
}

// drain waits for the ways that are still running, records what they show and closes their connections.
func (d *dial) drain() {
	defer d.cancel()
	for ; d.running > 0; d.running-- {
		x := <-d.results
		d.record(x)
		if x.err == nil {
			_ = x.conn.Close()
		}
	}
}
