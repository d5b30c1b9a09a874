// Package exchange is an HTTP/1.1 client with pooled connections. Unlike the transport of the standard
// library it never retries a request, reports whether any byte of it was sent, and skips responses that
// belong to earlier requests.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/connections"
	"github.com/stilemast/stilemast/src/intake"
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
	roomWait          = 3 * time.Second        // maximum wait of a body for room in the client's account
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

// ClosedIdle is the error of a request on a connection that had been idle and that ended before a byte of the response. The server may
// have closed it before the request arrived, or have run the request.
type ClosedIdle struct{ Cause error }

// Error implements error.
func (e *ClosedIdle) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ClosedIdle) Unwrap() error { return e.Cause }

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
	// Single names fields of which a response with several different values is malformed.
	Single []string
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
	// OnMalformed is called with each malformed response; nil ignores them.
	OnMalformed func(from Target, err error)
	// Memory is the account of the bodies that are read whole; nil does not limit them together.
	Memory *intake.Account

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
	head        []byte        // bytes received of it
	readErr     error         // of the last read since its begin
	silent      bool          // no byte has arrived since the request
}

// Read is net.Conn's Read with the read timeout of the current request.
func (cn *conn) Read(b []byte) (int, error) {
	n, err := cn.receive(b)
	cn.silent = cn.silent && n == 0
	cn.readErr = err
	return n, err
}

// receive reads bytes of a response and bounds its head.
func (cn *conn) receive(b []byte) (int, error) {
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
	cn.head = append(cn.head, b[:n]...)
	return n, err
}

// Response is an HTTP response whose body has not been read yet. Close must be called.
type Response struct {
	*http.Response
	conn *conn
	ctx  context.Context
	stop func() bool
	room *intake.Transfer // that the body has in the client's account, nil for none
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
	cn.readTimeout, cn.silent = max(r.ReadTimeout, r.HeaderTimeout), true
	resp, sent, err := cn.roundTrip(r)
	cn.readTimeout = r.ReadTimeout
	if err != nil {
		stop()
		cn.abort()
		cn.report(err)
		switch {
		case !sent:
			return nil, &NotSent{Cause: err}
		case cn.silent && !cn.idleUntil.IsZero() && !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, &ClosedIdle{Cause: err}
		}
		return nil, err
	}
	return &Response{Response: resp, conn: cn, ctx: ctx, stop: stop}, nil
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
	n   int64
	err error
}

// roundTrip writes a request and concurrently reads the header of its response, since a server may respond
// before it has read a long body. A connection on which the request was not written completely is not reused,
// since the server may still wait for the rest. sent reports whether any byte was sent.
func (cn *conn) roundTrip(r *Request) (resp *http.Response, sent bool, err error) {
	head := r.head()
	if len(head)+len(r.Body) <= maxInlineWrite {
		if n, err := cn.Write(append(head, r.Body...)); err != nil {
			return nil, n > 0, err
		}
		resp, err = cn.read(r)
		return resp, true, err
	}
	end := make(chan writeResult, 1)
	go func() {
		parts := net.Buffers{head, r.Body}
		n, err := parts.WriteTo(cn.Conn)
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

// head returns the encoded request without its body, with capacity for a short one.
func (r *Request) head() []byte {
	b := bytes.NewBuffer(make([]byte, 0, 512+min(len(r.Body), maxInlineWrite)))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// read returns the first response that belongs to the request. Responses to earlier requests are skipped; a
// connection that carried one is not reused.
func (cn *conn) read(r *Request) (*http.Response, error) {
	cn.headLeft = maxHead
	for skipped := 0; ; {
		resp, err := cn.readResponse(r)
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

// IsSuccess reports whether a status is 2xx.
func IsSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// ReadWhole reads a body to its end. The error is a code.MessageTooLarge if it is longer than most.
func ReadWhole(read func([]byte) (int, error), most int) ([]byte, error) {
	var body []byte
	buf := make([]byte, 8<<10)
	for {
		n, err := read(buf)
		body = append(body, buf[:n]...)
		switch {
		case len(body) > most:
			return nil, code.New(code.MessageTooLarge, "answer", "over %d bytes", most)
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// Receive reads the body to its end, in room of the client's account that Close gives back. The error is a code.MessageTooLarge if the
// body is longer than most.
func (a *Response) Receive(most int) ([]byte, error) {
	account := a.conn.client.Memory
	if account == nil {
		return ReadWhole(a.Body.Read, most)
	}
	if account.Limit > 0 {
		most = int(min(int64(most), account.Limit))
	}
	a.room = intake.From(a.Body.Read, a.ContentLength)
	body, err := account.Receive(a.ctx, a.room, int64(most), time.Now().Add(roomWait))
	if errors.Is(err, intake.ErrTooLarge) {
		err = code.New(code.MessageTooLarge, "answer", "over %d bytes", most)
		a.conn.report(err)
	}
	return body, err
}

// ReadAll is Receive and ends the exchange.
func (a *Response) ReadAll(most int) ([]byte, error) {
	body, err := a.Receive(most)
	a.Close(err == nil)
	return body, err
}

// Close ends the exchange. Set whole if the body was read to its end without an error; otherwise the request is given up.
func (a *Response) Close(whole bool) {
	if a.room != nil {
		a.room.Release()
	}
	switch stopped := a.stop(); {
	case !whole:
		a.conn.abort()
	case stopped && !a.Response.Close && a.conn.reader.Buffered() == 0:
		a.conn.release(a.Header)
	default:
		a.conn.drop()
	}
}

// abort resets a connection whose request is given up.
func (cn *conn) abort() { cn.close(ResetOnClose) }

// drop closes a connection without a request.
func (cn *conn) drop() { cn.close(CloseInOrder) }

// close closes a connection and removes it from the count of open ones.
func (cn *conn) close(linger int) {
	cn.once.Do(func() {
		_ = SetLinger(cn.Conn, linger) // on failure the server is told behind the bytes that are not sent yet
		_ = cn.Conn.Close()
		if !cn.borrowed {
			cn.client.release(cn.address)
		}
	})
}
