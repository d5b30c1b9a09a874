package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// server runs one function for each connection and counts the requests that arrive.
func server(t *testing.T, serve func(c net.Conn, r *http.Request, n int)) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var arrived atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					serve(c, r, int(arrived.Add(1)))
				}
			}()
		}
	}()
	return l.Addr().String(), &arrived
}

func say(c net.Conn, text string) { _, _ = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n")) }

func get(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/x?y=%2f", Host: "h", Header: http.Header{"Id": {id}},
		Owns: func(h http.Header) bool { return h.Get("Id") == "" || h.Get("Id") == id }}
}

func do(t *testing.T, c *Client, address string, r *Request) (string, error) {
	t.Helper()
	a, err := c.Do(t.Context(), address, r)
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(a.Body)
	a.Close(err == nil)
	return string(b), err
}

func TestAConnectionIsUsedAgain(t *testing.T) {
	address, _ := server(t, func(c net.Conn, r *http.Request, _ int) {
		say(c, "HTTP/1.1 200 OK\nContent-Length: 2\n\nok")
	})
	c := &Client{}
	for range 3 {
		if b, err := do(t, c, address, get("a")); b != "ok" || err != nil {
			t.Fatal(b, err)
		}
	}
	if n := c.Dials.Load(); n != 1 {
		t.Errorf("%d connections for three requests", n)
	}
}

// The standard transport sends a GET again when a kept connection turns out closed; this one must not.
func TestNothingIsSentTwice(t *testing.T) {
	address, arrived := server(t, func(c net.Conn, r *http.Request, n int) {
		if n == 1 {
			say(c, "HTTP/1.1 200 OK\nContent-Length: 2\n\nok")
			return
		}
		_ = c.Close() // after the request was read: it may have run
	})
	c := &Client{}
	if _, err := do(t, c, address, get("a")); err != nil {
		t.Fatal(err)
	}
	_, err := do(t, c, address, get("b"))
	var notSent *NotSent
	if err == nil || errors.As(err, &notSent) {
		t.Errorf("a request that was sent and not answered gave %v", err)
	}
	if n := arrived.Load(); n != 2 {
		t.Errorf("%d requests arrived, want 2", n)
	}
}

func TestAClosedConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 8)
	address, arrived := server(t, func(c net.Conn, r *http.Request, _ int) {
		say(c, "HTTP/1.1 200 OK\nContent-Length: 2\n\nok")
		_ = c.Close()
		closed <- struct{}{}
	})
	c := &Client{}
	for range 3 {
		if b, err := do(t, c, address, get("a")); b != "ok" || err != nil {
			t.Fatal(b, err)
		}
		<-closed
	}
	if n := arrived.Load(); n != 3 {
		t.Errorf("%d requests arrived, want 3", n)
	}
}

func TestNothingLeftIsSaidSo(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	_, err = do(t, &Client{}, address, get("a"))
	var notSent *NotSent
	if !errors.As(err, &notSent) {
		t.Errorf("no connection gave %v, want NotSent", err)
	}
}

func TestAnAnswerOfAnEarlierRequestIsSkippedAndItsConnectionDropped(t *testing.T) {
	address, _ := server(t, func(c net.Conn, r *http.Request, n int) {
		if n == 2 {
			say(c, "HTTP/1.1 200 OK\nId: a\nContent-Length: 5\n\nstale")
		}
		say(c, "HTTP/1.1 200 OK\nId: "+r.Header.Get("Id")+"\nContent-Length: 1\n\n"+r.Header.Get("Id"))
	})
	c := &Client{}
	for _, id := range []string{"a", "b", "c"} {
		if b, err := do(t, c, address, get(id)); b != id || err != nil {
			t.Fatalf("request %s got %q, %v", id, b, err)
		}
	}
	if n := c.Dials.Load(); n != 2 {
		t.Errorf("%d connections, want 2: the one with a stale answer is not used again", n)
	}
}

func TestForeignAnswersOnlyAreAnError(t *testing.T) {
	address, _ := server(t, func(c net.Conn, r *http.Request, _ int) {
		say(c, "HTTP/1.1 200 OK\nId: other\nConnection: close\nContent-Length: 1\n\nx")
	})
	if _, err := do(t, &Client{}, address, get("a")); !errors.Is(err, ErrForeign) {
		t.Errorf("a foreign answer gave %v", err)
	}
}

func TestExtraBytesSpoilTheConnection(t *testing.T) {
	address, _ := server(t, func(c net.Conn, r *http.Request, n int) {
		extra := ""
		if n == 1 {
			extra = "HTTP/1.1 200 OK\nContent-Length: 5\n\nstale"
		}
		say(c, "HTTP/1.1 200 OK\nContent-Length: 2\n\nok"+extra)
	})
	c := &Client{}
	for range 2 {
		if b, err := do(t, c, address, get("a")); b != "ok" || err != nil {
			t.Fatal(b, err)
		}
	}
	if n := c.Dials.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

func TestHalfAnAnswerIsNotWhole(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\nContent-Length: 9\n\nhalf",
		"chunks": "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n4\nhalf\n",
	} {
		address, _ := server(t, func(c net.Conn, r *http.Request, _ int) {
			say(c, text)
			_ = c.Close()
		})
		if b, err := do(t, &Client{}, address, get("a")); err == nil {
			t.Errorf("%s: half an answer %q was taken for whole", name, b)
		}
	}
}

func TestAnAnswerWithoutALengthNeedsACleanEnd(t *testing.T) {
	for name, linger := range map[string]int{"reset": 0, "clean": -1} {
		address, _ := server(t, func(c net.Conn, r *http.Request, _ int) {
			say(c, "HTTP/1.1 200 OK\n\nbody")
			if linger == 0 {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		})
		b, err := do(t, &Client{}, address, get("a"))
		if clean := err == nil && b == "body"; clean != (name == "clean") {
			t.Errorf("%s end: %q, %v", name, b, err)
		}
	}
}

func TestACancelledExchangeClosesItsConnection(t *testing.T) {
	arrived, gone := make(chan struct{}), make(chan struct{})
	address, _ := server(t, func(c net.Conn, r *http.Request, _ int) {
		close(arrived)
		var b [1]byte
		_, _ = c.Read(b[:])
		close(gone)
	})
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error)
	go func() {
		_, err := (&Client{}).Do(ctx, address, get("a"))
		failed <- err
	}()
	<-arrived
	cancel()
	if err := <-failed; err == nil {
		t.Error("a cancelled exchange had an answer")
	}
	<-gone
}

func TestConnectionsToOneAddressAreBounded(t *testing.T) {
	hold := make(chan struct{})
	arrivedOnce := make(chan struct{}, 1)
	address, _ := server(t, func(c net.Conn, r *http.Request, _ int) {
		arrivedOnce <- struct{}{}
		<-hold
		say(c, "HTTP/1.1 200 OK\nContent-Length: 2\n\nok")
	})
	c := &Client{PerAddress: 1}
	first := make(chan error)
	go func() {
		_, err := do(t, c, address, get("a"))
		first <- err
	}()
	<-arrivedOnce
	if _, err := do(t, c, address, get("b")); !errors.Is(err, ErrNoConnection) {
		t.Errorf("a connection over the bound gave %v", err)
	}
	close(hold)
	if err := <-first; err != nil {
		t.Error(err)
	}
}

// A server may answer a long request before it has read it, and read on later. The answer must come
// through, and nothing else may be sent where the rest of the body is due.
func TestAnEarlyAnswerToALongBody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	const body = 32 << 20 // more than the buffers of a connection hold
	read, answered := make(chan int64, 1), make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		br := bufio.NewReader(c)
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		say(c, "HTTP/1.1 503 Busy\nId: a\nContent-Length: 4\n\nbusy")
		<-answered
		n, _ := io.Copy(io.Discard, br)
		read <- n
	}()
	r := get("a")
	r.Method, r.Body = http.MethodPost, make([]byte, body)
	c := &Client{}
	if b, err := do(t, c, l.Addr().String(), r); b != "busy" || err != nil {
		t.Fatalf("the early answer did not come through: %q, %v", b, err)
	}
	close(answered)
	if n := <-read; n >= body {
		t.Errorf("%d bytes were read, so that the test pressed nothing", n)
	}
	if cn := c.pop(l.Addr().String()); cn != nil {
		t.Error("a connection whose request was not written whole was kept")
	}
}

// An answer that comes slowly is taken; one that stops coming is given up after the silence that is allowed.
func TestAnAnswerIsLimitedByItsProgress(t *testing.T) {
	const silence = 200 * time.Millisecond
	for _, c := range []struct {
		name   string
		pieces int
		whole  bool
	}{{"slow", 8, true}, {"silent after three pieces", 3, false}} {
		address, _ := server(t, func(conn net.Conn, _ *http.Request, _ int) {
			say(conn, "HTTP/1.1 200 OK\nContent-Length: 8\n\n")
			for range c.pieces {
				time.Sleep(silence / 3)
				say(conn, "x")
			}
			if c.pieces < 8 {
				time.Sleep(20 * silence)
			}
		})
		r := get("1")
		r.Silence = silence
		began := time.Now()
		body, err := do(t, &Client{}, address, r)
		if c.whole != (err == nil) || c.whole && body != "xxxxxxxx" {
			t.Errorf("%s: %q, %v", c.name, body, err)
		}
		if !c.whole && time.Since(began) > 10*silence {
			t.Errorf("%s: given up after %v", c.name, time.Since(began))
		}
	}
}

// The time that a server may take before the head of its answer comes on top.
func TestTheHeadOfAnAnswerMayTakeLonger(t *testing.T) {
	const silence = 200 * time.Millisecond
	address, _ := server(t, func(conn net.Conn, _ *http.Request, n int) {
		time.Sleep(2 * silence)
		say(conn, "HTTP/1.1 200 OK\nContent-Length: 1\n\nx")
	})
	c := &Client{}
	r := get("1")
	r.Silence, r.Head = silence, 4*silence
	if body, err := do(t, c, address, r); err != nil || body != "x" {
		t.Errorf("%q, %v", body, err)
	}
	r = get("2") // on the kept connection, whose limit must not stay
	if body, err := do(t, c, address, r); err != nil || body != "x" {
		t.Errorf("on the kept connection: %q, %v", body, err)
	}
	r = get("3")
	r.Silence = silence
	if _, err := do(t, c, address, r); err == nil {
		t.Error("a head that took longer than the silence allowed was waited for")
	}
}
