package intake

import (
	"context"
	"math"
)

// Room is what one thing that grows and shrinks holds in an account. Each method must have returned before the next one is called.
type Room struct {
	hold  *Hold
	bytes int64
}

// Room returns room without bytes. Release must be called.
func (a *Account) Room() *Room { return &Room{hold: a.open(func() {})} }

// Resize changes the room to n bytes. More is waited for as for a body; the error is ErrNoRoom if there is none.
func (r *Room) Resize(ctx context.Context, n int64) error {
	switch {
	case n > r.bytes:
		if err := r.hold.take(ctx, n-r.bytes, maxWait); err != nil {
			r.hold.account.count(err)
			return err
		}
	case n < r.bytes:
		r.hold.give(r.bytes - n)
	}
	r.bytes = n
	return nil
}

// Release gives the room back.
func (r *Room) Release() {
	r.bytes = 0
	r.hold.give(math.MaxInt64)
}
