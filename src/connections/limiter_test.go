package connections

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// client is a client's end of a limited connection.
type client struct {
	net.Conn
	limited *Limited
}

func join(l *Limiter) client {
	near, far := net.Pipe()
	return client{far, l.Add(near)}
}

// send sends n bytes, which the other end reads.
func (c client) send(n int) {
	go func() { _, _ = c.Write(make([]byte, n)) }()
	_, _ = io.ReadFull(c.limited, make([]byte, n))
}

// closed reports whether the other end has closed the connection.
func (c client) closed() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	return err == io.EOF
}

// Guards against clients that keep others out, and against connections that are closed before what their clients sent was read.
func TestLimiterClosesTheOldest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Limiter{Most: 2}
		first, second := join(l), join(l)
		began := time.Now()
		third := join(l)
		if waited := time.Since(began); waited != settleTime {
			t.Errorf("the oldest was closed after %s", waited)
		}
		if !first.closed() || second.closed() || third.closed() {
			t.Error("not the oldest was closed")
		}
		second.limited.Remove()
		third.limited.Close()
		join(l)
		if s := l.Status(); s.Open != 1 || s.Closed != 1 || second.closed() {
			t.Errorf("%+v; one was closed and two have left", s)
		}
	})
}

// Guards against a known sender that is closed because the box has not had the processor to read what it sent, and against one that keeps
// others out by what it sends.
func TestLimiterSparesWhatIsUnread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unread := map[net.Conn]bool{}
		l := &Limiter{Most: 2, Unread: func(c net.Conn) bool { return unread[c] }}
		first, second := join(l), join(l)
		unread[first.limited.Conn] = true
		third := join(l)
		if first.closed() || !second.closed() {
			t.Error("a connection with unread bytes was closed for another one")
		}
		unread[third.limited.Conn] = true
		began := time.Now()
		join(l)
		if waited := time.Since(began); !first.closed() || third.closed() || waited > unreadTime {
			t.Errorf("the oldest was kept for %s", waited)
		}
	})
}

// Guards against a wrong count of the bytes that have arrived.
func TestUnreadBytesOfAConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	if HasUnread(near) {
		t.Error("bytes are unread before any was sent")
	}
	_, _ = far.Write([]byte("ab"))
	_, _ = io.ReadFull(near, make([]byte, 1)) // the second has arrived too
	if !HasUnread(near) {
		t.Error("a byte that has arrived is not unread")
	}
	_, _ = io.ReadFull(near, make([]byte, 1))
	if HasUnread(near) {
		t.Error("bytes are unread that were read")
	}
}

// Guards against clients that hold much together while each is within its limit, and against a client that gives way to
// itself.
func TestLimiterClosesTheHeaviest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Limiter{Bytes: 1000}
		small, large, known := join(l), join(l), join(l)
		known.send(300)
		known.limited.Remove()
		large.send(5000)
		if large.closed() {
			t.Error("a connection was closed while no other held anything")
		}
		time.Sleep(time.Second)
		small.send(100)
		if !large.closed() || small.closed() || known.closed() {
			t.Error("not the one that held most was closed")
		}
		if s := l.Status(); s.Bytes != 5100 || s.Open != 1 || s.Closed != 1 {
			t.Errorf("%+v before the reader of the closed one has returned", s)
		}
		go func() { _, _ = small.Write(make([]byte, 1)) }()
		done := make(chan struct{})
		go func() {
			_, _ = small.limited.Read(make([]byte, 1))
			close(done)
		}()
		synctest.Wait()
		select {
		case <-done:
			t.Error("more was read while the bytes of the closed one were in use")
		default:
		}
		large.limited.Remove()
		<-done
		if s := l.Status(); s.Bytes != 101 || s.Open != 1 || s.Closed != 1 {
			t.Errorf("%+v", s)
		}
	})
}

// Guards against any history of connections that exceeds a bound, or after which something counts as held.
func TestLimiterHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Limiter{Most: rapid.IntRange(1, 5).Draw(t, "most"), Bytes: rapid.Int64Range(1, 2000).Draw(t, "bytes")}
		var clients []client
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			i := rapid.IntRange(0, 9).Draw(t, "client")
			switch {
			case i >= len(clients):
				clients = append(clients, join(l))
			case rapid.Bool().Draw(t, "sends"):
				n, c := rapid.IntRange(1, 900).Draw(t, "n"), clients[i]
				for _, other := range clients { // their readers return
					if other.limited.closing {
						other.limited.Remove()
					}
				}
				go func() { _, _ = c.Write(make([]byte, n)) }()
				_, _ = c.limited.Read(make([]byte, n))
			case rapid.Bool().Draw(t, "known"):
				clients[i].limited.Remove()
			default:
				_ = clients[i].limited.Close()
			}
			alone := false
			for _, c := range clients {
				alone = alone || c.limited.at != nil && !c.limited.closing && c.limited.bytes == l.bytes-l.closingBytes
			}
			if s := l.Status(); s.Open > l.Most || s.Bytes-l.closingBytes > l.Bytes && !alone {
				t.Fatalf("%+v, at most %d connections and %d bytes", s, l.Most, l.Bytes)
			}
		}
		for _, c := range clients {
			_ = c.limited.Close()
		}
		if s := l.Status(); s.Open != 0 || s.Bytes != 0 {
			t.Fatalf("%+v after all have left", s)
		}
	})
}
