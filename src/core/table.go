package core

import (
	"math/bits"
	"slices"
	"time"
)

// TableNote is one step of the anti-entropy exchange that makes the member tables of two boxes equal.
//
// Every heartbeat carries the digest of its sender's table. A box that sees a different digest answers with
// the digests of its buckets. The sender then lists the versions of its entries in the buckets that differ.
// The other box sends the entries that are missing from the list or differ, and names those that it lacks
// itself. A new box thus learns the fleet in a few exchanges, while a single change still spreads with
// heartbeats.
//
// Equal tables cost 8 bytes per heartbeat. An exchange costs about 9 bytes for each entry of the differing
// buckets, plus the entries themselves, at most entriesPerNote each way.
type TableNote struct {
	Buckets  []uint64 `msgpack:"b,omitempty"` // digests of the sender's buckets
	Compared uint64   `msgpack:"c,omitempty"` // bit set of the buckets that Versions lists completely
	Versions []uint64 `msgpack:"v,omitempty"` // of the sender's entries: hash of the name in the upper half, hash of the state in the lower
	Entries  []Rumour `msgpack:"e,omitempty"`
	Wanted   []uint32 `msgpack:"w,omitempty"` // name hashes of the entries that the sender lacks or has in another version
}

// tableBuckets is the number of buckets in which tables are compared.
const tableBuckets = 64

// nameHash returns the hash that assigns a name to a bucket and identifies it in versions.
func nameHash(name string) uint32 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return uint32(mix64(h) >> 32)
}

// mix64 is a 64-bit finalizer that spreads a number over all its bits.
func mix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// version returns the short form of an entry: two entries of one name are equal if their versions are.
func version(name uint32, id BoxID, round uint64, state MemberState) uint64 {
	said := mix64(mix64(id.Incarnation) + 31*round + uint64(state))
	return uint64(name)<<32 | said>>32
}

// tableEntry is one member that is not dead, or this box itself, in the form in which tables are compared.
type tableEntry struct {
	name    string
	hash    uint32
	version uint64
}

func (t tableEntry) bucket() int { return int(t.hash % tableBuckets) }

// comparedTable caches the table and its digest until an entry changes.
type comparedTable struct {
	entries []tableEntry
	digest  uint64
	stale   bool
	self    uint64 // version of this box's own entry in it
}

// table lists the entries of all members that are not dead: this box first, then the others sorted by name.
func (m *Members) table() []tableEntry {
	hash := nameHash(m.Self.ID.Name)
	self := tableEntry{m.Self.ID.Name, hash, version(hash, m.Self.ID, m.Self.Round, m.Self.State)}
	t := &m.compared
	if t.entries != nil && !t.stale && t.self == self.version {
		return t.entries
	}
	t.entries = m.list(self)
	t.stale, t.self, t.digest = false, self.version, 0
	for _, e := range t.entries {
		t.digest ^= mix64(e.version)
	}
	return t.entries
}

func (m *Members) list(self tableEntry) []tableEntry {
	out := make([]tableEntry, 0, len(m.names)+1)
	out = append(out, self)
	for _, n := range m.names {
		e := m.all[n]
		if e.state != MemberDead && e.id.Incarnation != 0 {
			out = append(out, tableEntry{n, e.hash, version(e.hash, e.id, e.round, e.state)})
		}
	}
	return out
}

// Digest returns the digest of the table; equal tables have equal digests.
func (m *Members) Digest() uint64 {
	m.table()
	return m.compared.digest
}

// buckets returns the digest of each bucket of the table.
func (m *Members) buckets() []uint64 {
	out := make([]uint64, tableBuckets)
	for _, t := range m.table() {
		out[t.bucket()] ^= mix64(t.version)
	}
	return out
}

// reconcile processes one step of an exchange and returns the next one, or nil when it is complete.
func (m *Members) reconcile(now time.Time, t *TableNote) *TableNote {
	m.mergeEntries(now, t.Entries)
	out := &TableNote{}
	if len(t.Buckets) == tableBuckets {
		m.listDifferingBuckets(t.Buckets, out)
	}
	if t.Compared != 0 {
		m.answerVersions(now, t, out)
	}
	if len(t.Wanted) > 0 {
		out.Entries = append(out.Entries, m.entriesByHash(now, t.Wanted)...)
	}
	if out.Compared == 0 && len(out.Entries) == 0 && len(out.Wanted) == 0 {
		return nil
	}
	return out
}

// mergeEntries applies the entries of another table. Many new ones mean that the fleet is forming.
func (m *Members) mergeEntries(now time.Time, entries []Rumour) {
	learned := 0
	for _, r := range entries {
		if m.mergeRumour(now, r, byTable) {
			learned++
		}
	}
	if learned >= formingThreshold {
		m.extendForming(now.Add(formingExtension))
	}
}

// listDifferingBuckets lists the versions of the entries in the buckets that differ.
func (m *Members) listDifferingBuckets(theirs []uint64, out *TableNote) {
	for i, own := range m.buckets() {
		if own != theirs[i] {
			out.Compared |= 1 << i
		}
	}
	for _, t := range m.table() {
		if out.Compared&(1<<t.bucket()) != 0 {
			out.Versions = append(out.Versions, t.version)
		}
	}
}

// answerVersions answers a list of versions with the entries that the other box lacks or has in another
// version, and with the names of those that this box lacks.
func (m *Members) answerVersions(now time.Time, t *TableNote, out *TableNote) {
	theirs := make(map[uint32]uint64, len(t.Versions))
	for _, v := range t.Versions {
		theirs[uint32(v>>32)] = v
	}
	var give []string
	for _, own := range m.table() {
		if t.Compared&(1<<own.bucket()) == 0 {
			continue
		}
		if theirs[own.hash] == own.version {
			delete(theirs, own.hash)
			continue
		}
		give = append(give, own.name)
	}
	give = append(give, m.recentDeaths(now, theirs)...)
	out.Entries = append(out.Entries, m.entries(now, m.sample(give))...)
	for _, v := range t.Versions { // not in map order, so that runs are reproducible
		if _, differs := theirs[uint32(v>>32)]; differs {
			out.Wanted = append(out.Wanted, uint32(v>>32))
		}
	}
	out.Wanted = out.Wanted[:min(len(out.Wanted), entriesPerNote)]
}

// recentDeaths lists the members that the other box believes alive and that died recently in this box's view.
// While a partition heals it lists none, because both sides consider the other's boxes dead.
func (m *Members) recentDeaths(now time.Time, theirs map[uint32]uint64) []string {
	if m.recentlyHealed(now) {
		return nil
	}
	var out []string
	for _, n := range m.names {
		e := m.all[n]
		if e.state != MemberDead || now.Sub(e.since) > deathGossipPeriod {
			continue
		}
		if _, differs := theirs[e.hash]; differs {
			out = append(out, n)
		}
	}
	return out
}

// sample limits a list to entriesPerNote names from a random position on, so that boxes that ask at the
// same time get different parts to pass on.
func (m *Members) sample(names []string) []string {
	if len(names) <= entriesPerNote {
		return names
	}
	from := m.Rand.IntN(len(names))
	return append(slices.Clone(names[from:]), names[:from]...)[:entriesPerNote]
}

// entriesByHash returns the entries that another box requested by the hashes of their names.
func (m *Members) entriesByHash(now time.Time, hashes []uint32) []Rumour {
	want := make(map[uint32]bool, len(hashes))
	for _, h := range hashes {
		want[h] = true
	}
	var names []string
	for _, t := range m.table() {
		if want[t.hash] {
			names = append(names, t.name)
		}
	}
	return m.entries(now, m.sample(names))
}

// entries returns the rumours of the named members, which may include this box.
func (m *Members) entries(now time.Time, names []string) []Rumour {
	out := make([]Rumour, 0, len(names))
	for _, n := range names {
		if n == m.Self.ID.Name {
			out = append(out, m.self(now))
			continue
		}
		e := m.all[n]
		r := m.rumourOf(e)
		r.Up = e.Up(now)
		out = append(out, r)
	}
	return out
}

// Forming reports whether this box is still learning the fleet: it has just started, many members are new
// to it, or a partition has just healed. Tables are exchanged often then.
func (m *Members) Forming(now time.Time) bool {
	if m.formUntil.IsZero() {
		m.formUntil = now.Add(formingPeriod)
	}
	return now.Before(m.formUntil)
}

// extendForming extends the forming period.
func (m *Members) extendForming(t time.Time) {
	if t.After(m.formUntil) {
		m.formUntil = t
	}
}

// FormingProbe returns a heartbeat to a random member while the fleet is forming. It is called more often than
// Tick.
func (m *Members) FormingProbe(now time.Time) []OutgoingBeat {
	if !m.Forming(now) || len(m.names) == 0 {
		return nil
	}
	from := m.Rand.IntN(len(m.names))
	for i := range m.names {
		name := m.names[(from+i)%len(m.names)]
		if e := m.all[name]; e.state != MemberDead && e.address != "" {
			return []OutgoingBeat{m.ask(now, name)}
		}
	}
	return nil
}

// recentlyHealed reports whether a partition seems to have ended recently.
func (m *Members) recentlyHealed(now time.Time) bool {
	return !m.healedAt.IsZero() && now.Sub(m.healedAt) < healingPeriod
}

// recordReturn records that a member believed dead is alive: a partition or pause has ended, and deaths that
// either side inferred from silence may be wrong. For healingPeriod, reports of other boxes that members are
// alive override deaths.
func (m *Members) recordReturn(now time.Time) {
	m.healedAt = now
	m.extendForming(now.Add(formingPeriod))
}

// repeatsOf returns how often a new rumour is sent: O(log n), so that all boxes receive it.
func (m *Members) repeatsOf() int { return rumourRepeats * (1 + bits.Len(uint(len(m.all)))) }
