package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/exchange"
	"github.com/stilemast/stilemast/src/port"
)

// The client's limits.
const (
	dialTimeout      = time.Second            // timeout of a dial including the TLS handshake
	connectTimeout   = 200 * time.Millisecond // timeout of the TCP connect; a lost SYN is retransmitted after 1 s
	queueLength      = 256                    // messages queued for one box; more are dropped
	beatWriteTimeout = time.Second            // timeout for writing one message
)

// beatIdleTimeout is the idle timeout of a heartbeat connection. A box sends about twelve messages a second
// to random boxes, so it has at most a hundred connections in a fleet of any size, and in a fleet of sixty
// most messages find an open one.
const beatIdleTimeout = 8 * time.Second

// Client sends messages to other boxes. Set its fields before use; end it with Close.
type Client struct {
	TLS       *tls.Config   // nil for plain TCP
	BytesSent *atomic.Int64 // bytes sent
	// OnRefused is called with an address that refuses connections: no process listens there. May be nil.
	OnRefused func(address string)
	// Dial opens a connection; nil uses TCP. Not used with TLS.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	queues map[string]chan *Message
	closed chan struct{}
}

// NewClient returns a client that uses TLS with the given configuration, or plain TCP if it is nil.
func NewClient(cfg *tls.Config) *Client {
	return &Client{TLS: cfg, BytesSent: &atomic.Int64{}, queues: map[string]chan *Message{}, closed: make(chan struct{})}
}

// Ports returns the client's methods as the ports of a box.
func (c *Client) Ports() port.Peers {
	return port.Peers{Beat: c.Beat, Batch: c.Batch, Ask: c.Ask, Forward: c.Forward, Tunnel: c.Tunnel}
}

// Close closes the heartbeat connections.
func (c *Client) Close() { close(c.closed) }

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if c.TLS != nil {
		return (&tls.Dialer{Config: c.TLS, NetDialer: &net.Dialer{Timeout: connectTimeout}}).DialContext(ctx, "tcp", address)
	}
	ctx, cancelConnect := context.WithTimeout(ctx, connectTimeout)
	defer cancelConnect()
	if c.Dial != nil {
		return c.Dial(ctx, address)
	}
	return exchange.DialPeer(ctx, address)
}

// Beat queues a heartbeat. It is dropped if the queue for that box is full.
func (c *Client) Beat(address string, b core.Beat) { c.enqueue(address, &Message{Beat: &b}) }

// Batch queues a message about batch jobs; like a heartbeat it may be lost.
func (c *Client) Batch(address string, m batch.Message) { c.enqueue(address, &Message{Batch: &m}) }

func (c *Client) enqueue(address string, m *Message) {
	c.mu.Lock()
	queue := c.queues[address]
	if queue == nil {
		queue = make(chan *Message, queueLength)
		c.queues[address] = queue
		go c.sendLoop(address, queue)
	}
	c.mu.Unlock()
	select {
	case queue <- m:
	default:
	}
}

// sendLoop writes the messages queued for one box over one connection, which it reopens as needed. It ends
// after an idle timeout.
func (c *Client) sendLoop(address string, queue chan *Message) {
	var conn net.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for {
		idle := time.NewTimer(beatIdleTimeout)
		select {
		case <-c.closed:
			idle.Stop()
			return
		case <-idle.C:
			c.mu.Lock()
			if len(queue) == 0 {
				delete(c.queues, address)
				c.mu.Unlock()
				return
			}
			c.mu.Unlock()
		case m := <-queue:
			idle.Stop()
			conn = c.send(conn, address, m)
		}
	}
}

// send writes a message and returns the open connection, nil if it failed twice.
func (c *Client) send(conn net.Conn, address string, m *Message) net.Conn {
	for range 2 {
		if conn == nil {
			fresh, err := c.dial(context.Background(), address)
			if err != nil {
				c.noteRefusal(address, err)
				return nil
			}
			conn = fresh
			go c.watchConnection(address, conn)
		}
		_ = conn.SetWriteDeadline(time.Now().Add(beatWriteTimeout))
		n, err := WriteFrame(conn, m)
		c.BytesSent.Add(int64(n))
		if err == nil {
			return conn
		}
		_ = conn.Close()
		conn = nil
	}
	return nil
}

// watchConnection waits until the peer closes a heartbeat connection, on which it never writes, and then
// checks whether a process still listens there. So a killed box is detected without a timeout.
func (c *Client) watchConnection(address string, conn net.Conn) {
	var b [1]byte
	if _, err := conn.Read(b[:]); errors.Is(err, net.ErrClosed) {
		return // closed by this side
	}
	probe, err := c.dial(context.Background(), address)
	if err != nil {
		c.noteRefusal(address, err)
		return
	}
	_ = probe.Close()
}

func (c *Client) noteRefusal(address string, err error) {
	if c.OnRefused != nil && exchange.ConnectionRefused(err) {
		c.OnRefused(address)
	}
}

// open connects and sends one message. If connecting fails, the error is a port.NotConnectedError.
func (c *Client) open(ctx context.Context, address string, m *Message) (net.Conn, func() bool, error) {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, nil, &port.NotConnectedError{Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	n, err := WriteFrame(conn, m)
	c.BytesSent.Add(int64(n))
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, nil, eris.Wrap(err, "send message")
	}
	return conn, stop, nil
}

// Ask sends a question on its own connection and waits for the answer.
func (c *Client) Ask(ctx context.Context, address string, q port.Question) (port.Answer, error) {
	conn, stop, err := c.open(ctx, address, &Message{Question: &q})
	if err != nil {
		return port.Answer{}, err
	}
	defer conn.Close()
	defer stop()
	m, err := ReadFrame(conn)
	if err != nil {
		return port.Answer{}, eris.Wrap(err, "read answer")
	}
	if m.Answer == nil {
		return port.Answer{}, code.New(code.FrameInvalid, "frame", "not an answer")
	}
	return *m.Answer, nil
}

// Forward sends a request on its own connection and calls emit for each event up to the end event. If the
// connection breaks before the end event it returns an error; the request may still be running.
func (c *Client) Forward(ctx context.Context, address string, f port.Forward, emit func(port.ForwardEvent)) error {
	conn, stop, err := c.open(ctx, address, &Message{Forward: &f})
	if err != nil {
		return err
	}
	defer conn.Close()
	defer stop()
	for {
		m, err := ReadFrame(conn)
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return eris.Wrap(err, "read event")
		}
		if m.Event == nil {
			return code.New(code.FrameInvalid, "frame", "not an event")
		}
		emit(*m.Event)
		if m.Event.End != nil {
			return nil
		}
	}
}
