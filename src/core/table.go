package core

import (
	"math/bits"
	"slices"
	"time"
)

// TableNote is one step of the exchange that makes two boxes' tables of members equal.
//
// Idea. Every heartbeat carries the digest of its sender's table. A box that sees another digest
// answers with the digests of its buckets; the asker then lists, for the buckets that differ, a short
// version of each entry; the other sends the entries that the list lacks or holds otherwise and names
// those that it lacks itself. So a fresh box knows the fleet after a few exchanges, which go round like
// an epidemic of whole tables, while a single change still travels with the heartbeats.
//
// Cost. 8 bytes a heartbeat while tables are equal. An exchange costs 9 bytes for each entry of the
// buckets that differ, and the entries themselves, at most entriesPerNote each way.
type TableNote struct {
	Buckets  []uint64 `msgpack:"b,omitempty"` // digests of the sender's buckets
	Compared uint64   `msgpack:"c,omitempty"` // the buckets that Versions lists whole, a bit each
	Versions []uint64 `msgpack:"v,omitempty"` // of the sender's entries: hash of the name above hash of what is said
	Entries  []Rumour `msgpack:"e,omitempty"`
	Wanted   []uint32 `msgpack:"w,omitempty"` // hashes of the names whose entries the sender lacks or holds otherwise
}

// tableBuckets is the number of parts in which tables are compared.
const tableBuckets = 64

// nameHash spreads names over buckets and stands for them in versions.
func nameHash(name string) uint32 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return uint32(mix64(h) >> 32)
}

// mix64 spreads a number over all its bits.
func mix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// version is the short form of an entry: two entries of one name are equal when their versions are.
func version(name uint32, id BoxID, round uint64, state MemberState) uint64 {
	said := mix64(mix64(id.Incarnation) + 31*round + uint64(state))
	return uint64(name)<<32 | said>>32
}

// tableEntry is one living member, this box among them, as tables are compared.
type tableEntry struct {
	name    string
	hash    uint32
	version uint64
}

func (t tableEntry) bucket() int { return int(t.hash % tableBuckets) }

// comparedTable is the table with its digest, kept until an entry changes.
type comparedTable struct {
	entries []tableEntry
	digest  uint64
	stale   bool
	self    uint64 // version of this box's own entry in it
}

// table lists what this box believes of all that are not dead, itself first and then by name.
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

// Digest stands for the whole table of living members: equal tables have equal digests.
func (m *Members) Digest() uint64 {
	m.table()
	return m.compared.digest
}

// buckets gives the digest of each part of the table.
func (m *Members) buckets() []uint64 {
	out := make([]uint64, tableBuckets)
	for _, t := range m.table() {
		out[t.bucket()] ^= mix64(t.version)
	}
	return out
}

// reconcile takes one step of an exchange and gives the next one, or nil when there is nothing left to do.
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
		out.Entries = append(out.Entries, m.wanted(now, t.Wanted)...)
	}
	if out.Compared == 0 && len(out.Entries) == 0 && len(out.Wanted) == 0 {
		return nil
	}
	return out
}

// mergeEntries takes the entries of another table. Many new ones mean that the fleet is forming anew.
func (m *Members) mergeEntries(now time.Time, entries []Rumour) {
	learned := 0
	for _, r := range entries {
		if m.mergeRumour(now, r, byTable) {
			learned++
		}
	}
	if learned >= formingSigns {
		m.formsUntil(now.Add(formingAgain))
	}
}

// listDifferingBuckets lists the versions of the buckets that differ.
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

// answerVersions answers a list of versions: with entries that the other lacks or holds otherwise, and with the
// names of those that this box does.
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
	give = append(give, m.deaths(now, theirs)...)
	out.Entries = append(out.Entries, m.entries(now, m.sample(give))...)
	for _, v := range t.Versions { // in their order, so that a run can be repeated
		if _, differs := theirs[uint32(v>>32)]; differs {
			out.Wanted = append(out.Wanted, uint32(v>>32))
		}
	}
	out.Wanted = out.Wanted[:min(len(out.Wanted), entriesPerNote)]
}

// deaths lists the members that the other box believes alive and this one has found dead lately. After
// a partition nothing is said of deaths: both sides hold the other's boxes for dead.
func (m *Members) deaths(now time.Time, theirs map[uint32]uint64) []string {
	if m.healing(now) {
		return nil
	}
	var out []string
	for _, n := range m.names {
		e := m.all[n]
		if e.state != MemberDead || now.Sub(e.since) > tellDeaths {
			continue
		}
		if _, differs := theirs[e.hash]; differs {
			out = append(out, n)
		}
	}
	return out
}

// sample bounds a list: a run of it from a random place, so that boxes that ask at the same time get
// different parts and have something to tell one another.
func (m *Members) sample(names []string) []string {
	if len(names) <= entriesPerNote {
		return names
	}
	from := m.Rand.IntN(len(names))
	return append(slices.Clone(names[from:]), names[:from]...)[:entriesPerNote]
}

// wanted gives the entries that another box asked for by the hashes of their names.
func (m *Members) wanted(now time.Time, hashes []uint32) []Rumour {
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

// entries says what this box believes of some members.
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

// Forming says whether this box is getting to know the fleet: it has just started, many members are new
// to it, or a partition has just healed. Then tables are exchanged often.
func (m *Members) Forming(now time.Time) bool {
	if m.formUntil.IsZero() {
		m.formUntil = now.Add(formingFirst)
	}
	return now.Before(m.formUntil)
}

func (m *Members) formsUntil(t time.Time) {
	if t.After(m.formUntil) {
		m.formUntil = t
	}
}

// Seek asks one member drawn by chance while the fleet forms, more often than heartbeats go.
func (m *Members) Seek(now time.Time) []BeatTo {
	if !m.Forming(now) || len(m.names) == 0 {
		return nil
	}
	from := m.Rand.IntN(len(m.names))
	for i := range m.names {
		name := m.names[(from+i)%len(m.names)]
		if e := m.all[name]; e.state != MemberDead && e.address != "" {
			return []BeatTo{m.ask(now, name)}
		}
	}
	return nil
}

// healing says whether a partition has just ended, as far as this box can see.
func (m *Members) healing(now time.Time) bool {
	return !m.healedAt.IsZero() && now.Sub(m.healedAt) < healFor
}

// noteReturn takes the sign that a life which this box believed dead is there after all: a partition or
// a pause has ended, and what was judged from silence on either side may be wrong. For a moment the word
// of others that such a member lives is believed.
func (m *Members) noteReturn(now time.Time) {
	m.healedAt = now
	m.formsUntil(now.Add(formingFirst))
}

// repeatsOf is how often a fresh rumour is passed on: O(log n), so that all hear of it.
func (m *Members) repeatsOf() int { return rumourRepeats * (1 + bits.Len(uint(len(m.all)))) }
