package exchange

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/stilemast/stilemast/src/clock"
)

// sweepInterval is the minimum time between two sweeps of a transport's idle connections.
const sweepInterval = time.Second

// Transport is an http.RoundTripper that sends requests by a Client. Unlike http.Transport it resends only a GET, if the server closed the
// idle connection, and does not ask for compressed bodies. Errors are those of Client.Do.
type Transport struct {
	Client *Client
	Once   bool // closes each connection after its response

	swept atomic.Int64 // time of the last sweep in nanoseconds
}

// NewHTTPClient returns a client that uses a transport and does not follow redirects.
func NewHTTPClient(t *Transport) *http.Client {
	return &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// RoundTrip implements http.RoundTripper. The scheme of the URL is up to Client.Dial.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.sweep()
	var body []byte
	if req.Body != nil {
		var err error
		body, err = io.ReadAll(req.Body)
		_ = req.Body.Close()
		if err != nil {
			return nil, &NotSent{Cause: err}
		}
	}
	r := &Request{Method: req.Method, Target: req.URL.RequestURI(), Host: cmp.Or(req.Host, req.URL.Host), Header: req.Header, Body: body}
	a, err := t.Client.Do(req.Context(), req.URL.Host, r)
	for closed := (*ClosedIdle)(nil); req.Method == http.MethodGet && errors.As(err, &closed) && req.Context().Err() == nil; {
		a, err = t.Client.Do(req.Context(), req.URL.Host, r)
	}
	if err != nil {
		return nil, err
	}
	a.Response.Request = req
	a.Response.Close = a.Response.Close || t.Once
	out := *a.Response
	out.Body = &transportBody{response: a, whole: a.Body == http.NoBody}
	return &out, nil
}

// sweep closes expired idle connections from time to time.
func (t *Transport) sweep() {
	now, last := clock.Now().UnixNano(), t.swept.Load()
	if now-last >= int64(sweepInterval) && t.swept.CompareAndSwap(last, now) {
		t.Client.Sweep()
	}
}

// transportBody is the body of a response. Close ends the exchange.
type transportBody struct {
	response *Response
	whole    bool
	closed   bool
}

// Read implements io.Reader.
func (b *transportBody) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	b.whole = b.whole || err == io.EOF
	return n, err
}

// Close implements io.Closer.
func (b *transportBody) Close() error {
	if !b.closed {
		b.closed = true
		b.response.Close(b.whole)
	}
	return nil
}
