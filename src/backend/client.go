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
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
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

// Client calls backend servers. Set its fields before the first call.
type Client struct {
	TLS      *tls.Config   // nil speaks plain HTTP
	DialWait time.Duration // how long a connection may take to open

	kept   httpc.Service // keeps connections open between calls
	single httpc.Service // a fresh connection for each call
	scheme string
}

// serviceName names the breaker that httpc looks up, which is switched off: pools judge health.
const serviceName = "stilemast-backend"

// NewClient makes a client.
func NewClient(cfg *tls.Config) *Client {
	breaker.NoBreakerFor(serviceName)
	c := &Client{TLS: cfg, DialWait: time.Second, scheme: "http"}
	if cfg != nil {
		c.scheme = "https"
	}
	dial := (&net.Dialer{Timeout: c.DialWait}).DialContext
	keep := &http.Transport{DialContext: dial, TLSClientConfig: cfg, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}
	once := &http.Transport{DialContext: dial, TLSClientConfig: cfg, DisableKeepAlives: true}
	c.kept = httpc.NewServiceWithClient(serviceName, &http.Client{Transport: keep})
	c.single = httpc.NewServiceWithClient(serviceName, &http.Client{Transport: once})
	return c
}

// Ports gives the client's calls as the box wants them.
func (c *Client) Ports() port.Backends {
	return port.Backends{Call: c.Call, Stop: c.Stop, Load: c.Load, Events: c.Events, Order: c.Order}
}

func (c *Client) url(b *config.BackendServer, path string) string {
	return c.scheme + "://" + b.Address() + path
}

// Call runs one attempt. A call that may not be repeated gets a fresh connection, since a kept one
// may be closing under it, and no body that the transport could send a second time.
func (c *Client) Call(ctx context.Context, b *config.BackendServer, r port.CallRequest, emit func(int, []byte)) (port.CallResult, *port.CallError) {
	body, err := json.Marshal(r)
	if err != nil {
		return port.CallResult{}, &port.CallError{Failure: core.NotSent, Message: err.Error()}
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.url(b, PathCall), onceReader{bytes.NewReader(body)})
	if err != nil {
		return port.CallResult{}, &port.CallError{Failure: core.NotSent, Message: err.Error()}
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	service := c.kept
	if r.Once {
		service = c.single
	}
	resp, err := service.DoRequest(req)
	if err != nil {
		return port.CallResult{}, &port.CallError{Failure: sendFailure(ctx, connected.Load()), Message: err.Error(), Refused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return port.CallResult{}, statusFailure(resp)
	}
	if resp.Header.Get("Content-Type") == "text/event-stream" {
		return readStream(ctx, resp.Body, emit)
	}
	var res port.CallResult
	if err := json.NewDecoder(io.LimitReader(resp.Body, 2*maxEvent)).Decode(&res); err != nil {
		return port.CallResult{}, &port.CallError{Failure: brokenOrLate(ctx), Message: err.Error()}
	}
	return res, nil
}

// onceReader hides that its bytes could be read again, so that net/http never resends them.
type onceReader struct{ io.Reader }

// sendFailure tells a call that never left from one that may have.
func sendFailure(ctx context.Context, connected bool) core.Failure {
	if !connected {
		return core.NotSent
	}
	return brokenOrLate(ctx)
}

func brokenOrLate(ctx context.Context) core.Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return core.TimedOut
	}
	return core.Broken
}

func statusFailure(resp *http.Response) *port.CallError {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 256))
	e := &port.CallError{Failure: core.Broken, Message: fmt.Sprintf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))}
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(NotRunHeader) == "busy":
		e.Failure, e.Rest = core.Busy, exchange.RetryAfter(resp.Header)
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(NotRunHeader) == "leaving":
		e.Failure = core.Leaving
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		e.Failure = core.InvalidCall
	}
	return e
}

// readStream hands on the pieces of a stream until its end event.
func readStream(ctx context.Context, body io.Reader, emit func(int, []byte)) (port.CallResult, *port.CallError) {
	events := NewEventReader(body)
	for {
		ev, err := events.Next()
		if err != nil {
			return port.CallResult{}, &port.CallError{Failure: brokenOrLate(ctx), Message: err.Error()}
		}
		switch ev.Name {
		case EventText:
			var t TextEvent
			if err := json.Unmarshal(ev.Data, &t); err != nil || t.Offset < 0 {
				return port.CallResult{}, &port.CallError{Failure: core.Broken, Message: "unreadable text event"}
			}
			emit(t.Offset, t.Text)
		case EventDone:
			var res port.CallResult
			if err := json.Unmarshal(ev.Data, &res); err != nil {
				return port.CallResult{}, &port.CallError{Failure: core.Broken, Message: "unreadable done event"}
			}
			return res, nil
		}
	}
}

// Stop cancels an attempt; failures don't matter, the engine ends it by itself.
func (c *Client) Stop(ctx context.Context, b *config.BackendServer, attempt string) {
	_ = c.exchange(ctx, http.MethodPost, c.url(b, PathStop), StopRequest{Attempt: attempt}, nil)
}

// Load fetches a load report.
func (c *Client) Load(ctx context.Context, b *config.BackendServer) (core.Report, error) {
	var r core.Report
	err := c.exchange(ctx, http.MethodGet, c.url(b, PathLoad), nil, &r)
	return r, err
}

// Events fetches the cache events after a sequence number.
func (c *Client) Events(ctx context.Context, b *config.BackendServer, after uint64) ([]core.CacheEvent, error) {
	var r EventsReply
	err := c.exchange(ctx, http.MethodGet, c.url(b, PathEvents)+"?after="+strconv.FormatUint(after, 10), nil, &r)
	return r.Events, err
}

// Order sends a fenced order unless it has become void.
func (c *Client) Order(ctx context.Context, b *config.BackendServer, o core.Order) error {
	if o.Expired(time.Now()) {
		return eris.New("the order waited too long and is void")
	}
	r := OrderRequest{Fence: o.Fence, Model: o.Model, Version: o.Version, Adapters: o.Adapters, Role: o.Role, LoadTime: int64(o.LoadTime)}
	return c.exchange(ctx, http.MethodPost, c.url(b, PathOrders), r, nil)
}

// exchange sends and receives one JSON message.
func (c *Client) exchange(ctx context.Context, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return eris.Wrap(err, "message can't be encoded")
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return eris.Wrap(err, "request can't be made")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.kept.DoRequest(req)
	if err != nil {
		return eris.Wrap(err, "exchange failed")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("status %d", resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEvent)).Decode(out); err != nil {
		return eris.Wrap(err, "answer can't be decoded")
	}
	return nil
}
