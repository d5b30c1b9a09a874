package overload

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
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
			counted := &countedConn{Conn: c, guard: l.Guard, unread: unreadMemory}
			l.Guard.callers.add(counted, l.Guard.Meter.now())
			return counted, nil
		}
		_ = c.Close()
	}
}

// countedConn counts an accepted connection and its bytes.
type countedConn struct {
	net.Conn
	guard     *Guard
	waits     atomic.Bool // for a request
	inHead    atomic.Bool // the head of a request arrives
	headBytes int         // of it; used by Read only
	unread    int64       // bytes that the kernel may hold; used by the handler of a request only
	place
}

// errLongHead is returned by reads of a head that is far beyond its limit.
var errLongHead = errors.New("the head of the request is too long")

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
		c.headBytes = 0
		c.guard.requestArrives(c)
	}
	if c.inHead.Load() && c.guard.HeadLimit != nil {
		if c.headBytes += n; c.headBytes > headsPerLimit*c.guard.HeadLimit()+headSlack {
			c.refuseHead()
			return 0, errLongHead
		}
	}
	return n, err
}

// refuseHead tells the caller that the head of its request is too long. net/http closes the connection after it.
func (c *countedConn) refuseHead() {
	c.guard.callers.countLong()
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
	_, _ = c.Write([]byte("HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
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
