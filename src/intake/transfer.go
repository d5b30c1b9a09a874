package intake

import (
	"context"
	"errors"
	"io"
	"math"
	"time"
)

// firstPart is the size of the first part of a body of unknown length, in bytes. Each further one doubles it.
const firstPart = 16 << 10

// ErrTooLarge is returned for a body that is longer than allowed.
var ErrTooLarge = errors.New("the body is longer than allowed")

// Transfer is a body that its sender may still be sending. Nothing of it is read before Account.Receive. Set the exported fields
// before use.
type Transfer struct {
	Body   io.Reader
	Length int64 // as announced, negative if unknown
	// Expects is whether the sender waits to be told to continue, so that it sends nothing after a refusal.
	Expects bool
	// SetReadDeadline sets the deadline of reads of Body, as http.ResponseController does; nil if they end by themselves.
	SetReadDeadline func(time.Time) error
	SetUnread       func(bytes int64) // called with the room for bytes that have not been read, and with 0 when no more of it is read; may be nil

	read     int64 // bytes
	whole    bool
	hold     *Hold           // nil before Account.Receive
	ctx      context.Context // of Receive
	patience time.Duration   // of waits for room
}

// readerFunc is a function that reads.
type readerFunc func([]byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// From returns the transfer of a body that is read by a function until its end. A length of 0 is unknown.
func From(read func([]byte) (int, error), length int64) *Transfer {
	if length <= 0 {
		length = -1
	}
	return &Transfer{Body: readerFunc(read), Length: length}
}

// Whole reports whether the body was read to its end.
func (t *Transfer) Whole() bool { return t.whole || t.Length == 0 }

// Received returns the number of bytes read so far.
func (t *Transfer) Received() int64 { return t.read }

// Release gives back the room that the body has in the account that received it.
func (t *Transfer) Release() {
	if t.hold != nil {
		t.hold.give(math.MaxInt64)
	}
}

// end makes reads of the body fail.
func (t *Transfer) end() { _ = t.setDeadline(time.Unix(1, 0)) }

// setDeadline sets the deadline of reads; the zero time is none.
func (t *Transfer) setDeadline(at time.Time) error {
	if t.SetReadDeadline == nil {
		return nil
	}
	return t.SetReadDeadline(at)
}

// take waits for room for n further bytes, of which fresh are for bytes that have not been read.
func (t *Transfer) take(n, fresh int64) error {
	err := t.hold.take(t.ctx, n, t.patience)
	if err == nil {
		t.setUnread(fresh)
	}
	return err
}

// setUnread passes on for how many bytes that have not been read there is room.
func (t *Transfer) setUnread(bytes int64) {
	if t.SetUnread != nil {
		t.SetUnread(bytes)
	}
}

// readAll reads the whole body, of which at most most bytes are allowed.
func (t *Transfer) readAll(most int64) ([]byte, error) {
	if t.Length > most {
		return nil, ErrTooLarge
	}
	if t.Length >= 0 {
		return t.readLength()
	}
	return t.readChunks(most)
}

// readLength reads a body of known length.
func (t *Transfer) readLength() ([]byte, error) {
	if err := t.take(t.Length, t.Length); err != nil {
		return nil, err
	}
	body := make([]byte, t.Length)
	n, err := io.ReadFull(t.Body, body)
	t.read, t.whole = int64(n), err == nil
	return body[:n], err
}

// readChunks reads a body of unknown length. It reads one byte beyond the limit, enough to detect the excess.
func (t *Transfer) readChunks(most int64) ([]byte, error) {
	first := min(firstPart, most+1)
	if err := t.take(first, first); err != nil {
		return nil, err
	}
	body := make([]byte, 0, first)
	for {
		n, err := t.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		t.read = int64(len(body))
		switch {
		case t.read > most:
			return nil, ErrTooLarge
		case err == io.EOF:
			t.whole = true
			return body, nil
		case err != nil:
			return nil, err
		}
		if len(body) == cap(body) {
			if body, err = t.grow(body, min(2*int64(cap(body)), most+1)); err != nil {
				return nil, err
			}
		}
	}
}

// grow returns a copy of a body with another capacity.
func (t *Transfer) grow(body []byte, capacity int64) ([]byte, error) {
	before := int64(cap(body))
	if err := t.take(capacity, capacity-before); err != nil {
		return nil, err
	}
	body = append(make([]byte, 0, capacity), body...)
	t.hold.give(before)
	return body, nil
}
