package overload

import (
	"io"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Bodies counts the bytes of requests' bodies that callers have announced and the box has not read.
type Bodies struct{ unread atomic.Int64 }

// Body is a request's body that is counted until it is read or released.
type Body struct {
	io.ReadCloser
	bodies *Bodies

	mu     sync.Mutex // a handler may end while its body is read
	unread int64
}

// Add counts a body. A negative length is unknown and not counted.
func (b *Bodies) Add(body io.ReadCloser, length int64) *Body {
	length = max(0, length)
	b.unread.Add(length)
	return &Body{ReadCloser: body, bodies: b, unread: length}
}

// Read implements io.Reader.
func (r *Body) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	r.count(int64(n))
	return n, err
}

// Release ends the count of a body that is not read further.
func (r *Body) Release() { r.count(math.MaxInt64) }

// count takes n bytes off what is unread, all if there are fewer.
func (r *Body) count(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n = min(n, r.unread)
	r.unread -= n
	r.bodies.unread.Add(-n)
}

// takes returns the time that the unread bytes take on a link, 0 if its bandwidth is unknown.
func (b *Bodies) takes(mbps float64) time.Duration {
	if mbps <= 0 {
		return 0
	}
	return time.Duration(float64(b.unread.Load()) * bitsPerByte / (mbps * bitsPerMegabit) * float64(time.Second))
}
