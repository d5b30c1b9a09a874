package intake

import (
	"errors"
	"io"
	"math"
	"time"
)

// firstPart is the size of the first part of a body of unknown length, in bytes. Each further one doubles it.
const firstPart = 16 << 10

// ErrTooLarge is returned for a body that is longer than allowed.
var ErrTooLarge = errors.New("the body is longer than allowed")

// Upload is the body of a request that its caller may still be sending. Nothing of it is read before Account.Receive. Set the
// exported fields before use.
type Upload struct {
	Body   io.Reader
	Length int64 // as announced, negative if unknown
	// SetReadDeadline sets the deadline of reads of Body, as http.ResponseController does.
	SetReadDeadline func(time.Time) error

	read     int64 // bytes
	whole    bool
	hold     *Hold         // nil before Account.Receive
	patience time.Duration // of waits for room
}

// Whole reports whether the body was read to its end.
func (u *Upload) Whole() bool { return u.whole || u.Length == 0 }

// Received returns the number of bytes read so far.
func (u *Upload) Received() int64 { return u.read }

// Release gives back the room that the body has in the account that received it.
func (u *Upload) Release() {
	if u.hold != nil {
		u.hold.give(math.MaxInt64)
	}
}

// end makes reads of the body fail.
func (u *Upload) end() { _ = u.SetReadDeadline(time.Unix(1, 0)) }

// readAll reads the whole body, of which at most most bytes are allowed.
func (u *Upload) readAll(most int64) ([]byte, error) {
	if u.Length > most {
		return nil, ErrTooLarge
	}
	if u.Length >= 0 {
		return u.readLength()
	}
	return u.readChunks(most)
}

// readLength reads a body of known length.
func (u *Upload) readLength() ([]byte, error) {
	if err := u.hold.take(u.Length, u.patience); err != nil {
		return nil, err
	}
	body := make([]byte, u.Length)
	n, err := io.ReadFull(u.Body, body)
	u.read, u.whole = int64(n), err == nil
	return body[:n], err
}

// readChunks reads a body of unknown length. It reads one byte beyond the limit, enough to detect the excess.
func (u *Upload) readChunks(most int64) ([]byte, error) {
	if err := u.hold.take(min(firstPart, most+1), u.patience); err != nil {
		return nil, err
	}
	body := make([]byte, 0, min(firstPart, most+1))
	for {
		n, err := u.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		u.read = int64(len(body))
		switch {
		case u.read > most:
			return nil, ErrTooLarge
		case err == io.EOF:
			u.whole = true
			return body, nil
		case err != nil:
			return nil, err
		}
		if len(body) == cap(body) {
			if body, err = u.grow(body, min(2*int64(cap(body)), most+1)); err != nil {
				return nil, err
			}
		}
	}
}

// grow returns a copy of a body with another capacity.
func (u *Upload) grow(body []byte, capacity int64) ([]byte, error) {
	if err := u.hold.take(capacity, u.patience); err != nil {
		return nil, err
	}
	before := int64(cap(body))
	body = append(make([]byte, 0, capacity), body...)
	u.hold.give(before)
	return body, nil
}
