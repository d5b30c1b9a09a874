package overload

import (
	"io"
	"net"
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
	c.accept(now)
	for range 25 {
		accepted := 0
		for range 4 {
			now = now.Add(time.Millisecond)
			if c.accept(now) {
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
		if !c.accept(now) {
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
