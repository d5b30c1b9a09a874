package overload

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// dialBounded returns both ends of a connection to a listener with BoundUnread.
func dialBounded(t *testing.T) (accepted *net.TCPConn, caller net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := BoundUnread(l); err != nil {
		t.Fatal(err)
	}
	if caller, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close(); _ = c.Close() })
	return c.(*net.TCPConn), caller
}

// fill writes to a connection until nothing more is taken.
func fill(c net.Conn) {
	_ = c.(*net.TCPConn).SetWriteBuffer(4 << 10)
	_ = c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
	_, _ = c.Write(make([]byte, 4<<20))
}

// unreadBytes returns the most memory that the kernel takes for what arrives on a connection, and the bytes that it holds, at most
// 1 MiB.
func unreadBytes(t *testing.T, c *net.TCPConn) (most, held int) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var peeked error
	_ = raw.Control(func(fd uintptr) {
		most, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
		held, _, peeked = syscall.Recvfrom(int(fd), make([]byte, 1<<20), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil || peeked != nil {
		t.Fatal(err, peeked)
	}
	return most, held
}

// Guards against connections that take more memory than the guard counts for them.
func TestUnreadBytesFitTheMemoryOfAConnection(t *testing.T) {
	accepted, caller := dialBounded(t)
	fill(caller)
	most, held := unreadBytes(t, accepted)
	if most+headMemory > connectionMemory {
		t.Errorf("the kernel holds up to %d bytes and a head takes %d, %d are counted", most, headMemory, connectionMemory)
	}
	if held > connectionMemory-headMemory {
		t.Errorf("%d bytes unread, %d are counted", held, connectionMemory-headMemory)
	}
}

// Guards against bodies that arrive slowly though they have room, and against connections that keep the larger buffer.
func TestBodyWithRoomArrivesAtThePaceOfItsLink(t *testing.T) {
	accepted, caller := dialBounded(t)
	g := &Guard{Memory: 1 << 20}
	ctx := WithConnection(t.Context(), &countedConn{Conn: accepted, guard: g, unread: unreadMemory})
	SetUnread(ctx, 1<<20)
	fill(caller)
	if most, held := unreadBytes(t, accepted); most > maxUnread || held <= unreadMemory {
		t.Errorf("%d bytes unread, at most %d; want more than %d of at most %d", held, most, unreadMemory, maxUnread)
	}
	SetUnread(ctx, 0)
	if most, _ := unreadBytes(t, accepted); most != unreadMemory {
		t.Errorf("the kernel holds up to %d bytes after the body, want %d", most, unreadMemory)
	}
	g.Memory = 0
	SetUnread(ctx, 1<<20)
	if most, _ := unreadBytes(t, accepted); most != unreadMemory {
		t.Errorf("the buffer is set to %d bytes without a limit of memory", most)
	}
}
