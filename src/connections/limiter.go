package connections

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"time"
)

// Times of connections that may be closed for others.
const (
	settleTime = 5 * time.Millisecond   // at least, so that what a client sends at once arrives and is read
	unreadTime = 100 * time.Millisecond // at most, where bytes have arrived that this box has not had the processor to read
)

// Limiter bounds the connections of a port whose clients are unknown, and the bytes that were read from them. Beyond the bounds it
// closes the oldest connection, and the one that has held most bytes for longest, unless no other holds any. Bytes count until Remove or
// Close, and the others wait for those of closed connections. Set the exported fields before use.
type Limiter struct {
	Most  int   // connections, 0 for no limit
	Bytes int64 // read from all of them, 0 for no limit
	// Unread reports whether bytes have arrived on a connection that were not read; nil if that is unknown.
	Unread func(net.Conn) bool

	mu      sync.Mutex
	open    list.List // of *Limited, the oldest first
	bytes   int64
	change  *sync.Cond
	closed  int64
	closing int // of the open ones, those that were closed for others and are not removed yet

	closingBytes int64 // of those
}

// LimiterStatus is the state of a limiter.
type LimiterStatus struct {
	Open   int   `json:"open"`       // connections
	Bytes  int64 `json:"held_bytes"` // read from them, if they are bounded
	Closed int64 `json:"closed"`     // connections closed for others, since the start
}

// Limited is a connection that a limiter counts until it is removed or closed.
type Limited struct {
	net.Conn
	limiter *Limiter
	at      *list.Element // nil once it is not counted
	since   time.Time
	bytes   int64
	closing bool // it was closed for others
}

// Add counts a connection. If there are too many, it closes the oldest without unread bytes, for which it waits up to unreadTime.
func (l *Limiter) Add(c net.Conn) *Limited {
	for {
		now := time.Now()
		l.mu.Lock()
		victim, wait := l.oldest(now)
		if wait <= 0 {
			l.close(victim)
			added := &Limited{Conn: c, limiter: l, since: now}
			added.at = l.open.PushBack(added)
			l.mu.Unlock()
			victim.end()
			return added
		}
		l.mu.Unlock()
		time.Sleep(wait)
	}
}

// oldest returns the connection to close before another one is added, nil for none. If that is too early, it returns how long to
// wait. The caller holds the lock.
func (l *Limiter) oldest(now time.Time) (victim *Limited, wait time.Duration) {
	if l.Most <= 0 || l.open.Len()-l.closing < l.Most {
		return nil, 0
	}
	for e := l.open.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Limited)
		age := now.Sub(c.since)
		switch {
		case c.closing:
		case age < settleTime:
			return nil, settleTime - age
		case age >= unreadTime || l.Unread == nil || !l.Unread(c.Conn):
			return c, 0
		}
	}
	return nil, settleTime
}

// heaviest returns the connection that has held most bytes for longest if all hold too many, nil for none. The caller holds the lock.
func (l *Limiter) heaviest(now time.Time) *Limited {
	held := l.bytes - l.closingBytes
	if l.Bytes <= 0 || held <= l.Bytes {
		return nil
	}
	var victim *Limited
	for e := l.open.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Limited); !c.closing && (victim == nil || c.weight(now) > victim.weight(now)) {
			victim = c
		}
	}
	if victim.bytes == held {
		return nil
	}
	return victim
}

// close counts a connection as one that is closed for others; nil for none. The caller holds the lock, and calls end without it.
func (l *Limiter) close(c *Limited) {
	if c == nil {
		return
	}
	c.closing = true
	l.closing++
	l.closingBytes += c.bytes
	l.closed++
	l.changed().Broadcast()
}

// weight returns the bytes that a connection holds times the time for which it has been open.
func (c *Limited) weight(now time.Time) float64 {
	return float64(c.bytes) * (settleTime + now.Sub(c.since)).Seconds()
}

// drop stops counting a connection. The caller holds the lock.
func (l *Limiter) drop(c *Limited) {
	if c.at == nil {
		return
	}
	l.open.Remove(c.at)
	c.at = nil
	l.bytes -= c.bytes
	if c.closing {
		l.closing--
		l.closingBytes -= c.bytes
	}
	l.changed().Broadcast()
}

// changed returns the condition that a connection is closed for others or not counted any more. The caller holds the lock.
func (l *Limiter) changed() *sync.Cond {
	if l.change == nil {
		l.change = sync.NewCond(&l.mu)
	}
	return l.change
}

// counts reports whether bytes that are read from a connection count. The caller holds the lock.
func (c *Limited) counts() bool { return c.limiter.Bytes > 0 && c.at != nil && !c.closing }

// await waits while the bytes of closed connections, whose readers have not returned yet, are those that are too many. The caller
// holds the lock.
func (c *Limited) await() {
	for l := c.limiter; c.counts() && l.closingBytes > 0 && l.bytes > l.Bytes; {
		l.changed().Wait()
	}
}

// Status returns the current state.
func (l *Limiter) Status() LimiterStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LimiterStatus{Open: l.open.Len() - l.closing, Bytes: l.bytes, Closed: l.closed}
}

// Listen returns a listener whose connections are counted until they are closed.
func (l *Limiter) Listen(inner net.Listener) net.Listener { return limitedListener{inner, l} }

type limitedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.limiter.Add(c), nil
}

// Read implements net.Conn.
func (c *Limited) Read(b []byte) (int, error) {
	l := c.limiter
	l.mu.Lock()
	c.await()
	l.mu.Unlock()
	n, err := c.Conn.Read(b)
	var victim *Limited
	l.mu.Lock()
	if c.counts() {
		c.bytes += int64(n)
		l.bytes += int64(n)
		victim = l.heaviest(time.Now())
		l.close(victim)
	}
	l.mu.Unlock()
	victim.end()
	return n, err
}

// Remove stops counting the connection, whose client is known now.
func (c *Limited) Remove() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.drop(c)
}

// Close implements net.Conn.
func (c *Limited) Close() error {
	c.Remove()
	return c.Conn.Close()
}

// end closes a connection for others; nil for none.
func (c *Limited) end() {
	if c != nil {
		_ = c.Conn.Close()
	}
}

// CloseWrite closes the writing side; net/http does so before it closes a connection with unread bytes, which resets it.
func (c *Limited) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}
