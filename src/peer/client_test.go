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

// fullListener gives an address whose queue of new connections is full: opening packets are dropped there, as
// before a box without power.
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
	t.Fatal("this kernel does not drop opening packets before a full queue")
	return ""
}

// A box that comes back is met within a fraction of a second, though the opening packet that was sent to it
// before is repeated only after one.
func TestAConnectionThatDoesNotOpenIsGivenUpSoon(t *testing.T) {
	c := NewClient(nil)
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	began := time.Now()
	conn, err := c.dial(ctx, fullListener(t))
	if err == nil {
		_ = conn.Close()
		t.Fatal("connected to a full queue")
	}
	if ctx.Err() != nil || connectWait >= time.Second {
		t.Errorf("given up after %s, by its caller; the packet is sent again after a second", time.Since(began))
	}
}

func TestABoxWhoseProcessEndsIsNoticed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := make(chan string, 4)
	c := NewClient(nil)
	c.Refused = func(address string) { refused <- address }
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
			t.Errorf("%s refuses, want %s", a, l.Addr())
		}
	case <-time.After(10 * time.Second):
		t.Fatal("nobody noticed that the box is gone, and no message is under way to find out")
	}
}
