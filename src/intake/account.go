// Package intake bounds what a box holds of the bodies of requests and answers, for all callers together.
package intake

import (
	"context"
	"errors"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Room for bodies.
const (
	smallBody    = 64 << 10               // bytes, up to which a body may use all of the room
	largeShare   = 7.0 / 8                // of the room that larger bodies may use together
	evictAfter   = time.Second            // for which a body may be coming before it gives way to others
	maxWait      = 900 * time.Millisecond // for room; callers give a request up that was not read within a second
	waitShare    = 0.3                    // of the time that a request has, which it may wait for room
	wakeInterval = 100 * time.Millisecond // between attempts of a waiting body to make room
)

// Reading of bodies that are not used.
const (
	discardFor  = time.Second // at most, of one body
	maxDiscards = 32          // bodies at the same time
)

// Errors of bodies for which there is no room.
var (
	ErrNoRoom  = errors.New("the box has no memory for the body")
	ErrEvicted = errors.New("the body took too long and gave way to others")
)

// Account is the memory that a box has for bodies. A body takes the room for its announced size before
// any of it is read, and a body of unknown size takes more as it grows; its request gives the room back when it ends. While there is
// none, bodies wait, the smallest first, and those that have been coming for long give way, first the one that has held
// most for longest. Whole bodies keep their room. Set the exported fields before use.
type Account struct {
	Limit int64            // bytes for all bodies together, 0 for no limit
	Firm  bool             // bodies do not give way, and others wait for them for as long as they have
	Now   func() time.Time // nil for time.Now

	discards atomic.Int64
	mu       sync.Mutex
	held     int64
	ending   int64              // of it, by bodies that gave way and whose readers have not returned
	coming   map[*Hold]struct{} // bodies that have room and are not whole
	waiting  []*waiter          // the smallest first, those of one size in order of arrival
	refused  int64
	evicted  int64
	late     int64
}

// Status is the state of an account.
type Status struct {
	Held    int64 `json:"held_bytes"`
	Coming  int   `json:"coming"`  // bodies that have room and are not whole
	Waiting int   `json:"waiting"` // bodies that wait for room
	Refused int64 `json:"refused"` // for want of room, since the start
	Evicted int64 `json:"evicted"` // bodies that gave way to others, since the start
	Late    int64 `json:"late"`    // bodies that did not come in time, since the start
}

// Status returns the current state.
func (a *Account) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Status{Held: a.held, Coming: len(a.coming), Waiting: len(a.waiting), Refused: a.refused, Evicted: a.evicted, Late: a.late}
}

// Receive reads a whole body, of which at most most bytes are allowed. The error is os.ErrDeadlineExceeded if it does not come by a
// time, or before the context ends, and ErrNoRoom or ErrEvicted if there is no room for it. The room is given back by Release.
func (a *Account) Receive(ctx context.Context, t *Transfer, most int64, by time.Time) ([]byte, error) {
	if t.Length == 0 {
		return nil, nil
	}
	if err := t.setDeadline(by); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, t.end)
	t.hold = a.open(t.end)
	t.ctx, t.patience = ctx, time.Until(by)
	if !a.Firm {
		t.patience = min(maxWait, time.Duration(waitShare*float64(t.patience)))
	}
	body, err := t.readAll(most)
	if !stop() && err == nil && t.SetReadDeadline != nil { // its deadline may have passed
		err = os.ErrDeadlineExceeded
	}
	if !t.hold.settle(err == nil) {
		err = ErrEvicted
	}
	t.setUnread(0)
	if err == nil {
		err = t.setDeadline(time.Time{})
	}
	if err != nil {
		t.Release()
	}
	a.count(err)
	return body, err
}

// Wanted returns the bytes for which bodies wait.
func (a *Account) Wanted() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	var n int64
	for _, w := range a.waiting {
		n += w.bytes
	}
	return n
}

// Exceeded reports whether the bodies hold more than the limit, as one that is firm may.
func (a *Account) Exceeded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Limit > 0 && a.held > a.Limit
}

// count counts how a body ended.
func (a *Account) count(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case errors.Is(err, ErrNoRoom):
		a.refused++
	case errors.Is(err, ErrEvicted):
		a.evicted++
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.late++
	}
}

// Discard reads what is left of a body whose request has been answered, up to most bytes and for a short time, so that a caller
// that sends its whole body before it reads gets the response. Afterwards nothing of the body can be read.
func (a *Account) Discard(t *Transfer, most int64) {
	if t.Whole() {
		return
	}
	if a.discards.Add(1) <= maxDiscards && !t.Expects && t.setDeadline(time.Now().Add(discardFor)) == nil {
		if t.Length >= 0 {
			most = min(most, t.Length-t.read)
		}
		n, _ := io.CopyN(io.Discard, t.Body, most)
		t.read += n
	}
	a.discards.Add(-1)
	t.end() // net/http would read on
}

func (a *Account) now() time.Time {
	if a.Now == nil {
		return time.Now()
	}
	return a.Now()
}
