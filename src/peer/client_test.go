package peer

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stilemast/stilemast/src/core"
)

// fullListener returns an address whose accept queue is full, so that SYN packets are dropped as by a host
// without power.
func fullListener(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 8 {
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("this kernel does not drop SYN packets when the accept queue is full")
	return ""
}

// A box that comes back must be reached within a fraction of a second, though a lost SYN is retransmitted
// only after 1 s.
func TestConnectTimeoutIsShort(t *testing.T) {
	c := NewClient(nil)
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	began := time.Now()
	conn, err := c.dial(ctx, fullListener(t))
	if err == nil {
		_ = conn.Close()
		t.Fatal("connected despite a full accept queue")
	}
	if ctx.Err() != nil || connectTimeout >= time.Second {
		t.Errorf("aborted after %s by the caller; a SYN is retransmitted after 1 s", time.Since(began))
	}
}

func TestEndedProcessIsDetected(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := make(chan string, 4)
	c := NewClient(nil)
	c.OnRefused = func(address string) { refused <- address }
	defer c.Close()
	c.Beat(l.Addr().String(), core.Beat{})
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	_ = conn.Close()
	select {
	case a := <-refused:
		if a != l.Addr().String() {
			t.Errorf("%s refuses connections, want %s", a, l.Addr())
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the end of the process was not detected without another message")
	}
}
