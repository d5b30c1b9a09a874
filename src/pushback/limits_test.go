package pushback

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Of answers that cross, one to a request that was sent before the limit was heard ends nothing, and of two limits the lower counts.
func TestAnAnswerThatCrossesANewerEndsNothing(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name       string
		sent, come int
		says       float64
		want       float64 // 0 for ended
	}{
		{"sent before, none", 50, 150, 0, 4},
		{"sent after, none", 110, 150, 0, 0},
		{"sent before, higher", 50, 150, 9, 4},
		{"sent before, lower", 50, 150, 2, 2},
		{"sent after, higher", 110, 150, 9, 9},
		{"without sense", 110, 150, NoSense, 4},
	} {
		var r Register
		if !r.HearLimit(at(100), at(0), life("a", 1), 4) {
			t.Fatal("a first limit is no news")
		}
		r.HearLimit(at(c.come), at(c.sent), life("a", 1), c.says)
		l, ok := r.LimitOf(at(c.come), life("a", 1))
		if !ok || l.Ended != (c.want == 0) || c.want > 0 && l.PerSecond != c.want {
			t.Errorf("%s: limit %g, ended %v, want %g", c.name, l.PerSecond, l.Ended, c.want)
		}
	}
}

func TestALimitHoldsForOneLife(t *testing.T) {
	var r Register
	r.HearLimit(start, start, life("a", 7), 4)
	for _, c := range []struct {
		life int64
		want bool
	}{{7, true}, {0, true}, {8, false}, {6, true}} {
		if _, ok := r.LimitOf(start, life("a", c.life)); ok != c.want {
			t.Errorf("life %d: limited %v, want %v", c.life, ok, c.want)
		}
	}
	if r.HearLimit(start, start, life("a", 6), 1); r.limits["a"].perSecond != 4 {
		t.Error("the word of an earlier life counts")
	}
	r.HearLimit(start, start, life("a", 8), 2)
	if l, ok := r.LimitOf(start, life("a", 8)); !ok || l.PerSecond != 2 {
		t.Error("the word of the next life does not count")
	}
}

// After its end a limit rises in steps and is then forgotten; another server's never begins.
func TestALimitThatEndsRisesInSteps(t *testing.T) {
	var r Register
	r.HearLimit(start, start, life("a", 1), 4)
	end := start.Add(time.Second)
	r.HearLimit(end, end, life("a", 1), 0)
	for s, want := range []float64{4, 8, 16, 32, 64, 128} {
		if l, ok := r.LimitOf(end.Add(time.Duration(s)*liftStep), life("a", 1)); !ok || l.Rate != want {
			t.Errorf("%d s after its end the limit is %g (%v), want %g", s, l.Rate, ok, want)
		}
	}
	if _, ok := r.LimitOf(end.Add(liftFor), life("a", 1)); ok {
		t.Error("the limit is in force though it ended long ago")
	}
	if v := r.Begin(end.Add(liftFor), life("a", 1), "r"); !v.Open() {
		t.Errorf("the server is %s", v.State)
	}
}

// Whatever boxes tell one another in whatever order, those that have had the same notes believe the same.
func TestOfTwoNotesTheLaterCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var notes []LimitNote
		for range rapid.IntRange(1, 8).Draw(t, "notes") {
			notes = append(notes, LimitNote{
				Server: life("a", int64(rapid.IntRange(1, 2).Draw(t, "life"))), Sequence: uint64(rapid.IntRange(1, 4).Draw(t, "sequence")),
				PerSecond: float64(rapid.IntRange(1, 5).Draw(t, "limit")), Ended: rapid.Bool().Draw(t, "ended"),
			})
		}
		var a, b Register
		for _, n := range notes {
			a.HearNote(start, n)
		}
		for _, n := range rapid.Permutation(notes).Draw(t, "order") {
			b.HearNote(start, n)
		}
		x, y := a.note("a"), b.note("a")
		if x.Ended && y.Ended {
			x.PerSecond = y.PerSecond // of two that say that it ended at one moment, what it was matters little
		}
		if x != y {
			t.Fatalf("one believes %+v, the other %+v", x, y)
		}
	})
}

func TestNotesWithoutSenseArePassedOver(t *testing.T) {
	var r Register
	for _, n := range []LimitNote{
		{Server: life("a", 1), Sequence: 1, PerSecond: 0}, {Server: life("a", 1), Sequence: 1, PerSecond: -1},
		{Server: life("a", 1), Sequence: 1, PerSecond: 2 * MostLimit}, {Server: life("a", 1), PerSecond: 1}, {},
	} {
		if r.HearNote(start, n) || !r.Empty() {
			t.Errorf("%+v was taken", n)
		}
	}
}

// A permit is good for a quarter of a second after its begin, for one request; one that was asked for is its asker's.
func TestAPermitIsGoodForOneRequestAndAWhile(t *testing.T) {
	var r Register
	s := life("a", 1)
	r.HearLimit(start, start, s, 4)
	if v := r.Begin(start, s, "r"); v.Open() {
		t.Fatal("a request began without a permit")
	}
	r.Granted(start, "a", "r", 2, 100*time.Millisecond, time.Second)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	if v := r.Begin(at(50*time.Millisecond), s, "r"); v.Open() || !v.Until.Equal(at(time.Second)) {
		t.Errorf("before the permit begins the server is %s until %s", v.State, v.Until.Sub(start))
	}
	if v := r.Begin(at(150*time.Millisecond), s, "other"); !v.Open() {
		t.Errorf("the permit for any request: %s", v.State)
	}
	if v := r.Begin(at(150*time.Millisecond), s, "other"); v.Open() {
		t.Error("a request took the permit of another")
	}
	if v := r.Judge(at(150*time.Millisecond), s); v.State != Full {
		t.Errorf("the server is %s for others", v.State)
	}
	if v := r.Begin(at(150*time.Millisecond), s, "r"); !v.Open() {
		t.Errorf("the request that asked: %s", v.State)
	}
	r.Granted(start, "a", "r", 1, 0, time.Second)
	if v := r.Begin(at(permitLife), s, "r"); v.Open() {
		t.Error("a permit was used after its time")
	}
	r.Granted(start, "a", "r", 1, 0, time.Second)
	r.GiveBack("a", "r")
	if v := r.Begin(at(permitLife/2), s, "other"); !v.Open() {
		t.Error("a permit that was given back is lost")
	}
}

// What is told of many limits fits a message, has what changed last in each, and all of them in turn.
func TestManyLimitsAreToldInTurn(t *testing.T) {
	var r Register
	const servers = 1000
	for i := range servers {
		r.HearLimit(start.Add(time.Duration(i)*time.Millisecond), start, life(fmt.Sprint(i), 1), 4)
	}
	told := map[string]bool{}
	for range 2 * servers / NotesMost {
		notes := r.Limits()
		if len(notes) != NotesMost {
			t.Fatalf("%d limits in one message, want %d", len(notes), NotesMost)
		}
		if notes[0].Server.ID != fmt.Sprint(servers-1) {
			t.Fatalf("the first is %s, want what changed last", notes[0].Server.ID)
		}
		for _, n := range notes {
			told[n.Server.ID] = true
		}
	}
	if len(told) < servers-NotesMost {
		t.Errorf("%d of %d limits were told", len(told), servers)
	}
	r.Sweep(start.Add(time.Hour), func(string) bool { return false })
	if !r.Empty() {
		t.Error("limits of servers that are gone are kept")
	}
}

func BenchmarkJudgeOfAThousandLimits(b *testing.B) {
	var r Register
	for i := range 1000 {
		r.HearLimit(start, start, life(fmt.Sprint(i), 1), 4)
	}
	s := life("500", 1)
	for range b.N {
		r.Judge(start, s)
	}
}
