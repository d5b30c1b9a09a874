package overload

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// What the kernel holds of the bytes that have arrived on a connection and are not read, in bytes, with its own overhead.
const (
	unreadMemory = 32 << 10  // of each connection
	maxUnread    = 256 << 10 // of one whose body has room, so that it arrives at the pace of its link
)

// kernelShare is the factor by which the kernel enlarges a receive buffer for its overhead; see SO_RCVBUF in socket(7).
const kernelShare = 2

// BoundUnread bounds what the kernel holds unread on each connection of a listener; connections take the buffer of their listener over.
func BoundUnread(l net.Listener) error {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, unreadMemory/kernelShare)
	})
	return errors.Join(err, set)
}

// ReleaseUnread lets the kernel hold more on a connection whose listener is bounded, so that what its known client sends arrives at the
// pace of its link.
func ReleaseUnread(c net.Conn) {
	if own, ok := c.(*net.TCPConn); ok {
		_ = own.SetReadBuffer(maxUnread / kernelShare)
	}
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// WithConnection is a hook for http.Server.ConnContext. It makes the connection known to SetUnread.
func WithConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// SetUnread bounds what the kernel holds unread on the connection of a request by the bytes for which its body has room, 0 for none.
// It does nothing unless the memory of connections is limited, since the kernel adapts their buffers then.
func SetUnread(ctx context.Context, bytes int64) {
	if c, ok := ctx.Value(connectionKey{}).(*countedConn); ok && c.guard.Memory > 0 {
		c.setUnread(max(unreadMemory, min(bytes, maxUnread)))
	}
}

// setUnread sets the receive buffer, unless it has that size.
func (c *countedConn) setUnread(bytes int64) {
	own, ok := c.Conn.(interface{ SetReadBuffer(int) error })
	if ok && bytes != c.unread && own.SetReadBuffer(int(bytes/kernelShare)) == nil {
		c.unread = bytes
	}
}
