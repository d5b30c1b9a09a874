// Package configservice reads the configuration and the box list from the platform's service over HTTP. The service is
// read-only for boxes.
package configservice

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/exchange"
	"github.com/stilemast/stilemast/src/port"
)

// Paths of the platform's service.
const (
	PathConfig = "/v1/config"
	PathBoxes  = "/v1/boxes"
)

// WaitQuery is the query parameter for how many milliseconds a read may wait for a change.
const WaitQuery = "wait_ms"

// serviceName is the name of httpc's circuit breaker, which is disabled.
const serviceName = "stilemast-platform"

// Client reads from one of the platform's addresses and switches to the next one after a failure.
type Client struct {
	Addresses []string
	Timeout   time.Duration // of one read, without the time that it waits for a change
	// Watch is how long a read of the configuration may wait at the service for a change (long polling); 0 reads
	// immediately. The service counts a waiting read as one call.
	Watch time.Duration
	// OnMalformed is called with each malformed response; nil ignores them.
	OnMalformed func(from exchange.Target, err error)

	http      httpc.Service
	current   atomic.Uint32 // index of the current address, modulo their number
	mu        sync.Mutex
	responses map[string]cachedResponse // last responses by path, without the query
}

// cachedResponse is a cached response with its entity tag, so that an unchanged document is not transferred again.
type cachedResponse struct {
	etag string
	body []byte
}

// NewClient returns a client with the given timeout for each read.
func NewClient(addresses []string, timeout time.Duration) *Client {
	breaker.NoBreakerFor(serviceName)
	dial := func(ctx context.Context, to exchange.Target) (net.Conn, error) {
		return (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp", to.Address)
	}
	c := &Client{Addresses: addresses, Timeout: timeout, responses: map[string]cachedResponse{}}
	t := &exchange.Transport{Client: &exchange.Client{Dial: dial, OnMalformed: c.reportMalformed}}
	c.http = httpc.NewServiceWithClient(serviceName, exchange.NewHTTPClient(t))
	return c
}

func (c *Client) reportMalformed(from exchange.Target, err error) {
	if c.OnMalformed != nil {
		c.OnMalformed(from, err)
	}
}

// Ports returns the client's reads as the interface used by boxes.
func (c *Client) Ports() port.Platform { return port.Platform{Config: c.Config, Boxes: c.Boxes} }

// Config reads the published configuration. If Watch is set, the read may wait for a change.
func (c *Client) Config(ctx context.Context) ([]byte, error) {
	if c.Watch == 0 {
		return c.read(ctx, PathConfig, 0)
	}
	return c.read(ctx, PathConfig+"?"+WaitQuery+"="+strconv.FormatInt(c.Watch.Milliseconds(), 10), c.Watch)
}

// Boxes reads the box list.
func (c *Client) Boxes(ctx context.Context) (port.BoxList, error) {
	var l port.BoxList
	b, err := c.read(ctx, PathBoxes, 0)
	if err != nil {
		return l, err
	}
	if err := json.Unmarshal(b, &l); err != nil {
		return l, code.New(code.PlatformFailed, "boxes", "invalid box list: %v", err)
	}
	return l, nil
}

// read fetches a path from the current address; wait is how long the service may hold the read.
func (c *Client) read(ctx context.Context, path string, wait time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout+wait)
	defer cancel()
	address := c.Addresses[int(c.current.Load())%len(c.Addresses)]
	b, err := c.get(ctx, address, path)
	if err != nil {
		c.current.Add(1)
		return nil, code.New(code.PlatformFailed, "platform", "%v", err)
	}
	return b, nil
}

// get fetches a path, conditionally if there is a cached response.
func (c *Client) get(ctx context.Context, address, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "create request")
	}
	document, _, _ := strings.Cut(path, "?")
	c.mu.Lock()
	last := c.responses[document]
	c.mu.Unlock()
	if last.etag != "" {
		req.Header.Set("If-None-Match", last.etag)
	}
	resp, err := c.http.DoRequest(req)
	if err != nil {
		return nil, eris.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && last.etag != "" {
		return last.body, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("unexpected HTTP status %d", resp.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, config.MaxBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "read response")
	}
	c.mu.Lock()
	c.responses[document] = cachedResponse{etag: resp.Header.Get("ETag"), body: b}
	c.mu.Unlock()
	return b, nil
}
