package exchange

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/stilemast/stilemast/src/clock"
)

// acquire returns an idle connection that is still usable, the most recently used one first, or opens a new one. If
// the address has all the connections that the request's share allows, it waits for one for at most shareWait.
func (c *Client) acquire(ctx context.Context, address string, r *Request) (*conn, error) {
	var timeout <-chan time.Time
	for {
		cn := c.popIdle(address)
		if cn == nil {
			if c.reserve(address, r.Share.Open) {
				return c.dial(ctx, address, r)
			}
			if timeout == nil {
				timeout = time.After(shareWait)
				if cn := c.borrow(ctx, address, r); cn != nil {
					return cn, nil
				}
			}
			if err := c.awaitConnection(ctx, address, timeout); err != nil {
				return nil, err
			}
			continue
		}
		until := cn.idleUntil
		if r.Fresh {
			until = cn.freshUntil
		}
		if clock.Now().Before(until) && cn.reusable() && cn.healthy() {
			return cn, nil
		}
		cn.drop()
	}
}

// borrow opens a connection out of another box's share, nil if there is none. It is closed after the request unless another
// one waits for it, since the other box may need its share.
func (c *Client) borrow(ctx context.Context, address string, r *Request) *conn {
	if c.Borrow == nil {
		return nil
	}
	c.Dials.Add(1)
	to := Target{Pool: r.Pool, Server: r.Server, Address: address}
	raw, err := c.Borrow(ctx, to)
	if err != nil {
		return nil
	}
	cn := c.newConn(raw, to)
	cn.borrowed, cn.keepIdle = true, 0
	return cn
}

// reserve counts a connection that is about to be opened; it returns false if the address has the maximum.
func (c *Client) reserve(address string, most int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.idle, c.open, c.waiting = map[string][]*conn{}, map[string]int{}, map[string][]chan struct{}{}
	}
	if most > 0 && c.open[address] >= most {
		return false
	}
	c.open[address]++
	return true
}

// awaitConnection waits until a connection to the address was released or closed.
func (c *Client) awaitConnection(ctx context.Context, address string, timeout <-chan time.Time) error {
	released := make(chan struct{})
	c.mu.Lock()
	c.waiting[address] = append(c.waiting[address], released)
	c.mu.Unlock()
	var err error
	select {
	case <-released:
		return nil
	case <-timeout:
		err = ErrConnectionLimit
	case <-ctx.Done():
		err = ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.waiting[address], released); i >= 0 {
		c.waiting[address] = slices.Delete(c.waiting[address], i, i+1)
	} else { // released meanwhile; the next one gets it
		c.wakeNext(address)
	}
	return err
}

// wakeNext wakes the first request that waits for a connection to an address. The caller holds the lock.
func (c *Client) wakeNext(address string) {
	list := c.waiting[address]
	if len(list) == 0 {
		return
	}
	close(list[0])
	if c.waiting[address] = list[1:]; len(list) == 1 {
		delete(c.waiting, address)
	}
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (c *Client) popIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return cn
}

// reusable reports whether the client's user allows the connection to be used again.
func (cn *conn) reusable() bool {
	return cn.client.Reusable == nil || cn.client.Reusable(cn.to, cn.Conn)
}

// healthy reports whether an idle connection is open and has no unread data.
func (cn *conn) healthy() bool {
	c, ok := unwrap(cn.Conn).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// release makes a connection available for reuse, for at most as long as the server announces to keep it open.
func (cn *conn) release(h http.Header) {
	idle := maxIdle
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil {
				idle = min(idle, time.Duration(s)*time.Second-idleMargin)
			}
		}
	}
	if idle <= 0 {
		cn.drop()
		return
	}
	if cn.readTimeout > 0 {
		cn.readTimeout = 0
		_ = cn.SetReadDeadline(time.Time{}) // on failure the next use of the connection fails
	}
	now := clock.Now()
	cn.idleUntil, cn.freshUntil = now.Add(idle), now.Add(min(idle, maxFreshIdle))
	cn.putIdle()
}

// releaseUnused makes a connection available again on which nothing was sent. A new one gets the full idle
// time.
func (cn *conn) releaseUnused() {
	if cn.idleUntil.IsZero() {
		now := clock.Now()
		cn.idleUntil, cn.freshUntil = now.Add(maxIdle), now.Add(maxFreshIdle)
	}
	cn.putIdle()
}

// putIdle adds a connection to the idle ones, or closes it if there are enough or the client is closed.
func (cn *conn) putIdle() {
	c := cn.client
	c.mu.Lock()
	keep := !c.closed && (cn.keepIdle < 0 || len(c.idle[cn.address]) < cn.keepIdle || len(c.waiting[cn.address]) > 0)
	if keep {
		c.idle[cn.address] = append(c.idle[cn.address], cn)
		c.wakeNext(cn.address)
	}
	c.mu.Unlock()
	if !keep {
		cn.drop()
	}
}

// release counts a connection as closed.
func (c *Client) release(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[address]--
	c.wakeNext(address)
}

// Reserve counts a connection to an address that is opened elsewhere, until release is called; false if the address has the
// maximum.
func (c *Client) Reserve(address string, most int) (release func(), ok bool) {
	if !c.reserve(address, most) {
		return nil, false
	}
	return func() { c.release(address) }, true
}

// Sweep closes idle connections that have expired or may not be used again.
func (c *Client) Sweep() {
	now := clock.Now()
	var expired []*conn
	c.mu.Lock()
	for a, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Before(cn.idleUntil) && cn.reusable() {
				kept = append(kept, cn)
			} else {
				expired = append(expired, cn)
			}
		}
		if c.idle[a] = kept; len(kept) == 0 {
			delete(c.idle, a)
		}
	}
	c.mu.Unlock()
	for _, cn := range expired {
		cn.drop()
	}
}

// Forget closes the idle connections to an address.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	idle := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, cn := range idle {
		cn.drop()
	}
}

// Close closes all idle connections; those in use are closed when their exchange ends.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	idle := c.idle
	c.idle = map[string][]*conn{}
	c.mu.Unlock()
	for _, list := range idle {
		for _, cn := range list {
			cn.drop()
		}
	}
}
