// Package exchange is an HTTP/1.1 client with pooled connections. Unlike the transport of the standard
// library it never retries a request, reports whether any byte of it was sent, and skips responses that
// belong to earlier requests.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/stilemast/stilemast/src/clock"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/connections"
)

// Parameters of connections to servers.
const (
	dialTimeout  = 700 * time.Millisecond // timeout for opening a connection
	maxIdle      = 4 * time.Second        // maximum idle time of a connection that is reused
	maxFreshIdle = 300 * time.Millisecond // the same for requests that can't be repeated
	idleMargin   = time.Second            // subtracted from the idle time that the server announces
	// The kernel counts keep-alive times in whole seconds, and TCP_USER_TIMEOUT ends a connection at the first probe that is due
	// after it, whatever the number of probes. A server that runs may be silent for a second and a half, also if the silence begins
	// just before the first probe.
	userTimeout       = 2500 * time.Millisecond
	peerUserTimeout   = 1500 * time.Millisecond // of boxes, whose silence counts as failure
	keepAliveIdle     = time.Second
	keepAlivePeriod   = time.Second
	keepAliveProbes   = 2
	tcpUserTimeout    = 0x12 // socket option TCP_USER_TIMEOUT of Linux
	readBuffer        = 4 << 10
	maxInlineWrite    = 4 << 10                // bytes that can be written to any idle connection without blocking
	maxHead           = 64 << 10               // bytes of the head of a response, with those of responses before it
	maxStaleBody      = 1 << 20                // bytes of a skipped response's body
	maxStaleResponses = 2                      // responses of earlier requests that are skipped on one connection
	shareWait         = 100 * time.Millisecond // maximum wait for a connection where all of the share are in use; another server is tried then
)

// NotSent is an error that occurred before the first byte of a request was sent.
type NotSent struct{ Cause error }

// Error implements error.
func (e *NotSent) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSent) Unwrap() error { return e.Cause }

// ConnectionRefused reports whether an error means that the connection was refused, i.e. no process listens
// at the address.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// ErrConnectionLimit is returned if the address already has the maximum number of connections.
var ErrConnectionLimit = errors.New("all connections are in use")

// ErrForeignResponse is returned if the responses on a connection belong to other requests.
var ErrForeignResponse = errors.New("the response belongs to another request")

// ErrHeadTooLong is returned if the head of a response, with those before it, is longer than maxHead.
var ErrHeadTooLong = errors.New("the head of the response is too long")

// Request is one HTTP request. Header is written unchanged.
type Request struct {
	Method string
	Target string // path and query as they go onto the wire
	Host   string
	Header http.Header
	Body   []byte
	// Pool and Server name the server for Client.Dial.
	Pool, Server string
	// Matches reports whether a response belongs to this request; nil accepts the first one.
	Matches func(http.Header) bool
	// Fresh requires a connection that is new or was used very recently, for requests that can't be repeated
	// if the server happens to close an idle connection.
	Fresh bool
	// BeforeSend is called once a connection is available, just before the first byte is sent. If it returns an
	// error, nothing is sent. May be nil.
	BeforeSend func() error
	// ReadTimeout is the maximum time without receiving a byte of the response, 0 for no limit. While waiting
	// for the response header, the limit is HeaderTimeout if that is longer.
	ReadTimeout, HeaderTimeout time.Duration
	// Share limits the connections to the address; the zero value doesn't.
	Share connections.Share
}

// Target is a server to connect to. Only the address must be set.
type Target struct{ Pool, Server, Address string }

// Dialer opens a connection to a server.
type Dialer func(ctx context.Context, to Target) (net.Conn, error)

// Client sends requests and keeps idle connections to servers. The zero value is ready to use.
type Client struct {
	Dials atomic.Int64 // connections opened so far
	// Dial opens a connection to a server; nil uses the function Dial.
	Dial Dialer
	// Borrow opens a connection to a server where all connections that the share allows are open, out of another box's share;
	// nil borrows none.
	Borrow Dialer
	// Reusable reports whether an idle connection may be used again; nil allows all.
	Reusable func(to Target, c net.Conn) bool

	mu      sync.Mutex
	idle    map[string][]*conn
	open    map[string]int
	waiting map[string][]chan struct{} // requests that wait for a connection, by address, first come first served
	closed  bool
}

type conn struct {
	net.Conn
	client      *Client
	address     string
	to          Target
	keepIdle    int // idle connections kept to the address; negative for no limit
	borrowed    bool
	reader      *bufio.Reader
	idleUntil   time.Time // until when it may be reused; counts suspend time, in which the server may close it
	freshUntil  time.Time // until when a request that can't be repeated may use it
	once        sync.Once
	readTimeout time.Duration // timeout of each read, 0 for none
	inHead      bool          // the head of a response is read
	headLeft    int           // bytes that it may still take
}

// Read is net.Conn's Read with the read timeout of the current request.
func (cn *conn) Read(b []byte) (int, error) {
	if cn.readTimeout > 0 {
		if err := cn.SetReadDeadline(time.Now().Add(cn.readTimeout)); err != nil {
			return 0, err
		}
	}
	if !cn.inHead {
		return cn.Conn.Read(b)
	}
	if cn.headLeft <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := cn.Conn.Read(b[:min(len(b), cn.headLeft)])
	cn.headLeft -= n
	return n, err
}

// Response is an HTTP response whose body has not been read yet. Close must be called.
type Response struct {
	*http.Response
	conn *conn
	stop func() bool
}

// Do sends a request once and returns its response. The connection is closed when the context ends. The error
// is a NotSent if no byte was sent.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	cn, err := c.acquire(ctx, address, r)
	if err != nil {
		return nil, &NotSent{Cause: err}
	}
	if err := r.callBeforeSend(); err != nil {
		cn.releaseUnused()
		return nil, &NotSent{Cause: err}
	}
	stop := context.AfterFunc(ctx, cn.abort)
	cn.readTimeout = max(r.ReadTimeout, r.HeaderTimeout)
	resp, sent, err := cn.roundTrip(r)
	cn.readTimeout = r.ReadTimeout
	if err != nil {
		stop()
		cn.abort()
		if !sent {
			return nil, &NotSent{Cause: err}
		}
		return nil, err
	}
	return &Response{Response: resp, conn: cn, stop: stop}, nil
}

// callBeforeSend calls BeforeSend, if set.
func (r *Request) callBeforeSend() error {
	if r.BeforeSend == nil {
		return nil
	}
	return r.BeforeSend()
}

// writeResult is the outcome of writing a request.
type writeResult struct {
	n   int
	err error
}

// roundTrip writes a request and concurrently reads the header of its response, since a server may respond
// before it has read a long body. A connection on which the request was not written completely is not reused,
// since the server may still wait for the rest. sent reports whether any byte was sent.
func (cn *conn) roundTrip(r *Request) (resp *http.Response, sent bool, err error) {
	b := r.bytes()
	if len(b) <= maxInlineWrite {
		if n, err := cn.Write(b); err != nil {
			return nil, n > 0, err
		}
		resp, err = cn.read(r)
		return resp, true, err
	}
	end := make(chan writeResult, 1)
	go func() {
		n, err := cn.Write(b)
		end <- writeResult{n, err}
	}()
	resp, err = cn.read(r)
	if err != nil {
		cn.abort() // ends the write
		w := <-end
		return nil, w.n > 0, err
	}
	written := sync.OnceValue(func() error { return (<-end).err })
	if len(end) == 0 { // the request is still being written
		cn.allowLateReading()
		resp.Close = true
	} else {
		resp.Close = resp.Close || written() != nil
	}
	if isUnframed(resp) {
		resp.Body = &unframedBody{ReadCloser: resp.Body, written: written}
	}
	return resp, true, nil
}

// allowLateReading keeps a connection open whose server has begun its response and does not read. TCP_USER_TIMEOUT would end it
// also while the server confirms that it is there.
func (cn *conn) allowLateReading() {
	c, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, 0) })
	}
}

// bytes returns the encoded request.
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

// read returns the first response that belongs to the request. Responses to earlier requests are skipped; a
// connection that carried one is not reused.
func (cn *conn) read(r *Request) (*http.Response, error) {
	cn.headLeft = maxHead
	for skipped := 0; ; {
		cn.inHead = true
		resp, err := http.ReadResponse(cn.reader, &http.Request{Method: r.Method})
		cn.inHead = false
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if r.Matches == nil || r.Matches(resp.Header) {
			resp.Close = resp.Close || skipped > 0
			return resp, nil
		}
		if skipped++; skipped > maxStaleResponses || resp.Close {
			return nil, ErrForeignResponse
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBody))
		if err != nil || n == maxStaleBody {
			return nil, ErrForeignResponse
		}
	}
}

// ReadWhole reads a body to its end. The error is a code.MessageTooLarge if it is longer than most.
func ReadWhole(read func([]byte) (int, error), most int) ([]byte, error) {
	var body []byte
	buf := make([]byte, 8<<10)
	for {
		n, err := read(buf)
		body = append(body, buf[:n]...)
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		case len(body) > most:
			return nil, code.New(code.MessageTooLarge, "answer", "over %d bytes", most)
		}
	}
}

// Close ends the exchange. Set whole if the body was read to its end without an error; otherwise the request is given up.
func (a *Response) Close(whole bool) {
	switch stopped := a.stop(); {
	case !whole:
		a.conn.abort()
	case stopped && !a.Response.Close && a.conn.reader.Buffered() == 0:
		a.conn.release(a.Header)
	default:
		a.conn.drop()
	}
}

// abort closes a connection whose request is given up. A plain close would reach the server behind all bytes that are not sent yet.
func (cn *conn) abort() {
	_ = SetLinger(cn.Conn, 0)
	cn.drop()
}

// SetLinger is *net.TCPConn's method for connections that wrap one. With 0 seconds, Close does not send the bytes that are not sent
// yet.
func SetLinger(c net.Conn, seconds int) error {
	l, ok := c.(lingerer)
	if !ok {
		return errors.ErrUnsupported
	}
	return l.SetLinger(seconds)
}

type lingerer interface{ SetLinger(seconds int) error }

// drop closes a connection and removes it from the count of open ones.
func (cn *conn) drop() {
	cn.once.Do(func() {
		_ = cn.Conn.Close()
		if !cn.borrowed {
			cn.client.release(cn.address)
		}
	})
}

// release counts a connection as closed.
func (c *Client) release(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[address]--
	c.wakeNext(address)
}

// Reserve counts a connection to an address that is opened elsewhere, until release is called; false if the address has the
// maximum.
func (c *Client) Reserve(address string, most int) (release func(), ok bool) {
	if !c.reserve(address, most) {
		return nil, false
	}
	return func() { c.release(address) }, true
}

// release makes a connection available for reuse, for at most as long as the server announces to keep it open.
func (cn *conn) release(h http.Header) {
	idle := maxIdle
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil {
				idle = min(idle, time.Duration(s)*time.Second-idleMargin)
			}
		}
	}
	if idle <= 0 {
		cn.drop()
		return
	}
	if cn.readTimeout > 0 {
		cn.readTimeout = 0
		_ = cn.SetReadDeadline(time.Time{}) // on failure the next use of the connection fails
	}
	now := clock.Now()
	cn.idleUntil, cn.freshUntil = now.Add(idle), now.Add(min(idle, maxFreshIdle))
	cn.putIdle()
}

// releaseUnused makes a connection available again on which nothing was sent. A new one gets the full idle
// time.
func (cn *conn) releaseUnused() {
	if cn.idleUntil.IsZero() {
		now := clock.Now()
		cn.idleUntil, cn.freshUntil = now.Add(maxIdle), now.Add(maxFreshIdle)
	}
	cn.putIdle()
}

// putIdle adds a connection to the idle ones, or closes it if there are enough or the client is closed.
func (cn *conn) putIdle() {
	c := cn.client
	c.mu.Lock()
	keep := !c.closed && (cn.keepIdle < 0 || len(c.idle[cn.address]) < cn.keepIdle || len(c.waiting[cn.address]) > 0)
	if keep {
		c.idle[cn.address] = append(c.idle[cn.address], cn)
		c.wakeNext(cn.address)
	}
	c.mu.Unlock()
	if !keep {
		cn.drop()
	}
}

// acquire returns an idle connection that is still usable, the most recently used one first, or opens a new one. If
// the address has all the connections that the request's share allows, it waits for one for at most shareWait.
func (c *Client) acquire(ctx context.Context, address string, r *Request) (*conn, error) {
	var timeout <-chan time.Time
	for {
		cn := c.popIdle(address)
		if cn == nil {
			if c.reserve(address, r.Share.Open) {
				return c.dial(ctx, address, r)
			}
			if timeout == nil {
				timeout = time.After(shareWait)
				if cn := c.borrow(ctx, address, r); cn != nil {
					return cn, nil
				}
			}
			if err := c.awaitConnection(ctx, address, timeout); err != nil {
				return nil, err
			}
			continue
		}
		until := cn.idleUntil
		if r.Fresh {
			until = cn.freshUntil
		}
		if clock.Now().Before(until) && cn.reusable() && cn.healthy() {
			return cn, nil
		}
		cn.drop()
	}
}

// borrow opens a connection out of another box's share, nil if there is none. It is closed after the request unless another
// one waits for it, since the other box may need its share.
func (c *Client) borrow(ctx context.Context, address string, r *Request) *conn {
	if c.Borrow == nil {
		return nil
	}
	c.Dials.Add(1)
	to := Target{Pool: r.Pool, Server: r.Server, Address: address}
	raw, err := c.Borrow(ctx, to)
	if err != nil {
		return nil
	}
	cn := &conn{Conn: raw, client: c, address: address, to: to, borrowed: true}
	cn.reader = bufio.NewReaderSize(cn, readBuffer)
	return cn
}

// reserve counts a connection that is about to be opened; it returns false if the address has the maximum.
func (c *Client) reserve(address string, most int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.idle, c.open, c.waiting = map[string][]*conn{}, map[string]int{}, map[string][]chan struct{}{}
	}
	if most > 0 && c.open[address] >= most {
		return false
	}
	c.open[address]++
	return true
}

// awaitConnection waits until a connection to the address was released or closed.
func (c *Client) awaitConnection(ctx context.Context, address string, timeout <-chan time.Time) error {
	released := make(chan struct{})
	c.mu.Lock()
	c.waiting[address] = append(c.waiting[address], released)
	c.mu.Unlock()
	var err error
	select {
	case <-released:
		return nil
	case <-timeout:
		err = ErrConnectionLimit
	case <-ctx.Done():
		err = ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.waiting[address], released); i >= 0 {
		c.waiting[address] = slices.Delete(c.waiting[address], i, i+1)
	} else { // released meanwhile; the next one gets it
		c.wakeNext(address)
	}
	return err
}

// wakeNext wakes the first request that waits for a connection to an address. The caller holds the lock.
func (c *Client) wakeNext(address string) {
	list := c.waiting[address]
	if len(list) == 0 {
		return
	}
	close(list[0])
	if c.waiting[address] = list[1:]; len(list) == 1 {
		delete(c.waiting, address)
	}
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (c *Client) popIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return cn
}

// reusable reports whether the client's user allows the connection to be used again.
func (cn *conn) reusable() bool {
	return cn.client.Reusable == nil || cn.client.Reusable(cn.to, cn.Conn)
}

// healthy reports whether an idle connection is open and has no unread data.
func (cn *conn) healthy() bool {
	c, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
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

// dial opens a connection that was reserved.
func (c *Client) dial(ctx context.Context, address string, r *Request) (*conn, error) {
	c.Dials.Add(1)
	to := Target{Pool: r.Pool, Server: r.Server, Address: address}
	raw, err := c.connect(ctx, to)
	if err != nil {
		c.release(address)
		return nil, err
	}
	cn := &conn{Conn: raw, client: c, address: address, to: to, keepIdle: -1}
	if r.Share.Open > 0 {
		cn.keepIdle = r.Share.Idle
	}
	cn.reader = bufio.NewReaderSize(cn, readBuffer)
	return cn, nil
}

func (c *Client) connect(ctx context.Context, to Target) (net.Conn, error) {
	if c.Dial != nil {
		return c.Dial(ctx, to)
	}
	return Dial(ctx, to.Address)
}

// Dial opens a TCP connection to a server that detects within seconds that the server is silent.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return dialTCP(ctx, address, userTimeout)
}

// DialPeer is Dial for connections between boxes.
func DialPeer(ctx context.Context, address string) (net.Conn, error) {
	return dialTCP(ctx, address, peerUserTimeout)
}

func dialTCP(ctx context.Context, address string, silence time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAlivePeriod, Count: keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence.Milliseconds()))
			})
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// Probe opens a connection to a server and closes it again. It returns the error of opening.
func (c *Client) Probe(ctx context.Context, to Target) error {
	cn, err := c.connect(ctx, to)
	if err != nil {
		return err
	}
	return cn.Close()
}

// Sweep closes idle connections that have expired or may not be used again.
func (c *Client) Sweep() {
	now := clock.Now()
	var expired []*conn
	c.mu.Lock()
	for a, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Before(cn.idleUntil) && cn.reusable() {
				kept = append(kept, cn)
			} else {
				expired = append(expired, cn)
			}
		}
		if c.idle[a] = kept; len(kept) == 0 {
			delete(c.idle, a)
		}
	}
	c.mu.Unlock()
	for _, cn := range expired {
		cn.drop()
	}
}

// Forget closes the idle connections to an address.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	idle := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, cn := range idle {
		cn.drop()
	}
}

// Close closes all idle connections; those in use are closed when their exchange ends.
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
