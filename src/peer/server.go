package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/clock"
	"github.com/stilemast/stilemast/src/connections"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// The server's limits.
const (
	firstFrameTimeout = 5 * time.Second       // timeout for the first frame of a connection
	beatReadTimeout   = 60 * time.Second      // idle timeout of a heartbeat connection
	writeTimeout      = 10 * time.Second      // timeout for writing one frame
	acceptInterval    = 50 * time.Millisecond // until the next attempt after a connection could not be accepted
	maxConnections    = 2048
)

// Handlers process the messages of other boxes.
type Handlers struct {
	Beat    func(core.Beat)
	Batch   func(batch.Message) // nil if batch messages are not supported
	Ask     func(ctx context.Context, q port.Question) port.Answer
	Forward func(ctx context.Context, f port.Forward, emit func(port.ForwardEvent) error)
	// Tunnel opens a connection to a backend server to carry it for another box; nil if tunnels are not supported.
	Tunnel func(ctx context.Context, t port.Tunnel) (net.Conn, port.TunnelResult)
}

// Server receives messages of other boxes. Set its fields before Serve.
type Server struct {
	TLS      *tls.Config // nil for plain TCP
	Handlers Handlers
	Log      *slog.Logger         // nil for none
	Unknown  *connections.Limiter // bounds the connections whose first frame is not whole; nil for no bound
	Known    func(net.Conn)       // called when the first frame of a connection has come; may be nil

	failing bool // the last connection could not be accepted; used by Serve only
	mu      sync.Mutex
	conns   map[net.Conn]bool
	wg      sync.WaitGroup
}

// Serve accepts connections until the listener is closed or the context ends. Then it closes all connections
// and waits for their handlers. Other errors of the listener, such as too many open descriptors, pass.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	if s.TLS != nil {
		l = tls.NewListener(l, s.TLS)
	}
	if s.Unknown == nil {
		s.Unknown = &connections.Limiter{}
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			break
		}
		if err != nil {
			s.logFailure(err)
			clock.Sleep(ctx, acceptInterval)
			continue
		}
		s.failing = false
		if s.track(conn) {
			go s.handle(ctx, conn, s.Unknown.Add(conn))
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

// logFailure logs the first of a series of connections that cannot be accepted.
func (s *Server) logFailure(err error) {
	if s.Log != nil && !s.failing {
		s.Log.Warn("connections of other boxes cannot be accepted", "cause", err.Error(), "retry_ms", acceptInterval.Milliseconds())
	}
	s.failing = true
}

// track registers a connection. It closes it and returns false if there are too many.
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

// handle serves one connection; its first frame determines the kind. unknown is the connection until that frame has come.
func (s *Server) handle(ctx context.Context, c net.Conn, unknown *connections.Limited) {
	defer s.wg.Done()
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	_ = c.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	m, err := ReadFrame(unknown)
	unknown.Remove()
	if err != nil {
		return
	}
	if s.Known != nil {
		s.Known(c)
	}
	switch {
	case m.Beat != nil, m.Batch != nil:
		s.receiveLoop(c, m)
	case m.Question != nil:
		a := s.Handlers.Ask(ctx, *m.Question)
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, _ = WriteFrame(c, &Message{Answer: &a})
	case m.Forward != nil:
		s.forward(ctx, c, *m.Forward)
	case m.Tunnel != nil && s.Handlers.Tunnel != nil:
		m.Tunnel.Lent = false
		s.tunnel(ctx, c, *m.Tunnel)
	case m.Lend != nil && s.Handlers.Tunnel != nil:
		m.Lend.Lent = true
		s.tunnel(ctx, c, *m.Lend)
	}
}

// receiveLoop handles heartbeats and batch messages until the connection ends.
func (s *Server) receiveLoop(c net.Conn, m *Message) {
	for {
		switch {
		case m.Beat != nil:
			s.Handlers.Beat(*m.Beat)
		case m.Batch != nil && s.Handlers.Batch != nil:
			s.Handlers.Batch(*m.Batch)
		default:
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(beatReadTimeout))
		next, err := ReadFrame(c)
		if err != nil {
			return
		}
		m = next
	}
}

// forward serves a forwarded request. If the sender disconnects, only the delivery of events stops.
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
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := WriteFrame(c, &Message{Event: &e})
		return err
	})
}
