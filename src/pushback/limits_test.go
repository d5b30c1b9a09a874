package pushback

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A response to a request sent before the limit was known doesn't end or raise it; of two such limits the lower counts.
func TestDelayedResponseDoesNotEndLimit(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name       string
		sent, come int
		says       float64
		want       float64 // 0 if the limit has ended
	}{
		{"sent before, none", 50, 150, 0, 4},
		{"sent after, none", 110, 150, 0, 0},
		{"sent before, higher", 50, 150, 9, 4},
		{"sent before, lower", 50, 150, 2, 2},
		{"sent after, higher", 110, 150, 9, 9},
		{"without sense", 110, 150, InvalidLimit, 4},
	} {
		var r Register
		if !r.RecordLimit(at(100), at(0), server("a", 1), 4) {
			t.Fatal("the first limit is not reported as new")
		}
		r.RecordLimit(at(c.come), at(c.sent), server("a", 1), c.says)
		l, ok := r.LimitOf(at(c.come), server("a", 1))
		if !ok || l.Ended != (c.want == 0) || c.want > 0 && l.PerSecond != c.want {
			t.Errorf("%s: limit %g, ended %v, want %g", c.name, l.PerSecond, l.Ended, c.want)
		}
	}
}

func TestLimitAppliesToOneIncarnation(t *testing.T) {
	var r Register
	r.RecordLimit(start, start, server("a", 7), 4)
	for _, c := range []struct {
		incarnation int64
		want        bool
	}{{7, true}, {0, true}, {8, false}, {6, true}} {
		if _, ok := r.LimitOf(start, server("a", c.incarnation)); ok != c.want {
			t.Errorf("incarnation %d: limited %v, want %v", c.incarnation, ok, c.want)
		}
	}
	if r.RecordLimit(start, start, server("a", 6), 1); r.limits["a"].perSecond != 4 {
		t.Error("a limit of an earlier incarnation was applied")
	}
	r.RecordLimit(start, start, server("a", 8), 2)
	if l, ok := r.LimitOf(start, server("a", 8)); !ok || l.PerSecond != 2 {
		t.Error("a limit of the next incarnation was ignored")
	}
}

// After its end a limit rises in steps and then no longer applies.
func TestEndedLimitRisesInSteps(t *testing.T) {
	var r Register
	r.RecordLimit(start, start, server("a", 1), 4)
	end := start.Add(time.Second)
	r.RecordLimit(end, end, server("a", 1), 0)
	for s, want := range []float64{4, 8, 16, 32, 64, 128} {
		if l, ok := r.LimitOf(end.Add(time.Duration(s)*limitRampStep), server("a", 1)); !ok || l.Rate != want {
			t.Errorf("%d s after its end the limit is %g (%v), want %g", s, l.Rate, ok, want)
		}
	}
	if _, ok := r.LimitOf(end.Add(limitRampPeriod), server("a", 1)); ok {
		t.Error("the limit is still in force long after its end")
	}
	if v := r.Begin(end.Add(limitRampPeriod), server("a", 1), "r"); !v.Open() {
		t.Errorf("the server is %s", v.State)
	}
}

// Boxes that received the same notes in any order have the same limits.
func TestLimitNotesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var notes []LimitNote
		for range rapid.IntRange(1, 8).Draw(t, "notes") {
			notes = append(notes, LimitNote{
				Server: server("a", int64(rapid.IntRange(1, 2).Draw(t, "life"))), Sequence: uint64(rapid.IntRange(1, 4).Draw(t, "sequence")),
				PerSecond: float64(rapid.IntRange(1, 5).Draw(t, "limit")), Ended: rapid.Bool().Draw(t, "ended"),
			})
		}
		var a, b Register
		for _, n := range notes {
			a.MergeNote(start, n)
		}
		for _, n := range rapid.Permutation(notes).Draw(t, "order") {
			b.MergeNote(start, n)
		}
		x, y := a.note("a"), b.note("a")
		if x.Ended && y.Ended {
			x.PerSecond = y.PerSecond // of two ended limits with the same sequence number either may be kept
		}
		if x != y {
			t.Fatalf("one box has %+v, the other %+v", x, y)
		}
	})
}

func TestInvalidLimitNotesAreIgnored(t *testing.T) {
	var r Register
	for _, n := range []LimitNote{
		{Server: server("a", 1), Sequence: 1, PerSecond: 0}, {Server: server("a", 1), Sequence: 1, PerSecond: -1},
		{Server: server("a", 1), Sequence: 1, PerSecond: 2 * MaxLimit}, {Server: server("a", 1), PerSecond: 1}, {},
	} {
		if r.MergeNote(start, n) || !r.Empty() {
			t.Errorf("%+v was accepted", n)
		}
	}
}

// A permit is valid for one request and for a quarter of a second after its begin. One that was requested is reserved for its
// requester.
func TestPermitIsValidOnceAndForALimitedTime(t *testing.T) {
	var r Register
	s := server("a", 1)
	r.RecordLimit(start, start, s, 4)
	if v := r.Begin(start, s, "r"); v.Open() {
		t.Fatal("a request began without a permit")
	}
	r.AddPermits(start, "a", "r", 2, 100*time.Millisecond, time.Second)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	if v := r.Begin(at(50*time.Millisecond), s, "r"); v.Open() || !v.Until.Equal(at(time.Second)) {
		t.Errorf("before the permit begins the server is %s until %s", v.State, v.Until.Sub(start))
	}
	if v := r.Begin(at(150*time.Millisecond), s, "other"); !v.Open() {
		t.Errorf("the permit for any request: %s", v.State)
	}
	if v := r.Begin(at(150*time.Millisecond), s, "other"); v.Open() {
		t.Error("a request used the reserved permit of another")
	}
	if v := r.Check(at(150*time.Millisecond), s); v.State != Full {
		t.Errorf("the server is %s for others", v.State)
	}
	if v := r.Begin(at(150*time.Millisecond), s, "r"); !v.Open() {
		t.Errorf("the request with the reserved permit: %s", v.State)
	}
	r.AddPermits(start, "a", "r", 1, 0, time.Second)
	if v := r.Begin(at(permitLifetime), s, "r"); v.Open() {
		t.Error("an expired permit was used")
	}
	r.AddPermits(start, "a", "r", 1, 0, time.Second)
	r.ReleasePermit("a", "r")
	if v := r.Begin(at(permitLifetime/2), s, "other"); !v.Open() {
		t.Error("a released permit is lost")
	}
}

// Reports of many limits fit in a message, always include the latest changes, and cover all limits in rotation.
func TestManyLimitsAreReportedInRotation(t *testing.T) {
	var r Register
	const servers = 1000
	for i := range servers {
		r.RecordLimit(start.Add(time.Duration(i)*time.Millisecond), start, server(fmt.Sprint(i), 1), 4)
	}
	told := map[string]bool{}
	for range 2 * servers / MaxNotes {
		notes := r.LimitNotes()
		if len(notes) != MaxNotes {
			t.Fatalf("%d limits in one message, want %d", len(notes), MaxNotes)
		}
		if notes[0].Server.ID != fmt.Sprint(servers-1) {
			t.Fatalf("the first is %s, want the latest change", notes[0].Server.ID)
		}
		for _, n := range notes {
			told[n.Server.ID] = true
		}
	}
	if len(told) < servers-MaxNotes {
		t.Errorf("%d of %d limits were reported", len(told), servers)
	}
	r.Sweep(start.Add(time.Hour), func(string) bool { return false })
	if !r.Empty() {
		t.Error("limits of removed servers are kept")
	}
}

func BenchmarkCheckWithThousandLimits(b *testing.B) {
	var r Register
	for i := range 1000 {
		r.RecordLimit(start, start, server(fmt.Sprint(i), 1), 4)
	}
	s := server("500", 1)
	for range b.N {
		r.Check(start, s)
	}
}

func TestParseBrittle(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   int
	}{
		{nil, 0}, {[]string{"6"}, 6}, {[]string{" 6 "}, 6}, {[]string{"6", "4"}, 4}, {[]string{"0"}, 1}, {[]string{"-3"}, 1}, {[]string{"many"}, 1},
		{[]string{"99999999999999999999"}, MaxBrittle},
	} {
		if got := ParseBrittle(c.values); got != c.want {
			t.Errorf("%q: %d, want %d", c.values, got, c.want)
		}
	}
}
