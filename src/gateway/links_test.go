package gateway

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// Parameters of the link model.
const (
	linkChunk      = 16 << 10               // bytes that a flow has in flight, as with a small window
	connectTimeout = 200 * time.Millisecond // the timeout for connections between boxes in src/peer
	storeName      = "store"
	storeRate      = 1000 // Mbit/s
	storeFactor    = 2.2  // size of a catalog in the store's answer relative to that between boxes: 1.05 MB to 0.486 MB for 4,249 pipelines
	bytesPerMbit   = 1e6 / 8
)

var errConnect = errors.New("the connection did not open in time")

// links gives each box's link a rate and a queue in each direction, in virtual time. Flows take turns chunk
// by chunk; heartbeats are not counted. A nil *links is unlimited.
type links struct {
	rate func(box string) float64 // Mbit/s

	mu    sync.Mutex
	out   map[string]time.Time // by address: until when the link is busy
	in    map[string]time.Time
	bytes map[string]int // received, by address
	sizes map[uint64]int // bytes of a catalog between boxes, by version
}

func newLinks(rate func(box string) float64) *links {
	return &links{rate: rate, out: map[string]time.Time{}, in: map[string]time.Time{}, bytes: map[string]int{}, sizes: map[uint64]int{}}
}

func (l *links) capacity(box string) core.Capacity {
	return core.Capacity{CPU: 1000, Link: uint32(l.rate(box))}
}

func (l *links) rateOf(address string) float64 {
	if address == storeName {
		return storeRate * bytesPerMbit
	}
	return l.rate(strings.TrimSuffix(address, ":1")) * bytesPerMbit
}

// enqueue puts bytes into both queues and returns when they will have arrived.
func (l *links) enqueue(from, to string, n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	took := func(address string) time.Duration {
		return time.Duration(float64(n) / l.rateOf(address) * float64(time.Second))
	}
	sent := latest(now, l.out[from]).Add(took(from))
	arrived := latest(now.Add(took(to)), l.in[to].Add(took(to)))
	arrived = latest(arrived, sent)
	l.out[from], l.in[to] = sent, arrived
	l.bytes[to] += n
	return arrived
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// carry sends bytes chunk by chunk; what was sent before the context ended has used the links.
func (l *links) carry(ctx context.Context, from, to string, n int) error {
	for sent := 0; sent < n; sent += linkChunk {
		arrived := l.enqueue(from, to, min(linkChunk, n-sent))
		if !wait(ctx, time.Until(arrived)) {
			return &port.InterruptedError{Got: sent, Want: n, Cause: ctx.Err()}
		}
	}
	return nil
}

// connect opens a connection: its packets wait in the queues like any others.
func (l *links) connect(ctx context.Context, from, to string) error {
	if l == nil {
		return nil
	}
	const packet = 60
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if !wait(ctx, time.Until(l.enqueue(from, to, packet))) || !wait(ctx, time.Until(l.enqueue(to, from, packet))) {
		return errConnect
	}
	return nil
}

func (l *links) carryAnswer(ctx context.Context, from, to string, a port.Answer) error {
	if l == nil {
		return nil
	}
	b, err := msgpack.Marshal(&a)
	if err != nil {
		return err
	}
	return l.carry(ctx, from, to, len(b))
}

// carryCatalog sends a catalog from the store to a box.
func (l *links) carryCatalog(ctx context.Context, to string, c *catalog.Catalog) error {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	n, ok := l.sizes[c.Version]
	l.mu.Unlock()
	if !ok {
		b, err := msgpack.Marshal(c)
		if err != nil {
			return err
		}
		n = len(b)
		l.mu.Lock()
		l.sizes[c.Version] = n
		l.mu.Unlock()
	}
	return l.carry(ctx, storeName, to, int(storeFactor*float64(n)))
}

// received returns the bytes that all boxes have received.
func (l *links) received() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0
	for _, n := range l.bytes {
		sum += n
	}
	return sum
}

// withRoutes returns a catalog of the next version with n more pipelines.
func withRoutes(c *catalog.Catalog, n int) *catalog.Catalog {
	out := *c
	out.Version++
	out.Pipelines = append([]catalog.Pipeline(nil), c.Pipelines...)
	for i := range n {
		h := catalog.Hash("route", fmt.Sprint(out.Version), fmt.Sprint(i))
		out.Pipelines = append(out.Pipelines, catalog.Pipeline{
			Name: fmt.Sprintf("r-%07x", h>>36), Host: fmt.Sprintf("%06x.example", h&0xffffff), Prefix: fmt.Sprintf("/%08x/", h>>16&0xffffffff),
			Kind: catalog.Repeatable, Timeout: 600 * time.Millisecond, Objective: 120 * time.Millisecond, Attempts: 2, Public: true,
			Targets: []catalog.Target{{Pool: "model", Weight: 1}},
		})
	}
	return &out
}

// arrivals waits until all boxes have a version and returns how long the last one took, or the limit and how
// many are without it by then.
func (f *testFleet) arrivals(version uint64, limit time.Duration) (last time.Duration, missing int) {
	began := time.Now()
	for time.Since(began) < limit {
		missing = 0
		f.mu.Lock()
		for address, g := range f.boxes {
			if !f.lost[address] && g.Version() < version {
				missing++
			}
		}
		f.mu.Unlock()
		if missing == 0 {
			return time.Since(began), 0
		}
		time.Sleep(10 * time.Millisecond)
	}
	return limit, missing
}
