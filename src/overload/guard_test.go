package overload

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// Guards against a share that swings to nothing or does not rise again.
func TestShareFollowsTheLoad(t *testing.T) {
	var c controller
	calm, busy := Load{Took: minInterval}, Load{Delay: time.Second, Took: minInterval}
	c.update(calm)
	if s := c.accepting(); s != 1 {
		t.Errorf("share %v without load", s)
	}
	c.update(Load{Delay: maxDelay * 11 / 10, Took: minInterval})
	if s := c.accepting(); s < 0.89 || s > 0.92 {
		t.Errorf("share %v after little overload", s)
	}
	c.update(Load{Link: 2, Took: minInterval})
	if s := c.accepting(); s > 0.5 {
		t.Errorf("share %v after twice the link's limit", s)
	}
	for range 100 {
		c.update(busy)
	}
	if s := c.accepting(); s != minShare {
		t.Errorf("share %v after long overload", s)
	}
	intervals := 0
	for ; c.accepting() < 1; intervals++ {
		c.update(calm)
	}
	if took := time.Duration(intervals) * minInterval; took > 4*time.Second {
		t.Errorf("the box accepts all connections %s after the overload", took)
	}
}

// Guards against a busy box that accepts connections in bursts, or none.
func TestConnectionsAreAcceptedEvenly(t *testing.T) {
	c := controller{closing: true, share: 0.25}
	now := time.Unix(1000, 0)
	c.accept(now, false)
	for range 25 {
		accepted := 0
		for range 4 {
			now = now.Add(time.Millisecond)
			if c.accept(now, false) {
				accepted++
			}
		}
		if accepted != 1 {
			t.Fatalf("%d of 4 connections accepted", accepted)
		}
	}
	c.share = minShare
	for range 3 {
		now = now.Add(maxPause)
		if !c.accept(now, false) {
			t.Error("no connection accepted after a pause")
		}
	}
}

// Guards against a caller of an overloaded box that is left without an answer, or whose request is read and dropped.
func TestConnectionsBeyondTheShareAreClosedUnread(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	guard := &Guard{Meter: Meter{Now: func() time.Time { return now }}}
	guard.controller = controller{closing: true, share: minShare, accepted: now}
	guarded := &Listener{Listener: l, Guard: guard}
	defer func() { _ = guarded.Close() }()
	go func() {
		for {
			c, err := guarded.Accept()
			if err != nil {
				return
			}
			_, _ = c.Write([]byte("accepted"))
			_ = c.Close()
		}
	}()
	for range 5 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = c.Write([]byte("request"))
		if answer, err := io.ReadAll(c); len(answer) > 0 {
			t.Errorf("read %q, %v", answer, err)
		}
		_ = c.Close()
	}
	if s := guard.Status(); s.Closed != 5 {
		t.Errorf("status %+v", s)
	}
}

// Guards against an accepted connection that can't be half closed, so that a caller whose body is unread is reset instead of answered.
func TestAcceptedConnectionsCanBeHalfClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	guarded := &Listener{Listener: l, Guard: &Guard{}}
	defer func() { _ = guarded.Close() }()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	c, err := guarded.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	half, ok := c.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		t.Fatal("the connection can't be half closed")
	}
	_ = caller.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := caller.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the caller reads %v", err)
	}
	if _, err := caller.Write([]byte("b")); err != nil {
		t.Error(err)
	}
	if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// Guards against bodies accepted together that share a link for so long that all are late.
func TestNoConnectionIsAcceptedWhileBodiesFillTheLink(t *testing.T) {
	now := time.Unix(1000, 0)
	g := &Guard{Meter: Meter{LinkMbps: 10, Now: func() time.Time { return now }}}
	const size = 400_000 + 3*20_000
	body := g.AddBody(io.NopCloser(strings.NewReader(strings.Repeat("b", size))), size)
	read := func(n int64) {
		if _, err := io.CopyN(io.Discard, body, n); err != nil {
			t.Fatal(err)
		}
	}
	g.accept()
	for range 3 { // until the link is at 0.5 of its bandwidth
		now = now.Add(minInterval)
		g.Meter.AddBytes(125_000)
		read(20_000)
		g.accept()
	}
	if g.accept() {
		t.Error("a connection is accepted while bodies of 0.32 s are unread")
	}
	if now = now.Add(maxPause); !g.accept() {
		t.Error("no connection is accepted after a pause")
	}
	g.Meter.AddBytes(300_000)
	now = now.Add(minInterval)
	g.accept()
	read(150_000)
	if g.controller.closing = false; !g.accept() {
		t.Error("no connection is accepted while bodies of 0.2 s are unread")
	}
	g.AddBody(nil, 400_000).Release()
	body.Release()
	g.AddBody(nil, -1).Release()
	if n := len(g.Bodies.coming); n != 0 {
		t.Errorf("%d bodies are counted", n)
	}
}

// Guards against connections that are closed because of bodies that were announced and do not come.
func TestStalledBodiesDoNotFillTheLink(t *testing.T) {
	now := time.Unix(1000, 0)
	g := &Guard{Meter: Meter{LinkMbps: 80, Now: func() time.Time { return now }}}
	for range 100 {
		b := g.AddBody(io.NopCloser(strings.NewReader("b")), 1_000_000)
		if _, err := io.CopyN(io.Discard, b, 1); err != nil {
			t.Fatal(err)
		}
	}
	now = now.Add(time.Second)
	for i := range 1000 { // at half of the link
		now = now.Add(10 * time.Millisecond)
		g.Meter.AddBytes(50_000)
		if !g.accept() {
			t.Fatalf("connection %d is closed", i)
		}
	}
}

// Guards against callers that announce bodies and leave, over and over, and close a box to others with what they announce.
func TestAnnouncedBodiesDoNotFillTheLink(t *testing.T) {
	now := time.Unix(1000, 0)
	g := &Guard{Meter: Meter{LinkMbps: 80, Now: func() time.Time { return now }}}
	for i := range 1000 { // at half of the link
		b := g.AddBody(nil, 1_000_000)
		now = now.Add(10 * time.Millisecond)
		g.Meter.AddBytes(50_000)
		if !g.accept() {
			t.Fatalf("connection %d is closed", i)
		}
		if i%10 > 0 {
			b.Release() // one in ten stays
		}
	}
}

// Guards against callers with slow links of their own that keep a box from accepting others.
func TestSlowCallersDoNotFillTheLink(t *testing.T) {
	now := time.Unix(1000, 0)
	g := &Guard{Meter: Meter{LinkMbps: 10, Now: func() time.Time { return now }}}
	g.AddBody(nil, 4_000_000)
	for i := range 100 {
		now = now.Add(10 * time.Millisecond)
		g.Meter.AddBytes(1_000)
		if !g.accept() {
			t.Fatalf("connection %d is closed", i)
		}
	}
}

// Guards against a box whose callers take all descriptors, so that it can't reach servers.
func TestDescriptorsAreKeptForServers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	now := time.Unix(1000, 0)
	guard := &Guard{Descriptors: 40, Meter: Meter{Now: func() time.Time { return now }}}
	accepted := make(chan net.Conn, 100)
	go func() {
		guarded := Listener{Listener: l, Guard: guard}
		for {
			c, err := guarded.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1)) // of a request
			accepted <- c
		}
	}()
	connect := func() (open bool) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = c.Write([]byte("r"))
		_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err = c.Read(make([]byte, 1))
		return errors.Is(err, os.ErrDeadlineExceeded)
	}
	for i := range 16 { // twice as many descriptors are more than 30
		if !connect() {
			t.Fatalf("connection %d is closed", i)
		}
	}
	if connect() || !guard.Busy() {
		t.Error("a connection is accepted without a descriptor for a server")
	}
	c := <-accepted
	_, _ = c.Close(), c.Close()
	if !connect() || connect() {
		t.Error("one connection that has ended, and not one is accepted")
	}
}
