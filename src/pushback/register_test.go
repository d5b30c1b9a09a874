package pushback

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func life(id string, incarnation int64) Server {
	return Server{ID: id, Incarnation: incarnation}
}

func TestAServerThatLeavesIsLeftForItsLife(t *testing.T) {
	for _, c := range []struct {
		name          string
		said, listed  int64
		stillLeft     bool
		newsFromThere bool // whether the listed life's own word would be news
	}{
		{"the same life", 7, 7, true, false},
		{"a later life", 7, 8, false, true},
		{"an earlier life, as an old list names it", 7, 6, true, false},
		{"lives that are not told, as most servers'", 0, 0, true, false},
		{"an entry that lacks its life", 7, 0, true, false},
		{"a word before the life was known", 0, 7, true, false},
	} {
		var r Register
		if !r.HearLeaving(start, life("a", c.said)) {
			t.Errorf("%s: the first word is no news", c.name)
		}
		later := start.Add(time.Hour)
		if got := r.Judge(later, life("a", c.listed)).State == Leaving; got != c.stillLeft {
			t.Errorf("%s: left %v, want %v", c.name, got, c.stillLeft)
		}
		if got := r.HearLeaving(later, life("a", c.listed)); got != c.newsFromThere {
			t.Errorf("%s: news %v, want %v", c.name, got, c.newsFromThere)
		}
		if v := r.Judge(start, life("b", c.said)); !v.Open() {
			t.Errorf("%s: another server is %s", c.name, v.State)
		}
	}
}

// A life that becomes known after its word is the one that left; the next is not.
func TestALifeThatIsToldLaterIsTheOneThatLeft(t *testing.T) {
	var r Register
	r.HearLeaving(start, life("a", 0))
	r.HearLeaving(start, life("a", 7))
	if v := r.Judge(start, life("a", 7)); v.State != Leaving {
		t.Errorf("the life that left is %s", v.State)
	}
	if v := r.Judge(start, life("a", 8)); !v.Open() {
		t.Errorf("the next life is %s", v.State)
	}
}

func TestWordsAreForgottenWhenTheyAreOfNoUse(t *testing.T) {
	var r Register
	listed := map[string]bool{"listed": true}
	is := func(id string) bool { return listed[id] }
	r.HearLeaving(start, life("listed", 1))
	r.HearLeaving(start, life("gone", 1))
	r.HearRest(start, "resting", time.Second)
	for at := time.Duration(0); at <= 2*departureKept; at += time.Second {
		r.Sweep(start.Add(at), is)
	}
	if r.Judge(start.Add(time.Hour), life("listed", 1)).State != Leaving {
		t.Error("the word of a server that is listed all the time was forgotten")
	}
	if len(r.left) != 1 || len(r.rests) != 0 {
		t.Errorf("%d departures and %d rests are kept, want 1 and 0", len(r.left), len(r.rests))
	}
	for i := range 2 * lifeMost {
		r.HearLeaving(start, life(fmt.Sprint(i), 1))
		r.HearRest(start, fmt.Sprint(i), time.Second)
	}
	if len(r.left) > lifeMost || len(r.rests) > lifeMost {
		t.Errorf("%d departures and %d rests are kept, want %d at most", len(r.left), len(r.rests), lifeMost)
	}
}

func TestTheLatestEndOfARestCounts(t *testing.T) {
	var r Register
	r.HearRest(start, "a", 3*time.Second)
	if _, later := r.HearRest(start.Add(100*time.Millisecond), "a", time.Second); later {
		t.Error("an answer that was overtaken counts as later")
	}
	r.Answered(start.Add(200*time.Millisecond), "a") // was sent before the rest
	for _, at := range []time.Duration{0, time.Second, 2999 * time.Millisecond} {
		if v := r.Judge(start.Add(at), life("a", 9)); v.State != Resting || !v.Until.Equal(start.Add(3*time.Second)) {
			t.Errorf("after %s the server is %s until %s", at, v.State, v.Until.Sub(start))
		}
	}
	if until, _ := r.HearRest(start, "b", 1<<62); until.Sub(start) != mostRest {
		t.Errorf("a rest without sense ends after %s", until.Sub(start))
	}
}

// After its rest a server gets one request, and with each answer twice as many at once; a wave that brings no answer is
// followed by one as large, later.
func TestAServerReturnsInSteps(t *testing.T) {
	var r Register
	r.HearRest(start, "a", time.Second)
	now := start.Add(time.Second)
	wave := func() int {
		n := 0
		for n < 1000 && r.Begin(now, life("a", 1), "").Open() {
			n++
		}
		return n
	}
	if n := wave(); n != 1 {
		t.Fatalf("%d requests tried the server, want 1", n)
	}
	now = now.Add(trialFor)
	if n := wave(); n != 1 {
		t.Fatalf("%d requests tried the server after one that brought nothing, want 1", n)
	}
	for want := 2; want <= returnMost; want *= 2 {
		now = now.Add(10 * time.Millisecond)
		r.Answered(now, "a")
		if n := wave(); n != want {
			t.Fatalf("%d requests at once, want %d", n, want)
		}
	}
	r.Answered(now, "a")
	if n := wave(); n != 1000 {
		t.Errorf("a server that has returned got %d requests, want all", n)
	}
}

// Whatever is heard in whatever order: within a rest nothing begins, and at a life that left nothing ever does.
func TestNothingBeginsAgainstAWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Register
		now, until := start, map[string]time.Time{}
		left := map[Server]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			s := life(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), int64(rapid.IntRange(1, 3).Draw(t, "life")))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				r.HearLeaving(now, s)
				left[s] = true
			case 1:
				length := time.Duration(rapid.IntRange(1, 5000).Draw(t, "rest")) * time.Millisecond
				r.HearRest(now, s.ID, length)
				if end := now.Add(length); end.After(until[s.ID]) {
					until[s.ID] = end
				}
			case 2:
				r.Answered(now, s.ID)
			case 3:
				r.Sweep(now, func(string) bool { return true })
			case 4:
				if v := r.Begin(now, s, ""); v.Open() && (left[s] || now.Before(until[s.ID])) {
					t.Fatalf("a request began at %s of life %d, which left (%v) or rests until %s, at %s", s.ID, s.Incarnation, left[s], until[s.ID].Sub(start), now.Sub(start))
				}
			}
		}
	})
}
