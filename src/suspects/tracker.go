// Package suspects keeps one box's register of contents that may crash servers (package crasher, which decides) and carries it
// out: it finds out whether a server under which an exchange broke has ended, and tells the other boxes what they need to know.
//
// One end of a server's life speaks against all that ran there, mostly innocents; it is told to two boxes that add such ends
// up. What two ends or more speak against is told to all.
package suspects

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/stilemast/stilemast/src/crasher"
)

// Proof says what showed that a server's life has ended.
type Proof string

// The proofs.
const (
	Refused Proof = "connection refused" // no process listens at its address
	Silent  Proof = "no connection"      // its address does not answer, alone of all
	Listed  Proof = "list of servers"    // its entry went without a word before, or tells of another life
	Report  Proof = "report"             // its own report tells of another life
)

// ErrAddsNothingUp is the answer of a box of an earlier release, which knows nothing of suspects.
var ErrAddsNothingUp = errors.New("the box adds nothing up")

// Presence is what came of asking a server.
type Presence uint8

// The presences.
const (
	Present  Presence = iota + 1 // a process is there
	Absent                       // the connection was refused: no process listens
	NoAnswer                     // nothing came
)

// PresenceOf says what the error of opening a connection tells of the process there.
func PresenceOf(err error) Presence {
	switch {
	case err == nil:
		return Present
	case errors.Is(err, syscall.ECONNREFUSED):
		return Absent
	}
	return NoAnswer
}

// Server is one life of a backend server.
type Server struct {
	ID      string
	Address string
	Life    crasher.Life
}

// Tracker is the register of one box, under its lock. Set the exported fields before use.
type Tracker struct {
	Self string
	Now  func() time.Time // never steps
	Log  *slog.Logger
	// Probe looks whether a server's process is there; nil asks nobody.
	Probe func(ctx context.Context, s Server) Presence
	// Boxes lists those that take work, this one among them.
	Boxes func() []string
	// Ask tells another box what this one knows of some contents, and gives what that box knows of them.
	Ask func(ctx context.Context, box string, notes []crasher.Note) ([]crasher.Note, error)
	// Announce has all boxes told what is new (News), those of a large fleet by way of others.
	Announce func()
	// Counted is told of ends that were counted against so many contents, for metrics; nil is passed over.
	Counted func(contents int)

	mu       sync.Mutex
	register crasher.Register
	asking   map[crasher.Life]*asking
	silent   map[crasher.Life]time.Time // servers whose addresses did not answer, and when last
	telling  bool                       // a message to other boxes is due
	news     bool                       // it goes to all
	single   []crasher.Key              // contents with one end, which the boxes that add them up are told
	any      atomic.Bool                // whether anything is known: most of the time nothing is
}

// asking is a server under which exchanges broke and whose address is tried.
type asking struct {
	server Server
	tries  int
	due    time.Time // of the next try; zero while one is at work
}

// Judge says what speaks against a content at a pool.
func (u *Tracker) Judge(k crasher.Key) crasher.Verdict {
	if !u.any.Load() {
		return crasher.Verdict{}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.register.Judge(u.Now(), k)
}

// Broke takes that exchanges of contents with a server broke, and finds out whether it ended.
func (u *Tracker) Broke(s Server, keys ...crasher.Key) {
	if len(keys) == 0 {
		return
	}
	u.mu.Lock()
	counted := u.register.Broke(u.Now(), s.Life, keys...)
	ask := len(counted) == 0 && u.asking[s.Life] == nil && u.Probe != nil
	if ask {
		if u.asking == nil {
			u.asking = map[crasher.Life]*asking{}
		}
		u.asking[s.Life] = &asking{server: s}
	}
	u.mu.Unlock()
	u.counted(counted, s.ID, "known before")
	if ask {
		go u.ask(s)
	}
}

// ask tries the address of a server under which exchanges broke: a process that is gone refuses connections at once. The
// list tells as much, but only when three heartbeats are missing, and by then a content could have ended several more.
func (u *Tracker) ask(s Server) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTime)
	p := u.Probe(ctx, s)
	cancel()
	last := u.asked(s, p)
	switch {
	case p == Absent:
		u.Ended(s, Refused)
	case p == NoAnswer && last && u.onlySilent(s):
		u.Ended(s, Silent)
	}
}

// asked notes what came of a try and says whether it was the last.
func (u *Tracker) asked(s Server, p Presence) (last bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Now()
	if p == NoAnswer {
		if u.silent == nil {
			u.silent = map[crasher.Life]time.Time{}
		}
		u.silent[s.Life] = now
	}
	a := u.asking[s.Life]
	if a == nil {
		return true
	}
	a.tries++
	a.due = now.Add(probeAgain)
	last = p == Absent || a.tries >= probeTries
	if last {
		delete(u.asking, s.Life)
	}
	return last
}

// onlySilent says whether a server's address is the only one that does not answer. Of several it may be this box that is cut
// off, and their lives go on.
func (u *Tracker) onlySilent(s Server) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for life, at := range u.silent {
		if life != s.Life && u.Now().Sub(at) < silentTogether {
			return false
		}
	}
	return true
}

// askAgain tries the addresses whose next try is due.
func (u *Tracker) askAgain() {
	now := u.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, a := range u.asking {
		if !a.due.IsZero() && !now.Before(a.due) {
			a.due = time.Time{}
			go u.ask(a.server)
		}
	}
}

// Ended takes that a life of a server ended other than as planned.
func (u *Tracker) Ended(s Server, proof Proof) {
	u.mu.Lock()
	counted := u.register.Ended(u.Now(), s.Life)
	u.mu.Unlock()
	u.counted(counted, s.ID, proof)
}

// Good takes that contents had a good answer.
func (u *Tracker) Good(keys ...crasher.Key) {
	u.mu.Lock()
	var cleared []crasher.Counted
	for _, k := range keys {
		if u.register.Good(u.Now(), k) {
			cleared = append(cleared, crasher.Counted{Key: k, Verdict: u.register.Judge(u.Now(), k)})
		}
	}
	u.mu.Unlock()
	if len(cleared) > 0 {
		u.Log.Info("contents cleared by good answers", "contents", len(cleared), "key", cleared[0].Key.String())
		u.tell(cleared)
	}
}

// counted logs what was counted against contents and tells the other boxes.
func (u *Tracker) counted(list []crasher.Counted, server string, proof Proof) {
	if len(list) == 0 {
		return
	}
	u.any.Store(true)
	for i, c := range list {
		if i < linesOfOneEnd {
			u.Log.Warn("server ended under a request", "key", c.Key.String(), "server", server, "proof", string(proof), "ends", c.Verdict.Ends, "barred", c.Verdict.Barred, "suspects", len(list))
		}
	}
	if u.Counted != nil {
		u.Counted(len(list))
	}
	u.tell(list)
}

// tell has other boxes told in a moment, all that changes until then together: every box of contents under which two servers
// ended, the boxes that add them up of the others.
func (u *Tracker) tell(list []crasher.Counted) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range list {
		if c.Verdict.Seen < crasher.AloneFrom {
			u.single = append(u.single, c.Key)
		} else {
			u.news = true
		}
	}
	if u.telling || len(u.single) == 0 && !u.news {
		return
	}
	u.telling = true
	time.AfterFunc(tellAfter, u.tellNow)
}

func (u *Tracker) tellNow() {
	u.mu.Lock()
	news, single := u.news, u.single
	u.telling, u.news, u.single = false, false, nil
	u.mu.Unlock()
	if news {
		u.Announce()
	}
	u.tellCounters(single, map[string]bool{})
}

// tellCounters tells the boxes that add up the ends under contents what this one knows of them. A box that does not answer is
// passed over for the next: of a fleet of 61 in which both have just been lost, 21 servers ended otherwise, with 8 late sends, and
// 3 so (TestARequestThatCrashesServersIsNotSentOnWhenWhoCountsIsLost of the gateway).
func (u *Tracker) tellCounters(keys []crasher.Key, silent map[string]bool) {
	boxes := slices.DeleteFunc(slices.Clone(u.Boxes()), func(box string) bool { return silent[box] })
	to := map[string][]crasher.Key{}
	for _, k := range keys {
		for _, box := range crasher.Counters(k, boxes) {
			to[box] = append(to[box], k)
		}
	}
	delete(to, u.Self)
	for box, keys := range to {
		for part := range slices.Chunk(keys, crasher.NotesMost) {
			go u.tellCounter(box, part, silent)
		}
	}
}

func (u *Tracker) tellCounter(box string, keys []crasher.Key, silent map[string]bool) {
	u.mu.Lock()
	notes := u.register.NotesOf(u.Now(), keys)
	u.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	known, err := u.Ask(ctx, box, notes)
	if err == nil {
		u.Hear(known, box)
		return
	}
	u.Log.Warn("box that adds up the ends of servers does not answer", "peer", box, "contents", len(keys), "passed_over", len(silent), "cause", err.Error())
	if len(silent) < silentMost {
		next := maps.Clone(silent)
		next[box] = true
		u.tellCounters(keys, next)
	}
}

// AddUp takes what another box saw of contents whose ends this one adds up, and gives what it knows of them.
func (u *Tracker) AddUp(notes []crasher.Note, from string) []crasher.Note {
	u.Hear(notes, from)
	keys := make([]crasher.Key, 0, len(notes))
	for _, n := range notes[:min(len(notes), crasher.NotesMost)] {
		keys = append(keys, n.Key)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.register.NotesOf(u.Now(), keys)
}

// Hear takes what another box tells.
func (u *Tracker) Hear(notes []crasher.Note, from string) {
	if len(notes) == 0 {
		return
	}
	u.mu.Lock()
	changed := u.register.Hear(u.Now(), notes)
	u.mu.Unlock()
	if len(changed) == 0 {
		return
	}
	u.any.Store(true)
	var news []crasher.Counted // one end is no news: this box adds them up
	for _, c := range changed {
		if c.Verdict.Seen < crasher.AloneFrom {
			continue
		}
		news = append(news, c)
		u.Log.Info("content told of that may crash servers", "key", c.Key.String(), "ends", c.Verdict.Ends, "barred", c.Verdict.Barred, "from", from)
	}
	u.tell(news)
}

// Notes are what this box tells of suspects: in news only what changed a moment ago.
func (u *Tracker) Notes(news bool) []crasher.Note {
	if !u.any.Load() {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if news {
		return u.register.News(u.Now())
	}
	return u.register.Notes(u.Now())
}

// Tick tries the addresses whose next try is due, and forgets what is over.
func (u *Tracker) Tick() {
	u.askAgain()
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Now()
	u.register.Sweep(now)
	maps.DeleteFunc(u.silent, func(_ crasher.Life, at time.Time) bool { return now.Sub(at) >= silentTogether })
	u.any.Store(!u.register.Empty())
}
