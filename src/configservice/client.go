// Package configservice reads the platform's configuration service and box list over HTTP. It never
// writes: the platform's service takes no writes from the system.
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
	"github.com/stilemast/stilemast/src/port"
)

// The paths that the platform serves.
const (
	PathConfig = "/v1/config"
	PathBoxes  = "/v1/boxes"
)

// WaitQuery names the milliseconds that a read may wait for a change.
const WaitQuery = "wait_ms"

// serviceName names the breaker that httpc looks up, which is switched off.
const serviceName = "stilemast-platform"

// Client reads from the platform's addresses, the next one after a failure.
type Client struct {
	Addresses []string
	Timeout   time.Duration
	// Watch has the service hold a read of the configuration up to this long until it changes; 0 reads
	// at once. The service counts a waiting read as one call.
	Watch time.Duration

	http httpc.Service
	turn atomic.Uint32
	mu   sync.Mutex
	seen map[string]seen // by path, without its query
}

// seen is the last answer of a path, so that an unchanged one need not travel again.
type seen struct {
	tag  string
	body []byte
}

// NewClient makes a client.
func NewClient(addresses []string, timeout time.Duration) *Client {
	breaker.NoBreakerFor(serviceName)
	t := &http.Transport{DialContext: (&net.Dialer{Timeout: timeout}).DialContext, MaxIdleConnsPerHost: 2}
	return &Client{
		Addresses: addresses, Timeout: timeout, seen: map[string]seen{},
		http: httpc.NewServiceWithClient(serviceName, &http.Client{Transport: t}),
	}
}

// Ports gives the client's reads as the box wants them.
func (c *Client) Ports() port.Platform { return port.Platform{Config: c.Config, Boxes: c.Boxes} }

// Config reads the published configuration.
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
		return l, code.New(code.PlatformFailed, "boxes", "not a box list: %v", err)
	}
	return l, nil
}

func (c *Client) read(ctx context.Context, path string, wait time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout+wait)
	defer cancel()
	address := c.Addresses[int(c.turn.Load())%len(c.Addresses)]
	b, err := c.get(ctx, address, path)
	if err != nil {
		c.turn.Add(1)
		return nil, code.New(code.PlatformFailed, "platform", "%v", err)
	}
	return b, nil
}

// get reads one path; an entity tag lets the service answer that nothing changed.
func (c *Client) get(ctx context.Context, address, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "request can't be made")
	}
	document, _, _ := strings.Cut(path, "?")
	c.mu.Lock()
	last := c.seen[document]
	c.mu.Unlock()
	if last.tag != "" {
		req.Header.Set("If-None-Match", last.tag)
	}
	resp, err := c.http.DoRequest(req)
	if err != nil {
		return nil, eris.Wrap(err, "no answer")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && last.tag != "" {
		return last.body, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("status %d", resp.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, config.MaxBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "answer broke off")
	}
	c.mu.Lock()
	c.seen[document] = seen{tag: resp.Header.Get("ETag"), body: b}
	c.mu.Unlock()
	return b, nil
}
