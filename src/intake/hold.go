package intake

import (
	"context"
	"os"
	"slices"
	"time"
)

// Hold is the room of one body in an account.
type Hold struct {
	account *Account
	bytes   int64
	since   time.Time
	cut     func() // makes reads of the body fail
	evicted bool
}

// waiter is a body that waits for room.
type waiter struct {
	hold    *Hold
	bytes   int64
	granted chan struct{} // closed when it has room
}

// open returns a hold without room. cut must make reads of its body fail; it is called from another goroutine when the hold is
// evicted.
func (a *Account) open(cut func()) *Hold { return &Hold{account: a, cut: cut} }

// take waits for room for further bytes, until the context ends at the latest.
func (h *Hold) take(ctx context.Context, n int64, patience time.Duration) error {
	a := h.account
	a.mu.Lock()
	if h.evicted {
		a.mu.Unlock()
		return ErrEvicted
	}
	if (len(a.waiting) == 0 || a.waiting[0].bytes > n) && a.fits(h, n) {
		a.grant(h, n, a.now())
		a.mu.Unlock()
		return nil
	}
	w := &waiter{hold: h, bytes: n, granted: make(chan struct{})}
	a.enqueue(w)
	victims := a.serve(a.now())
	a.mu.Unlock()
	cutAll(victims)
	for waited := time.Duration(0); ; waited += wakeInterval {
		if h.wait(ctx, w, min(wakeInterval, patience-waited)) {
			return nil
		}
		a.mu.Lock()
		victims := a.serve(a.now())
		i := slices.Index(a.waiting, w)
		ended := waited+wakeInterval >= patience || h.evicted || ctx.Err() != nil
		if i >= 0 && ended {
			a.waiting = slices.Delete(a.waiting, i, i+1)
		}
		evicted := h.evicted
		a.mu.Unlock()
		cutAll(victims)
		switch {
		case evicted:
			return ErrEvicted
		case i >= 0 && ctx.Err() != nil:
			return os.ErrDeadlineExceeded
		case i >= 0 && ended:
			return ErrNoRoom
		}
	}
}

// wait waits for a time until a waiter has its room, and reports whether it has.
func (h *Hold) wait(ctx context.Context, w *waiter, d time.Duration) bool {
	select {
	case <-w.granted:
		return true
	default:
	}
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-w.granted:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// settle records that a body is whole, or that it will not be. It returns false if the hold was evicted before.
func (h *Hold) settle(whole bool) bool {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if whole && !h.evicted {
		delete(a.coming, h)
	}
	return !h.evicted
}

// give gives back room for n bytes, all of it if there is less.
func (h *Hold) give(n int64) {
	a := h.account
	a.mu.Lock()
	n = min(n, h.bytes)
	h.bytes -= n
	a.held -= n
	if h.evicted {
		a.ending -= n
	}
	if h.bytes == 0 {
		delete(a.coming, h)
	}
	victims := a.serve(a.now())
	a.mu.Unlock()
	cutAll(victims)
}

// cutAll ends the reads of evicted bodies.
func cutAll(victims []*Hold) {
	for _, h := range victims {
		h.cut()
	}
}

// enqueue adds a waiter behind those that want no more than it does. The caller holds the lock.
func (a *Account) enqueue(w *waiter) {
	at, _ := slices.BinarySearchFunc(a.waiting, w.bytes, func(other *waiter, bytes int64) int {
		if other.bytes <= bytes {
			return -1
		}
		return 1
	})
	a.waiting = slices.Insert(a.waiting, at, w)
}

// serve gives room to those that wait, as far as there is any, and returns the holds that it evicts for them. The caller holds
// the lock.
func (a *Account) serve(now time.Time) (victims []*Hold) {
	for len(a.waiting) > 0 {
		i := slices.IndexFunc(a.waiting, func(w *waiter) bool { return w.hold.evicted || a.fits(w.hold, w.bytes) })
		if i < 0 {
			if w := a.waiting[0]; a.fitsBeside(w.hold, w.bytes, a.held-a.ending) {
				return victims // as soon as what was evicted is given back
			}
			v := a.worst(now, a.waiting[0])
			if v == nil {
				return victims
			}
			a.evict(v)
			victims = append(victims, v)
			continue
		}
		w := a.waiting[i]
		a.waiting = slices.Delete(a.waiting, i, i+1)
		if !w.hold.evicted { // its own wait ends it
			a.grant(w.hold, w.bytes, now)
			close(w.granted)
		}
	}
	return victims
}

// grant gives a hold room for n further bytes. The caller holds the lock.
func (a *Account) grant(h *Hold, n int64, now time.Time) {
	if h.bytes == 0 {
		h.since = now
	}
	h.bytes += n
	a.held += n
	if a.coming == nil {
		a.coming = map[*Hold]struct{}{}
	}
	a.coming[h] = struct{}{}
}

// fits reports whether there is room for n further bytes of a hold. Of firm bodies one may exceed the room, so that those of unknown length
// do not all wait for each other. The caller holds the lock.
func (a *Account) fits(h *Hold, n int64) bool {
	if a.Firm && (h.bytes+n <= firstPart || a.held-h.bytes <= a.Limit) {
		return true
	}
	return a.fitsBeside(h, n, a.held)
}

// fitsBeside reports whether there is room for n further bytes of a hold if held bytes are taken, with its own. A body that is larger than
// all of the room has it while no other has any. The caller holds the lock.
func (a *Account) fitsBeside(h *Hold, n, held int64) bool {
	room := a.Limit
	if h.bytes+n > smallBody && !a.Firm {
		room = int64(largeShare * float64(a.Limit))
	}
	return a.Limit <= 0 || held+n <= room || held == h.bytes
}

// worst returns the hold to evict for a waiter, nil if all that may be evicted would not make room for it. The caller holds the lock.
func (a *Account) worst(now time.Time, w *waiter) *Hold {
	if a.Firm {
		return nil
	}
	var worst *Hold
	held := a.held - a.ending
	for h := range a.coming {
		if h == w.hold || now.Sub(h.since) < evictAfter {
			continue
		}
		held -= h.bytes
		if worst == nil || h.weight(now) > worst.weight(now) {
			worst = h
		}
	}
	if !a.fitsBeside(w.hold, w.bytes, held) {
		return nil
	}
	return worst
}

// weight returns the bytes that a hold has times the time for which it has had them.
func (h *Hold) weight(now time.Time) float64 { return float64(h.bytes) * now.Sub(h.since).Seconds() }

// evict has a hold give way. Its room counts until it is given back, since its reader uses the memory until then. The caller holds the
// lock.
func (a *Account) evict(h *Hold) {
	h.evicted = true
	a.ending += h.bytes
	delete(a.coming, h)
}
