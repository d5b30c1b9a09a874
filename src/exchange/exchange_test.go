package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stilemast/stilemast/src/connections"
)

// server calls serve for each request and counts the requests that arrive.
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

// writeText writes a response with CRLF line ends.
func writeText(c net.Conn, text string) {
	_, _ = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
}

func get(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/x?y=%2f", Host: "h", Header: http.Header{"Id": {id}},
		Matches: func(h http.Header) bool { return h.Get("Id") == "" || h.Get("Id") == id }}
}

// do sends a request and reads the whole response.
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

func TestConnectionIsReused(t *testing.T) {
	address, _ := server(t, func(c net.Conn, r *http.Request, _ int) {
		writeText(c, "HTTP/1.1 200 OK\nContent-Length: 2\n\nok")
	})
	c := &Client{}
	for range 3 {
		if b, err := do(t, c, address, get("a")); b != "ok" || err != nil {
			t.Fatal(b, err)
		}
	}
	if n := c.Dials.Load(); n != 1 {
		t.Errorf("%d connections for three requests, want 1", n)
	}
}

// The standard transport resends a GET if an idle connection turns out to be closed; this one must not.
func TestRequestIsNeverResent(t *testing.T) {
	address, arrived := server(t, func(c net.Conn, r *http.Request, n int) {
		if n == 1 {
			writeText(c, "HTTP/1.1 200 OK\nContent-Length: 2\n\nok")
			return
		}
		_ = c.Close() // the request was read, so it may have run
	})
	c := &Client{}
	if _, err := do(t, c, address, get("a")); err != nil {
		t.Fatal(err)
	}
	_, err := do(t, c, address, get("b"))
	var notSent *NotSent
	if err == nil || errors.As(err, &notSent) {
		t.Errorf("a request that was sent without a response gave %v", err)
	}
	if n := arrived.Load(); n != 2 {
		t.Errorf("%d requests arrived, want 2", n)
	}
}

func TestClosedConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{}, 8)
	address, arrived := server(t, func(c net.Conn, r *http.Request, _ int) {
		writeText(c, "HTTP/1.1 200 OK\nContent-Length: 2\n\nok")
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

func TestFailedDialIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	_, err = do(t, &Client{}, address, get("a"))
	var notSent *NotSent
	if !errors.As(err, &notSent) {
		t.Errorf("a refused connection gave %v, want NotSent", err)
	}
}

func TestStaleResponseIsSkippedAndConnectionDropped(t *testing.T) {
	address, _ := server(t, func(c net.Conn, r *http.Request, n int) {
		if n == 2 {
			writeText(c, "HTTP/1.1 200 OK\nId: a\nContent-Length: 5\n\nstale")
		}
		writeText(c, "HTTP/1.1 200 OK\nId: "+r.Header.Get("Id")+"\nContent-Length: 1\n\n"+r.Header.Get("Id"))
	})
	c := &Client{}
	for _, id := range []string{"a", "b", "c"} {
		if b, err := do(t, c, address, get(id)); b != id || err != nil {
			t.Fatalf("request %s got %q, %v", id, b, err)
		}
	}
	if n := c.Dials.Load(); n != 2 {
		t.Errorf("%d connections, want 2: one with a stale response must not be reused", n)
	}
}

func TestForeignResponseIsAnError(t *testing.T) {
	address, _ := server(t, func(c net.Conn, r *http.Request, _ int) {
		writeText(c, "HTTP/1.1 200 OK\nId: other\nConnection: close\nContent-Length: 1\n\nx")
	})
	if _, err := do(t, &Client{}, address, get("a")); !errors.Is(err, ErrForeignResponse) {
		t.Errorf("a foreign response gave %v", err)
	}
}

func TestConnectionWithExtraBytesIsDropped(t *testing.T) {
	address, _ := server(t, func(c net.Conn, r *http.Request, n int) {
		extra := ""
		if n == 1 {
			extra = "HTTP/1.1 200 OK\nContent-Length: 5\n\nstale"
		}
		writeText(c, "HTTP/1.1 200 OK\nContent-Length: 2\n\nok"+extra)
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

func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\nContent-Length: 9\n\nhalf",
		"chunks": "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n4\nhalf\n",
	} {
		address, _ := server(t, func(c net.Conn, r *http.Request, _ int) {
			writeText(c, text)
			_ = c.Close()
		})
		if b, err := do(t, &Client{}, address, get("a")); err == nil {
			t.Errorf("%s: the truncated response %q was accepted", name, b)
		}
	}
}

func TestResponseWithoutLengthNeedsCleanClose(t *testing.T) {
	for name, linger := range map[string]int{"reset": 0, "clean": -1} {
		address, _ := server(t, func(c net.Conn, r *http.Request, _ int) {
			writeText(c, "HTTP/1.1 200 OK\n\nbody")
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

func TestCancelledExchangeClosesItsConnection(t *testing.T) {
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
		t.Error("a cancelled exchange returned a response")
	}
	<-gone
}

func TestConnectionsToOneAddressAreBounded(t *testing.T) {
	hold := make(chan struct{})
	arrivedOnce := make(chan struct{}, 1)
	address, _ := server(t, func(c net.Conn, r *http.Request, _ int) {
		arrivedOnce <- struct{}{}
		<-hold
		writeText(c, "HTTP/1.1 200 OK\nContent-Length: 2\n\nok")
	})
	c := &Client{}
	one := func(id string) *Request {
		r := get(id)
		r.Share = connections.Share{Open: 1, Idle: 1}
		return r
	}
	first := make(chan error)
	go func() {
		_, err := do(t, c, address, one("a"))
		first <- err
	}()
	<-arrivedOnce
	if _, err := do(t, c, address, one("b")); !errors.Is(err, ErrConnectionLimit) {
		t.Errorf("a connection beyond the limit gave %v", err)
	}
	waits := make(chan error)
	go func() {
		_, err := do(t, c, address, one("c"))
		waits <- err
	}()
	close(hold)
	if err := <-first; err != nil {
		t.Error(err)
	}
	if err := <-waits; err != nil {
		t.Errorf("a request did not get the connection that was released: %v", err)
	}
	if n := c.Dials.Load(); n != 1 {
		t.Errorf("%d connections were opened", n)
	}
}

// A server may respond to a long request before it has read the body, and read on later. The response must be
// returned, and no other request may be sent on the connection, where it would be read as the rest of the
// body.
func TestEarlyResponseToLongBody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	const body = 32 << 20 // exceeds the buffers of a connection
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
		writeText(c, "HTTP/1.1 503 Busy\nId: a\nContent-Length: 4\n\nbusy")
		<-answered
		n, _ := io.Copy(io.Discard, br)
		read <- n
	}()
	r := get("a")
	r.Method, r.Body = http.MethodPost, make([]byte, body)
	c := &Client{}
	if b, err := do(t, c, l.Addr().String(), r); b != "busy" || err != nil {
		t.Fatalf("early response: %q, %v", b, err)
	}
	close(answered)
	if n := <-read; n >= body {
		t.Errorf("%d bytes were read: the body fits into the buffers, so this tests nothing", n)
	}
	if cn := c.popIdle(l.Addr().String()); cn != nil {
		t.Error("a connection whose request was not written completely was kept")
	}
}

// A slow response must be received in full; one that stalls must be aborted after the read timeout.
func TestResponseIsLimitedByItsProgress(t *testing.T) {
	const silence = 200 * time.Millisecond
	for _, c := range []struct {
		name   string
		pieces int
		whole  bool
	}{{"slow", 8, true}, {"silent after three pieces", 3, false}} {
		address, _ := server(t, func(conn net.Conn, _ *http.Request, _ int) {
			writeText(conn, "HTTP/1.1 200 OK\nContent-Length: 8\n\n")
			for range c.pieces {
				time.Sleep(silence / 3)
				writeText(conn, "x")
			}
			if c.pieces < 8 {
				time.Sleep(20 * silence)
			}
		})
		r := get("1")
		r.ReadTimeout = silence
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

// The timeout for the response header may be longer than the read timeout, and must not remain on a reused
// connection.
func TestResponseHeaderMayTakeLonger(t *testing.T) {
	const silence = 200 * time.Millisecond
	address, _ := server(t, func(conn net.Conn, _ *http.Request, n int) {
		time.Sleep(2 * silence)
		writeText(conn, "HTTP/1.1 200 OK\nContent-Length: 1\n\nx")
	})
	c := &Client{}
	r := get("1")
	r.ReadTimeout, r.HeaderTimeout = silence, 4*silence
	if body, err := do(t, c, address, r); err != nil || body != "x" {
		t.Errorf("%q, %v", body, err)
	}
	r = get("2") // on the reused connection
	if body, err := do(t, c, address, r); err != nil || body != "x" {
		t.Errorf("on the reused connection: %q, %v", body, err)
	}
	r = get("3")
	r.ReadTimeout = silence
	if _, err := do(t, c, address, r); err == nil {
		t.Error("a header that took longer than the read timeout was accepted")
	}
}

// With TCP_USER_TIMEOUT set, the kernel ends a silent connection at the first keep-alive probe that is due after that time.
func TestServerMayBeSilentForASecondAndAHalf(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := Dial(t.Context(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(name int, unit time.Duration) time.Duration {
		var v int
		if e := raw.Control(func(fd uintptr) { v, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, name) }); e != nil || err != nil {
			t.Fatal(e, err)
		}
		return time.Duration(v) * unit
	}
	idle, period, limit := option(syscall.TCP_KEEPIDLE, time.Second), option(syscall.TCP_KEEPINTVL, time.Second), option(tcpUserTimeout, time.Millisecond)
	end := idle
	for end < limit || end == idle {
		end += period
	}
	if shortest := end - idle; shortest < 1500*time.Millisecond {
		t.Errorf("a silence of %s may end a connection that waits for a response", shortest)
	}
	if limit < 1500*time.Millisecond || max(end, limit) > 3*time.Second {
		t.Errorf("silence ends a connection that waits after %s, and one that sends after %s; want 1.5 to 3 s", end, limit)
	}
}

// Guards against a server that isn't told that its request was given up, since the rest of a long body goes before the end.
func TestServerIsToldAtOnceThatARequestIsGivenUp(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\nId: a\nContent-Length: 10\n\npart"
	for name, c := range map[string]struct {
		answer  string
		timeout time.Duration                           // of the response, 0 for none
		giveUp  func(cancel func(), response *Response) // after the response
	}{
		"cancelled":              {answer: answer, giveUp: func(cancel func(), _ *Response) { cancel() }},
		"closed":                 {answer: answer, giveUp: func(_ func(), a *Response) { a.Close(false) }},
		"silent":                 {timeout: 100 * time.Millisecond},
		"belongs to another one": {answer: strings.ReplaceAll(answer, "Id: a", "Connection: close\nId: b")},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			givenUp, end := make(chan struct{}), make(chan error, 1)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = io.ReadFull(conn, make([]byte, 100))
				writeText(conn, c.answer)
				<-givenUp
				_, err = io.Copy(io.Discard, conn)
				end <- err
			}()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			r := get("a")
			r.Method, r.Body, r.HeaderTimeout = http.MethodPost, make([]byte, 32<<20), c.timeout // exceeds the buffers of a connection
			response, err := (&Client{}).Do(ctx, l.Addr().String(), r)
			if err == nil {
				_, _ = io.ReadFull(response.Body, make([]byte, 4))
				c.giveUp(cancel, response)
			}
			time.Sleep(20 * time.Millisecond)
			close(givenUp)
			if err := <-end; !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the server's connection ended with %v", err)
			}
		})
	}
}

// Guards against a request whose body costs more memory than itself while it is sent.
func TestBodyIsSentWithoutACopy(t *testing.T) {
	const size = 4 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })}
	go func() { _ = srv.Serve(l) }()
	defer func() { _ = srv.Close() }()
	body, c := make([]byte, size), &Client{}
	defer c.Close()
	send := func() {
		a, err := c.Do(context.Background(), l.Addr().String(), &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: body})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = a.ReadAll(100)
	}
	send()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	send()
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > size/2 {
		t.Errorf("%d bytes allocated to send a body of %d", n, size)
	}
}
