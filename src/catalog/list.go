package catalog

import (
	"slices"
	"strconv"
	"strings"
)

// List is the list of backend servers that a box holds, as published by the platform.
//
// Usually one of thousands of servers changes at a time. The list is therefore changed in place, its digest
// is the sum of the digests of its entries, and earlier states are kept as an undo log with the previous
// value of each changed entry. This gives the difference from a recent state, and applies a difference to
// such a state, without a second copy of the list.
//
// A change takes time and memory in proportion to what changed. The undo log holds at most half as many
// entries as the list.
//
// Not safe for concurrent use.
type List struct {
	servers  map[string]*Server
	sum      uint64            // of the entries' digests
	steps    []listStep        // undo log, the newest step last
	undo     int               // entries in all steps
	interned map[string]string // interned names of pools and failure domains
}

// listStep is one step of the undo log: the digest before the change and the previous values of the changed
// entries, nil for one that did not exist.
type listStep struct {
	from string
	was  map[string]*Server
}

// Change is a difference that was applied to a list, with the previous values.
type Change struct {
	Difference
	Before map[string]*Server // previous values of the changed entries, nil for one that did not exist
}

// NewList returns an empty list.
func NewList() *List { return &List{servers: map[string]*Server{}, interned: map[string]string{}} }

// Len returns the number of entries.
func (l *List) Len() int { return len(l.servers) }

// Get returns an entry, nil for none. It must not be changed.
func (l *List) Get(id string) *Server { return l.servers[id] }

// Servers returns the entries sorted by id.
func (l *List) Servers() []Server {
	out := make([]Server, 0, len(l.servers))
	for _, s := range l.servers {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Digest identifies the content of the list.
func (l *List) Digest() string { return digestOf(l.sum) }

func digestOf(sum uint64) string { return strconv.FormatUint(sum, 36) }

// DigestAfter returns the digest that the list would have after a difference.
func (l *List) DigestAfter(d Difference) string {
	sum := l.sum
	for i := range d.Put {
		sum += d.Put[i].digest() - l.digestOf(d.Put[i].ID)
	}
	for _, id := range d.Gone {
		sum -= l.digestOf(id)
	}
	return digestOf(sum)
}

// digestOf returns the digest of an entry, 0 if there is none.
func (l *List) digestOf(id string) uint64 {
	if s := l.servers[id]; s != nil {
		return s.digest()
	}
	return 0
}

// DifferenceTo returns the difference that turns the list into another.
func (l *List) DifferenceTo(after map[string]Server) Difference {
	var d Difference
	for id, s := range after {
		if old := l.servers[id]; old == nil || !old.sameEntry(s) {
			d.Put = append(d.Put, s)
		}
	}
	for id := range l.servers {
		if _, ok := after[id]; !ok {
			d.Gone = append(d.Gone, id)
		}
	}
	return d
}

// Rebase takes a difference that is based on an earlier state and returns the one that brings the current
// list to the same result; false if that state is not in the undo log.
func (l *List) Rebase(base string, since Difference) (Difference, bool) {
	target, known := l.stateAt(base)
	if !known {
		return Difference{}, false
	}
	for i := range since.Put {
		target[since.Put[i].ID] = &since.Put[i]
	}
	for _, id := range since.Gone {
		target[id] = nil
	}
	var d Difference
	for id, s := range target {
		old := l.servers[id]
		switch {
		case s == nil && old != nil:
			d.Gone = append(d.Gone, id)
		case s != nil && (old == nil || !old.sameEntry(*s)):
			d.Put = append(d.Put, *s)
		}
	}
	return d, true
}

// stateAt returns the values that the entries changed since a state had then; false if the state is not in
// the undo log.
func (l *List) stateAt(digest string) (map[string]*Server, bool) {
	was := map[string]*Server{}
	if digest == l.Digest() {
		return was, true
	}
	for _, step := range slices.Backward(l.steps) {
		for id, s := range step.was {
			was[id] = s
		}
		if step.from == digest {
			return was, true
		}
	}
	return nil, false
}

// DifferenceSince returns the difference from an earlier state to the list; false if that state is not in the
// undo log.
func (l *List) DifferenceSince(digest string) (Difference, bool) {
	was, known := l.stateAt(digest)
	if !known {
		return Difference{}, false
	}
	var d Difference
	for id := range was {
		if s := l.servers[id]; s != nil {
			d.Put = append(d.Put, *s)
		} else {
			d.Gone = append(d.Gone, id)
		}
	}
	return d, true
}

// KnownDigests returns the digests of the known states, the newest first, at most so many.
func (l *List) KnownDigests(most int) []string {
	out := []string{l.Digest()}
	for _, step := range slices.Backward(l.steps) {
		if len(out) >= most {
			break
		}
		if !slices.Contains(out, step.from) {
			out = append(out, step.from)
		}
	}
	return out
}

// Apply changes the list. The list keeps the difference, which must not be changed afterwards.
func (l *List) Apply(d Difference) Change {
	c := Change{Difference: d, Before: make(map[string]*Server, len(d.Put)+len(d.Gone))}
	from, first := l.Digest(), len(l.servers) == 0
	for i := range d.Put {
		s := &d.Put[i]
		s.Pool, s.Domain, s.Build = l.intern(s.Pool), l.intern(s.Domain), l.intern(s.Build)
		c.Before[s.ID] = l.servers[s.ID]
		l.sum += s.digest() - l.digestOf(s.ID)
		l.servers[s.ID] = s
	}
	for _, id := range d.Gone {
		c.Before[id] = l.servers[id]
		l.sum -= l.digestOf(id)
		delete(l.servers, id)
	}
	if !first {
		l.recordStep(listStep{from: from, was: c.Before})
	}
	return c
}

// recordStep appends a step to the undo log and drops the oldest steps beyond its bounds.
func (l *List) recordStep(step listStep) {
	l.steps = append(l.steps, step)
	l.undo += len(step.was)
	for len(l.steps) > historySteps || len(l.steps) > 1 && l.undo > len(l.servers)/2 {
		l.undo -= len(l.steps[0].was)
		l.steps[0] = listStep{}
		l.steps = l.steps[1:]
	}
}

// maxInterned bounds the interned names; an operator has tens of pools and failure domains.
const maxInterned = 1000

// intern returns the shared copy of a name.
func (l *List) intern(name string) string {
	if shared, ok := l.interned[name]; ok {
		return shared
	}
	if len(l.interned) < maxInterned {
		l.interned[name] = strings.Clone(name)
	}
	return name
}
