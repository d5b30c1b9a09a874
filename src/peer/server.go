package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// The server's limits.
const (
	firstFrameWait = 5 * time.Second  // for the first frame of a connection
	beatSilence    = 60 * time.Second // a heartbeat connection silent this long closes
	writePatience  = 10 * time.Second // for one event to be taken
	maxConnections = 2048
)

// Handlers are what the box does with messages of other boxes.
type Handlers struct {
	Beat    func(core.Beat)
	Batch   func(batch.Message) // nil where no opaque requests are served
	Ask     func(ctx context.Context, q port.Question) port.Answer
	Forward func(ctx context.Context, f port.Forward, emit func(port.ForwardEvent) error)
}

// Server takes messages of other boxes. Set its fields before Serve.
type Server struct {
	TLS      *tls.Config // nil speaks plain TCP
	Handlers Handlers

	mu    sync.Mutex
	conns map[net.Conn]bool
	wg    sync.WaitGroup
}

// Serve accepts until the listener closes, then ends what is open and waits for it.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	if s.TLS != nil {
		l = tls.NewListener(l, s.TLS)
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			break
		}
		if s.track(conn) {
			go s.handle(ctx, conn)
		}
	}
	cancel()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[net.Conn]bool{}
	}
	if len(s.conns) >= maxConnections {
		_ = c.Close()
		return false
	}
	s.conns[c] = true
	s.wg.Add(1)
	return true
}

func (s *Server) handle(ctx context.Context, c net.Conn) {
	defer s.wg.Done()
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	_ = c.SetReadDeadline(time.Now().Add(firstFrameWait))
	m, err := ReadFrame(c)
	if err != nil {
		return
	}
	switch {
	case m.Beat != nil, m.Batch != nil:
		s.line(c, m)
	case m.Question != nil:
		a := s.Handlers.Ask(ctx, *m.Question)
		_ = c.SetWriteDeadline(time.Now().Add(writePatience))
		_, _ = WriteFrame(c, &Message{Answer: &a})
	case m.Forward != nil:
		s.forward(ctx, c, *m.Forward)
	}
}

// line takes heartbeats and messages on jobs until the connection ends.
func (s *Server) line(c net.Conn, m *Message) {
	for {
		switch {
		case m.Beat != nil:
			s.Handlers.Beat(*m.Beat)
		case m.Batch != nil && s.Handlers.Batch != nil:
			s.Handlers.Batch(*m.Batch)
		default:
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(beatSilence))
		next, err := ReadFrame(c)
		if err != nil {
			return
		}
		m = next
	}
}

// forward runs a forwarded request; a sender that goes away stops only its own watching.
func (s *Server) forward(ctx context.Context, c net.Conn, f port.Forward) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		var b [1]byte
		_, _ = c.Read(b[:]) // returns when the sender closes
		cancel()
	}()
	s.Handlers.Forward(ctx, f, func(e port.ForwardEvent) error {
		_ = c.SetWriteDeadline(time.Now().Add(writePatience))
		_, err := WriteFrame(c, &Message{Event: &e})
		return err
	})
}
