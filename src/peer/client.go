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
	dialWait     = time.Second            // for a connection to open and to be secured
	connectWait  = 200 * time.Millisecond // for TCP to connect; a lost opening packet is sent again after a second
	lineQueue    = 256                    // messages waiting for one box; more are dropped
	beatPatience = time.Second            // for one heartbeat to be written
)

// beatIdle is how long a heartbeat connection stays open unused. A box sends some twelve messages a second to boxes drawn by chance, so
// that it has a hundred connections at most in a fleet of any size, while most boxes of a fleet of sixty find theirs open.
const beatIdle = 8 * time.Second

// Client sends messages to other boxes. Set its fields before use; end it with Close.
type Client struct {
	TLS  *tls.Config // nil speaks plain TCP
	Sent *atomic.Int64
	// Refused is told of an address that refuses connections: no process listens there. May be nil.
	Refused func(address string)
	// Dial opens a connection; nil does so over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	lines  map[string]chan *Message
	closed chan struct{}
}

// NewClient makes a client.
func NewClient(cfg *tls.Config) *Client {
	return &Client{TLS: cfg, Sent: &atomic.Int64{}, lines: map[string]chan *Message{}, closed: make(chan struct{})}
}

// Ports gives the client's messages as the box wants them.
func (c *Client) Ports() port.Peers {
	return port.Peers{Beat: c.Beat, Batch: c.Batch, Ask: c.Ask, Forward: c.Forward}
}

// Close ends the heartbeat connections.
func (c *Client) Close() { close(c.closed) }

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialWait)
	defer cancel()
	if c.TLS != nil {
		return (&tls.Dialer{Config: c.TLS, NetDialer: &net.Dialer{Timeout: connectWait}}).DialContext(ctx, "tcp", address)
	}
	ctx, cancelConnect := context.WithTimeout(ctx, connectWait)
	defer cancelConnect()
	if c.Dial != nil {
		return c.Dial(ctx, address)
	}
	return exchange.Dial(ctx, address)
}

// Beat queues a heartbeat; it is dropped when the box does not take its earlier ones.
func (c *Client) Beat(address string, b core.Beat) { c.queue(address, &Message{Beat: &b}) }

// Batch queues a message on jobs; like a heartbeat it may be lost.
func (c *Client) Batch(address string, m batch.Message) { c.queue(address, &Message{Batch: &m}) }

func (c *Client) queue(address string, m *Message) {
	c.mu.Lock()
	line := c.lines[address]
	if line == nil {
		line = make(chan *Message, lineQueue)
		c.lines[address] = line
		go c.runLine(address, line)
	}
	c.mu.Unlock()
	select {
	case line <- m:
	default:
	}
}

// runLine writes one box's heartbeats over one connection, opened again as needed.
func (c *Client) runLine(address string, line chan *Message) {
	var conn net.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for {
		idle := time.NewTimer(beatIdle)
		select {
		case <-c.closed:
			idle.Stop()
			return
		case <-idle.C:
			c.mu.Lock()
			if len(line) == 0 {
				delete(c.lines, address)
				c.mu.Unlock()
				return
			}
			c.mu.Unlock()
		case m := <-line:
			idle.Stop()
			conn = c.writeLine(conn, address, m)
		}
	}
}

func (c *Client) writeLine(conn net.Conn, address string, m *Message) net.Conn {
	for range 2 {
		if conn == nil {
			fresh, err := c.dial(context.Background(), address)
			if err != nil {
				c.noteRefusal(address, err)
				return nil
			}
			conn = fresh
			go c.watchLine(address, conn)
		}
		_ = conn.SetWriteDeadline(time.Now().Add(beatPatience))
		n, err := WriteFrame(conn, m)
		c.Sent.Add(int64(n))
		if err == nil {
			return conn
		}
		_ = conn.Close()
		conn = nil
	}
	return nil
}

// watchLine waits until the other side ends a heartbeat connection, on which it never writes, and then
// looks whether a process listens there still: a box that was killed is noticed without a time-out.
func (c *Client) watchLine(address string, conn net.Conn) {
	var b [1]byte
	if _, err := conn.Read(b[:]); errors.Is(err, net.ErrClosed) {
		return // by this side
	}
	probe, err := c.dial(context.Background(), address)
	if err != nil {
		c.noteRefusal(address, err)
		return
	}
	_ = probe.Close()
}

func (c *Client) noteRefusal(address string, err error) {
	if c.Refused != nil && exchange.Refused(err) {
		c.Refused(address)
	}
}

// open connects and sends one message; a failure before the first byte is a NotConnected.
func (c *Client) open(ctx context.Context, address string, m *Message) (net.Conn, func() bool, error) {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, nil, &port.NotConnectedError{Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	n, err := WriteFrame(conn, m)
	c.Sent.Add(int64(n))
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, nil, eris.Wrap(err, "message broke off")
	}
	return conn, stop, nil
}

// Ask sends a question on a connection of its own and waits for the answer.
func (c *Client) Ask(ctx context.Context, address string, q port.Question) (port.Answer, error) {
	conn, stop, err := c.open(ctx, address, &Message{Question: &q})
	if err != nil {
		return port.Answer{}, err
	}
	defer conn.Close()
	defer stop()
	m, err := ReadFrame(conn)
	if err != nil {
		return port.Answer{}, eris.Wrap(err, "no answer")
	}
	if m.Answer == nil {
		return port.Answer{}, code.New(code.FrameInvalid, "frame", "not an answer")
	}
	return *m.Answer, nil
}

// Forward sends a request on a connection of its own and gives each event until the end event. A
// connection that breaks before the end event is an error: the request may be running.
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
			return eris.Wrap(err, "answer broke off")
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
