package backend

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/exchange"
	"github.com/stilemast/stilemast/src/port"
)

// Client calls backend servers. Its fields must be set before the first call.
type Client struct {
	TLS      *tls.Config   // nil means plain HTTP
	DialWait time.Duration // connect timeout
	// OnMalformed is called with each malformed response; nil ignores them.
	OnMalformed func(from exchange.Target, err error)

	pooled httpc.Service // reuses connections
	fresh  httpc.Service // opens a new connection for each call
	scheme string
}

// serviceName identifies the circuit breaker of httpc. It is disabled, since the pools track the health of
// servers.
const serviceName = "stilemast-backend"

// NewClient returns a client that uses TLS with the given configuration, or plain HTTP if it is nil.
func NewClient(cfg *tls.Config) *Client {
	breaker.NoBreakerFor(serviceName)
	c := &Client{TLS: cfg, DialWait: time.Second, scheme: "http"}
	if cfg != nil {
		c.scheme = "https"
	}
	keep := &exchange.Transport{Client: &exchange.Client{Dial: c.dial, OnMalformed: c.reportMalformed}}
	once := &exchange.Transport{Client: &exchange.Client{Dial: c.dial, OnMalformed: c.reportMalformed}, Once: true}
	c.pooled = httpc.NewServiceWithClient(serviceName, exchange.NewHTTPClient(keep))
	c.fresh = httpc.NewServiceWithClient(serviceName, exchange.NewHTTPClient(once))
	return c
}

func (c *Client) reportMalformed(from exchange.Target, err error) {
	if c.OnMalformed != nil {
		c.OnMalformed(from, err)
	}
}

// dial opens a connection to a server.
func (c *Client) dial(ctx context.Context, to exchange.Target) (net.Conn, error) {
	d := &net.Dialer{Timeout: c.DialWait}
	if c.TLS == nil {
		return d.DialContext(ctx, "tcp", to.Address)
	}
	return (&tls.Dialer{NetDialer: d, Config: c.TLS}).DialContext(ctx, "tcp", to.Address)
}

// Ports returns the client's methods as the interface that a box uses.
func (c *Client) Ports() port.Backends {
	return port.Backends{Call: c.Call, Stop: c.Stop, Load: c.Load, Events: c.Events, Order: c.Order}
}

func (c *Client) url(b *config.BackendServer, path string) string {
	return c.scheme + "://" + b.Address() + path
}

// Call runs one attempt of a stage and passes streamed pieces to emit. A call that must not be repeated uses
// a new connection, since the server may be closing a reused one.
func (c *Client) Call(ctx context.Context, b *config.BackendServer, r port.CallRequest, emit func(int, []byte)) (port.CallResult, *port.CallError) {
	body, err := json.Marshal(r)
	if err != nil {
		return port.CallResult{}, &port.CallError{Failure: core.NotSent, Message: err.Error()}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(b, PathCall), bytes.NewReader(body))
	if err != nil {
		return port.CallResult{}, &port.CallError{Failure: core.NotSent, Message: err.Error()}
	}
	req.Header.Set("Content-Type", "application/json")
	service := c.pooled
	if r.Once {
		service = c.fresh
	}
	resp, err := service.DoRequest(req)
	if err != nil {
		return port.CallResult{}, &port.CallError{Failure: sendFailure(ctx, err), Message: err.Error(), ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return port.CallResult{}, statusFailure(resp)
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(ctx, resp.Body, emit)
	}
	var res port.CallResult
	if err := decode(resp.Body, 2*maxEvent, &res); err != nil {
		return port.CallResult{}, &port.CallError{Failure: brokenOrTimedOut(ctx), Message: err.Error()}
	}
	return res, nil
}

// decode reads a body of at most most bytes, which must be one JSON document.
func decode(body io.Reader, most int, out any) error {
	text, err := exchange.ReadWhole(body.Read, most)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, out)
}

// sendFailure distinguishes a call that was never sent from one that may have been.
func sendFailure(ctx context.Context, err error) core.Failure {
	var notSent *exchange.NotSent
	if errors.As(err, &notSent) {
		return core.NotSent
	}
	return brokenOrTimedOut(ctx)
}

// brokenOrTimedOut returns TimedOut if the deadline of ctx has passed, otherwise Broken.
func brokenOrTimedOut(ctx context.Context) core.Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return core.TimedOut
	}
	return core.Broken
}

// statusFailure converts a response with a status other than 200 to a failure.
func statusFailure(resp *http.Response) *port.CallError {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 256))
	e := &port.CallError{Failure: core.Broken, Message: fmt.Sprintf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))}
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(NotRunHeader) == "busy":
		e.Failure, e.RetryAfter = core.Busy, exchange.RetryAfter(resp.Header)
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(NotRunHeader) == "leaving":
		e.Failure = core.Leaving
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		e.Failure = core.InvalidCall
	}
	return e
}

// readStream passes the pieces of a stream to emit and returns the result in its done event.
func readStream(ctx context.Context, body io.Reader, emit func(int, []byte)) (port.CallResult, *port.CallError) {
	events := NewEventReader(body)
	for {
		ev, err := events.Next()
		if err != nil {
			return port.CallResult{}, &port.CallError{Failure: brokenOrTimedOut(ctx), Message: err.Error()}
		}
		switch ev.Name {
		case EventText:
			var t TextEvent
			if err := json.Unmarshal(ev.Data, &t); err != nil || t.Offset < 0 {
				return port.CallResult{}, &port.CallError{Failure: core.Broken, Message: "invalid text event"}
			}
			emit(t.Offset, t.Text)
		case EventDone:
			var res port.CallResult
			if err := json.Unmarshal(ev.Data, &res); err != nil {
				return port.CallResult{}, &port.CallError{Failure: core.Broken, Message: "invalid done event"}
			}
			return res, nil
		}
	}
}

// Stop cancels an attempt. Errors are ignored, since the engine also ends an abandoned attempt by itself.
func (c *Client) Stop(ctx context.Context, b *config.BackendServer, attempt string) {
	_ = c.exchange(ctx, http.MethodPost, c.url(b, PathStop), StopRequest{Attempt: attempt}, nil)
}

// Load fetches the load report of a server.
func (c *Client) Load(ctx context.Context, b *config.BackendServer) (core.Report, error) {
	var r core.Report
	err := c.exchange(ctx, http.MethodGet, c.url(b, PathLoad), nil, &r)
	return r, err
}

// Events fetches the KV cache events after a sequence number.
func (c *Client) Events(ctx context.Context, b *config.BackendServer, after uint64) ([]core.CacheEvent, error) {
	var r EventsReply
	err := c.exchange(ctx, http.MethodGet, c.url(b, PathEvents)+"?after="+strconv.FormatUint(after, 10), nil, &r)
	return r.Events, err
}

// Order sends an order with its fencing token, unless the order has expired.
func (c *Client) Order(ctx context.Context, b *config.BackendServer, o core.Order) error {
	if o.Expired(time.Now()) {
		return eris.New("order expired before it was sent")
	}
	r := OrderRequest{Fence: o.Fence, Model: o.Model, Version: o.Version, Adapters: o.Adapters, Role: o.Role, LoadTime: int64(o.LoadTime)}
	return c.exchange(ctx, http.MethodPost, c.url(b, PathOrders), r, nil)
}

// exchange sends in as JSON, if it is not nil, and decodes the JSON response into out.
func (c *Client) exchange(ctx context.Context, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return eris.Wrap(err, "could not encode the request")
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return eris.Wrap(err, "could not create the request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.pooled.DoRequest(req)
	if err != nil {
		return eris.Wrap(err, "request failed")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("unexpected status %d", resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	if err := decode(resp.Body, maxEvent, out); err != nil {
		return eris.Wrap(err, "could not decode the response")
	}
	return nil
}
