// Package returning decides about callers that were refused because of load and return.
//
// A Register holds, at one box for each content, when the first attempt of a refused caller was and what it was told, so
// that the box that the caller returns to counts its objective from its first attempt. Promises hold the future capacity
// of a pool, from which the retry-after times of refusals are taken. Neither does I/O or reads a clock.
package returning

import (
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/crasher"
)

// Register holds the refused callers of the contents that a box is the registrar of, bounded in entries, bytes and time.
// The zero value is empty. It is not safe for concurrent use.
type Register struct {
	entries map[crasher.Content][]entry
	count   int
	order   []arrival // entries in the order of their arrival; those taken since are left in it
	next    uint64
}

// entry is a refused caller.
type entry struct {
	number   uint64
	pipeline uint64
	first    time.Time // its first attempt
	due      time.Time // when it was told to return
	deadline time.Time
	promised bool
	refusals int
}

// arrival is an entry's place in the order of arrival.
type arrival struct {
	content crasher.Content
	number  uint64
	until   time.Time
}

// Record records a refused caller and reports whether the refusal made sense. If the register is full, the oldest entry
// is dropped.
func (r *Register) Record(now time.Time, f Refusal) bool {
	if !f.valid() {
		return false
	}
	if r.entries == nil {
		r.entries = map[crasher.Content][]entry{}
	}
	r.Sweep(now)
	for r.count >= min(maxEntries, maxBytes/entryBytes) {
		r.drop(r.order[0])
		r.order = r.order[1:]
	}
	r.next++
	e := entry{number: r.next, pipeline: f.Pipeline, first: now.Add(-f.Age), due: now.Add(f.After), deadline: now.Add(f.Left), promised: f.Promised, refusals: f.Refusals}
	same := r.entries[f.Content]
	if len(same) == maxSame {
		same = slices.Delete(same, 0, 1)
		r.count--
	}
	r.entries[f.Content] = append(same, e)
	r.count++
	r.order = append(r.order, arrival{f.Content, e.number, now.Add(min(f.Left, maxTime-f.Age))})
	return true
}

// Take returns what is known of a caller and drops its entry: whoever of several callers with the same content returns
// first uses the entry of the one whose first attempt is the oldest. An entry older than the time that the caller states
// is used only if their deadlines agree, as it would make a new caller with the same content late by another one's clock.
func (r *Register) Take(now time.Time, q Query) Record {
	r.Sweep(now)
	same := r.entries[q.Content]
	best := -1
	for i, e := range same {
		if e.pipeline == q.Pipeline && e.record(now).fits(q.Left) && (best < 0 || e.first.Before(same[best].first)) {
			best = i
		}
	}
	if best < 0 {
		return Record{}
	}
	e := same[best]
	r.remove(q.Content, best)
	return e.record(now)
}

// record returns what is known of the caller now.
func (e entry) record(now time.Time) Record {
	early := e.due.Sub(now)
	if early <= earlyTolerance {
		early = 0
	}
	return Record{Refusals: e.refusals, Age: now.Sub(e.first), Left: e.deadline.Sub(now), Early: early, Promised: e.promised}
}

// Sweep drops the entries whose time is over.
func (r *Register) Sweep(now time.Time) {
	taken := 0
	for taken < len(r.order) && (!now.Before(r.order[taken].until) || !r.holds(r.order[taken])) {
		r.drop(r.order[taken])
		taken++
	}
	r.order = r.order[taken:]
	if len(r.order) > 2*maxEntries { // mostly entries taken since
		r.order = slices.DeleteFunc(slices.Clone(r.order), func(a arrival) bool { return !r.holds(a) })
	}
	if len(r.order) == 0 {
		r.order = nil
	}
}

// Len returns the number of entries.
func (r *Register) Len() int { return r.count }

func (r *Register) index(a arrival) int {
	return slices.IndexFunc(r.entries[a.content], func(e entry) bool { return e.number == a.number })
}

func (r *Register) holds(a arrival) bool { return r.index(a) >= 0 }

func (r *Register) drop(a arrival) {
	if i := r.index(a); i >= 0 {
		r.remove(a.content, i)
	}
}

func (r *Register) remove(c crasher.Content, i int) {
	same := slices.Delete(r.entries[c], i, i+1)
	r.count--
	if len(same) == 0 {
		delete(r.entries, c)
		return
	}
	r.entries[c] = same
}
