package exchange

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// answerEarly accepts one connection, sends an answer without a length before it reads the body, and then ends the connection.
func answerEarly(t *testing.T, end func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		c := raw.(*net.TCPConn)
		defer c.Close()
		_, _ = io.ReadFull(c, make([]byte, 100))
		writeText(c, "HTTP/1.1 200 OK\n\npart of the")
		time.Sleep(20 * time.Millisecond)
		end(c)
	}()
	return l.Addr().String()
}

// post returns a request whose body does not fit the buffers of a connection.
func post() *Request {
	return &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte(strings.Repeat("b", 16<<20))}
}

// Guards against a part of an answer taken for the whole where the reset of the connection is told to the write of the request.
func TestAnswerWithoutLengthIsBrokenByAResetDuringTheWrite(t *testing.T) {
	whole := 0
	for range 30 {
		address := answerEarly(t, func(c *net.TCPConn) { _ = c.SetLinger(0) })
		if _, err := do(t, &Client{}, address, post()); err == nil {
			whole++
		}
	}
	if whole > 0 {
		t.Errorf("%d of 30 broken answers look whole", whole)
	}
}

// Guards against a part of an answer taken for the whole where the server ended before it had read the request.
func TestAnswerWithoutLengthNeedsTheRequestWritten(t *testing.T) {
	address := answerEarly(t, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(50 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	if b, err := do(t, &Client{}, address, post()); !errors.Is(err, ErrRequestCut) {
		t.Errorf("%q, %v", b, err)
	}
}

// Guards against an answer that counts as broken though the server reads the rest of the request after it.
func TestAnswerWithoutLengthMayComeBeforeTheRequestIsRead(t *testing.T) {
	address := answerEarly(t, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(50 * time.Millisecond)
		_, _ = io.Copy(io.Discard, c)
	})
	r := post()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if b, err := do(t, &Client{}, address, r); b != "part of the" || err != nil {
			t.Errorf("%q, %v", b, err)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("no end")
	}
}

// Guards against a connection that the box ends itself, since a server that has answered reads the request late.
func TestServerMayReadOnLateAfterItsAnswerBegan(t *testing.T) {
	t.Parallel()
	address := answerEarly(t, func(c *net.TCPConn) {
		time.Sleep(userTimeout + time.Second)
		_, _ = io.CopyN(io.Discard, c, 15<<20)
		writeText(c, " whole")
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
	if b, err := do(t, &Client{}, address, post()); b != "part of the whole" || err != nil {
		t.Errorf("%q, %v", b, err)
	}
}
