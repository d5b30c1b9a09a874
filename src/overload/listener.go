package overload

import (
	"errors"
	"net"
	"sync/atomic"
)

// Listener accepts the connections that its guard accepts. It closes the others before it reads anything, so that their
// callers know that nothing ran and can retry at another box.
type Listener struct {
	net.Listener
	Guard *Guard
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.Guard.Accept() {
			counted := &countedConn{Conn: c, guard: l.Guard}
			l.Guard.callers.add(counted, l.Guard.Meter.now())
			return counted, nil
		}
		_ = c.Close()
	}
}

// countedConn counts an accepted connection and its bytes.
type countedConn struct {
	net.Conn
	guard *Guard
	waits atomic.Bool // for a request
	place
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.guard.callers.remove(c)
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.guard.Meter.AddBytes(n)
	if n > 0 && c.waits.Load() {
		c.guard.requestArrives(c)
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.guard.Meter.AddBytes(n)
	return n, err
}

// halfCloser is a connection whose writing side can be closed alone.
type halfCloser interface{ CloseWrite() error }

// CloseWrite closes the writing side; net/http does so before it closes a connection with unread bytes, which resets it.
func (c *countedConn) CloseWrite() error {
	half, ok := c.Conn.(halfCloser)
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}
