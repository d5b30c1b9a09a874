package catalog

import (
	"math/bits"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/core"
)

// Parameters of the distribution of published documents.
const (
	selfReadAfter  = 1400 * time.Millisecond // without confirmation for this long, a box reads the platform itself
	selfReadStep   = 600 * time.Millisecond  // added for each doubling of the fleet beyond smallFleet
	smallFleet     = 16                      // fleet size up to which all boxes exchange heartbeats constantly
	selfReadSpread = 400 * time.Millisecond  // range of the per-box offset added to the times of self-reads

	// Time that a box which knows of newer content waits for its peers before it reads the platform itself:
	// together with a read of 1 s and the spread this stays within 3 s.
	behindAfter    = 800 * time.Millisecond
	firstReadAfter = 400 * time.Millisecond // time that a new box waits for its peers; boxes start within 0.3 s of one another
	maxReadStages  = 4                      // maximum doublings of the boxes ahead that lengthen a box's wait

	// Time without an answer to any box after which the platform counts as unreachable: three heartbeats of
	// servers, after which their entries have lapsed. When the platform rejects the readers, some box of a
	// small fleet reads within 2.8 s of the last answer.
	outageAfter     = 3600 * time.Millisecond
	answeringWindow = 1600 * time.Millisecond // a watch of 1 s plus the heartbeat that reports its answer
)

// Feed decides how one published document reaches this box: by reading the platform or from peers.
//
// The states of a document are ordered by the revision of the platform's store. A few live boxes read the
// platform (Readers); the others learn of revisions from heartbeats and pull a newer state from a peer. If
// the document has a version of its own, which never decreases, it takes precedence, since a restored store
// shows an older version at a later revision. A statement with age a that answers a question sent at t
// confirms the same content as of t-a, independently of clock differences and pauses.
//
// Readers that get no answer ask the next boxes to read (relief). A box whose content is not confirmed reads
// the platform itself, later the more boxes rank before it; if the platform rejects it, it relies on its
// peers. A box that knows of newer content and does not get it soon reads itself. When the whole fleet
// starts, only the seeds, which all boxes contact first, read at once.
//
// The number of readers is constant, and each box pulls each change once. Not safe for concurrent use.
type Feed struct {
	Self    string
	Started time.Time // of this box
	First   bool      // this box is one of the seeds, which every other box contacts first
	// Restored is true after a restore of the platform's store: statements that don't name the reader then
	// prove nothing.
	Restored bool
	Chosen   []string          // the boxes that read first (see Readers); nil ranks all by hash
	Links    map[string]uint32 // bandwidth of the boxes' links in Mbit/s, as far as known

	asOf           State
	digest         string
	docVersion     uint64    // own version of the held document, 0 if it has none
	asOfSince      time.Time // when asOf was learned
	confirmed      time.Time
	confirmedBy    uint32    // hash of the box whose read confirmed the content
	ownRead        time.Time // when this box last read the platform
	othersRead     time.Time // the latest known read by another box
	soleReader     bool      // it keeps reading since no other box is known to read
	reportedNewest time.Time // when peers last reported the held content as the newest, unsolicited ones included
	statements     map[string]core.Statement
	pulling        string               // the box that is being pulled from
	pullSince      time.Time            // time of the last progress of that pull
	skippedUntil   map[string]time.Time // boxes that failed or are busy, and until when they are skipped
	newest         stamp                // the latest known content that is not held
	behind         time.Time            // since when it is known, zero for none
	lastAnswer     time.Time            // when the platform last answered any box, as far as this one knows
	returned       time.Time            // when it answered again after an outage, zero for never
	relief         relief
}

// NewFeed returns a feed of the named box that holds nothing yet.
func NewFeed(self string) *Feed {
	return &Feed{Self: self, statements: map[string]core.Statement{}, skippedUntil: map[string]time.Time{}, relief: relief{unanswered: map[string]time.Time{}}}
}

// AsOf returns the state of the held content, 0 if nothing is held.
func (f *Feed) AsOf() State { return f.asOf }

// stamp orders the contents of a document: by its own version if both have one, otherwise by state.
type stamp struct {
	docVersion uint64
	state      State
}

func (a stamp) after(b stamp) bool {
	if a.docVersion != b.docVersion && a.docVersion > 0 && b.docVersion > 0 {
		return a.docVersion > b.docVersion
	}
	return a.state > b.state
}

func stampOf(st core.Statement) stamp { return stamp{docVersion: st.Content, state: State(st.Version)} }

func (f *Feed) held() stamp { return stamp{docVersion: f.docVersion, state: f.asOf} }

// Confirmed returns when the held content was last known to be the newest.
func (f *Feed) Confirmed() time.Time { return f.confirmed }

// ApplyRead applies the result of reading the platform at a time: the state and digest, and the document's own
// version. It reports whether the content changed; a state older than the held one changes nothing.
func (f *Feed) ApplyRead(at time.Time, asOf State, digest string, content uint64) bool {
	f.relief.failed, f.ownRead = time.Time{}, at
	f.noteAnswered(at)
	if f.held().after(stamp{content, asOf}) {
		return false
	}
	changed := digest != f.digest
	f.advance(at, asOf, digest, content)
	f.confirm(at, f.readerHash())
	return changed
}

// Renumber lowers the state of the held content to that of a read, if a higher one was held since before the
// read began. It reports whether it did.
func (f *Feed) Renumber(began time.Time, asOf State) bool {
	if asOf >= f.asOf || !f.HeldBefore(began) {
		return false
	}
	f.asOf, f.newest, f.behind = asOf, stamp{}, time.Time{}
	clear(f.statements)
	return true
}

// HeldBefore reports whether the state of the held content was learned before a time.
func (f *Feed) HeldBefore(t time.Time) bool { return f.asOfSince.Before(t) }

// ApplyPull applies a peer's state. It reports whether the content is newer and must be adopted.
func (f *Feed) ApplyPull(now time.Time, asOf State, digest string, content uint64) bool {
	f.pulling = ""
	if !(stamp{content, asOf}).after(f.held()) {
		return false
	}
	changed := digest != f.digest
	f.advance(now, asOf, digest, content)
	return changed
}

func (f *Feed) advance(now time.Time, asOf State, digest string, content uint64) {
	if asOf != f.asOf {
		f.asOfSince = now
	}
	f.asOf, f.digest, f.docVersion = asOf, digest, content
	f.caughtUp()
}

func (f *Feed) confirm(at time.Time, reader uint32) {
	if at.After(f.confirmed) {
		f.confirmed, f.confirmedBy = at, reader
	}
}

// readerHash identifies this box as a reader in statements; it is never 0.
func (f *Feed) readerHash() uint32 { return max(1, uint32(Hash("reads", f.Self))) }

// Statement returns the statement on the held content for a heartbeat.
func (f *Feed) Statement(now time.Time) core.Statement {
	st := core.Statement{Version: uint64(f.asOf), Digest: f.digest, Age: -1, Content: f.docVersion, Reader: f.confirmedBy}
	if !f.confirmed.IsZero() {
		st.Age = now.Sub(f.confirmed)
	}
	return st
}

// HandleStatement handles a peer's statement. askedAt is when the question that it answers was sent, zero for
// an unsolicited one: that may have been delayed and confirms nothing, but shows that some box reads the
// platform.
func (f *Feed) HandleStatement(now time.Time, from string, st core.Statement, askedAt time.Time) {
	f.statements[from] = st
	if st.Age >= 0 {
		f.noteAnswered(now.Add(-st.Age))
	}
	if stampOf(st).after(f.held()) && st.Digest != f.digest {
		if stampOf(st).after(f.newest) {
			f.newest = stampOf(st)
		}
		if f.behind.IsZero() {
			f.behind = now
		}
	}
	if st.Version == 0 || st.Digest != f.digest {
		return
	}
	f.advance(now, max(f.asOf, State(st.Version)), f.digest, f.docVersion)
	if st.Age < 0 {
		return
	}
	at := now.Add(-st.Age)
	if at.After(f.reportedNewest) {
		f.reportedNewest = at
	}
	if at.After(f.othersRead) && st.Reader != f.readerHash() && (st.Reader != 0 || !f.Restored) {
		f.othersRead = at
	}
	if !askedAt.IsZero() {
		f.confirm(askedAt.Add(-st.Age), st.Reader)
	}
}

// noteAnswered notes that the platform answered a box, and detects the end of an outage.
func (f *Feed) noteAnswered(at time.Time) {
	if !at.After(f.lastAnswer) {
		return
	}
	if !f.lastAnswer.IsZero() && at.Sub(f.lastAnswer) >= outageAfter {
		f.returned = at
	}
	f.lastAnswer = at
}

// PlatformReturnedAt returns when the platform came back after an outage, during which no box is known to
// have had an answer for so long that entries may have lapsed. Failed calls of this box alone don't count:
// the platform may reject single boxes while it serves the others and removes entries of servers that leave.
func (f *Feed) PlatformReturnedAt() time.Time { return f.returned }

// PlatformAnswering reports whether the platform is known to have answered any box recently.
func (f *Feed) PlatformAnswering(now time.Time) bool { return now.Sub(f.lastAnswer) < answeringWindow }

// NotePause records that this process was paused since a time. Having heard of no answer meanwhile does not
// mean an outage.
func (f *Feed) NotePause(now, since time.Time) {
	if f.returned.After(since) {
		f.returned = time.Time{}
	}
	if f.lastAnswer.Before(now) {
		f.lastAnswer = now
	}
}

// Behind returns since when this box has known of newer content that it does not hold, and the state of that
// content; zero if it knows of none.
func (f *Feed) Behind() (since time.Time, newest State) {
	if !f.newest.after(f.held()) {
		return time.Time{}, 0
	}
	return f.behind, f.newest.state
}

// caughtUp clears the newest known content once it is held.
func (f *Feed) caughtUp() {
	if !f.newest.after(f.held()) {
		f.behind, f.newest = time.Time{}, stamp{}
	}
}

// Forget drops the state kept for a box that is gone.
func (f *Feed) Forget(box string) {
	delete(f.statements, box)
	delete(f.skippedUntil, box)
	delete(f.relief.unanswered, box)
}

// ShouldRead reports whether this box should read the platform now: it is one of the readers, a reader asked it
// to, it has been behind for a while, or its content has not been confirmed for a while other than by its own
// reads.
func (f *Feed) ShouldRead(now time.Time, live []string) bool {
	ahead := f.ReadersAhead(live)
	if f.asOf == 0 {
		return f.First || now.Sub(f.Started) > firstReadAfter+f.readOffset()
	}
	if _, relieves := f.ReadsForOthers(now); ahead < readers || relieves {
		return true
	}
	if since, _ := f.Behind(); !since.IsZero() && now.Sub(since) > behindAfter+f.readOffset() {
		return true
	}
	timeout := selfReadAfter + f.readOffset()
	timeout += time.Duration(doublings(len(live)/smallFleet)+min(maxReadStages, doublings(ahead/readers))) * selfReadStep
	last := f.confirmed
	if f.reportedNewest.After(last) {
		last = f.reportedNewest
	}
	if now.Sub(last) > timeout {
		f.soleReader = true
		return true
	}
	f.soleReader = f.soleReader && now.Sub(f.ownRead) < timeout && now.Sub(f.othersRead) > timeout
	return f.soleReader
}

// ReadersAhead counts the live boxes that read before this one: the chosen ones, then the others by hash.
func (f *Feed) ReadersAhead(live []string) int {
	if i := slices.Index(f.Chosen, f.Self); i >= 0 {
		return i
	}
	own := readerRank(f.Self)
	ahead := len(f.Chosen)
	for _, box := range live {
		if box != f.Self && readerRank(box) > own && !slices.Contains(f.Chosen, box) {
			ahead++
		}
	}
	return ahead
}

// readOffset returns an offset derived from the box's name, so that boxes don't all read at the same time.
func (f *Feed) readOffset() time.Duration {
	return time.Duration(Hash("reader", f.Self) % uint64(selfReadSpread))
}

// doublings returns the binary logarithm of a number, rounded down; 0 below two.
func doublings(n int) int { return max(0, bits.Len(uint(max(n, 0)))-1) }
