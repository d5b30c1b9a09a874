// Package crasher identifies requests that crash the servers that run them. Register records what boxes observe (broken
// exchanges, crashed servers, good responses) and decides whether a content may be sent.
//
// A broken exchange is not a crash, and every request running at a crashed server is a suspect. So a crash counts against a
// content only if it is proven, by a refused connection or by the list of servers, and each incarnation counts once, however
// many boxes report it. The guilty content is the one that is present at every crash and never gets a good response; a good
// response clears a content at all boxes. From the second crash on a content is run separately from others, and after the
// third it is refused for a time. Requests of which no two are alike may have a prompt part in common under which servers
// crash; so each shared part counts as a content of its own.
//
// Boxes exchange their changes. The state, crashed incarnations and the latest good response, only grows, so notes can be
// merged in any order, late or repeatedly.
//
// The package does no I/O and reads no clock. A Register is not safe for concurrent use.
package crasher

import (
	"cmp"
	"slices"
	"time"
)

// Verdict describes the crashes attributed to a content at a pool and whether it is refused.
type Verdict struct {
	Ends   int           // crashes that are not cleared by a good response
	Seen   int           // all crashes, including cleared ones
	Barred bool          // it must not be sent
	Left   time.Duration // time until it may be tried again, if barred
}

// Worse reports whether a verdict is worse than another.
func (v Verdict) Worse(o Verdict) bool {
	if v.Barred != o.Barred {
		return v.Barred
	}
	return v.Ends > o.Ends || v.Ends == o.Ends && v.Left > o.Left
}

// Register holds what one box knows about contents that may crash servers. The zero value is ready to use.
type Register struct {
	entries  map[Key]*entry
	broken   map[Incarnation][]brokenExchange // broken exchanges without proof of a crash
	ended    map[Incarnation]time.Time        // crashes, and when they were proven
	goods    recentGood
	rotation int // position in the rotation of Notes
}

// entry is a content with at least one crash.
type entry struct {
	crashes []crash   // sorted by time
	goodAt  time.Time // latest good response
	changed time.Time // last change to report to other boxes
}

// crash is the crash of a server while it ran a content.
type crash struct {
	incarnation Incarnation
	at          time.Time
}

// brokenExchange is a broken exchange whose server is not known to have crashed.
type brokenExchange struct {
	key Key
	at  time.Time
}

// Counted is a content that a crash was counted against, with its verdict.
type Counted struct {
	Key     Key
	Verdict Verdict
}

// RecordBroken records that exchanges of contents with an incarnation of a server broke. If the incarnation is known to have
// crashed it counts the crash against the contents and returns them.
func (r *Register) RecordBroken(now time.Time, incarnation Incarnation, keys ...Key) []Counted {
	if at, known := r.ended[incarnation]; known && now.Sub(at) <= proofWindow {
		return r.addCrashes(now, incarnation, brokenExchangesAt(now, keys))
	}
	if r.broken == nil {
		r.broken = map[Incarnation][]brokenExchange{}
	}
	list, known := r.broken[incarnation]
	if !known && len(r.broken) >= maxBroken {
		return nil
	}
	for _, b := range brokenExchangesAt(now, keys) {
		at := slices.IndexFunc(list, func(o brokenExchange) bool { return o.key == b.key })
		switch {
		case at >= 0: // many requests share a prompt part
			list[at] = b
		case len(list) < keysPerIncarnation:
			list = append(list, b)
		}
	}
	r.broken[incarnation] = list
	return nil
}

// brokenExchangesAt returns the broken exchanges of contents at one time.
func brokenExchangesAt(now time.Time, keys []Key) []brokenExchange {
	out := make([]brokenExchange, len(keys))
	for i, k := range keys {
		out[i] = brokenExchange{key: k, at: now}
	}
	return out
}

// RecordCrash records that an incarnation of a server has ended unplanned. It returns the contents that this counts against.
func (r *Register) RecordCrash(now time.Time, incarnation Incarnation) []Counted {
	if r.ended == nil {
		r.ended = map[Incarnation]time.Time{}
	}
	if _, known := r.ended[incarnation]; !known {
		r.ended[incarnation] = now
	}
	list := r.broken[incarnation]
	delete(r.broken, incarnation)
	return r.addCrashes(now, incarnation, list)
}

// WithdrawCrash removes a crash that was no crash, and returns the number of contents against which it was counted.
func (r *Register) WithdrawCrash(now time.Time, incarnation Incarnation) (contents int) {
	delete(r.ended, incarnation)
	for _, e := range r.entries {
		before := len(e.crashes)
		e.crashes = slices.DeleteFunc(e.crashes, func(x crash) bool { return x.incarnation == incarnation })
		if len(e.crashes) < before {
			e.changed = now
			contents++
		}
	}
	return contents
}

// addCrashes counts a crash against the contents of recent broken exchanges and returns them.
func (r *Register) addCrashes(now time.Time, incarnation Incarnation, list []brokenExchange) []Counted {
	var out []Counted
	for _, b := range list {
		if now.Sub(b.at) > proofWindow || !r.addCrash(now, b.key, crash{incarnation: incarnation, at: b.at}) {
			continue
		}
		out = append(out, Counted{Key: b.key, Verdict: r.Check(now, b.key)})
	}
	return out
}

// addCrash adds a crash to a content and reports whether it is new. Of two times for one incarnation the earlier one is kept.
func (r *Register) addCrash(now time.Time, k Key, x crash) bool {
	e := r.entryFor(now, k)
	known := slices.IndexFunc(e.crashes, func(o crash) bool { return o.incarnation == x.incarnation })
	switch {
	case known < 0:
		e.crashes = append(e.crashes, x)
	case x.at.Before(e.crashes[known].at):
		e.crashes[known].at = x.at
	}
	slices.SortFunc(e.crashes, func(a, b crash) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.incarnation, b.incarnation)) })
	if known >= 0 {
		return false
	}
	e.crashes = e.crashes[max(0, len(e.crashes)-maxEnds):]
	if at, ok := r.goods.at(k); ok && at.After(e.goodAt) {
		e.goodAt = at
	}
	e.changed = now
	return true
}

// entryFor returns the entry of a content, creating it if needed. If the table is full another entry is evicted.
func (r *Register) entryFor(now time.Time, k Key) *entry {
	if r.entries == nil {
		r.entries = map[Key]*entry{}
	}
	e := r.entries[k]
	if e != nil {
		return e
	}
	if len(r.entries) >= maxEntries {
		r.evict()
	}
	e = &entry{changed: now}
	r.entries[k] = e
	return e
}

// evict removes the content with the fewest crashes, among equals the one with the oldest latest crash.
func (r *Register) evict() {
	var least Key
	var worst *entry
	for k, e := range r.entries {
		if worst == nil || e.uncleared() < worst.uncleared() || e.uncleared() == worst.uncleared() && e.last().Before(worst.last()) {
			least, worst = k, e
		}
	}
	delete(r.entries, least)
}

// RecordGood records a good response to a content. It reports whether that cleared crashes.
func (r *Register) RecordGood(now time.Time, k Key) (cleared bool) {
	r.goods.add(now, k)
	e := r.entries[k]
	if e == nil {
		return false
	}
	cleared = e.uncleared() > 0
	e.goodAt = now
	if cleared {
		e.changed = now
	}
	return cleared
}

// Check returns the current verdict on a content.
func (r *Register) Check(now time.Time, k Key) Verdict {
	e := r.entries[k]
	if e == nil {
		return Verdict{}
	}
	n := e.uncleared()
	v := Verdict{Ends: n, Seen: len(e.crashes)}
	if left := e.last().Add(barFor(n)).Sub(now); n >= barThreshold && left > 0 {
		v.Barred, v.Left = true, left
	}
	return v
}

// Suspect is a content or prompt part with crashes that are not cleared.
type Suspect struct {
	Key     Key
	Verdict Verdict
}

// Suspects returns what has crashes that are not cleared, the worst first, at most so many, and how many there are.
func (r *Register) Suspects(now time.Time, most int) (list []Suspect, all int) {
	keys := r.keys(func(e *entry) bool { return e.uncleared() > 0 })
	for _, k := range keys[:min(len(keys), most)] {
		list = append(list, Suspect{Key: k, Verdict: r.Check(now, k)})
	}
	return list, len(keys)
}

// Empty reports whether no content has a crash.
func (r *Register) Empty() bool { return len(r.entries) == 0 }

// uncleared returns the number of crashes that are not cleared by a good response.
func (e *entry) uncleared() int {
	from := e.goodAt.Add(goodPeriod)
	n := 0
	for _, x := range e.crashes {
		if e.goodAt.IsZero() || x.at.After(from) {
			n++
		}
	}
	return n
}

// last returns the time of the latest crash.
func (e *entry) last() time.Time {
	if len(e.crashes) == 0 {
		return e.goodAt
	}
	return e.crashes[len(e.crashes)-1].at
}

// barFor returns how long a content with a number of crashes is refused after the last one.
func barFor(ends int) time.Duration {
	if ends < barThreshold {
		return 0
	}
	return min(maxBarTime, firstBarTime<<min(ends-barThreshold, maxEnds))
}

// Sweep removes expired state.
func (r *Register) Sweep(now time.Time) {
	for k, e := range r.entries {
		if now.Sub(e.last()) > max(suspectRetention, 2*barFor(e.uncleared())) {
			delete(r.entries, k)
		}
	}
	for incarnation, at := range r.ended {
		if now.Sub(at) > proofWindow {
			delete(r.ended, incarnation)
		}
	}
	for incarnation, list := range r.broken {
		if !slices.ContainsFunc(list, func(b brokenExchange) bool { return now.Sub(b.at) <= proofWindow }) {
			delete(r.broken, incarnation)
		}
	}
	r.goods.sweep(now)
}
