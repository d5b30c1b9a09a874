package crasher

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"
)

// Note is a box's report on a content. Times are sent as ages, since clocks differ.
type Note struct {
	Key  Key           `msgpack:"k"`
	Ends []EndNote     `msgpack:"e"`
	Good time.Duration `msgpack:"g,omitempty"` // age of the latest good response, 0 for none
}

// EndNote reports a crash of a server while it ran a content.
type EndNote struct {
	Life Incarnation   `msgpack:"l"`
	Age  time.Duration `msgpack:"a"`
}

// News returns the notes that changed within newsPeriod, for all boxes, those with the most crashes first. It includes only
// contents with at least two crashes; those with one are reported to two counter boxes (see Counters). Otherwise, when
// half a pool fails with a thousand running requests, each box would receive notes on all of them: 44 and 60 kB/s per box
// with 6 and 61 boxes over 12 s, instead of 3.6 and 1.5 kB/s (simulated).
func (r *Register) News(now time.Time) []Note {
	if len(r.entries) == 0 {
		return nil
	}
	keys := r.keys(func(e *entry) bool { return len(e.crashes) >= IsolationThreshold && now.Sub(e.changed) < newsPeriod })
	return r.notes(now, keys[:min(len(keys), maxNews)])
}

// NotesOf returns the notes on the given contents that are known.
func (r *Register) NotesOf(now time.Time, keys []Key) []Note {
	var known []Key
	for _, k := range keys {
		if r.entries[k] != nil {
			known = append(known, k)
		}
	}
	return r.notes(now, known)
}

// Notes returns the news and a rotating selection of the older notes, for boxes that joined later or missed the news.
func (r *Register) Notes(now time.Time) []Note {
	out := r.News(now)
	keys := r.keys(func(e *entry) bool { return e.uncleared() >= IsolationThreshold && now.Sub(e.changed) >= newsPeriod })
	if len(keys) == 0 {
		return out
	}
	if r.rotation >= len(keys) {
		r.rotation = 0
	}
	turn := keys[r.rotation:min(len(keys), r.rotation+maxRepeatedNotes)]
	r.rotation += maxRepeatedNotes
	return append(out, r.notes(now, turn)...)
}

// Counters returns the counter boxes of a content, chosen from boxes by rendezvous hashing: they add up the crashes that
// all boxes observed. There are two so that one may be lost.
func Counters(k Key, boxes []string) []string {
	ranked := slices.SortedFunc(slices.Values(boxes), func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(k, b), rank(k, a)), cmp.Compare(a, b))
	})
	return ranked[:min(len(ranked), counterBoxes)]
}

// rank returns the rendezvous hash of a box for a key.
func rank(k Key, box string) uint64 {
	sum := sha256.Sum256(append(k[:], box...))
	return binary.BigEndian.Uint64(sum[:])
}

// keys returns the contents for which a condition holds, those with the most crashes first.
func (r *Register) keys(holds func(*entry) bool) []Key {
	var out []Key
	for k, e := range r.entries {
		if holds(e) {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b Key) int {
		return cmp.Or(cmp.Compare(r.entries[b].uncleared(), r.entries[a].uncleared()), bytes.Compare(a[:], b[:]))
	})
	return out
}

func (r *Register) notes(now time.Time, keys []Key) []Note {
	var out []Note
	for _, k := range keys {
		e := r.entries[k]
		n := Note{Key: k, Ends: make([]EndNote, len(e.crashes))}
		for i, x := range e.crashes {
			n.Ends[i] = EndNote{Life: x.incarnation, Age: now.Sub(x.at)}
		}
		if !e.goodAt.IsZero() {
			n.Good = max(1, now.Sub(e.goodAt))
		}
		out = append(out, n)
	}
	return out
}

// Merge merges the notes of another box. It returns the contents whose verdict may have changed, which is news for other
// boxes.
func (r *Register) Merge(now time.Time, notes []Note) []Counted {
	var out []Counted
	for _, n := range notes[:min(len(notes), MaxNotes)] {
		if r.mergeNote(now, n) {
			out = append(out, Counted{Key: n.Key, Verdict: r.Check(now, n.Key)})
		}
	}
	return out
}

// mergeNote merges one note and reports whether it changed anything.
func (r *Register) mergeNote(now time.Time, n Note) bool {
	changed := false
	for _, x := range n.Ends[:min(len(n.Ends), maxEnds)] {
		if x.Age >= 0 && x.Age < maxBarTime && r.addCrash(now, n.Key, crash{incarnation: x.Life, at: now.Add(-x.Age)}) {
			changed = true
		}
	}
	e := r.entries[n.Key]
	if e == nil || n.Good <= 0 {
		return changed
	}
	if at := now.Add(-n.Good); at.After(e.goodAt) {
		before := e.uncleared()
		e.goodAt = at
		if e.uncleared() != before {
			e.changed, changed = now, true
		}
	}
	return changed
}
