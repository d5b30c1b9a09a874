package catalog

import (
	"math/bits"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/core"
)

// Tunables of the spread of published documents.
const (
	selfReadAfter  = 1400 * time.Millisecond // with no news this long, a box reads by itself
	selfReadStep   = 600 * time.Millisecond  // more for each doubling of the fleet beyond smallFleet
	smallFleet     = 16                      // boxes that tell one another all the time
	selfReadSpread = 400 * time.Millisecond  // spread of that time over the boxes
	behindAfter    = 800 * time.Millisecond  // that a box which knows of newer content waits for peers before it reads by itself: with a read of a second and the spread it is within a bound of 3 s
	firstReadAfter = 400 * time.Millisecond  // that a fresh box waits for its peers to have the document: boxes start within 0.3 s of one another
	mostStages     = 4                       // doublings of the boxes ahead that make a box wait longer

	awayAfter     = 3600 * time.Millisecond // without an answer to any box: three heartbeats of servers, after which their entries have lapsed; some box of a small fleet reads within 2.8 s of the last answer where the platform turns the readers away
	answersLately = 1600 * time.Millisecond // a watch of a second, and the heartbeat that tells of it
)

// Feed decides how one published document reaches this box: by reading the platform or from peers.
//
// Idea. A document is known as of a revision of the platform's store, which orders all its states.
// A few living boxes read (Readers); the others hear of revisions by heartbeat and pull a state that is
// newer. Where the document bears versions of its own, which never fall, those come first: a store that was restored shows an
// older one at a later revision. A statement in answer to a question sent at t that gives the age a
// confirms the same content as of t-a, whatever clocks and pauses do. Readers that get no answer ask the
// next boxes to read (relief). A box that nobody confirms reads by itself, the later the more boxes are
// ahead of it, and one that the platform turns away lives on its peers. One that knows of newer content and does not get it reads by itself soon. At a start of
// all only the seeds, which all boxes ask, read at once.
//
// Cost. A constant number of readers; one pull for each box and change. Not safe for concurrent use.
type Feed struct {
	Self    string
	Started time.Time // of this box
	First   bool      // this box is one of those that every other begins with
	// Restored says that the platform came back from an older copy: reads of boxes that don't name the reader prove nothing.
	Restored bool
	Chosen   []string          // the boxes that read first (Readers); nil ranks all by hash
	Links    map[string]uint32 // Mbit/s of the boxes' links, as far as known

	asOf      State
	digest    string
	content   uint64    // version of the held document, 0 where it has none
	since     time.Time // when asOf was learned
	confirmed time.Time
	reader    uint32    // the box whose read that was
	own       time.Time // when this box read last
	others    time.Time // the latest read of another box that is known
	alone     bool      // it reads since nobody else is known to: what it reads is all that the others have, and it goes on
	news      time.Time // when the held content was the newest, by the word of peers; proves nothing
	told      map[string]core.Statement
	pulling   string               // the box that is asked now
	pullSince time.Time            // when it last answered
	passed    map[string]time.Time // boxes that failed or that give others already, and until when they are not asked
	newest    stamp                // the latest heard of whose content is not held
	behind    time.Time            // since when such a revision is known, zero for none
	answered  time.Time            // when the platform last answered any box, as far as this one knows
	returned  time.Time            // when it answered again after it had been away, zero for never
	relief    relief
}

// NewFeed holds nothing yet.
func NewFeed(self string) *Feed {
	return &Feed{Self: self, told: map[string]core.Statement{}, passed: map[string]time.Time{}, relief: relief{unanswered: map[string]time.Time{}}}
}

// AsOf is the state of the held content; 0 when nothing is held.
func (f *Feed) AsOf() State { return f.asOf }

// stamp orders two contents of a document.
type stamp struct {
	content uint64
	state   State
}

func (a stamp) after(b stamp) bool {
	if a.content != b.content && a.content > 0 && b.content > 0 {
		return a.content > b.content
	}
	return a.state > b.state
}

func stampOf(st core.Statement) stamp { return stamp{content: st.Content, state: State(st.Version)} }

func (f *Feed) held() stamp { return stamp{content: f.content, state: f.asOf} }

// Confirmed is when the held content was last known to be the newest.
func (f *Feed) Confirmed() time.Time { return f.confirmed }

// Read takes the platform's state, read at a time, and the version that the document bears. It says whether the content
// changed; an older state than the held one changes nothing.
func (f *Feed) Read(at time.Time, asOf State, digest string, content uint64) bool {
	f.relief.failed, f.own = time.Time{}, at
	f.noteAnswered(at)
	if f.held().after(stamp{content, asOf}) {
		return false
	}
	changed := digest != f.digest
	f.take(at, asOf, digest, content)
	f.confirm(at, f.readerHash())
	return changed
}

// Renumber takes a read's number for the held content where that has had a higher one since before the read began. It says whether
// it had.
func (f *Feed) Renumber(began time.Time, asOf State) bool {
	if asOf >= f.asOf || !f.since.Before(began) {
		return false
	}
	f.asOf, f.newest, f.behind = asOf, stamp{}, time.Time{}
	clear(f.told)
	return true
}

// Pulled takes a peer's state. It says whether the content is newer and must be taken.
func (f *Feed) Pulled(now time.Time, asOf State, digest string, content uint64) bool {
	f.pulling = ""
	if !(stamp{content, asOf}).after(f.held()) {
		return false
	}
	changed := digest != f.digest
	f.take(now, asOf, digest, content)
	return changed
}

func (f *Feed) take(now time.Time, asOf State, digest string, content uint64) {
	if asOf != f.asOf {
		f.since = now
	}
	f.asOf, f.digest, f.content = asOf, digest, content
	f.caughtUp()
}

func (f *Feed) confirm(at time.Time, reader uint32) {
	if at.After(f.confirmed) {
		f.confirmed, f.reader = at, reader
	}
}

// readerHash names this box as a reader.
func (f *Feed) readerHash() uint32 { return max(1, uint32(Hash("reads", f.Self))) }

// Say makes the statement for a heartbeat.
func (f *Feed) Say(now time.Time) core.Statement {
	st := core.Statement{Version: uint64(f.asOf), Digest: f.digest, Age: -1, Content: f.content, Reader: f.reader}
	if !f.confirmed.IsZero() {
		st.Age = now.Sub(f.confirmed)
	}
	return st
}

// Hear takes a peer's statement. askedAt is when the question it answers was sent, or zero: a word that
// nobody asked for may have been long on its way and confirms nothing, but shows that somebody reads.
func (f *Feed) Hear(now time.Time, from string, st core.Statement, askedAt time.Time) {
	f.told[from] = st
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
	f.take(now, max(f.asOf, State(st.Version)), f.digest, f.content)
	if st.Age < 0 {
		return
	}
	at := now.Add(-st.Age)
	if at.After(f.news) {
		f.news = at
	}
	if at.After(f.others) && st.Reader != f.readerHash() && (st.Reader != 0 || !f.Restored) {
		f.others = at
	}
	if !askedAt.IsZero() {
		f.confirm(askedAt.Add(-st.Age), st.Reader)
	}
}

// noteAnswered notes that the platform answered some box.
func (f *Feed) noteAnswered(at time.Time) {
	if !at.After(f.answered) {
		return
	}
	if !f.answered.IsZero() && at.Sub(f.answered) >= awayAfter {
		f.returned = at
	}
	f.answered = at
}

// Returned is when the platform came back after it had been away: no box is known to have had an answer for so long that
// entries may have lapsed. Failed calls of this box say nothing of that: the platform may turn single boxes away while it
// serves the others, and takes entries away that are to go.
func (f *Feed) Returned() time.Time { return f.returned }

// Answering says whether the platform is known to have answered some box lately.
func (f *Feed) Answering(now time.Time) bool { return now.Sub(f.answered) < answersLately }

// Woke notes that this process stood still since a time: that it heard of no answer meanwhile says nothing.
func (f *Feed) Woke(now, since time.Time) {
	if f.returned.After(since) {
		f.returned = time.Time{}
	}
	if f.answered.Before(now) {
		f.answered = now
	}
}

// Behind is since when this box has known of a newer content that it does not hold, zero when it knows of
// none, and the state of it.
func (f *Feed) Behind() (since time.Time, newest State) {
	if !f.newest.after(f.held()) {
		return time.Time{}, 0
	}
	return f.behind, f.newest.state
}

// caughtUp forgets what was newer once it is held.
func (f *Feed) caughtUp() {
	if !f.newest.after(f.held()) {
		f.behind, f.newest = time.Time{}, stamp{}
	}
}

// Forget drops what a box that is gone said.
func (f *Feed) Forget(box string) {
	delete(f.told, box)
	delete(f.passed, box)
	delete(f.relief.unanswered, box)
}

// Reads says whether this box should read the platform now: it is among the first of the living, those ask it to, or
// nobody has confirmed its content for a while, or only its own reads have.
func (f *Feed) Reads(now time.Time, living []string) bool {
	ahead := f.Ahead(living)
	if f.asOf == 0 {
		return f.First || now.Sub(f.Started) > firstReadAfter+f.spread()
	}
	if _, relieves := f.Relieves(now); ahead < readers || relieves {
		return true
	}
	if since, _ := f.Behind(); !since.IsZero() && now.Sub(since) > behindAfter+f.spread() {
		return true
	}
	patience := selfReadAfter + f.spread()
	patience += time.Duration(doublings(len(living)/smallFleet)+min(mostStages, doublings(ahead/readers))) * selfReadStep
	last := f.confirmed
	if f.news.After(last) {
		last = f.news
	}
	if now.Sub(last) > patience {
		f.alone = true
		return true
	}
	f.alone = f.alone && now.Sub(f.own) < patience && now.Sub(f.others) > patience
	return f.alone
}

// Ahead counts the living boxes that read before this one: those chosen, then the others by hash.
func (f *Feed) Ahead(living []string) int {
	if i := slices.Index(f.Chosen, f.Self); i >= 0 {
		return i
	}
	own := readerRank(f.Self)
	ahead := len(f.Chosen)
	for _, box := range living {
		if box != f.Self && readerRank(box) > own && !slices.Contains(f.Chosen, box) {
			ahead++
		}
	}
	return ahead
}

// spread is a time of this box's own, so that not all read at the same moment.
func (f *Feed) spread() time.Duration {
	return time.Duration(Hash("reader", f.Self) % uint64(selfReadSpread))
}

// doublings is how often one is doubled to reach a number; 0 below two.
func doublings(n int) int { return max(0, bits.Len(uint(max(n, 0)))-1) }
