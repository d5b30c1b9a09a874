package catalog

import (
	"maps"
)

// statesPerRevision is how many numbers a list's state has at one revision of the platform. Boxes of the earlier release
// number two, and in a rolling upgrade all must order theirs alike.
const statesPerRevision = 2

// Listing is the list of servers as one reader of the platform follows it: a whole read, then changes. It holds what the
// platform lists and nothing else, since other boxes take it under the platform's revision. Not safe for concurrent use.
type Listing struct {
	listed  map[string]Server
	changed bool // since Servers was called last
}

// Replace takes a whole read.
func (l *Listing) Replace(read []Server) {
	l.changed = true
	l.listed = make(map[string]Server, len(read))
	for _, s := range read {
		l.listed[s.ID] = s
	}
}

// Put notes that a server's entry was written.
func (l *Listing) Put(s Server) {
	l.changed = true
	if l.listed == nil { // a change before the first whole read must not end the process
		l.listed = map[string]Server{}
	}
	l.listed[s.ID] = s
}

// Remove notes that a server's entry was removed.
func (l *Listing) Remove(id string) {
	l.changed = true
	delete(l.listed, id)
}

// Servers gives the servers by id.
func (l *Listing) Servers() map[string]Server {
	l.changed = false
	return maps.Clone(l.listed)
}

// Changed says whether the list differs from what Servers gave last.
func (l *Listing) Changed() bool { return l.changed }

// StateAt numbers the list of a revision of the platform. A box takes the later of two.
func StateAt(revision uint64) uint64 { return revision*statesPerRevision + statesPerRevision - 1 }

// RevisionOf is the platform's revision of a state.
func RevisionOf(state uint64) uint64 { return state / statesPerRevision }
