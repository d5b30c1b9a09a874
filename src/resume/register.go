package resume

import (
	"maps"
	"time"
)

// register holds the origins that other boxes reported.
type register struct {
	entries map[Stream]entry
	sweepAt time.Time
}

type entry struct {
	origin Origin
	until  time.Time
}

// record records an origin and reports whether it did. A full register takes no more, so that the reporter tells another
// box.
func (r *register) record(now time.Time, b Began) bool {
	if !b.valid() {
		return false
	}
	if r.entries == nil {
		r.entries = map[Stream]entry{}
	}
	r.sweep(now)
	before, known := r.entries[b.Stream]
	if !known && len(r.entries) >= maxEntries {
		return false
	}
	e := entry{origin: b.Origin, until: now.Add(b.Left)}
	if known && now.Before(before.until) {
		e.origin = before.origin.merge(b.Origin)
	}
	r.entries[b.Stream] = e
	return true
}

// find returns the origin of a stream, false if it is not known.
func (r *register) find(now time.Time, s Stream) (Origin, bool) {
	e, ok := r.entries[s]
	return e.origin, ok && now.Before(e.until)
}

// sweep drops the entries whose time is over, once a second.
func (r *register) sweep(now time.Time) {
	if now.Before(r.sweepAt) {
		return
	}
	r.sweepAt = now.Add(time.Second)
	maps.DeleteFunc(r.entries, func(_ Stream, e entry) bool { return !now.Before(e.until) })
}
