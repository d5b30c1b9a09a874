package catalog

// Listing is the list of servers as maintained by a box that reads the platform: a full read, then single
// changes. It contains exactly what the platform lists, since other boxes adopt it under the platform's
// revision. Not safe for concurrent use.
type Listing struct {
	listed  map[string]Server
	sum     uint64          // of the entries' digests
	base    string          // digest at the last call of Changes, "" for never or before a full read
	since   map[string]bool // ids that were written or removed since then
	changed bool            // since then
}

// Replace replaces the list with the result of a full read.
func (l *Listing) Replace(read []Server) {
	l.changed, l.base, l.since = true, "", nil
	l.listed, l.sum = make(map[string]Server, len(read)), 0
	for i := range read {
		l.put(read[i])
	}
}

// Put adds or replaces the entry of a server.
func (l *Listing) Put(s Server) {
	if l.listed == nil { // a change may arrive before the first full read
		l.listed = map[string]Server{}
	}
	l.note(s.ID)
	l.put(s)
}

func (l *Listing) put(s Server) {
	l.drop(s.ID)
	l.listed[s.ID] = s
	l.sum += s.digest()
}

// Remove removes the entry of a server.
func (l *Listing) Remove(id string) {
	l.note(id)
	l.drop(id)
}

func (l *Listing) drop(id string) {
	if old, ok := l.listed[id]; ok {
		l.sum -= old.digest()
		delete(l.listed, id)
	}
}

func (l *Listing) note(id string) {
	l.changed = true
	if l.since == nil {
		l.since = map[string]bool{}
	}
	l.since[id] = true
}

// Digest identifies the content of the list.
func (l *Listing) Digest() string { return digestOf(l.sum) }

// Changes returns the difference since its last call and the digest of the list at that call, "" if anything
// may have changed.
func (l *Listing) Changes() (base string, d Difference) {
	base = l.base
	for id := range l.since {
		if s, ok := l.listed[id]; ok {
			d.Put = append(d.Put, s)
		} else {
			d.Gone = append(d.Gone, id)
		}
	}
	l.changed, l.base, l.since = false, l.Digest(), nil
	return base, d
}

// Servers returns the servers by id. The map must not be changed and is valid until the next change.
func (l *Listing) Servers() map[string]Server { return l.listed }

// Changed reports whether the list was changed since the last call of Changes.
func (l *Listing) Changed() bool { return l.changed }
