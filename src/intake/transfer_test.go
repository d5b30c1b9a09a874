package intake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"
)

func noDeadline(time.Time) error { return nil }

// Guards against bodies that are not whole, and against memory for more than what is allowed.
func TestBodiesAreReadToTheirEnd(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const most = 100_000
		sent := bytes.Repeat([]byte("0123456789"), rapid.IntRange(0, most/8).Draw(rt, "tens"))
		u := &Transfer{Body: iotest.HalfReader(bytes.NewReader(sent)), Length: int64(len(sent)), SetReadDeadline: noDeadline}
		if rapid.Bool().Draw(rt, "chunked") {
			u.Length = -1
		}
		body, err := new(Account).Receive(context.Background(), u, most, time.Now().Add(time.Hour))
		switch {
		case len(sent) > most:
			if !errors.Is(err, ErrTooLarge) || u.Received() > most+1 {
				rt.Fatalf("%d bytes sent: %v after %d", len(sent), err, u.Received())
			}
		case err != nil || !bytes.Equal(body, sent) || !u.Whole():
			rt.Fatalf("%d bytes sent, %d read, whole %v: %v", len(sent), len(body), u.Whole(), err)
		case int64(cap(body)) > most+1:
			rt.Fatalf("memory for %d bytes, %d allowed", cap(body), most)
		}
	})
}

// Guards against a body that ends early and is taken as whole.
func TestShortBodyIsAnError(t *testing.T) {
	for _, length := range []int64{11, -1} {
		u := &Transfer{Body: io.MultiReader(bytes.NewReader(make([]byte, 10)), iotest.ErrReader(io.ErrUnexpectedEOF)), Length: length, SetReadDeadline: noDeadline}
		if _, err := new(Account).Receive(context.Background(), u, 100, time.Now().Add(time.Hour)); err == nil || u.Whole() {
			t.Errorf("length %d: %v", length, err)
		}
	}
}

// Guards against a box that reads on without a bound after a refusal.
func TestDiscardIsBounded(t *testing.T) {
	endless := iotest.OneByteReader(zeros{})
	for _, c := range []struct {
		length, most, want int64
		expects            bool
	}{{-1, 1000, 1000, false}, {500, 1000, 500, false}, {1 << 40, 1000, 1000, false}, {500, 1000, 0, true}} {
		var a Account
		u := &Transfer{Body: endless, Length: c.length, Expects: c.expects, SetReadDeadline: noDeadline}
		a.Discard(u, c.most)
		if u.Received() != c.want {
			t.Errorf("length %d, at most %d: %d bytes discarded", c.length, c.most, u.Received())
		}
	}
}

// zeros is a reader without an end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(b []byte) (int, error) { clear(b); return len(b), nil }

// Guards against a body that is waited for without an end, and against a deadline that outlasts its body.
func TestBodyIsAwaitedUntilItsDeadline(t *testing.T) {
	for _, stops := range []bool{false, true} {
		server, caller := net.Pipe()
		ctx, cancel := context.WithCancel(context.Background())
		by := time.Now().Add(50 * time.Millisecond)
		if stops {
			by = time.Now().Add(time.Hour)
			time.AfterFunc(50*time.Millisecond, cancel)
		}
		go func() { _, _ = caller.Write([]byte("b")) }()
		var a Account
		u := &Transfer{Body: server, Length: 2, SetReadDeadline: server.SetReadDeadline}
		if _, err := a.Receive(ctx, u, 10, by); !errors.Is(err, os.ErrDeadlineExceeded) || u.Whole() {
			t.Errorf("box stops: %v: %v", stops, err)
		}
		cancel()
		go func() { _, _ = caller.Write([]byte("bb")) }()
		u = &Transfer{Body: server, Length: 2, SetReadDeadline: server.SetReadDeadline}
		if _, err := a.Receive(context.Background(), u, 10, time.Now().Add(time.Hour)); err != nil {
			t.Error(err)
		}
		var deadlines []time.Time
		u = &Transfer{Body: bytes.NewReader([]byte("bb")), Length: 2, SetReadDeadline: func(t time.Time) error { deadlines = append(deadlines, t); return nil }}
		if _, err := a.Receive(context.Background(), u, 10, by); err != nil || len(deadlines) != 2 || !deadlines[1].IsZero() {
			t.Errorf("%v, deadlines %v", err, deadlines)
		}
	}
}

// Guards against a kernel that holds more of a body than the body has room for.
func TestUnreadBytesOfABodyFollowItsRoom(t *testing.T) {
	for _, length := range []int64{100_000, -1} {
		a := &Account{Limit: 1 << 20}
		var held []int64
		u := &Transfer{Body: bytes.NewReader(make([]byte, 100_000)), Length: length, SetReadDeadline: noDeadline}
		u.SetUnread = func(n int64) {
			if room := a.Status().Held - u.Received(); n > room {
				t.Errorf("%d bytes unread, the body has room for %d", n, room)
			}
			held = append(held, n)
		}
		if _, err := a.Receive(t.Context(), u, 1<<20, time.Now().Add(time.Hour)); err != nil {
			t.Fatal(err)
		}
		if len(held) < 2 || held[len(held)-1] != 0 || held[len(held)-2] < 50_000 {
			t.Errorf("length %d: unread bytes were set to %v", length, held)
		}
	}
	full := &Account{Limit: 1000}
	first := &Transfer{Body: bytes.NewReader(make([]byte, 800)), Length: 800, SetReadDeadline: noDeadline}
	if _, err := full.Receive(t.Context(), first, 1000, time.Now().Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	refused := &Transfer{Body: bytes.NewReader(make([]byte, 800)), Length: 800, SetReadDeadline: noDeadline}
	refused.SetUnread = func(n int64) {
		if n > 0 {
			t.Errorf("%d bytes of a body without room", n)
		}
	}
	if _, err := full.Receive(t.Context(), refused, 1000, time.Now().Add(300*time.Millisecond)); !errors.Is(err, ErrNoRoom) {
		t.Errorf("the body has no room: %v", err)
	}
}
