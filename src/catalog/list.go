package catalog

import (
	"slices"
	"strconv"
	"strings"
)

// List is the list of backend servers that a box holds, as the platform lists them.
//
// Idea. Of thousands of servers one changes at a time. The list is changed in place, its digest is a sum from which an entry's is
// taken and to which another's is added, and an earlier state is known by what has changed since: for each entry what it
// said before. So the difference to a state of a moment ago is told, and one to such a state is taken, without a
// second copy of the list.
//
// Cost. A change costs what changed, in time and in memory. The steps together hold at most half as many entries as the list.
//
// Not safe for concurrent use.
type List struct {
	servers map[string]*Server
	sum     uint64            // of the entries' digests
	steps   []listStep        // the latest, the newest last
	undo    int               // entries in all steps
	words   map[string]string // one copy of each name that many entries share
}

// listStep is one change: the digest before it, and what the changed entries said then, nil for one that was not there.
type listStep struct {
	from string
	was  map[string]*Server
}

// Change is what a difference changed in a list.
type Change struct {
	Difference
	Before map[string]*Server // what the changed entries said before, nil for one that was not there
}

// NewList is empty.
func NewList() *List { return &List{servers: map[string]*Server{}, words: map[string]string{}} }

// Len counts the entries.
func (l *List) Len() int { return len(l.servers) }

// Get gives an entry, nil for none. It must not be changed.
func (l *List) Get(id string) *Server { return l.servers[id] }

// Servers lists the entries by id in order.
func (l *List) Servers() []Server {
	out := make([]Server, 0, len(l.servers))
	for _, s := range l.servers {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Digest names the content of the list.
func (l *List) Digest() string { return digestOf(l.sum) }

func digestOf(sum uint64) string { return strconv.FormatUint(sum, 36) }

// DigestAfter is the digest of the list as a difference makes it.
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

// digestOf is the digest of an entry, 0 where there is none.
func (l *List) digestOf(id string) uint64 {
	if s := l.servers[id]; s != nil {
		return s.digest()
	}
	return 0
}

// Becomes is the difference of the list to another.
func (l *List) Becomes(after map[string]Server) Difference {
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

// Rebase is the difference of the list to what a difference makes of an earlier state; false where that state is not known.
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

// stateAt gives what the entries that have changed since a state said then; false where the state is not known.
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

// Since is the difference of an earlier state to the list; false where that state is not known.
func (l *List) Since(digest string) (Difference, bool) {
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

// Held names the states that are known, the newest first, so many at most.
func (l *List) Held(most int) []string {
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

// Apply changes the list. The difference must not be changed any more.
func (l *List) Apply(d Difference) Change {
	c := Change{Difference: d, Before: make(map[string]*Server, len(d.Put)+len(d.Gone))}
	from, first := l.Digest(), len(l.servers) == 0
	for i := range d.Put {
		s := &d.Put[i]
		s.Pool, s.Domain = l.word(s.Pool), l.word(s.Domain)
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
		l.remember(listStep{from: from, was: c.Before})
	}
	return c
}

// remember keeps a step, and as many of those before it as the bounds allow.
func (l *List) remember(step listStep) {
	l.steps = append(l.steps, step)
	l.undo += len(step.was)
	for len(l.steps) > historySteps || len(l.steps) > 1 && l.undo > len(l.servers)/2 {
		l.undo -= len(l.steps[0].was)
		l.steps[0] = listStep{}
		l.steps = l.steps[1:]
	}
}

// mostWords bounds the names that are shared; an operator has tens of pools and failure domains.
const mostWords = 1000

// word gives the one copy of a name.
func (l *List) word(name string) string {
	if w, ok := l.words[name]; ok {
		return w
	}
	if len(l.words) < mostWords {
		l.words[name] = strings.Clone(name)
	}
	return name
}
