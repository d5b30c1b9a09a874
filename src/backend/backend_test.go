package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

func serverAt(t testing.TB, address string) *config.BackendServer {
	t.Helper()
	d := config.ExamplePageworks()
	d.BackendServers[0].Address = address
	raw, err := config.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	c, faults := config.Parse(raw)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return c.BackendServers()[0]
}

func ignore(int, []byte) {}

// Guards against a repeated or misreported at-most-once call: when the server closes the connection without a
// response, the call must not be sent again and the failure must not be NotSent.
func TestOnceCallIsSentOnceWhenTheAnswerIsLost(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var got atomic.Int32
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if got.Add(1) > 1 { // the first call leaves an idle connection for reuse
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(`{"length":0}`))
	})}
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()
	c := NewClient(nil)
	b := serverAt(t, l.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, cerr := c.Call(ctx, b, port.CallRequest{Attempt: "warm"}, ignore); cerr != nil {
		t.Fatal(cerr)
	}
	_, cerr := c.Call(ctx, b, port.CallRequest{Attempt: "a", Once: true}, ignore)
	if cerr == nil || cerr.Failure != core.Broken {
		t.Errorf("failure = %v", cerr)
	}
	if n := got.Load(); n != 2 {
		t.Errorf("the call reached the server %d times, want once", n-1)
	}
}

func TestCallToNobodyIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	_, cerr := NewClient(nil).Call(context.Background(), serverAt(t, address), port.CallRequest{Once: true}, ignore)
	if cerr == nil || cerr.Failure != core.NotSent {
		t.Errorf("failure = %v", cerr)
	}
}

func TestRefusalsOfServers(t *testing.T) {
	cases := map[string]struct {
		status int
		header string
		want   core.Failure
	}{
		"busy":    {http.StatusServiceUnavailable, "busy", core.Busy},
		"leaving": {http.StatusServiceUnavailable, "leaving", core.Leaving},
		"plain":   {http.StatusServiceUnavailable, "", core.Broken},
		"wrong":   {http.StatusUnprocessableEntity, "", core.InvalidCall},
		"failed":  {http.StatusInternalServerError, "", core.Broken},
	}
	for name, c := range cases {
		resp := &http.Response{StatusCode: c.status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x"))}
		if c.header != "" {
			resp.Header.Set(NotRunHeader, c.header)
		}
		resp.Header.Set("Retry-After", "1.5")
		got := statusFailure(resp)
		if got.Failure != c.want {
			t.Errorf("%s: %s, want %s", name, got.Failure, c.want)
		}
		if want := map[bool]time.Duration{true: 1500 * time.Millisecond}[c.want == core.Busy]; got.RetryAfter != want {
			t.Errorf("%s: Retry-After of %s, want %s", name, got.RetryAfter, want)
		}
	}
}

func TestEventReader(t *testing.T) {
	r := NewEventReader(strings.NewReader(":hello\n\nevent: text\ndata: a\ndata: b\n\nevent: done\ndata: c"))
	if _, err := r.Next(); err != nil { // a comment is read as an empty event
		t.Fatal(err)
	}
	ev, err := r.Next()
	if err != nil || ev.Name != "text" || string(ev.Data) != "a\nb" {
		t.Errorf("event = %+v, %v", ev, err)
	}
	if _, err := r.Next(); err != io.ErrUnexpectedEOF {
		t.Errorf("a truncated event: %v", err)
	}
	long := strings.NewReader("data: " + strings.Repeat("x", maxEvent+1) + "\n\n")
	if _, err := NewEventReader(long).Next(); code.Of(err).Code != code.FrameInvalid {
		t.Errorf("a long event: %v", err)
	}
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("event: text\ndata: {}\n\n"))
	f.Add([]byte("data\r\n\r\n: x\n\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := NewEventReader(bytes.NewReader(b))
		total := 0
		for {
			ev, err := r.Next()
			if err != nil {
				break
			}
			total += len(ev.Data)
		}
		if total > len(b) {
			t.Fatalf("%d bytes of data from %d", total, len(b))
		}
		_, _ = readStream(context.Background(), bytes.NewReader(b), ignore)
	})
}

// countingConn counts the bytes in both directions.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	n *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.n}, err
}

// BenchmarkReport fetches load reports over HTTP and measures the bytes of each in both directions.
func BenchmarkReport(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var n atomic.Int64
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(core.Report{Incarnation: 1 << 60, Seq: 1 << 20, Running: 40, Waiting: 3, Slots: 64, Model: "model-1", Version: "1", Role: "mixed", Fence: 900})
	})}
	go func() { _ = srv.Serve(countingListener{l, &n}) }()
	defer srv.Close()
	c, s := NewClient(nil), serverAt(b, l.Addr().String())
	reports := 0
	for b.Loop() {
		if _, err := c.Load(context.Background(), s); err != nil {
			b.Fatal(err)
		}
		reports++
	}
	b.ReportMetric(float64(n.Load())/float64(reports), "bytes")
}
