package pushback

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func server(id string, incarnation int64) Server {
	return Server{ID: id, Incarnation: incarnation}
}

func TestDepartureAppliesToOneIncarnation(t *testing.T) {
	for _, c := range []struct {
		name          string
		said, listed  int64
		stillLeft     bool
		newsFromThere bool // whether a departure of the listed incarnation is new
	}{
		{"the same incarnation", 7, 7, true, false},
		{"a later incarnation", 7, 8, false, true},
		{"an earlier incarnation, from a stale list", 7, 6, true, false},
		{"unknown incarnations, as of most servers", 0, 0, true, false},
		{"an entry without incarnation", 7, 0, true, false},
		{"a departure without incarnation", 0, 7, true, false},
	} {
		var r Register
		if !r.RecordLeaving(start, server("a", c.said)) {
			t.Errorf("%s: the first departure is not reported as new", c.name)
		}
		later := start.Add(time.Hour)
		if got := r.Check(later, server("a", c.listed)).State == Leaving; got != c.stillLeft {
			t.Errorf("%s: leaving %v, want %v", c.name, got, c.stillLeft)
		}
		if got := r.RecordLeaving(later, server("a", c.listed)); got != c.newsFromThere {
			t.Errorf("%s: new %v, want %v", c.name, got, c.newsFromThere)
		}
		if v := r.Check(start, server("b", c.said)); !v.Open() {
			t.Errorf("%s: another server is %s", c.name, v.State)
		}
	}
}

// An incarnation that becomes known after the departure is the departed one; the next is not.
func TestIncarnationKnownLaterIsTheDepartedOne(t *testing.T) {
	var r Register
	r.RecordLeaving(start, server("a", 0))
	r.RecordLeaving(start, server("a", 7))
	if v := r.Check(start, server("a", 7)); v.State != Leaving {
		t.Errorf("the departed incarnation is %s", v.State)
	}
	if v := r.Check(start, server("a", 8)); !v.Open() {
		t.Errorf("the next incarnation is %s", v.State)
	}
}

func TestExpiredStateIsRemoved(t *testing.T) {
	var r Register
	listed := map[string]bool{"listed": true}
	is := func(id string) bool { return listed[id] }
	r.RecordLeaving(start, server("listed", 1))
	r.RecordLeaving(start, server("gone", 1))
	r.RecordRest(start, "resting", time.Second)
	for at := time.Duration(0); at <= 2*departureRetention; at += time.Second {
		r.Sweep(start.Add(at), is)
	}
	if r.Check(start.Add(time.Hour), server("listed", 1)).State != Leaving {
		t.Error("the departure of a server that is still listed was removed")
	}
	if len(r.departures) != 1 || len(r.rests) != 0 {
		t.Errorf("%d departures and %d rests are kept, want 1 and 0", len(r.departures), len(r.rests))
	}
	for i := range 2 * maxEntries {
		r.RecordLeaving(start, server(fmt.Sprint(i), 1))
		r.RecordRest(start, fmt.Sprint(i), time.Second)
	}
	if len(r.departures) > maxEntries || len(r.rests) > maxEntries {
		t.Errorf("%d departures and %d rests are kept, want %d at most", len(r.departures), len(r.rests), maxEntries)
	}
}

func TestLatestEndOfRestCounts(t *testing.T) {
	var r Register
	r.RecordRest(start, "a", 3*time.Second)
	if _, later := r.RecordRest(start.Add(100*time.Millisecond), "a", time.Second); later {
		t.Error("a delayed response extended the rest")
	}
	r.RecordResponse(start.Add(200*time.Millisecond), "a") // response to a request sent before the rest
	for _, at := range []time.Duration{0, time.Second, 2999 * time.Millisecond} {
		if v := r.Check(start.Add(at), server("a", 9)); v.State != Resting || !v.Until.Equal(start.Add(3*time.Second)) {
			t.Errorf("after %s the server is %s until %s", at, v.State, v.Until.Sub(start))
		}
	}
	if until, _ := r.RecordRest(start, "b", 1<<62); until.Sub(start) != maxRest {
		t.Errorf("an absurdly long rest ends after %s", until.Sub(start))
	}
}

// After its rest a server gets one request, and with each response twice as many at once. Requests without a response are
// followed later by as many again.
func TestServerReturnsInSteps(t *testing.T) {
	var r Register
	r.RecordRest(start, "a", time.Second)
	now := start.Add(time.Second)
	wave := func() int {
		n := 0
		for n < 1000 && r.Begin(now, server("a", 1), "").Open() {
			n++
		}
		return n
	}
	if n := wave(); n != 1 {
		t.Fatalf("%d requests tried the server, want 1", n)
	}
	now = now.Add(trialTimeout)
	if n := wave(); n != 1 {
		t.Fatalf("%d requests tried the server after one without a response, want 1", n)
	}
	for want := 2; want <= maxReturnWindow; want *= 2 {
		now = now.Add(10 * time.Millisecond)
		r.RecordResponse(now, "a")
		if n := wave(); n != want {
			t.Fatalf("%d requests at once, want %d", n, want)
		}
	}
	r.RecordResponse(now, "a")
	if n := wave(); n != 1000 {
		t.Errorf("a server that has returned got %d requests, want all", n)
	}
}

// For random sequences of events: no request begins during a rest or at a departed incarnation.
func TestNoRequestBeginsAtRestingOrDepartedServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Register
		now, until := start, map[string]time.Time{}
		left := map[Server]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			s := server(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), int64(rapid.IntRange(1, 3).Draw(t, "life")))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				r.RecordLeaving(now, s)
				left[s] = true
			case 1:
				length := time.Duration(rapid.IntRange(1, 5000).Draw(t, "rest")) * time.Millisecond
				r.RecordRest(now, s.ID, length)
				if end := now.Add(length); end.After(until[s.ID]) {
					until[s.ID] = end
				}
			case 2:
				r.RecordResponse(now, s.ID)
			case 3:
				r.Sweep(now, func(string) bool { return true })
			case 4:
				if v := r.Begin(now, s, ""); v.Open() && (left[s] || now.Before(until[s.ID])) {
					t.Fatalf("a request began at %s of incarnation %d, which has left (%v) or rests until %s, at %s", s.ID, s.Incarnation, left[s], until[s.ID].Sub(start), now.Sub(start))
				}
			}
		}
	})
}
