// Package suspects runs one box's register of contents that may crash servers (package crasher): it finds out whether a
// server has crashed after a broken exchange, and exchanges reports with other boxes.
//
// A crash counts against every content that was running at the server, most of them innocent. Contents with one crash are
// reported only to two counter boxes, which add up the reports of all boxes; contents with two or more are reported to
// all.
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

// Proof is the evidence that an incarnation of a server has ended.
type Proof string

// Kinds of evidence.
const (
	Refused Proof = "connection refused" // no process listens at its address
	Silent  Proof = "no connection"      // it is the only server whose address doesn't respond
	Listed  Proof = "list of servers"    // its entry was removed without notice, or has another incarnation
	Report  Proof = "report"             // its own report has another incarnation
)

// ErrUnsupported is returned for a box of an earlier release that doesn't support suspect reports.
var ErrUnsupported = errors.New("the box does not support suspect reports")

// Presence is the result of probing a server.
type Presence uint8

// Results of a probe.
const (
	Present  Presence = iota + 1 // a process accepts connections
	Absent                       // the connection was refused: no process listens
	NoAnswer                     // no response, or another error
)

// PresenceOf returns the probe result for the error of opening a connection.
func PresenceOf(err error) Presence {
	switch {
	case err == nil:
		return Present
	case errors.Is(err, syscall.ECONNREFUSED):
		return Absent
	}
	return NoAnswer
}

// Server is one incarnation of a backend server.
type Server struct {
	ID          string
	Pool        string
	Address     string
	Incarnation crasher.Incarnation
}

// Tracker is the register of one box. It is safe for concurrent use; set the exported fields before.
type Tracker struct {
	Self string           // name of this box
	Now  func() time.Time // must be monotonic
	Log  *slog.Logger
	// Probe checks whether a server's process exists; nil disables probes.
	Probe func(ctx context.Context, s Server) Presence
	// Boxes returns the boxes that take work, including this one.
	Boxes func() []string
	// Exchange sends another box this box's notes on some contents and returns that box's notes on them.
	Exchange func(ctx context.Context, box string, notes []crasher.Note) ([]crasher.Note, error)
	// Announce sends the latest changes (see Notes) to all boxes, in a large fleet through other boxes.
	Announce func()
	// Counted, if set, is called with the number of contents that a crash was counted against, for metrics.
	Counted func(contents int)

	mu              sync.Mutex
	register        crasher.Register
	probing         map[crasher.Incarnation]*probing
	silent          map[crasher.Incarnation]time.Time // servers that didn't respond, and when last
	reportScheduled bool                              // a report to other boxes is scheduled
	news            bool                              // it includes changes for all boxes
	single          []crasher.Key                     // contents with one crash, to report to their counter boxes
	any             atomic.Bool                       // the register isn't empty; most of the time it is
}

// probing is a server that is being probed after broken exchanges.
type probing struct {
	server Server
	tries  int
	due    time.Time // time of the next probe; zero while one is running
	silent time.Time // since when its silence counts as a crash
	// counted: the silence was counted as a crash. The server is probed on, and the crash is withdrawn if it answers.
	counted bool
}

// Check returns the crashes attributed to a content at a pool or, of several, the worst verdict.
func (u *Tracker) Check(keys ...crasher.Key) crasher.Verdict {
	if !u.any.Load() {
		return crasher.Verdict{}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	var worst crasher.Verdict
	for _, k := range keys {
		if v := u.register.Check(u.Now(), k); v.Worse(worst) {
			worst = v
		}
	}
	return worst
}

// Status shows an operator which contents and prompt parts are suspected to crash servers.
type Status struct {
	Suspected int       `json:"suspected"` // all of them
	Worst     []Suspect `json:"worst,omitempty"`
}

// Suspect is one of them. Key is as in log lines.
type Suspect struct {
	Key     string `json:"key"`
	Ends    int    `json:"ends"`    // servers that crashed while they ran it
	Refused bool   `json:"refused"` // it is not sent
	Left    int64  `json:"left_ms"` // until it may be tried again
}

// Status returns the current suspects, the worst first.
func (u *Tracker) Status() Status {
	u.mu.Lock()
	defer u.mu.Unlock()
	list, all := u.register.Suspects(u.Now(), maxStatus)
	out := Status{Suspected: all}
	for _, x := range list {
		out.Worst = append(out.Worst, Suspect{Key: x.Key.String(), Ends: x.Verdict.Ends, Refused: x.Verdict.Barred, Left: x.Verdict.Left.Milliseconds()})
	}
	return out
}

// RecordBroken records that exchanges of contents with a server broke, and probes whether the server has crashed.
func (u *Tracker) RecordBroken(s Server, keys ...crasher.Key) {
	if len(keys) == 0 {
		return
	}
	u.mu.Lock()
	counted := u.register.RecordBroken(u.Now(), s.Incarnation, keys...)
	ask := len(counted) == 0 && u.probing[s.Incarnation] == nil && u.Probe != nil
	if ask {
		if u.probing == nil {
			u.probing = map[crasher.Incarnation]*probing{}
		}
		u.probing[s.Incarnation] = &probing{server: s}
	}
	u.mu.Unlock()
	u.logCounted(counted, s.ID, "known before")
	if ask {
		go u.probe(s)
	}
}

// probe probes a server: connections to a terminated process are refused at once. The list of servers shows the crash too,
// but only after three missed heartbeats, and by then the content could have crashed several more servers.
func (u *Tracker) probe(s Server) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	p := u.Probe(ctx, s)
	cancel()
	last := u.recordProbe(s, p)
	switch {
	case p == Absent:
		u.RecordCrash(s, Refused)
	case p == NoAnswer && last && u.onlySilent(s):
		u.RecordCrash(s, Silent)
		u.watchSilent(s)
	}
}

// watchSilent goes on probing a server whose silence was counted as a crash, for as long as a running one may be silent.
func (u *Tracker) watchSilent(s Server) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Now()
	u.probing[s.Incarnation] = &probing{server: s, due: now, silent: now, counted: true}
}

// withdraw withdraws the crash of a server that answers after all.
func (u *Tracker) withdraw(s Server) {
	u.mu.Lock()
	contents := u.register.WithdrawCrash(u.Now(), s.Incarnation)
	u.mu.Unlock()
	u.Log.Info("server that counted as crashed answers again", "server", s.ID, "pool", s.Pool, "contents", contents)
}

// recordProbe records the result of a probe and reports whether it was the last.
func (u *Tracker) recordProbe(s Server, p Presence) (last bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Now()
	if p == NoAnswer {
		if u.silent == nil {
			u.silent = map[crasher.Incarnation]time.Time{}
		}
		u.silent[s.Incarnation] = now
	}
	a := u.probing[s.Incarnation]
	if a == nil {
		return true
	}
	a.tries++
	a.due = now.Add(probeInterval)
	if a.counted {
		a.due = now
		last = p != NoAnswer || now.Sub(a.silent) >= soundSilence
		if p == Present {
			go u.withdraw(s)
		}
	} else {
		last = p == Absent || a.tries >= probeTries
	}
	if last {
		delete(u.probing, s.Incarnation)
	}
	return last
}

// onlySilent reports whether no other server was unresponsive recently. If several are, this box may be disconnected and
// the servers may be running.
func (u *Tracker) onlySilent(s Server) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for incarnation, at := range u.silent {
		if incarnation != s.Incarnation && u.Now().Sub(at) < silentTogether {
			return false
		}
	}
	return true
}

// startDueProbes probes the servers whose next probe is due.
func (u *Tracker) startDueProbes() {
	now := u.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, a := range u.probing {
		if !a.due.IsZero() && !now.Before(a.due) {
			a.due = time.Time{}
			go u.probe(a.server)
		}
	}
}

// RecordCrash records that an incarnation of a server ended unplanned.
func (u *Tracker) RecordCrash(s Server, proof Proof) {
	u.mu.Lock()
	counted := u.register.RecordCrash(u.Now(), s.Incarnation)
	u.mu.Unlock()
	u.logCounted(counted, s.ID, proof)
}

// RecordGood records good responses to contents, which clear them.
func (u *Tracker) RecordGood(keys ...crasher.Key) {
	u.mu.Lock()
	var cleared []crasher.Counted
	for _, k := range keys {
		if u.register.RecordGood(u.Now(), k) {
			cleared = append(cleared, crasher.Counted{Key: k, Verdict: u.register.Check(u.Now(), k)})
		}
	}
	u.mu.Unlock()
	if len(cleared) > 0 {
		u.Log.Info("contents cleared by good responses", "contents", len(cleared), "key", cleared[0].Key.String())
		u.scheduleReport(cleared)
	}
}

// logCounted logs the contents that a crash was counted against and reports them to other boxes.
func (u *Tracker) logCounted(list []crasher.Counted, server string, proof Proof) {
	if len(list) == 0 {
		return
	}
	u.any.Store(true)
	for i, c := range list {
		if i < maxLogLines {
			u.Log.Warn("server crashed while running a request", "key", c.Key.String(), "server", server, "proof", string(proof), "ends", c.Verdict.Ends, "barred", c.Verdict.Barred, "suspects", len(list))
		}
	}
	if u.Counted != nil {
		u.Counted(len(list))
	}
	u.scheduleReport(list)
}

// scheduleReport schedules a report to other boxes that collects the contents changed within reportDelay: those with two
// crashes or more go to all boxes, the others to their counter boxes.
func (u *Tracker) scheduleReport(list []crasher.Counted) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range list {
		if c.Verdict.Seen < crasher.IsolationThreshold {
			u.single = append(u.single, c.Key)
		} else {
			u.news = true
		}
	}
	if u.reportScheduled || len(u.single) == 0 && !u.news {
		return
	}
	u.reportScheduled = true
	time.AfterFunc(reportDelay, u.sendReport)
}

// sendReport sends the scheduled report.
func (u *Tracker) sendReport() {
	u.mu.Lock()
	news, single := u.news, u.single
	u.reportScheduled, u.news, u.single = false, false, nil
	u.mu.Unlock()
	if news {
		u.Announce()
	}
	u.reportToCounters(single, map[string]bool{})
}

// reportToCounters sends this box's notes on contents to their counter boxes. A box that doesn't respond is replaced by
// the next one: in a fleet of 61 boxes that had just lost both counter boxes of a content, 3 servers crashed instead of 21, and 8
// late sends were avoided.
func (u *Tracker) reportToCounters(keys []crasher.Key, silent map[string]bool) {
	boxes := slices.DeleteFunc(slices.Clone(u.Boxes()), func(box string) bool { return silent[box] })
	to := map[string][]crasher.Key{}
	for _, k := range keys {
		for _, box := range crasher.Counters(k, boxes) {
			to[box] = append(to[box], k)
		}
	}
	delete(to, u.Self)
	for box, keys := range to {
		for part := range slices.Chunk(keys, crasher.MaxNotes) {
			go u.reportToCounter(box, part, silent)
		}
	}
}

// reportToCounter sends notes to one counter box and records the notes in its response.
func (u *Tracker) reportToCounter(box string, keys []crasher.Key, silent map[string]bool) {
	u.mu.Lock()
	notes := u.register.NotesOf(u.Now(), keys)
	u.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	known, err := u.Exchange(ctx, box, notes)
	if err == nil {
		u.Merge(known, box)
		return
	}
	u.Log.Warn("counter box for server crashes does not respond", "peer", box, "contents", len(keys), "passed_over", len(silent), "cause", err.Error())
	if len(silent) < maxSkippedCounters {
		next := maps.Clone(silent)
		next[box] = true
		u.reportToCounters(keys, next)
	}
}

// HandleReport records another box's notes on contents that this box is a counter of, and returns this box's notes on them.
func (u *Tracker) HandleReport(notes []crasher.Note, from string) []crasher.Note {
	u.Merge(notes, from)
	keys := make([]crasher.Key, 0, len(notes))
	for _, n := range notes[:min(len(notes), crasher.MaxNotes)] {
		keys = append(keys, n.Key)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.register.NotesOf(u.Now(), keys)
}

// Merge records the notes of another box.
func (u *Tracker) Merge(notes []crasher.Note, from string) {
	if len(notes) == 0 {
		return
	}
	u.mu.Lock()
	changed := u.register.Merge(u.Now(), notes)
	u.mu.Unlock()
	if len(changed) == 0 {
		return
	}
	u.any.Store(true)
	var news []crasher.Counted // a first crash is not passed on: this box is the counter
	for _, c := range changed {
		if c.Verdict.Seen < crasher.IsolationThreshold {
			continue
		}
		news = append(news, c)
		u.Log.Info("another box reported a content that may crash servers", "key", c.Key.String(), "ends", c.Verdict.Ends, "barred", c.Verdict.Barred, "from", from)
	}
	u.scheduleReport(news)
}

// Notes returns the notes to send to other boxes; with news only the latest changes.
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

// Tick starts the probes that are due and removes expired state.
func (u *Tracker) Tick() {
	u.startDueProbes()
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Now()
	u.register.Sweep(now)
	maps.DeleteFunc(u.silent, func(_ crasher.Incarnation, at time.Time) bool { return now.Sub(at) >= silentTogether })
	u.any.Store(!u.register.Empty())
}
