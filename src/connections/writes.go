package connections

import (
	"sync"
	"time"
)

// slowAfter is the time for which a write must have been blocked before it may be cut off. A caller on a slow link that
// reads takes less for the few kilobytes of one write.
const slowAfter = 500 * time.Millisecond

// Writes tracks the writes to callers that have not completed, and bounds the bytes held for them in a box as a whole:
// beyond it, the write that has held the most bytes for the longest time is cut off. A caller that reads is never cut
// off, whatever others hold, so the limit may be exceeded by what began within slowAfter. Set the exported fields before use.
type Writes struct {
	Limit    int64            // bytes held for all callers together; 0 for no limit
	Overhead int64            // bytes that each blocked write holds besides its data
	Cut      func(held int64) // called for each write that is cut off; may be nil
	Wanted   func() int64     // returns bytes for which others wait until writes give them back; may be nil
	Exceeded func() bool      // reports whether an answer was granted more than the limit; the largest write may exceed it then; may be nil

	mu     sync.Mutex
	held   int64
	ending int64 // bytes of writes that were cut off and have not returned
	open   map[*Write]struct{}
	cuts   int64
}

// Write is one write to a caller.
type Write struct {
	writes *Writes
	bytes  int64
	began  time.Time
	cut    func()
	ending bool // it was cut off
	done   bool
}

// Begin records that bytes are about to be written to a caller. cut must make the write fail; it is called at most once,
// from another goroutine. End must be called when the write returns.
func (w *Writes) Begin(now time.Time, bytes int, cut func()) *Write {
	v := &Write{writes: w, bytes: int64(bytes) + w.Overhead, began: now, cut: cut}
	w.mu.Lock()
	if w.open == nil {
		w.open = map[*Write]struct{}{}
	}
	w.open[v] = struct{}{}
	w.held += v.bytes
	w.mu.Unlock()
	w.Enforce(now)
	return v
}

// Enforce cuts off writes until the rest is within the limit. Begin does so too; call it also periodically, since a write
// becomes slow while it is blocked.
func (w *Writes) Enforce(now time.Time) {
	var wanted int64
	if w.Wanted != nil {
		wanted = w.Wanted()
	}
	exceeded := w.Exceeded != nil && w.Exceeded()
	w.mu.Lock()
	limit := w.Limit
	if exceeded {
		limit += w.largest()
	}
	victims := w.overLimit(now, min(limit, w.held-max(0, wanted-w.ending)))
	w.mu.Unlock()
	for _, s := range victims {
		s.cut()
		if w.Cut != nil {
			w.Cut(s.bytes)
		}
	}
}

// End records that the write returned.
func (v *Write) End() {
	v.writes.mu.Lock()
	defer v.writes.mu.Unlock()
	v.writes.remove(v)
	if v.ending {
		v.ending = false
		v.writes.ending -= v.bytes
	}
}

// remove ends the count of a write.
func (w *Writes) remove(v *Write) {
	if !v.done {
		v.done = true
		w.held -= v.bytes
		delete(w.open, v)
	}
}

// largest returns the bytes that the largest write holds.
func (w *Writes) largest() int64 {
	var n int64
	for v := range w.open {
		n = max(n, v.bytes)
	}
	return n
}

// overLimit removes and returns the writes to cut off so that the rest is within the limit.
func (w *Writes) overLimit(now time.Time, limit int64) []*Write {
	var out []*Write
	for w.Limit > 0 && w.held > limit {
		var worst *Write
		for v := range w.open {
			if now.Sub(v.began) >= slowAfter && (worst == nil || v.weight(now) > worst.weight(now)) {
				worst = v
			}
		}
		if worst == nil {
			break
		}
		w.remove(worst)
		worst.ending = true
		w.ending += worst.bytes
		w.cuts++
		out = append(out, worst)
	}
	return out
}

// weight returns the bytes that a write holds times the time for which it has held them.
func (v *Write) weight(now time.Time) float64 { return float64(v.bytes) * now.Sub(v.began).Seconds() }

// Status is the state of the writes to callers.
type Status struct {
	Open int   `json:"open"`       // writes that have not completed
	Held int64 `json:"held_bytes"` // for them
	Cut  int64 `json:"cut"`        // writes cut off since the start
}

// Status returns the state of the writes.
func (w *Writes) Status() Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Status{Open: len(w.open), Held: w.held, Cut: w.cuts}
}
