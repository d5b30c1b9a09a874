package crasher

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Note is what one box tells another of a content. Times travel as ages, since clocks differ.
type Note struct {
	Key  Key           `msgpack:"k"`
	Ends []EndNote     `msgpack:"e"`
	Good time.Duration `msgpack:"g,omitempty"` // age of the latest good answer, 0 when none is known
}

// EndNote is the end of a server's life under a content.
type EndNote struct {
	Life Life          `msgpack:"l"`
	Age  time.Duration `msgpack:"a"`
}

// News are the notes that changed a moment ago, those with most against them first.
func (r *Register) News(now time.Time) []Note {
	if len(r.entries) == 0 {
		return nil
	}
	keys := r.keys(func(e *entry) bool { return now.Sub(e.changed) < freshFor })
	return r.notes(now, keys[:min(len(keys), notesMost)])
}

// Notes are the news and, by turns, some of all that is known: for boxes that joined since or missed the news.
func (r *Register) Notes(now time.Time) []Note {
	out := r.News(now)
	keys := r.keys(func(e *entry) bool { return e.counted() > 0 && now.Sub(e.changed) >= freshFor })
	if len(keys) == 0 {
		return out
	}
	if r.turn >= len(keys) {
		r.turn = 0
	}
	turn := keys[r.turn:min(len(keys), r.turn+repairs)]
	r.turn += repairs
	return append(out, r.notes(now, turn)...)
}

// keys lists the contents for which a condition holds, those with the most ends first.
func (r *Register) keys(holds func(*entry) bool) []Key {
	var out []Key
	for k, e := range r.entries {
		if holds(e) {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b Key) int {
		return cmp.Or(cmp.Compare(r.entries[b].counted(), r.entries[a].counted()), bytes.Compare(a[:], b[:]))
	})
	return out
}

func (r *Register) notes(now time.Time, keys []Key) []Note {
	var out []Note
	for _, k := range keys {
		e := r.entries[k]
		n := Note{Key: k, Ends: make([]EndNote, len(e.ends))}
		for i, x := range e.ends {
			n.Ends[i] = EndNote{Life: x.life, Age: now.Sub(x.at)}
		}
		if !e.goodAt.IsZero() {
			n.Good = max(1, now.Sub(e.goodAt))
		}
		out = append(out, n)
	}
	return out
}

// Hear takes the notes of another box. It gives the contents of which this box now thinks otherwise: that is news to
// others.
func (r *Register) Hear(now time.Time, notes []Note) []Counted {
	var out []Counted
	for _, n := range notes[:min(len(notes), notesMost+repairs)] {
		if r.hear(now, n) {
			out = append(out, Counted{Key: n.Key, Verdict: r.Judge(now, n.Key)})
		}
	}
	return out
}

// hear takes one note; true when it told something new.
func (r *Register) hear(now time.Time, n Note) bool {
	changed := false
	for _, x := range n.Ends[:min(len(n.Ends), endsKept)] {
		if x.Age >= 0 && x.Age < barMost && r.count(now, n.Key, end{life: x.Life, at: now.Add(-x.Age)}) {
			changed = true
		}
	}
	e := r.entries[n.Key]
	if e == nil || n.Good <= 0 {
		return changed
	}
	if at := now.Add(-n.Good); at.After(e.goodAt) {
		before := e.counted()
		e.goodAt = at
		if e.counted() != before {
			e.changed, changed = now, true
		}
	}
	return changed
}
