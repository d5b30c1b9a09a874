package crasher

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var began = time.Unix(1_000_000, 0)

func keyOf(n int) Key {
	return ContentOf("w", "POST", "h", "/x", []byte(fmt.Sprint(n))).At("pool")
}

// crashWith records the crash of a server while it ran contents.
func crashWith(r *Register, now time.Time, incarnation Incarnation, keys ...Key) {
	r.RecordBroken(now, incarnation, keys...)
	r.RecordCrash(now, incarnation)
}

func TestThirdCrashBarsContentForATime(t *testing.T) {
	var r Register
	k, now := keyOf(1), began
	for i := range 3 {
		if v := r.Check(now, k); v.Barred || v.Ends != i {
			t.Fatalf("after %d crashes: %+v", i, v)
		}
		now = now.Add(time.Minute)
		crashWith(&r, now, Incarnation(i), k)
	}
	v := r.Check(now, k)
	if !v.Barred || v.Left != firstBarTime {
		t.Errorf("after the third crash: %+v", v)
	}
	now = now.Add(firstBarTime + time.Second)
	r.Sweep(now)
	if v := r.Check(now, k); v.Barred || v.Ends != 3 {
		t.Errorf("after the bar: %+v, want no bar and the same crashes", v)
	}
	crashWith(&r, now, 9, k)
	if v := r.Check(now, k); !v.Barred || v.Left != 2*firstBarTime {
		t.Errorf("after another crash: %+v, want twice the time", v)
	}
}

func TestBrokenExchangeCountsOnlyIfServerCrashed(t *testing.T) {
	var r Register
	k := keyOf(1)
	for i := range 5 {
		r.RecordBroken(began, Incarnation(i), k)
	}
	if v := r.Check(began, k); v.Ends != 0 {
		t.Errorf("broken exchanges alone: %+v", v)
	}
	later := began.Add(proofWindow + time.Second)
	for i := range 5 {
		r.RecordCrash(later, Incarnation(i))
	}
	if v := r.Check(later, k); v.Ends != 0 {
		t.Errorf("servers that crashed long after: %+v", v)
	}
}

func TestIncarnationCountsOnce(t *testing.T) {
	var a, b Register
	k := keyOf(1)
	crashWith(&a, began, 7, k)
	crashWith(&b, began.Add(time.Millisecond), 7, k)
	a.RecordBroken(began.Add(2*time.Millisecond), 7, k, k) // a second attempt there
	a.Merge(began.Add(3*time.Millisecond), b.News(began.Add(3*time.Millisecond)))
	a.Merge(began.Add(4*time.Millisecond), b.NotesOf(began.Add(4*time.Millisecond), []Key{k}))
	if v := a.Check(began, k); v.Ends != 1 {
		t.Errorf("%+v, want one crash", v)
	}
}

func TestBrokenExchangeReportedAfterCrashCounts(t *testing.T) {
	var r Register
	r.RecordCrash(began, 7)
	if out := r.RecordBroken(began.Add(time.Second), 7, keyOf(1)); len(out) != 1 || out[0].Verdict.Ends != 1 {
		t.Errorf("%+v", out)
	}
}

func TestGoodResponseClearsContent(t *testing.T) {
	k := keyOf(1)
	for name, goodAt := range map[string]time.Duration{"since": 5 * time.Second, "a moment before": -5 * time.Second} {
		var r Register
		if goodAt < 0 {
			r.RecordGood(began.Add(goodAt), k)
		}
		for i := range 4 {
			crashWith(&r, began.Add(time.Duration(i)*time.Second), Incarnation(i), k)
		}
		if goodAt > 0 {
			r.RecordGood(began.Add(goodAt), k)
		}
		if v := r.Check(began.Add(6*time.Second), k); v.Ends != 0 || v.Barred {
			t.Errorf("a good response %s: %+v", name, v)
		}
	}
}

func TestOldGoodResponseDoesNotClear(t *testing.T) {
	var r Register
	k := keyOf(1)
	r.RecordGood(began, k)
	for i := range 3 {
		crashWith(&r, began.Add(goodPeriod+time.Duration(i+1)*time.Second), Incarnation(i), k)
	}
	if v := r.Check(began.Add(goodPeriod+5*time.Second), k); !v.Barred {
		t.Errorf("%+v", v)
	}
}

// A good response at one box clears the content at the box that observed crashes.
func TestGoodResponseElsewhereClearsContent(t *testing.T) {
	var saw, answered Register
	k := keyOf(1)
	answered.RecordGood(began, k)
	for i := range 3 {
		crashWith(&saw, began.Add(time.Second), Incarnation(i), k)
	}
	now := began.Add(1100 * time.Millisecond)
	if changed := answered.Merge(now, saw.News(now)); len(changed) != 1 || changed[0].Verdict.Ends != 0 {
		t.Fatalf("%+v", changed)
	}
	if changed := saw.Merge(now, answered.News(now)); len(changed) != 1 || saw.Check(now, k).Barred {
		t.Errorf("%+v %+v", changed, saw.Check(now, k))
	}
}

func TestContentsOfWorkspacesAndPoolsDiffer(t *testing.T) {
	one := ContentOf("school", "POST", "h", "/x", []byte("b"))
	for _, other := range []Content{
		ContentOf("other", "POST", "h", "/x", []byte("b")), ContentOf("school", "PUT", "h", "/x", []byte("b")),
		ContentOf("school", "POST", "h2", "/x", []byte("b")), ContentOf("school", "POST", "h", "/x?q", []byte("b")),
		ContentOf("school", "POST", "h", "/x", []byte("c")), ContentOf("schoo", "lPOST", "h", "/x", []byte("b")),
	} {
		if other == one {
			t.Error("two contents have the same identifier")
		}
	}
	if one.At("a") == one.At("b") {
		t.Error("a content has the same key at two pools")
	}
}

// When half of a large pool fails the table stays bounded, and the contents with the most crashes are kept and reported
// first.
func TestFullTableKeepsContentsWithMostCrashes(t *testing.T) {
	var r Register
	guilty := keyOf(-1)
	crashWith(&r, began, 1, guilty)
	crashWith(&r, began, 2, guilty)
	for i := range maxEntries + 500 {
		crashWith(&r, began, Incarnation(100+i/keysPerIncarnation), keyOf(i))
	}
	if len(r.entries) > maxEntries || r.Check(began, guilty).Ends != 2 {
		t.Errorf("%d entries, the verdict on the guilty one: %+v", len(r.entries), r.Check(began, guilty))
	}
	if news := r.News(began); len(news) != 1 || news[0].Key != guilty {
		t.Errorf("%d notes, the first of %s", len(news), news[0].Key)
	}
	r.Sweep(began.Add(firstBarTime))
	if len(r.entries) != 0 {
		t.Errorf("%d entries are left", len(r.entries))
	}
}

// Whatever boxes observe, and in whatever order their notes arrive, repeatedly or late, all have the same verdicts once each
// has all notes.
func TestVerdictsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boxes := make([]Register, 3)
		now := began
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			r := &boxes[rapid.IntRange(0, 2).Draw(t, "box")]
			k, incarnation := keyOf(rapid.IntRange(0, 2).Draw(t, "content")), Incarnation(rapid.IntRange(0, 9).Draw(t, "life"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				r.RecordBroken(now, incarnation, k)
			case 1:
				r.RecordCrash(now, incarnation)
			case 2:
				r.RecordGood(now, k)
			case 3:
				r.Merge(now, boxes[rapid.IntRange(0, 2).Draw(t, "other")].Notes(now))
			case 4:
				crashWith(r, now, incarnation, k)
			}
		}
		for range 3 {
			for i := range boxes {
				for j := range boxes {
					boxes[i].Merge(now, boxes[j].allNotes(now))
				}
			}
		}
		for n := range 3 {
			for i := 1; i < len(boxes); i++ {
				if a, b := boxes[0].Check(now, keyOf(n)), boxes[i].Check(now, keyOf(n)); a != b {
					t.Fatalf("content %d: box 0 has %+v, box %d %+v", n, a, i, b)
				}
			}
		}
	})
}

// allNotes returns the notes on all contents.
func (r *Register) allNotes(now time.Time) []Note {
	return r.notes(now, r.keys(func(*entry) bool { return true }))
}

func TestWithdrawnCrashCountsNoMore(t *testing.T) {
	var r Register
	now := time.Unix(100, 0)
	for i := range barThreshold {
		r.RecordBroken(now, Incarnation(i+1), Key{1}, Key{byte(i + 2)})
		r.RecordCrash(now, Incarnation(i+1))
	}
	if v := r.Check(now, Key{1}); !v.Barred {
		t.Fatalf("%+v", v)
	}
	if n := r.WithdrawCrash(now, 1); n != 2 {
		t.Errorf("withdrawn from %d contents, want 2", n)
	}
	if v, alone := r.Check(now, Key{1}), r.Check(now, Key{2}); v.Barred || v.Ends != barThreshold-1 || alone.Ends != 0 {
		t.Errorf("%+v and %+v", v, alone)
	}
	r.Notes(now)
	r.Sweep(now.Add(time.Hour))
}

// Guards against a shared part that hides behind requests of which no two are alike, and against innocent parts beside it.
func TestPartPresentAtEveryCrashIsBarred(t *testing.T) {
	var r Register
	now := began
	first, deadly := PartOf("w", "first").At("pool"), PartOf("w", "deadly").At("pool")
	for i := range 3 {
		now = now.Add(time.Second)
		r.RecordGood(now, first)
		crashWith(&r, now, Incarnation(i), keyOf(i), first, deadly, PartOf("w", fmt.Sprint("subject", i)).At("pool"))
	}
	if v := r.Check(now, deadly); !v.Barred {
		t.Errorf("the part: %+v", v)
	}
	for name, k := range map[string]Key{"the first part": first, "another workspace's": PartOf("other", "deadly").At("pool"), "at another pool": PartOf("w", "deadly").At("other"), "a request": keyOf(1)} {
		if v := r.Check(now, k); v.Barred {
			t.Errorf("%s: %+v", name, v)
		}
	}
	if list, all := r.Suspects(now, 2); all != 7 || len(list) != 2 || list[0].Key != deadly || !list[0].Verdict.Barred {
		t.Errorf("%d suspects, the worst %+v", all, list)
	}
}

// Guards against parts that many requests share and that push others out of the exchanges kept for one server.
func TestSharedPartTakesOnePlace(t *testing.T) {
	var r Register
	shared, last := PartOf("w", "first").At("pool"), keyOf(keysPerIncarnation-2)
	for i := range keysPerIncarnation - 1 {
		r.RecordBroken(began, 1, keyOf(i), shared)
	}
	r.RecordCrash(began, 1)
	for name, k := range map[string]Key{"shared": shared, "last": last} {
		if v := r.Check(began, k); v.Ends != 1 {
			t.Errorf("%s: %+v", name, v)
		}
	}
}
