// Package platform reads the platform's configuration service and box list over HTTP. It never
// writes: the platform's service takes no writes from the system.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
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

// serviceName names the breaker that httpc looks up, which is switched off.
const serviceName = "stilemast-platform"

// Client reads from the platform's addresses, the next one after a failure.
type Client struct {
	Addresses []string
	Timeout   time.Duration

	http httpc.Service
	turn atomic.Uint32
}

// NewClient makes a client.
func NewClient(addresses []string, timeout time.Duration) *Client {
	breaker.NoBreakerFor(serviceName)
	t := &http.Transport{DialContext: (&net.Dialer{Timeout: timeout}).DialContext, MaxIdleConnsPerHost: 2}
	return &Client{
		Addresses: addresses, Timeout: timeout,
		http: httpc.NewServiceWithClient(serviceName, &http.Client{Transport: t}),
	}
}

// Ports gives the client's reads as the box wants them.
func (c *Client) Ports() port.Platform { return port.Platform{Config: c.Config, Boxes: c.Boxes} }

// Config reads the published configuration.
func (c *Client) Config(ctx context.Context) ([]byte, error) { return c.read(ctx, PathConfig) }

// Boxes reads the box list.
func (c *Client) Boxes(ctx context.Context) (port.BoxList, error) {
	var l port.BoxList
	b, err := c.read(ctx, PathBoxes)
	if err != nil {
		return l, err
	}
	if err := json.Unmarshal(b, &l); err != nil {
		return l, code.New(code.PlatformFailed, "boxes", "not a box list: %v", err)
	}
	return l, nil
}

func (c *Client) read(ctx context.Context, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	address := c.Addresses[int(c.turn.Load())%len(c.Addresses)]
	b, err := c.get(ctx, "http://"+address+path)
	if err != nil {
		c.turn.Add(1)
		return nil, code.New(code.PlatformFailed, "platform", "%v", err)
	}
	return b, nil
}

func (c *Client) get(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "request can't be made")
	}
	resp, err := c.http.DoRequest(req)
	if err != nil {
		return nil, eris.Wrap(err, "no answer")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("status %d", resp.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, config.MaxBytes+1))
	return b, eris.Wrap(err, "answer broke off")
}
