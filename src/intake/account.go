// Package intake bounds what a box holds of the bodies of its callers' requests, for all callers together.
package intake

import (
	"context"
	"io"
	"os"
	"sync/atomic"
	"time"
)

// Reading of bodies that are not used.
const (
	discardFor  = time.Second // at most, of one body
	maxDiscards = 32          // bodies at the same time
)

// Account is the box's account of its callers' bodies. The zero value is ready to use.
type Account struct {
	discards atomic.Int64
}

// Receive reads a whole body, of which at most most bytes are allowed. The error is os.ErrDeadlineExceeded if it does not come by a
// time, or before the context ends.
func (a *Account) Receive(ctx context.Context, u *Upload, most int64, by time.Time) ([]byte, error) {
	if u.Length == 0 {
		return nil, nil
	}
	if err := u.SetReadDeadline(by); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, u.end)
	body, err := u.Read(most)
	if !stop() && err == nil {
		err = os.ErrDeadlineExceeded
	}
	if err == nil {
		err = u.SetReadDeadline(time.Time{})
	}
	return body, err
}

// Discard reads what is left of a body whose request has been answered, up to most bytes and for a short time, so that a caller
// that sends its whole body before it reads gets the response. Afterwards nothing of the body can be read.
func (a *Account) Discard(u *Upload, most int64) {
	if u.Whole() {
		return
	}
	if a.discards.Add(1) <= maxDiscards && u.SetReadDeadline(time.Now().Add(discardFor)) == nil {
		if u.Length >= 0 {
			most = min(most, u.Length-u.read)
		}
		n, _ := io.CopyN(io.Discard, u.Body, most)
		u.read += n
	}
	a.discards.Add(-1)
	u.end() // net/http would read on
}
