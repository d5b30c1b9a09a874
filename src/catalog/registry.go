package catalog

import (
	"slices"
	"strings"
	"time"
)

const (
	// lapseGrace is how long after an outage of the platform a server without an entry is still used: live
	// servers renew entries that lapsed during the outage within about 2 s.
	lapseGrace = 2 * time.Second
	// doubtDuration is how long a server that had left must stay listed after a restore of the store to be
	// used again: three heartbeats, after which the entry of a dead server has expired, plus the delay of a
	// late list.
	doubtDuration = outageAfter + lapseGrace
	// departureTTL is how long a departure is remembered: longer than any server was seen to keep serving
	// after it left.
	departureTTL = time.Minute
)

// Departure records that a server left.
type Departure struct {
	At          time.Time   // when this box learned of it
	Revision    Revision    // of the store at which it was observed
	Draining    bool        // the entry was marked as draining; otherwise it was removed
	Incarnation Incarnation // that left
}

// supersedes reports whether an entry is outdated by the departure: it is of an earlier incarnation, or of
// the departed one, which had announced that it leaves.
func (d Departure) supersedes(s Server) bool {
	return s.Incarnation > 0 && (s.Incarnation < d.Incarnation || s.Incarnation == d.Incarnation && d.Draining && !s.Draining)
}

// Registry is one box's view of the backend servers, derived from successive lists: which may get new work,
// which missing entries may only have lapsed, and which incarnations have left. The view is never sent to
// other boxes; they derive their own from the same lists.
//
// Entries of a server are ordered by incarnation and by revision, and an older entry never replaces a newer
// one, whatever list it comes in. A missing entry means that the server left, unless the platform was just
// unreachable for all boxes (Feed.PlatformReturnedAt). If failed calls of single boxes counted as an outage,
// and their lists were passed on, a removed server would be used for another 2.0 to 2.6 s, or for as long as
// calls fail now and then, instead of under 1 s (virtual time, 6 and 61 boxes, the gateway's tests of leaving
// servers).
//
// After a restore of the store, a list of the new era may be older than what is known until the lost entries
// are written again. In the first such list, a missing entry may not have been rewritten yet, and a server
// that had left may be listed as if it had not.
//
// Callers pass the time in. Not safe for concurrent use.
type Registry struct {
	known  map[string]*Server // entries shared with the list, must not be changed
	lapsed map[string]lapse
	left   map[string]Departure
	newer  map[string]bool // known servers missing from the last list, which is older than their entries

	era      Era              // of the last list
	restored bool             // the era has increased
	settleAt time.Time        // when entries missing since the restore count as removed; postponed when one comes back
	doubted  map[string]doubt // servers that had left unannounced and that a restored list contains
	alive    map[string]bool  // servers confirmed to be alive in this era; other boxes' doubts about them are ignored
}

// doubt is a server that is not used until its entry has outlasted the lease of a dead server.
type doubt struct {
	server *Server
	until  time.Time
}

// lapse is a server whose entry disappeared during an outage of the platform or a restore of its store.
type lapse struct {
	server *Server
	until  time.Time // when the server counts as removed; zero for Registry.settleAt
}

// Effects are the changes of a registry that a list caused.
type Effects struct {
	Changed     []Changed // servers added to a pool, removed from it or changed
	Lapsed      []string  // servers that are kept without an entry
	Returned    []Return  // servers that had left and accept work again
	Ignored     []Server  // entries that are older than what is known
	Restarted   []Restart // servers with a new incarnation
	Leaving     []Server  // leaving servers that a restored list contains as if they were not leaving
	Doubted     []string  // servers that are not used for now, since they had left before the restore
	PreviousEra Era       // the previous era, if the list is the first of a later one; otherwise 0
}

// Changed names a server that changed and the pool concerned.
type Changed struct{ ID, Pool string }

// Restart is a server that restarted, with its entries before and after.
type Restart struct {
	Before, Now Server
}

// Return is a server that had left and accepts work again.
type Return struct {
	Server Server
	Left   Departure
}

// Apply applies the difference between the list at a revision and the previous list. returned is when the
// platform last came back after an outage, zero for never.
func (r *Registry) Apply(now time.Time, change Difference, revision Revision, returned time.Time) Effects {
	if r.known == nil {
		r.known, r.lapsed, r.left, r.newer = map[string]*Server{}, map[string]lapse{}, map[string]Departure{}, map[string]bool{}
		r.doubted, r.alive = map[string]doubt{}, map[string]bool{}
	}
	var t Effects
	r.expireDepartures(now)
	t.PreviousEra = r.advanceEra(now, revision.Era())
	for i := range change.Put {
		delete(r.newer, change.Put[i].ID)
		r.applyEntry(now, &change.Put[i], revision, &t)
	}
	for _, id := range change.Gone {
		r.newer[id] = true
		delete(r.doubted, id)
	}
	for id := range r.newer {
		r.applyRemoval(now, id, revision, returned, &t)
	}
	slices.Sort(t.Lapsed)
	return t
}

// Confirm notes that the list is unchanged in an era.
func (r *Registry) Confirm(now time.Time, era Era) { r.advanceEra(now, era) }

// advanceEra records the era of a list. It returns the previous era if the era increased, otherwise 0.
func (r *Registry) advanceEra(now time.Time, era Era) (before Era) {
	if era <= r.era {
		return 0
	}
	if before = r.era; before > 0 {
		r.restored, r.settleAt = true, now.Add(lapseGrace)
		clear(r.alive)
		for id, d := range r.doubted {
			d.until = now.Add(doubtDuration)
			r.doubted[id] = d
		}
	}
	r.era = era
	return before
}

// applyRemoval handles a server that a list lacks. An entry that was written after the list's revision stays
// until a later list lacks it too.
func (r *Registry) applyRemoval(now time.Time, id string, revision Revision, returned time.Time, t *Effects) {
	old, known := r.known[id]
	if known && old.Revision > revision {
		return
	}
	delete(r.newer, id)
	if !known {
		return
	}
	delete(r.known, id)
	t.Changed = append(t.Changed, Changed{id, old.Pool})
	if t.PreviousEra > 0 && old.AcceptsWork() {
		r.lapsed[id] = lapse{server: old}
		t.Lapsed = append(t.Lapsed, id)
		return
	}
	if until := returned.Add(lapseGrace); !returned.IsZero() && now.Before(until) && old.AcceptsWork() {
		r.lapsed[id] = lapse{server: old, until: until}
		t.Lapsed = append(t.Lapsed, id)
		return
	}
	r.recordDeparture(now, old, revision)
}

// applyEntry handles the entry of one server.
func (r *Registry) applyEntry(now time.Time, s *Server, revision Revision, t *Effects) {
	old, known := r.known[s.ID]
	l, lapsed := r.lapsed[s.ID]
	if lapsed {
		old = l.server
	}
	if old != nil && s.Fault != "" && s.Incarnation == 0 {
		unread := *s
		s = &unread
		s.Incarnation = old.Incarnation // an unreadable entry is no restart
	}
	left, departed := r.left[s.ID]
	if old != nil && old.Fault != "" && !departed { // an unusable entry had replaced a usable one
		left, departed = Departure{Revision: old.Revision, Incarnation: old.Incarnation}, t.PreviousEra > 0
	}
	if departed && r.contradicts(now, s, left, t) {
		return
	}
	if (known || lapsed) && s.olderThan(*old) || departed && left.supersedes(*s) {
		t.Ignored = append(t.Ignored, *s)
		return
	}
	if lapsed && l.until.IsZero() {
		r.settleAt = now.Add(lapseGrace)
	}
	delete(r.lapsed, s.ID)
	delete(r.doubted, s.ID)
	r.known[s.ID] = s
	t.Changed = append(t.Changed, Changed{s.ID, s.Pool})
	if known || lapsed {
		if old.Pool != s.Pool {
			t.Changed = append(t.Changed, Changed{s.ID, old.Pool})
		}
		if s.Incarnation != old.Incarnation {
			t.Restarted = append(t.Restarted, Restart{Before: *old, Now: *s})
		}
	}
	switch {
	case s.Draining:
		r.recordDeparture(now, s, revision)
	case departed && s.AcceptsWork():
		t.Returned = append(t.Returned, Return{Server: *s, Left: left})
		delete(r.left, s.ID)
		r.alive[s.ID] = true
	}
}

// contradicts reports whether an entry of a restored list shows a server as working that left in an earlier
// era, and must be ignored: for good if that incarnation announced that it leaves, otherwise until a lease
// has expired.
func (r *Registry) contradicts(now time.Time, s *Server, left Departure, t *Effects) bool {
	sameIncarnation := s.Incarnation == 0 || left.Incarnation == 0 || s.Incarnation <= left.Incarnation
	if !s.AcceptsWork() || !sameIncarnation || left.Revision.Era() == 0 || left.Revision.Era() == r.era {
		return false
	}
	switch {
	case left.Draining:
		t.Leaving = append(t.Leaving, *s)
	case t.PreviousEra > 0:
		r.doubted[s.ID] = doubt{server: s, until: now.Add(doubtDuration)}
		t.Doubted = append(t.Doubted, s.ID)
	default:
		return false
	}
	t.Ignored = append(t.Ignored, *s)
	return true
}

// recordDeparture notes that a server left, keeping the time when this box first learned of it.
func (r *Registry) recordDeparture(now time.Time, s *Server, revision Revision) {
	if d, ok := r.left[s.ID]; ok && d.Incarnation == s.Incarnation && (d.Draining || !s.Draining) {
		return
	}
	r.left[s.ID] = Departure{At: now, Revision: revision, Draining: s.Draining, Incarnation: s.Incarnation}
}

func (r *Registry) expireDepartures(now time.Time) {
	for id, d := range r.left {
		if now.Sub(d.At) > departureTTL {
			delete(r.left, id)
		}
	}
}

// DropLapsed removes the lapsed servers whose grace period is over and returns them. While the platform does
// not answer they stay: no entry can be renewed then, and with all servers removed no request could be
// served.
func (r *Registry) DropLapsed(now time.Time, answering bool) (dropped []Changed) {
	for id, l := range r.lapsed {
		until := l.until
		if until.IsZero() {
			until = r.settleAt
		}
		if !answering || now.Before(until) {
			continue
		}
		dropped = append(dropped, Changed{id, l.server.Pool})
		delete(r.lapsed, id)
		r.recordDeparture(now, l.server, l.server.Revision)
	}
	slices.SortFunc(dropped, func(a, b Changed) int { return strings.Compare(a.ID, b.ID) })
	return dropped
}

// EndDoubts returns the servers whose entries have outlasted a lease since the restore: they are alive and
// accept work again.
func (r *Registry) EndDoubts(now time.Time) (back []Changed) {
	for id, d := range r.doubted {
		if now.Before(d.until) {
			continue
		}
		delete(r.doubted, id)
		delete(r.left, id)
		r.known[id], r.alive[id] = d.server, true
		back = append(back, Changed{id, d.server.Pool})
	}
	slices.SortFunc(back, func(a, b Changed) int { return strings.Compare(a.ID, b.ID) })
	return back
}

// Settled reports whether entries missing since a restore count as removed: none has come back for lapseGrace.
func (r *Registry) Settled(now time.Time) bool { return r.restored && !now.Before(r.settleAt) }

// Settle applies another box's notice that a restored list is settled, so that a box that learns late of the
// restore does not wait again.
func (r *Registry) Settle(now time.Time, era Era) {
	if r.restored && era == r.era && now.Before(r.settleAt) {
		r.settleAt = now
	}
}

// DoubtNote reports to another box for how much longer an incarnation is not used.
type DoubtNote struct {
	Server      string
	Incarnation Incarnation
	For         time.Duration
}

// DoubtNotes returns notes on the incarnations that this box does not use for now, at most so many.
func (r *Registry) DoubtNotes(now time.Time, most int) []DoubtNote {
	if len(r.doubted) == 0 {
		return nil
	}
	var out []DoubtNote
	for id, d := range r.doubted {
		if left := d.until.Sub(now); left > 0 {
			out = append(out, DoubtNote{Server: id, Incarnation: d.server.Incarnation, For: left})
		}
	}
	slices.SortFunc(out, func(a, b DoubtNote) int { return strings.Compare(a.Server, b.Server) })
	return out[:min(len(out), most)]
}

// ApplyDoubt applies another box's doubt: this box may have started later, or may have missed that the server
// left. It reports whether the server is doubted now.
func (r *Registry) ApplyDoubt(now time.Time, n DoubtNote) (c Changed, changed bool) {
	s, known := r.known[n.Server]
	if !known || r.alive[n.Server] || !s.AcceptsWork() || s.Incarnation != n.Incarnation || n.For <= 0 {
		return Changed{}, false
	}
	delete(r.known, n.Server)
	r.doubted[n.Server] = doubt{server: s, until: now.Add(min(n.For, doubtDuration))}
	return Changed{n.Server, s.Pool}, true
}

// EndGrace ends the grace period of all lapsed servers.
func (r *Registry) EndGrace(now time.Time) {
	for id, l := range r.lapsed {
		l.until = now
		r.lapsed[id] = l
	}
}

// Get returns the known entry of a server, nil for none, and whether it may get new work. The entry must not
// be changed.
func (r *Registry) Get(id string) (*Server, bool) {
	if s, ok := r.known[id]; ok {
		return s, s.AcceptsWork()
	}
	l, ok := r.lapsed[id]
	return l.server, ok
}

// Working returns the servers of a pool that may get new work, "" for all pools, in no particular order.
func (r *Registry) Working(pool string) []*Server {
	var out []*Server
	for _, s := range r.known {
		if s.AcceptsWork() && (pool == "" || pool == s.Pool) {
			out = append(out, s)
		}
	}
	for _, l := range r.lapsed {
		if pool == "" || pool == l.server.Pool {
			out = append(out, l.server)
		}
	}
	return out
}

// DepartureOf returns the departure of a server, if one is remembered.
func (r *Registry) DepartureOf(id string) (Departure, bool) {
	d, ok := r.left[id]
	return d, ok
}

// AcceptsWork reports whether the server accepts new work according to its entry.
func (s *Server) AcceptsWork() bool { return !s.Draining && s.Fault == "" }

// sameEntry reports whether two entries have the same content.
func (s *Server) sameEntry(o Server) bool {
	o.Revision, o.ColdUntil = s.Revision, s.ColdUntil
	return *s == o
}

// olderThan reports whether an entry is older than another of the same server: of an earlier incarnation, of
// an earlier revision, or from before its incarnation announced that it leaves. Without incarnations or
// revisions to compare, the entry received last counts as newer.
func (s Server) olderThan(o Server) bool {
	switch {
	case s.Incarnation > 0 && o.Incarnation > 0 && s.Incarnation != o.Incarnation:
		return s.Incarnation < o.Incarnation
	case s.Revision > 0 && s.Revision < o.Revision:
		return true
	}
	return s.Incarnation > 0 && s.Incarnation == o.Incarnation && o.Draining && !s.Draining
}
