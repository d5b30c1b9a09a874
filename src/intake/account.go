// Package intake bounds what a box holds of the bodies of its callers' requests, for all callers together.
package intake

import (
	"io"
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
	_ = u.SetReadDeadline(time.Unix(1, 0)) // net/http would read on
}
