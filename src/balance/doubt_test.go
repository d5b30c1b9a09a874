package balance

import (
	"fmt"
	"testing"
	"time"
)

// runWithCrashedServers simulates a box with 30 servers of which every third has crashed but is still listed. Other
// boxes report their load at the live ones. It returns how many of 20 requests, 50 ms apart, were sent to a crashed server, and the number of
// the other requests at each server.
func runWithCrashedServers(t *testing.T) (met int, at map[string]int) {
	p := testPool("a", 30)
	var notes []LoadReport
	gone := map[string]bool{}
	for i := range 30 {
		id := fmt.Sprintf("s%d", i)
		if gone[id] = i%3 == 0; !gone[id] {
			notes = append(notes, LoadReport{Server: p.servers[id].hash, Load: Load{Requests: 1 + i%2}})
		}
	}
	at = map[string]int{}
	for i := range 20 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		p.SetBoxLoads(now, "b", notes)
		w := &Request{LeastLoaded: true}
		s, _, ok := p.Pick(now, w)
		if !ok {
			t.Fatal("no server was picked")
		}
		if gone[s.ID] {
			met++
			p.Ended(now, s.ID, w, Absent)
			continue
		}
		at[s.ID]++
		p.Ended(now, s.ID, w, Good)
	}
	return met, at
}

// Crashed servers look idle. After one was found absent the other idle ones are doubted and requests go to servers known
// to be working, so that requests are not sent to one crashed server after another.
func TestIdleServersAreDoubtedAfterOneIsAbsent(t *testing.T) {
	if met, at := runWithCrashedServers(t); met > 2 || len(at) < 5 {
		t.Errorf("%d of 20 requests were sent to a crashed server; the others went to %v", met, at)
	}
}

// A doubt expires, and an exchange with a server ends it for that server: idle servers get requests again.
func TestDoubtEnds(t *testing.T) {
	p := testPool("a", 2)
	p.SetBoxLoads(start, "b", []LoadReport{{Server: p.servers["s0"].hash, Load: Load{Requests: 9}}})
	w := &Request{}
	p.Ended(start, "s1", w, Absent)
	p.servers["s1"].pausedUntil, p.servers["s1"].pauses = time.Time{}, 0
	if got := pick(t, p, w); got != "s0" {
		t.Errorf("%s was picked, want the one known to be working", got)
	}
	p.Ended(start, "s1", w, Good)
	if got := pick(t, p, w); got != "s1" {
		t.Errorf("%s was picked, want the idle one, which has just responded", got)
	}
	q := testPool("a", 2)
	q.Ended(start, "s1", w, Absent)
	later := start.Add(doubtPeriod)
	q.SetBoxLoads(later, "b", []LoadReport{{Server: q.servers["s0"].hash, Load: Load{Requests: 9}}})
	q.servers["s1"].pausedUntil, q.servers["s1"].pauses = time.Time{}, 0
	if s, _, _ := q.Pick(later, w); s.ID != "s1" {
		t.Errorf("%s was picked %s after a server was found absent, want the idle one", s.ID, doubtPeriod)
	}
}

// A server that was found absent is paused at once, even if other boxes report little load there: one without a process for
// a short time, since it may come back, and one whose address another server has for as long as the list may be stale.
func TestAbsentServerIsPausedAtOnce(t *testing.T) {
	for outcome, rest := range map[Outcome]time.Duration{Absent: failurePause, Replaced: replacedPause} {
		p := testPool("a", 3)
		hear := func(now time.Time) {
			p.SetBoxLoads(now, "b", []LoadReport{
				{Server: p.servers["s0"].hash, Load: Load{Requests: 1}},
				{Server: p.servers["s1"].hash, Load: Load{Requests: 9}},
				{Server: p.servers["s2"].hash, Load: Load{Requests: 9}},
			})
		}
		w := &Request{LeastLoaded: true}
		hear(start)
		if got := pick(t, p, w); got != "s0" {
			t.Fatalf("%s was picked, want the least loaded", got)
		}
		p.Ended(start, "s0", w, outcome)
		for _, after := range []time.Duration{0, rest - time.Millisecond, rest} {
			hear(start.Add(after))
			s, _, _ := p.Pick(start.Add(after), w)
			p.Ended(start.Add(after), s.ID, w, Dropped)
			if (s.ID == "s0") != (after == rest) {
				t.Errorf("%s: %s was picked %s after s0 was found absent; it is paused for %s", outcome, s.ID, after, rest)
			}
		}
	}
}
