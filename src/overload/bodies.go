package overload

import (
	"io"
	"sync"
	"time"
)

// Bodies tracks the bodies of requests that callers have announced and the box has not read.
type Bodies struct {
	mu     sync.Mutex
	coming map[*Body]struct{}
}

// Body is a request's body that is tracked until it is read or released.
type Body struct {
	io.ReadCloser
	guard *Guard

	// State under the lock of Bodies.
	unread   int64
	read     int64
	progress time.Time // when the last bytes arrived
}

// AddBody tracks a body. A negative length is unknown and not counted.
func (g *Guard) AddBody(body io.ReadCloser, length int64) *Body {
	r := &Body{ReadCloser: body, guard: g, unread: length, progress: g.Meter.now()}
	if length <= 0 {
		return r
	}
	b := &g.Bodies
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.coming == nil {
		b.coming = map[*Body]struct{}{}
	}
	b.coming[r] = struct{}{}
	return r
}

// Read implements io.Reader.
func (r *Body) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	b := &r.guard.Bodies
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > 0 {
		r.read += int64(n)
		r.unread -= int64(n)
		r.progress = r.guard.Meter.now()
	}
	if r.unread <= 0 {
		delete(b.coming, r)
	}
	return n, err
}

// Release ends the tracking of a body that is not read further.
func (r *Body) Release() {
	b := &r.guard.Bodies
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.coming, r)
}

// expected returns the bytes of a body that are likely to come soon: an announcement alone says little, bytes that arrive say more,
// and a body that has stalled does not come.
func (r *Body) expected(now time.Time) int64 {
	if now.Sub(r.progress) > stalledAfter {
		return 0
	}
	return min(r.unread, firstExpected+expectedPerRead*r.read)
}

// takes returns the time that the expected bytes take on a link, 0 if its bandwidth is unknown.
func (b *Bodies) takes(now time.Time, mbps float64) time.Duration {
	if mbps <= 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var sum int64
	for r := range b.coming {
		sum += r.expected(now)
	}
	return time.Duration(float64(sum) * bitsPerByte / (mbps * bitsPerMegabit) * float64(time.Second))
}
