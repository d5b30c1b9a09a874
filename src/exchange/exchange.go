// Package exchange carries one HTTP/1.1 request and its answer over a pooled connection. Unlike the
// standard library's transport it never sends a request a second time by itself, tells whether any
// byte left this process, and skips an answer that belongs to an earlier request.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/stilemast/stilemast/src/clock"
)

// Tunables of connections to servers.
const (
	dialPatience    = 700 * time.Millisecond // for a connection to open
	idleLimit       = 4 * time.Second        // a connection unused this long is not used again
	freshLimit      = 300 * time.Millisecond // nor, by a request that can't be repeated, one unused this long
	idleMargin      = time.Second            // kept from the idle time that the server announces
	userTimeout     = 1500 * time.Millisecond
	keepAliveIdle   = time.Second
	keepAlivePeriod = 500 * time.Millisecond
	keepAliveProbes = 3
	tcpUserTimeout  = 0x12 // TCP_USER_TIMEOUT of Linux
	readBuffer      = 4 << 10
	inlineWrite     = 4 << 10 // bytes that any connection takes at once
	staleBodyLimit  = 1 << 20 // of an answer that belongs to an earlier request
	maxStale        = 2       // earlier answers skipped before a connection is given up
)

// NotSent is an error before the first byte of a request left this process.
type NotSent struct{ Cause error }

// Error implements error.
func (e *NotSent) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *NotSent) Unwrap() error { return e.Cause }

// Refused says whether an error means that no process listens at the address: the answer came at once, and nothing
// was sent.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// ErrNoConnection says that the address has as many connections as it may have.
var ErrNoConnection = errors.New("all connections are in use")

// ErrForeign says that the answers on a connection belong to other requests.
var ErrForeign = errors.New("the answer belongs to another request")

// Request is one request. Header is written as it is.
type Request struct {
	Method string
	Target string // path and query as they go onto the wire
	Host   string
	Header http.Header
	Body   []byte
	// Owns says whether an answer belongs to this request; nil takes the first.
	Owns func(http.Header) bool
	// Fresh asks for a connection that is new or was used just now, for requests that must not meet
	// one that the server is closing.
	Fresh bool
	// Start is asked when the connection is there, just before the first byte; an error ends the exchange and
	// nothing is sent. nil asks nobody.
	Start func() error
	// Silence is the longest time without a byte of the answer, 0 for any; the head may take Head where
	// that is longer.
	Silence, Head time.Duration
}

// Client keeps connections to servers. Set its fields before use.
type Client struct {
	PerAddress int // open connections to one address at most; 0 means no bound

	mu     sync.Mutex
	idle   map[string][]*conn
	open   map[string]int
	Dials  atomic.Int64 // connections opened so far
	closed bool
}

type conn struct {
	net.Conn
	client  *Client
	address string
	reader  *bufio.Reader
	usable  time.Time // until when it may be used again; a sleep of the machine counts, in which the server may have closed it
	fresh   time.Time // until when a request that can't be repeated may use it
	once    sync.Once
	silence time.Duration // that a read may take, 0 for any
}

// Read reads as net.Conn does, within the silence that the request allows.
func (cn *conn) Read(b []byte) (int, error) {
	if cn.silence > 0 {
		if err := cn.SetReadDeadline(time.Now().Add(cn.silence)); err != nil {
			return 0, err
		}
	}
	return cn.Conn.Read(b)
}

// Answer is an answer whose body is still to be read. Close must be called.
type Answer struct {
	*http.Response
	conn *conn
	stop func() bool
}

// Do sends a request once and gives the head of its answer. The connection is cut when the context
// ends. An error is NotSent when no byte left.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Answer, error) {
	cn, err := c.take(ctx, address, r.Fresh)
	if err != nil {
		return nil, &NotSent{Cause: err}
	}
	if err := r.start(); err != nil {
		cn.giveBack()
		return nil, &NotSent{Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { cn.drop() })
	cn.silence = max(r.Silence, r.Head)
	resp, sent, err := cn.converse(r)
	cn.silence = r.Silence
	if err != nil {
		stop()
		cn.drop()
		if !sent {
			return nil, &NotSent{Cause: err}
		}
		return nil, err
	}
	return &Answer{Response: resp, conn: cn, stop: stop}, nil
}

// start asks whether the request is still to be sent.
func (r *Request) start() error {
	if r.Start == nil {
		return nil
	}
	return r.Start()
}

// written is the end of writing a request.
type written struct {
	n   int
	err error
}

// converse writes a request and reads the head of its answer at the same time: a server may answer
// before it has read a long body. A connection whose request was not written whole is not used again,
// since the server may still wait for the rest of it. sent says whether any byte left.
func (cn *conn) converse(r *Request) (resp *http.Response, sent bool, err error) {
	b := r.bytes()
	if len(b) <= inlineWrite {
		if n, err := cn.Write(b); err != nil {
			return nil, n > 0, err
		}
		resp, err = cn.read(r)
		return resp, true, err
	}
	end := make(chan written, 1)
	go func() {
		n, err := cn.Write(b)
		end <- written{n, err}
	}()
	resp, err = cn.read(r)
	if err != nil {
		cn.drop() // ends the writing
		w := <-end
		return nil, w.n > 0, err
	}
	select {
	case w := <-end:
		resp.Close = resp.Close || w.err != nil
	default:
		resp.Close = true
	}
	return resp, true, nil
}

// bytes is the request as it goes onto the wire, in one piece.
func (r *Request) bytes() []byte {
	var b strings.Builder
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return []byte(b.String())
}

// read gives the first answer that belongs to the request. Answers of earlier requests are skipped;
// a connection that brought one is not used again.
func (cn *conn) read(r *Request) (*http.Response, error) {
	for skipped := 0; ; {
		resp, err := http.ReadResponse(cn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if r.Owns == nil || r.Owns(resp.Header) {
			resp.Close = resp.Close || skipped > 0
			return resp, nil
		}
		if skipped++; skipped > maxStale || resp.Close {
			return nil, ErrForeign
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, staleBodyLimit))
		if err != nil || n == staleBodyLimit {
			return nil, ErrForeign
		}
	}
}

// Close ends the exchange. The connection is kept for others only when whole is true: the body was
// read to its end without an error.
func (a *Answer) Close(whole bool) {
	if a.stop() && whole && !a.Response.Close && a.conn.reader.Buffered() == 0 {
		a.conn.keep(a.Header)
		return
	}
	a.conn.drop()
}

func (cn *conn) drop() {
	cn.once.Do(func() {
		_ = cn.Conn.Close()
		cn.client.mu.Lock()
		cn.client.open[cn.address]--
		cn.client.mu.Unlock()
	})
}

// keep puts a connection back for others, for as long as the server says it stays open.
func (cn *conn) keep(h http.Header) {
	stay := idleLimit
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil {
				stay = min(stay, time.Duration(s)*time.Second-idleMargin)
			}
		}
	}
	if stay <= 0 {
		cn.drop()
		return
	}
	if cn.silence > 0 {
		cn.silence = 0
		_ = cn.SetReadDeadline(time.Time{}) // a connection that is broken shows it when it is used
	}
	now := clock.Now()
	cn.usable, cn.fresh = now.Add(stay), now.Add(min(stay, freshLimit))
	cn.shelve()
}

// giveBack puts a connection back on which nothing was sent; one that has just been opened stays usable for as
// long as any.
func (cn *conn) giveBack() {
	if cn.usable.IsZero() {
		now := clock.Now()
		cn.usable, cn.fresh = now.Add(idleLimit), now.Add(freshLimit)
	}
	cn.shelve()
}

// shelve puts a connection where others find it.
func (cn *conn) shelve() {
	c := cn.client
	c.mu.Lock()
	closed := c.closed
	if !closed {
		c.idle[cn.address] = append(c.idle[cn.address], cn)
	}
	c.mu.Unlock()
	if closed {
		cn.drop()
	}
}

// take gives a kept connection that is still sound, the one used last first, or opens one.
func (c *Client) take(ctx context.Context, address string, fresh bool) (*conn, error) {
	for {
		cn := c.pop(address)
		if cn == nil {
			return c.dial(ctx, address)
		}
		until := cn.usable
		if fresh {
			until = cn.fresh
		}
		if clock.Now().Before(until) && cn.silent() {
			return cn, nil
		}
		cn.drop()
	}
}

func (c *Client) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle, c.open = map[string][]*conn{}, map[string]int{}
	}
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return cn
}

// silent says whether an idle connection is open and brought nothing since it was kept.
func (cn *conn) silent() bool {
	raw, err := cn.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	c.mu.Lock()
	if c.idle == nil {
		c.idle, c.open = map[string][]*conn{}, map[string]int{}
	}
	if c.PerAddress > 0 && c.open[address] >= c.PerAddress {
		c.mu.Unlock()
		return nil, ErrNoConnection
	}
	c.open[address]++
	c.mu.Unlock()
	c.Dials.Add(1)
	raw, err := Dial(ctx, address)
	if err != nil {
		c.mu.Lock()
		c.open[address]--
		c.mu.Unlock()
		return nil, err
	}
	cn := &conn{Conn: raw, client: c, address: address}
	cn.reader = bufio.NewReaderSize(cn, readBuffer)
	return cn, nil
}

// Dial opens a connection that notices a silent peer within seconds.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialPatience)
	defer cancel()
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAlivePeriod, Count: keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
			})
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// Probe opens a connection to an address and closes it again; the error is that of opening.
func Probe(ctx context.Context, address string) error {
	cn, err := Dial(ctx, address)
	if err != nil {
		return err
	}
	return cn.Close()
}

// Sweep drops the kept connections whose time is over.
func (c *Client) Sweep() {
	now := clock.Now()
	var over []*conn
	c.mu.Lock()
	for a, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Before(cn.usable) {
				kept = append(kept, cn)
			} else {
				over = append(over, cn)
			}
		}
		if c.idle[a] = kept; len(kept) == 0 {
			delete(c.idle, a)
		}
	}
	c.mu.Unlock()
	for _, cn := range over {
		cn.drop()
	}
}

// Forget drops the kept connections to an address.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	idle := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, cn := range idle {
		cn.drop()
	}
}

// Close drops every kept connection; those in use are dropped when they end.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	idle := c.idle
	c.idle = map[string][]*conn{}
	c.mu.Unlock()
	for _, list := range idle {
		for _, cn := range list {
			cn.drop()
		}
	}
}
