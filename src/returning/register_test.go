package returning

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stilemast/stilemast/src/crasher"
)

var start = time.Unix(1_000_000, 0)

func content(n int) (c crasher.Content) {
	binary.BigEndian.PutUint64(c[:], uint64(n))
	return c
}

func refusal(n int) Refusal {
	return Refusal{Content: content(n), Pipeline: 1, Age: 10 * time.Millisecond, Left: 4 * time.Second, After: 200 * time.Millisecond, Refusals: 1}
}

func query(n int) Query { return Query{Content: content(n), Pipeline: 1, Left: 4 * time.Second} }

func after(d time.Duration) time.Time { return start.Add(d) }

// Guards against a returning caller whose clock restarts.
func TestReturningCallerIsFoundWithItsAge(t *testing.T) {
	var r Register
	f := refusal(1)
	f.Promised = true
	r.Record(start, f)
	got := r.Take(after(300*time.Millisecond), query(1))
	if want := (Record{Refusals: 1, Age: 310 * time.Millisecond, Left: 3700 * time.Millisecond, Promised: true}); got != want || !got.OnTime() {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := r.Take(after(300*time.Millisecond), query(1)); got.Known() || r.Len() != 0 {
		t.Errorf("the entry was used twice: %+v", got)
	}
}

// Guards against a caller that gains by ignoring its retry-after.
func TestEarlyCallerIsReportedAsEarly(t *testing.T) {
	var r Register
	r.Record(start, refusal(1))
	if got := r.Take(after(50*time.Millisecond), query(1)); got.OnTime() || got.Early != 150*time.Millisecond || got.Age != 60*time.Millisecond {
		t.Errorf("got %+v", got)
	}
	r.Record(start, refusal(1))
	if got := r.Take(after(180*time.Millisecond), query(1)); !got.OnTime() {
		t.Errorf("20 ms before the time told, got %+v", got)
	}
}

// Guards against a caller that counts as new, and may be refused again, because its first attempt took more than half of
// its time.
func TestCallerRefusedLateIsFound(t *testing.T) {
	var r Register
	f := refusal(1)
	f.Age, f.Left = 3*time.Second, 2*time.Second
	r.Record(start, f)
	q := query(1)
	q.Left = f.Left - 250*time.Millisecond
	got := r.Take(after(250*time.Millisecond), q)
	if want := 3250 * time.Millisecond; got.Age != want || !got.OnTime() || got.Bounded(q.Left) != got {
		t.Errorf("got %+v, as received %+v, want an age of %s", got, got.Bounded(q.Left), want)
	}
	r.Record(start, f)
	q.Left = time.Second
	if got := r.Take(after(250*time.Millisecond), q); got.Known() {
		t.Errorf("the entry of a caller with another deadline was used: %+v", got)
	}
}

// Two callers ask for the same. Guards against one entry for both, and against a newer caller that is judged by the
// clock of one whose time is over.
func TestCallersWithTheSameContent(t *testing.T) {
	var r Register
	r.Record(start, refusal(1))
	r.Record(after(100*time.Millisecond), refusal(1))
	if first := r.Take(after(400*time.Millisecond), query(1)); first.Age != 410*time.Millisecond {
		t.Errorf("the first to return got %+v", first)
	}
	if second := r.Take(after(400*time.Millisecond), query(1)); second.Age != 310*time.Millisecond {
		t.Errorf("the second got %+v", second)
	}
	r.Record(start, refusal(1))
	q := query(1)
	q.Left = 300 * time.Millisecond
	if got := r.Take(after(500*time.Millisecond), q); got.Known() {
		t.Errorf("an entry older than the time that the caller states was used: %+v", got)
	}
	q = query(1)
	q.Pipeline = 2
	if got := r.Take(after(500*time.Millisecond), q); got.Known() {
		t.Errorf("an entry of another pipeline was used: %+v", got)
	}
	if got := r.Take(after(4100*time.Millisecond), query(1)); got.Known() || r.Len() != 0 {
		t.Errorf("an entry was used after its caller's deadline: %+v", got)
	}
}

// Guards against a register that grows without bounds when contents are sent continually, differ each time, or are taken
// as fast as they come.
func TestRegisterIsBounded(t *testing.T) {
	for name, contentOf := range map[string]func(i int) int{"one content": func(int) int { return 1 }, "many contents": func(i int) int { return i }} {
		var r Register
		for i := range 5 * maxEntries {
			r.Record(start, refusal(contentOf(i)))
		}
		if r.Len() > maxEntries || r.Len()*entryBytes > maxBytes || len(r.order) > 2*maxEntries+1 || len(r.entries[content(1)]) > maxSame {
			t.Errorf("%s: %d entries, %d in order", name, r.Len(), len(r.order))
		}
		if got := r.Take(start, query(contentOf(5*maxEntries-1))); !got.Known() {
			t.Errorf("%s: the newest entry was dropped", name)
		}
		r.Sweep(after(maxTime))
		if r.Len() != 0 || len(r.order) != 0 || len(r.entries) != 0 {
			t.Errorf("%s: %d entries are left after their time", name, r.Len())
		}
	}
	var r Register
	r.Record(start, refusal(0))
	for i := range 5 * maxEntries {
		r.Record(start, refusal(1+i%7))
		r.Take(start, query(1+i%7))
	}
	if len(r.order) > 2*maxEntries+1 || r.Len() != 1 {
		t.Errorf("%d entries, %d in order", r.Len(), len(r.order))
	}
}

// Guards against forged figures: entries that never end, ages that make every deadline pass, refusals beyond the bound.
func TestRefusalsWithoutSenseAreNotRecorded(t *testing.T) {
	for i, change := range []func(*Refusal){
		func(f *Refusal) { f.Age = -1 }, func(f *Refusal) { f.Age = time.Hour }, func(f *Refusal) { f.Left = 0 }, func(f *Refusal) { f.After = -1 },
		func(f *Refusal) { f.After = f.Left + 1 }, func(f *Refusal) { f.After, f.Left = time.Minute, time.Hour }, func(f *Refusal) { f.Refusals = 0 }, func(f *Refusal) { f.Refusals = MaxRefusals + 1 },
	} {
		var r Register
		f := refusal(1)
		change(&f)
		if r.Record(start, f) || r.Len() != 0 {
			t.Errorf("case %d was recorded", i)
		}
	}
	for i, got := range []Record{
		Record{Refusals: 1, Age: 5 * time.Second}.Bounded(4 * time.Second), Record{Refusals: MaxRefusals + 1}.Bounded(time.Hour), Record{Refusals: 1, Age: -1}.Bounded(time.Hour),
		Record{Refusals: 1, Age: time.Minute}.Bounded(time.Hour), Record{Refusals: 1, Early: time.Minute}.Bounded(time.Hour), Record{Refusals: -1, Age: 1}.Bounded(time.Hour),
	} {
		if got != (Record{}) {
			t.Errorf("case %d: %+v was used", i, got)
		}
	}
}

// Guards against messages that crash a registrar, break its bounds, or give a caller a clock that the bounds exclude.
func FuzzMessages(f *testing.F) {
	for i := range 3 {
		m := refusal(i)
		raw, err := msgpack.Marshal(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw, raw, int64(i)*int64(time.Second))
	}
	f.Fuzz(func(t *testing.T, report, question []byte, passed int64) {
		var m Refusal
		var q Query
		if msgpack.Unmarshal(report, &m) != nil || msgpack.Unmarshal(question, &q) != nil {
			return
		}
		var r Register
		recorded := r.Record(start, m)
		now := after(time.Duration(max(0, passed)))
		got := r.Take(now, q)
		if got.Known() && (!recorded || got.Bounded(q.Left) != got) {
			t.Errorf("%+v of %+v and %+v", got, m, q)
		}
		if r.Sweep(now.Add(maxTime)); r.Len() != 0 || len(r.order) != 0 {
			t.Errorf("%d entries are left", r.Len())
		}
	})
}
