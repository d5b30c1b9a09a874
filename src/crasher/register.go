// Package crasher knows requests that crash the servers which run them. Its one door is Register: it takes what boxes see
// (exchanges that broke, servers that ended, good answers) and judges a content before it is sent.
//
// Idea. A broken exchange is no crash, and of a crash all that ran beside the guilty request are suspects. So what counts
// is the end of a server's life, proven by a refused connection or by the list of servers, while a content ran there: each life
// once, whoever saw it. The guilty content is the one that is there each time and never has a good answer; a good answer clears
// a content at all boxes. From the second end on it is run apart from others, after the third it is refused for a time.
//
// Every box holds all that is known and tells the others what changed: what a box adds, lives and the latest good answer, only
// grows, so that notes may come twice, late or in any order.
//
// Pure: time comes in. Not safe for concurrent use.
package crasher

import (
	"cmp"
	"slices"
	"time"
)

// Verdict says what speaks against a content at a pool.
type Verdict struct {
	Ends   int           // lives of servers that ended under it and for which no good answer makes up
	Seen   int           // the same, with those for which one does
	Barred bool          // it is not to be sent
	Left   time.Duration // until it may be tried again, when it is barred
}

// Register holds what one box knows of contents that may crash servers. The zero value is ready.
type Register struct {
	entries map[Key]*entry
	broken  map[Life][]breakage
	ended   map[Life]time.Time
	goods   recent
	turn    int // of the notes told again
}

// entry is a content with an end against it.
type entry struct {
	ends    []end // by time
	goodAt  time.Time
	changed time.Time
}

// end is the end of a server's life under a content.
type end struct {
	life Life
	at   time.Time
}

// breakage is an exchange that broke, of which it is not known whether its server ended.
type breakage struct {
	key Key
	at  time.Time
}

// Counted is a content against which a server's end was counted.
type Counted struct {
	Key     Key
	Verdict Verdict
}

// Broke takes that exchanges of contents with one life of a server broke. It gives those against which that counts already.
func (r *Register) Broke(now time.Time, life Life, keys ...Key) []Counted {
	if at, known := r.ended[life]; known && now.Sub(at) <= proofWindow {
		return r.countAll(now, life, breakagesAt(now, keys))
	}
	if r.broken == nil {
		r.broken = map[Life][]breakage{}
	}
	list, known := r.broken[life]
	if !known && len(r.broken) >= brokenMost {
		return nil
	}
	list = append(list, breakagesAt(now, keys)...)
	r.broken[life] = list[:min(len(list), keysPerLife)]
	return nil
}

func breakagesAt(now time.Time, keys []Key) []breakage {
	out := make([]breakage, len(keys))
	for i, k := range keys {
		out[i] = breakage{key: k, at: now}
	}
	return out
}

// Ended takes that a life of a server has ended, other than as planned. It gives the contents against which that counts.
func (r *Register) Ended(now time.Time, life Life) []Counted {
	if r.ended == nil {
		r.ended = map[Life]time.Time{}
	}
	if _, known := r.ended[life]; !known {
		r.ended[life] = now
	}
	list := r.broken[life]
	delete(r.broken, life)
	return r.countAll(now, life, list)
}

func (r *Register) countAll(now time.Time, life Life, list []breakage) []Counted {
	var out []Counted
	for _, b := range list {
		if now.Sub(b.at) > proofWindow || !r.count(now, b.key, end{life: life, at: b.at}) {
			continue
		}
		out = append(out, Counted{Key: b.key, Verdict: r.Judge(now, b.key)})
	}
	return out
}

// count adds an end to a content; false when it was known. Of two words on one life the earlier moment holds.
func (r *Register) count(now time.Time, k Key, x end) bool {
	e := r.get(now, k)
	known := slices.IndexFunc(e.ends, func(o end) bool { return o.life == x.life })
	switch {
	case known < 0:
		e.ends = append(e.ends, x)
	case x.at.Before(e.ends[known].at):
		e.ends[known].at = x.at
	}
	slices.SortFunc(e.ends, func(a, b end) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.life, b.life)) })
	if known >= 0 {
		return false
	}
	e.ends = e.ends[max(0, len(e.ends)-endsKept):]
	if at, ok := r.goods.at(k); ok && at.After(e.goodAt) {
		e.goodAt = at
	}
	e.changed = now
	return true
}

// get gives the entry of a content, made when there is none. A full table drops what has the least against it.
func (r *Register) get(now time.Time, k Key) *entry {
	if r.entries == nil {
		r.entries = map[Key]*entry{}
	}
	e := r.entries[k]
	if e != nil {
		return e
	}
	if len(r.entries) >= entriesMost {
		r.evict()
	}
	e = &entry{changed: now}
	r.entries[k] = e
	return e
}

// evict drops the content with the fewest ends, of those the one whose last end is longest ago.
func (r *Register) evict() {
	var least Key
	var worst *entry
	for k, e := range r.entries {
		if worst == nil || e.counted() < worst.counted() || e.counted() == worst.counted() && e.last().Before(worst.last()) {
			least, worst = k, e
		}
	}
	delete(r.entries, least)
}

// Good takes that a content had a good answer.
func (r *Register) Good(now time.Time, k Key) (cleared bool) {
	r.goods.add(now, k)
	e := r.entries[k]
	if e == nil {
		return false
	}
	cleared = e.counted() > 0
	e.goodAt = now
	if cleared {
		e.changed = now
	}
	return cleared
}

// Judge says what speaks against a content now.
func (r *Register) Judge(now time.Time, k Key) Verdict {
	e := r.entries[k]
	if e == nil {
		return Verdict{}
	}
	n := e.counted()
	v := Verdict{Ends: n, Seen: len(e.ends)}
	if left := e.last().Add(barFor(n)).Sub(now); n >= barFrom && left > 0 {
		v.Barred, v.Left = true, left
	}
	return v
}

// Empty says whether nothing speaks against any content.
func (r *Register) Empty() bool { return len(r.entries) == 0 }

// counted is how many ends no good answer makes up for.
func (e *entry) counted() int {
	from := e.goodAt.Add(goodHolds)
	n := 0
	for _, x := range e.ends {
		if e.goodAt.IsZero() || x.at.After(from) {
			n++
		}
	}
	return n
}

func (e *entry) last() time.Time {
	if len(e.ends) == 0 {
		return e.goodAt
	}
	return e.ends[len(e.ends)-1].at
}

// barFor is how long a content with so many ends is refused after the last.
func barFor(ends int) time.Duration {
	if ends < barFrom {
		return 0
	}
	return min(barMost, barFirst<<min(ends-barFrom, endsKept))
}

// Sweep forgets what is over.
func (r *Register) Sweep(now time.Time) {
	for k, e := range r.entries {
		if now.Sub(e.last()) > max(suspectLife, 2*barFor(e.counted())) {
			delete(r.entries, k)
		}
	}
	for life, at := range r.ended {
		if now.Sub(at) > proofWindow {
			delete(r.ended, life)
		}
	}
	for life, list := range r.broken {
		if now.Sub(list[len(list)-1].at) > proofWindow {
			delete(r.broken, life)
		}
	}
	r.goods.sweep(now)
}
