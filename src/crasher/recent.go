package crasher

import "time"

// recent remembers the contents that had a good answer lately, in two halves of which the older is dropped as a whole.
type recent struct {
	now, before map[Key]time.Time
	since       time.Time // when the newer half was begun
}

// add notes a good answer.
func (r *recent) add(now time.Time, k Key) {
	if r.now == nil || len(r.now) >= goodsMost {
		r.turnOver(now)
	}
	r.now[k] = now
}

// at is when a content had its last good answer, if that was lately.
func (r *recent) at(k Key) (time.Time, bool) {
	if at, ok := r.now[k]; ok {
		return at, true
	}
	at, ok := r.before[k]
	return at, ok
}

// sweep begins a new half when the newer one is old enough.
func (r *recent) sweep(now time.Time) {
	if now.Sub(r.since) >= goodsFor {
		r.turnOver(now)
	}
}

func (r *recent) turnOver(now time.Time) {
	r.now, r.before, r.since = map[Key]time.Time{}, r.now, now
}
