package balance

import (
	"fmt"
	"testing"
	"time"
)

// crashed plays a box before 30 servers of which every third has crashed while the list still names it. Other boxes tell
// of their work at the living ones. It gives how many of 20 requests, 50 ms apart, met a crashed server first, and how
// the requests that met none were spread.
func crashed(t *testing.T) (met int, at map[string]int) {
	p := testPool("a", 30)
	var notes []Note
	gone := map[string]bool{}
	for i := range 30 {
		id := fmt.Sprintf("s%d", i)
		if gone[id] = i%3 == 0; !gone[id] {
			notes = append(notes, Note{Server: p.servers[id].hash, Load: Load{Requests: 1 + i%2}})
		}
	}
	at = map[string]int{}
	for i := range 20 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		p.Hear(now, "b", notes)
		w := &Wish{LeastLoaded: true}
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

// Servers that crashed look idle. After one was found gone the others that look idle are doubted, and requests go where
// work is known to be, so that no request meets one crashed server after the other.
func TestAfterOneServerIsFoundGoneIdleOnesAreDoubted(t *testing.T) {
	if met, at := crashed(t); met > 2 || len(at) < 5 {
		t.Errorf("%d of 20 requests met a crashed server first; the others went to %v", met, at)
	}
}

// The doubt ends by itself, and an exchange ends it for one server: idle servers get work again.
func TestADoubtEnds(t *testing.T) {
	p := testPool("a", 2)
	p.Hear(start, "b", []Note{{Server: p.servers["s0"].hash, Load: Load{Requests: 9}}})
	w := &Wish{}
	p.Ended(start, "s1", w, Absent)
	p.servers["s1"].until, p.servers["s1"].rests = time.Time{}, 0
	if got := pick(t, p, w); got != "s0" {
		t.Errorf("%s was picked, want the one that is known to work", got)
	}
	p.Ended(start, "s1", w, Good)
	if got := pick(t, p, w); got != "s1" {
		t.Errorf("%s was picked, want the idle one, which has just answered", got)
	}
	q := testPool("a", 2)
	q.Ended(start, "s1", w, Absent)
	later := start.Add(goneDoubt)
	q.Hear(later, "b", []Note{{Server: q.servers["s0"].hash, Load: Load{Requests: 9}}})
	q.servers["s1"].until, q.servers["s1"].rests = time.Time{}, 0
	if s, _, _ := q.Pick(later, w); s.ID != "s1" {
		t.Errorf("%s was picked %s after a server was found gone, want the idle one", s.ID, goneDoubt)
	}
}

// A server that was found gone is left alone at once, also where other boxes have told of little work there: one without a
// process for a moment, since it may come back, one whose address another has for as long as the list may name it.
func TestAServerThatIsGoneRestsAtOnce(t *testing.T) {
	for outcome, rest := range map[Outcome]time.Duration{Absent: failurePause, Replaced: replacedPause} {
		p := testPool("a", 3)
		hear := func(now time.Time) {
			p.Hear(now, "b", []Note{
				{Server: p.servers["s0"].hash, Load: Load{Requests: 1}},
				{Server: p.servers["s1"].hash, Load: Load{Requests: 9}},
				{Server: p.servers["s2"].hash, Load: Load{Requests: 9}},
			})
		}
		w := &Wish{LeastLoaded: true}
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
				t.Errorf("%s: %s was picked %s after s0 was found gone; it rests for %s", outcome, s.ID, after, rest)
			}
		}
	}
}
