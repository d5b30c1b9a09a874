package exchange

import (
	"errors"
	"net"
)

// Values of SetLinger. Connections to servers are in ResetOnClose from the start, so that the kernel resets them too if the process
// ends. The end of a connection that is closed in order reaches the server only behind all bytes that are not sent yet.
const (
	ResetOnClose = 0
	CloseInOrder = -1
)

// SetLinger is *net.TCPConn's method for connections that wrap one.
func SetLinger(c net.Conn, seconds int) error {
	switch c := c.(type) {
	case lingerer:
		return c.SetLinger(seconds)
	case wrapper:
		return SetLinger(c.NetConn(), seconds)
	}
	return errors.ErrUnsupported
}

// unwrap returns the connection below a TLS connection.
func unwrap(c net.Conn) net.Conn {
	if w, ok := c.(wrapper); ok {
		return w.NetConn()
	}
	return c
}

type lingerer interface{ SetLinger(seconds int) error }

// wrapper is implemented by TLS connections.
type wrapper interface{ NetConn() net.Conn }
