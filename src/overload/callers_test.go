package overload

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// callerPlay is a guard with connections that the test opens, uses and ends.
type callerPlay struct {
	guard Guard
	now   time.Time
}

func newCallerPlay(descriptors int) *callerPlay {
	p := &callerPlay{now: time.Unix(1000, 0)}
	p.guard.Descriptors, p.guard.Meter.Now = descriptors, func() time.Time { return p.now }
	return p
}

// connect opens a connection; nil if it is closed unread.
func (p *callerPlay) connect() *testCaller {
	if !p.guard.accept() {
		return nil
	}
	near, far := net.Pipe()
	c := &testCaller{Conn: far, accepted: &countedConn{Conn: near, guard: &p.guard}}
	p.guard.callers.add(c.accepted, p.now)
	return c
}

type testCaller struct {
	net.Conn
	accepted *countedConn
}

// send sends the beginning of a request and reports whether the connection is open.
func (c *testCaller) send() bool {
	go func() { _, _ = c.Write([]byte("r")) }()
	_, err := c.accepted.Read(make([]byte, 1))
	return err == nil
}

// served ends the request of a connection.
func (c *testCaller) served() { c.accepted.guard.SetState(c.accepted, http.StateIdle) }

// Guards against callers that are closed unread since others keep their connections open and send nothing.
func TestIdleConnectionsGiveWayToNewCallers(t *testing.T) {
	for _, idle := range []int{100, 160, 360, 1000} {
		for name, requests := range map[string]int{"served before": 1, "never sent": 0} {
			p := newCallerPlay(400)
			for range idle {
				c := p.connect()
				for range requests {
					if c == nil || !c.send() {
						t.Fatalf("%d idle, %s: a connection is closed while others are idle", idle, name)
					}
					c.served()
				}
				p.now = p.now.Add(10 * time.Millisecond)
			}
			p.now = p.now.Add(maxSilence)
			served := 0
			for range 100 {
				if c := p.connect(); c != nil && c.send() {
					served++
				}
				p.now = p.now.Add(20 * time.Millisecond)
			}
			if served < 95 {
				t.Errorf("%d idle, %s: %d of 100 new callers served", idle, name, served)
			}
			if n := p.guard.callers.needed(); n > p.guard.room().descriptors+descriptorsPerCaller {
				t.Errorf("%d idle, %s: %d descriptors needed", idle, name, n)
			}
		}
	}
}

// Guards against descriptors that run out when idle connections all send again.
func TestIdleConnectionsThatSendAgainTakeTheirDescriptors(t *testing.T) {
	p := newCallerPlay(400)
	var all []*testCaller
	for range 280 {
		c := p.connect()
		c.send()
		c.served()
		all = append(all, c)
	}
	if s := p.guard.Status(); s.ClosedIdle != 0 || s.Idle != 280 {
		t.Errorf("idle connections are closed though descriptors are left: %+v", s)
	}
	running := 0
	for _, c := range all {
		if c.send() {
			running++
		}
		if n := p.guard.callers.needed(); n > p.guard.room().descriptors+descriptorsPerCaller {
			t.Fatalf("%d descriptors needed", n)
		}
	}
	if running < 140 {
		t.Errorf("%d requests run", running)
	}
	p.connect().send()
	if p.connect() != nil || !p.guard.Busy() {
		t.Error("a connection is accepted while all descriptors are taken by requests")
	}
}

// Guards against a request, or a caller who has just connected, that is closed for another caller.
func TestOnlyConnectionsWithoutARequestGiveWay(t *testing.T) {
	p := newCallerPlay(40)
	silent := p.connect()
	var running []*testCaller
	for range 10 {
		c := p.connect()
		c.send()
		running = append(running, c)
	}
	idle := p.connect()
	idle.send()
	idle.served()
	p.now = p.now.Add(maxSilence)
	fresh := p.connect()
	for range 10 {
		if c := p.connect(); c != nil {
			c.send()
			running = append(running, c)
		}
	}
	if silent.send() || idle.send() {
		t.Error("a connection without a request is kept while callers are closed unread")
	}
	if !fresh.send() {
		t.Error("a caller is closed who has just connected")
	}
	for _, c := range running {
		if !c.send() {
			t.Fatal("a connection with a request is closed")
		}
	}
	s := p.guard.Status()
	if s.ClosedIdle != 2 || s.Closed == 0 || s.Idle != 0 {
		t.Errorf("%+v", s)
	}
}

// Guards against connections that together take more memory than a box has for them.
func TestConnectionsStayWithinTheMemory(t *testing.T) {
	p := newCallerPlay(100_000)
	p.guard.Memory = 100 * connectionMemory
	var idle []*testCaller
	for range 50 {
		c := p.connect()
		c.send()
		c.served()
		idle = append(idle, c)
	}
	closed := 0
	for range 300 {
		c := p.connect()
		if c == nil || !c.send() {
			closed++
		}
		p.now = p.now.Add(time.Millisecond)
	}
	s := p.guard.Status()
	if s.Open > 100+2 || s.ClosedIdle != int64(len(idle)) || closed < 300-102 {
		t.Errorf("%+v, %d new connections closed, %d others were idle", s, closed, len(idle))
	}
}

// Guards against heads that are waited for without an end, and against limits that are published and not applied.
func TestConnectionsWhoseRequestDoesNotComeAreClosed(t *testing.T) {
	p := newCallerPlay(100_000)
	silent, idle, head, body := p.connect(), p.connect(), p.connect(), p.connect()
	for _, c := range []*testCaller{idle, head, body} {
		c.send()
	}
	idle.served()
	p.guard.SetState(body.accepted, http.StateActive)
	isOpen := func(c *testCaller) bool { return !c.accepted.ended }
	limits := Timeouts{Head: 3 * time.Second, Idle: 15 * time.Second}
	for _, step := range []struct {
		after              time.Duration
		silent, idle, head bool
	}{{3 * time.Second, true, true, true}, {time.Second, true, true, false}, {11 * time.Second, true, true, false}, {time.Second, false, false, false}} {
		p.now = p.now.Add(step.after)
		p.guard.Expire(limits)
		if isOpen(silent) != step.silent || isOpen(idle) != step.idle || isOpen(head) != step.head || !isOpen(body) {
			t.Errorf("after %s more: open: silent %v, idle %v, in its head %v, in its body %v", step.after, isOpen(silent), isOpen(idle), isOpen(head), isOpen(body))
		}
	}
	if s := p.guard.Status(); s.ClosedLate != 3 || s.Open != 1 || s.Heads != 0 {
		t.Errorf("%+v", s)
	}
}

// Guards against a head that is read without a bound, and against a response that its caller does not get.
func TestLongHeadIsRefused(t *testing.T) {
	p := newCallerPlay(100_000)
	p.guard.HeadLimit = func() int { return 1000 }
	c := p.connect()
	go func() {
		for {
			if _, err := c.Write(make([]byte, 1000)); err != nil {
				return
			}
		}
	}()
	response := make(chan string, 1)
	go func() {
		b := make([]byte, 100)
		n, _ := c.Conn.Read(b)
		response <- string(b[:n])
	}()
	read := 0
	for err := error(nil); err == nil; {
		var n int
		n, err = c.accepted.Read(make([]byte, 4<<10))
		if read += n; read > 20_000 {
			t.Fatal("the head is read on")
		}
	}
	if got := <-response; len(got) < 12 || got[:12] != "HTTP/1.1 431" {
		t.Errorf("response %q", got)
	}
	if s := p.guard.Status(); s.ClosedLong != 1 {
		t.Errorf("%+v", s)
	}
}
