package peer

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stilemast/stilemast/src/port"
)

// failingListener cannot accept its first connections.
type failingListener struct {
	net.Listener
	failures atomic.Int64 // left
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against a box that hears nothing from others any more once a connection could not be accepted.
func TestServerOutlivesFailedAccepts(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing, done := &failingListener{Listener: l}, make(chan struct{})
	failing.failures.Store(3)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(done)
		(&Server{Handlers: Handlers{Ask: func(context.Context, port.Question) port.Answer {
			return port.Answer{Suspects: &port.Suspects{From: "box"}}
		}}}).Serve(ctx, failing)
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := WriteFrame(c, &Message{Question: &port.Question{Suspects: &port.Suspects{From: "other"}}}); err != nil {
		t.Fatal(err)
	}
	if m, err := ReadFrame(c); err != nil || m.Answer == nil {
		t.Errorf("answer %+v, %v", m, err)
	}
	cancel()
	<-done
}
