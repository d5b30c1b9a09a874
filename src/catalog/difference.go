package catalog

import "strconv"

// historySteps is how many changes of the list of servers a box can tell others apart from the list.
const historySteps = 64

// Difference turns one list of servers into another.
type Difference struct {
	Put  []Server `msgpack:"p,omitempty"`
	Gone []string `msgpack:"g,omitempty"`
}

// Diff gives what changed between two lists by id.
func Diff(before, after map[string]Server) Difference {
	var d Difference
	for id, s := range after {
		if old, ok := before[id]; !ok || !old.sameEntry(s) {
			d.Put = append(d.Put, s)
		}
	}
	for id := range before {
		if _, ok := after[id]; !ok {
			d.Gone = append(d.Gone, id)
		}
	}
	return d
}

// Apply changes a list.
func (d Difference) Apply(list map[string]Server) {
	for _, s := range d.Put {
		list[s.ID] = s
	}
	for _, id := range d.Gone {
		delete(list, id)
	}
}

// Digest names the content of a list, whatever its order.
func Digest(list map[string]Server) string {
	sum := uint64(0)
	for _, s := range list {
		sum += s.digest()
	}
	return strconv.FormatUint(sum, 36)
}

// digest names what an entry says. A server that says nothing of its life and has no fault has the digest that boxes of the
// earlier release give it: in a rolling upgrade all must agree.
func (s Server) digest() uint64 {
	words := []string{s.ID, s.Pool, s.Address, s.Domain, strconv.Itoa(s.Slots), strconv.FormatBool(s.Draining), strconv.FormatBool(s.Cold > 0)}
	if s.Incarnation != 0 || s.Fault != "" {
		words = append(words, strconv.FormatInt(int64(s.Incarnation), 36), s.Fault)
	}
	return Hash(words...)
}

// History holds the latest changes of a list, so that a box which holds a state of a moment ago is
// told the difference and not the whole list.
type History struct{ steps []historyStep }

type historyStep struct {
	from, to string // digests
	change   Difference
}

// Add notes a change between two digests.
func (h *History) Add(from, to string, change Difference) {
	if n := len(h.steps); n > 0 && h.steps[n-1].to != from {
		h.steps = nil
	}
	h.steps = append(h.steps, historyStep{from: from, to: to, change: change})
	if len(h.steps) > historySteps {
		h.steps = h.steps[1:]
	}
}

// Since gives what changed since the list had a digest; false when that is not known.
func (h *History) Since(digest string) (Difference, bool) {
	for i := len(h.steps) - 1; i >= 0; i-- {
		if h.steps[i].from == digest {
			return merge(h.steps[i:]), true
		}
	}
	return Difference{}, false
}

// merge joins changes that follow one another.
func merge(steps []historyStep) Difference {
	put, gone := map[string]Server{}, map[string]bool{}
	for _, s := range steps {
		for _, v := range s.change.Put {
			put[v.ID] = v
			delete(gone, v.ID)
		}
		for _, id := range s.change.Gone {
			delete(put, id)
			gone[id] = true
		}
	}
	var d Difference
	for _, s := range put {
		d.Put = append(d.Put, s)
	}
	for id := range gone {
		d.Gone = append(d.Gone, id)
	}
	return d
}
