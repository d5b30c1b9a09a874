package intake

import (
	"context"
	"os"
	"time"
)

// Admit takes room for a body of at most n bytes, receives it by a function and gives the room back. The error is that of Receive if
// there is no room or if the body does not come in time; the function is abandoned then and must end when the caller's
// connection or stream does.
func (a *Account) Admit(ctx context.Context, n int64, by time.Time, receive func() error) error {
	cut := make(chan struct{})
	h := a.open(func() { close(cut) })
	if err := h.take(ctx, n, min(maxWait, time.Until(by))); err != nil {
		a.count(err)
		return err
	}
	received := make(chan error, 1)
	go func() { received <- receive() }()
	late := time.NewTimer(time.Until(by))
	defer late.Stop()
	var err error
	select {
	case err = <-received:
	case <-cut:
		err = ErrEvicted
	case <-late.C:
		err = os.ErrDeadlineExceeded
	case <-ctx.Done():
		err = ctx.Err()
	}
	h.settle(err == nil)
	h.give(n)
	a.count(err)
	return err
}
