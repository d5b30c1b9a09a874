package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/exchange"
	"github.com/stilemast/stilemast/src/port"
)

// A tunnel begins with a Tunnel message and its answer. Then the bytes to the server follow as they are. The bytes from
// the server come in chunks with a length prefix, so that the end of the server's connection can be told from that of the
// box between.
const (
	chunkBytes  = 8 << 10    // maximum size of a chunk
	chunkEnd    = 0          // length that stands for the end of the server's bytes
	chunkBroken = 0xFFFFFFFF // length that stands for a connection that broke at the server
)

// askerCheck is how often a write to a server that does not read checks whether the asker is still there.
const askerCheck = 50 * time.Millisecond

// Tunnel asks the box at an address to carry a connection to a backend server.
func (c *Client) Tunnel(ctx context.Context, address string, t port.Tunnel) (net.Conn, error) {
	first := &Message{Tunnel: &t}
	if t.Lent {
		first = &Message{Lend: &t}
	}
	conn, stop, err := c.open(ctx, address, first)
	if err != nil {
		return nil, err
	}
	m, err := ReadFrame(conn)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	switch {
	case err != nil:
		err = eris.Wrap(err, "open tunnel")
	case m.Opened == nil:
		err = code.New(code.FrameInvalid, "frame", "not the answer to a tunnel")
	case m.Opened.Result != port.TunnelOpen:
		err = &port.TunnelError{Result: m.Opened.Result}
	default:
		return &tunnelConn{Conn: conn, reader: bufio.NewReaderSize(conn, chunkBytes+headerBytes), sent: c.BytesSent.Add}, nil
	}
	_ = conn.Close()
	return nil, err
}

// tunnelConn is the asker's end of a tunnel.
type tunnelConn struct {
	net.Conn
	reader *bufio.Reader
	left   int   // bytes left of the current chunk
	end    error // after the last chunk
	sent   func(int64) int64
}

// Read reads bytes of the server. The error is a port.CarrierLostError if the box between failed.
func (c *tunnelConn) Read(b []byte) (int, error) {
	if c.left == 0 && c.end == nil {
		if err := c.nextChunk(); err != nil {
			return 0, err
		}
	}
	if c.end != nil {
		return 0, c.end
	}
	n, err := c.reader.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, carrierError(err)
}

// nextChunk reads the length of the next chunk. After a timeout it can be called again.
func (c *tunnelConn) nextChunk() error {
	head, err := c.reader.Peek(headerBytes)
	if err != nil {
		return carrierError(err)
	}
	_, _ = c.reader.Discard(headerBytes)
	switch n := binary.BigEndian.Uint32(head); {
	case n == chunkEnd:
		c.end = io.EOF
	case n == chunkBroken:
		c.end = syscall.ECONNRESET
	case n > chunkBytes:
		c.end = code.New(code.FrameInvalid, "chunk.length", "%d bytes, at most %d", n, chunkBytes)
	default:
		c.left = int(n)
	}
	return nil
}

// carrierError returns the error of the connection between the boxes, as seen at its asker's end.
func carrierError(err error) error {
	if timeout, ok := err.(net.Error); err == nil || ok && timeout.Timeout() {
		return err
	}
	return &port.CarrierLostError{Cause: err}
}

// Write sends bytes to the server.
func (c *tunnelConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent(int64(n))
	return n, carrierError(err)
}

// SyscallConn returns the connection to the box between, to check whether it is open and idle.
func (c *tunnelConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return nil, syscall.ENOTSUP
	}
	return s.SyscallConn()
}

// SetLinger implements *net.TCPConn's method.
func (c *tunnelConn) SetLinger(seconds int) error { return exchange.SetLinger(c.Conn, seconds) }

// tunnel carries a connection for another box until either end closes it.
func (s *Server) tunnel(ctx context.Context, c net.Conn, t port.Tunnel) {
	server, result := s.Handlers.Tunnel(ctx, t)
	if server != nil {
		defer server.Close()
	}
	_ = c.SetDeadline(time.Now().Add(writeTimeout))
	if _, err := WriteFrame(c, &Message{Opened: &port.TunnelOpened{Result: result}}); err != nil || server == nil {
		return
	}
	_ = c.SetDeadline(time.Time{})
	_ = exchange.SetLinger(server, exchange.ResetOnClose)
	var both sync.WaitGroup
	to := &serverWriter{server: server, asker: c}
	both.Go(func() {
		if _, err := io.CopyBuffer(to, struct{ io.Reader }{c}, make([]byte, chunkBytes)); err == nil {
			_ = exchange.SetLinger(server, exchange.CloseInOrder)
		}
		_ = server.Close()
	})
	if copyChunks(c, server, to.failed) {
		_ = exchange.SetLinger(server, exchange.CloseInOrder)
	}
	_ = c.Close()
	both.Wait()
}

// errAskerGone is returned by writes to a server whose asker has given up.
var errAskerGone = errors.New("the asking box has reset the tunnel")

// serverWriter writes to a server and records whether that failed: a reset is told either to the read or to the write. While the
// server does not read, nothing is read from the asker either, so that a write that takes long checks whether the asker is there.
type serverWriter struct {
	server, asker net.Conn
	mu            sync.Mutex // held during writes
	err           error
}

// Write implements io.Writer.
func (w *serverWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := 0
	for {
		_ = w.server.SetWriteDeadline(time.Now().Add(askerCheck))
		n, err := w.server.Write(b[total:])
		total += n
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded):
			w.err = err
			return total, err
		case isReset(w.asker):
			return total, errAskerGone
		}
	}
}

// isReset reports whether the other end has reset a connection.
func isReset(c net.Conn) bool {
	if w, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = w.NetConn()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		n, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		reset = err == nil && n != 0
	})
	return err != nil || reset
}

// failed reports whether the last write failed, once it has ended.
func (w *serverWriter) failed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err != nil
}

// copyChunks sends the bytes of a server in chunks until it ends, and reports whether the asker took them. An end without an
// error counts as one only if the writes to the server have not failed.
func copyChunks(c net.Conn, server io.Reader, writeFailed func() bool) (delivered bool) {
	buf := make([]byte, headerBytes+chunkBytes)
	for {
		n, err := server.Read(buf[headerBytes:])
		if n > 0 {
			binary.BigEndian.PutUint32(buf, uint32(n))
			_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.Write(buf[:headerBytes+n]); err != nil {
				return false
			}
		}
		if err == nil {
			continue
		}
		last := uint32(chunkBroken)
		if err == io.EOF && !writeFailed() {
			last = chunkEnd
		}
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err = c.Write(binary.BigEndian.AppendUint32(nil, last))
		return err == nil
	}
}
