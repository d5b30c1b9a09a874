package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stilemast/stilemast/src/port"
)

// tunnelTo returns the asker's end of a tunnel to a server, and the server's end of its connection. stop ends the box
// between them.
func tunnelTo(t *testing.T) (asker net.Conn, server *net.TCPConn, stop func()) {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = target.Close() })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s := &Server{Handlers: Handlers{Tunnel: func(_ context.Context, q port.Tunnel) (net.Conn, port.TunnelResult) {
			if q.Address != target.Addr().String() {
				return nil, port.TunnelNoPath
			}
			c, err := net.Dial("tcp", q.Address)
			if err != nil {
				return nil, port.TunnelRefused
			}
			return c, port.TunnelOpen
		}}}
		s.Serve(ctx, l)
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	c := NewClient(nil)
	t.Cleanup(c.Close)
	var refused *port.TunnelError
	if _, err := c.Tunnel(t.Context(), l.Addr().String(), port.Tunnel{Address: "elsewhere"}); !errors.As(err, &refused) || refused.Result != port.TunnelNoPath {
		t.Errorf("a tunnel without a path: %v", err)
	}
	asker, err = c.Tunnel(t.Context(), l.Addr().String(), port.Tunnel{Address: target.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = asker.Close() })
	raw, err := target.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = raw.Close() })
	_ = asker.SetDeadline(time.Now().Add(10 * time.Second))
	_ = raw.SetDeadline(time.Now().Add(10 * time.Second))
	return asker, raw.(*net.TCPConn), stop
}

func TestTunnelCarriesBytesBothWays(t *testing.T) {
	asker, server, _ := tunnelTo(t)
	large := strings.Repeat("0123456789", 10_000)
	go func() { _, _ = io.WriteString(asker, large) }()
	got := make([]byte, len(large))
	if _, err := io.ReadFull(server, got); err != nil || string(got) != large {
		t.Fatal("the server did not get the bytes: ", err)
	}
	go func() {
		_, _ = io.WriteString(server, large)
		_ = server.Close()
	}()
	if got, err := io.ReadAll(asker); err != nil || string(got) != large {
		t.Errorf("%d bytes came back, error %v", len(got), err)
	}
}

// What broke decides whether the server counts as failed.
func TestEndsOfTunnelsAreToldApart(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(server *net.TCPConn, stop func())
		want func(error) bool
	}{
		{"the server closes", func(s *net.TCPConn, _ func()) { _ = s.Close() }, func(err error) bool { return err == io.EOF }},
		{"the server resets", func(s *net.TCPConn, _ func()) {
			_ = s.SetLinger(0)
			_ = s.Close()
		}, func(err error) bool { return errors.Is(err, syscall.ECONNRESET) }},
		{"the box between ends", func(_ *net.TCPConn, stop func()) { stop() }, func(err error) bool {
			var lost *port.CarrierLostError
			return errors.As(err, &lost)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			asker, server, stop := tunnelTo(t)
			_, _ = io.WriteString(server, "begin")
			if _, err := io.ReadFull(asker, make([]byte, 5)); err != nil {
				t.Fatal(err)
			}
			c.end(server, stop)
			if _, err := asker.Read(make([]byte, 1)); !c.want(err) {
				t.Errorf("got %v", err)
			}
		})
	}
}

func TestServerNoticesAskerOfTunnelLeaving(t *testing.T) {
	asker, server, _ := tunnelTo(t)
	_ = asker.Close()
	if _, err := server.Read(make([]byte, 1)); err != io.EOF && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %v", err)
	}
}

func TestReadOfTunnelCanTimeOutAndGoOn(t *testing.T) {
	asker, server, _ := tunnelTo(t)
	_ = asker.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := asker.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("got %v", err)
	}
	_ = asker.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(server, "x")
	if n, err := asker.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Errorf("read %d bytes after the timeout, %v", n, err)
	}
}

func FuzzChunks(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x02ab\x00\x00\x00\x00"))
	f.Add([]byte("\x00\x00\x00\x01a\xff\xff\xff\xff"))
	f.Add([]byte("\x7f\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, b []byte) {
		near, far := net.Pipe()
		go func() {
			_, _ = io.Copy(far, bytes.NewReader(b))
			_ = far.Close()
		}()
		c := &tunnelConn{Conn: near, reader: bufio.NewReader(near), sent: func(int64) int64 { return 0 }}
		got, err := io.ReadAll(c)
		_ = near.Close()
		if len(got) > len(b) {
			t.Errorf("%d bytes out of %d, %v", len(got), len(b), err)
		}
	})
}

// Guards against a connection to a server that was reset and looks ended, since the reset was told to the write.
func TestResetOfTunnelledConnectionIsNotAnEnd(t *testing.T) {
	ended := 0
	for range 20 {
		asker, server, stop := tunnelTo(t)
		go func() { _, _ = asker.Write(make([]byte, 32<<20)) }()
		_, _ = io.ReadFull(server, make([]byte, 100))
		_, _ = server.Write([]byte("part"))
		time.Sleep(20 * time.Millisecond)
		_ = server.SetLinger(0)
		_ = server.Close()
		if _, err := io.ReadAll(asker); err == nil {
			ended++
		}
		_ = asker.Close()
		stop()
	}
	if ended > 0 {
		t.Errorf("%d of 20 connections that were reset look ended", ended)
	}
}

// Guards against a server that works on for an asker that has given up, while it does not read the rest of the request.
func TestServerIsToldThatTheAskerOfATunnelGaveUp(t *testing.T) {
	asker, server, _ := tunnelTo(t)
	go func() { _, _ = asker.Write(make([]byte, 32<<20)) }()
	_, _ = io.ReadFull(server, make([]byte, 100))
	time.Sleep(10 * askerCheck) // until all buffers are full
	_ = asker.(interface{ SetLinger(int) error }).SetLinger(0)
	_ = asker.Close()
	time.Sleep(5 * askerCheck)
	if !isReset(server) {
		n, err := io.Copy(io.Discard, server)
		t.Errorf("the server was not told; it read %d bytes, then %v", n, err)
	}
}

// Guards against a server that works on for a request whose carrier stopped, while it does not read the rest of it.
func TestServerIsToldThatTheCarrierOfItsConnectionStopped(t *testing.T) {
	asker, server, stop := tunnelTo(t)
	go func() { _, _ = asker.Write(make([]byte, 32<<20)) }()
	_, _ = io.ReadFull(server, make([]byte, 100))
	time.Sleep(10 * askerCheck) // until all buffers are full
	stop()
	time.Sleep(5 * askerCheck)
	if !isReset(server) {
		n, err := io.Copy(io.Discard, server)
		t.Errorf("the server was not told; it read %d bytes, then %v", n, err)
	}
}
