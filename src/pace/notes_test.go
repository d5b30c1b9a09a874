package pace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

const testPool = 77

func noteOf(n speedNote) Note { return Note{Speeds: n.pack(nil)} }

func key(i int) uint32 { return uint32(testServer(i).key()) }

func (t *Tracker) take(now time.Time) Note {
	var n Note
	t.Fill(now, testPool, &n)
	return n
}

// Guards against notes where there is nothing to tell, also if all servers are slower than usual.
func TestNothingIsSentWhileAllAreEven(t *testing.T) {
	for _, reports := range []bool{true, false} {
		pool, r := newPool(1, 30), rand.New(rand.NewPCG(9, 1))
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(200 * time.Millisecond) {
			for i := range 30 {
				level := 1.3 * (0.95 + 0.1*r.Float64())
				record(pool, now, i, level, reports, r, 0.1)
			}
			if n := pool.take(now); now.Sub(start) > 10*time.Second && len(n.Speeds) > 0 {
				t.Fatalf("reported %t: notes %+v after %s", reports, unpack(n.Speeds), now.Sub(start))
			}
		}
	}
}

// Guards against notes of a box of a large fleet, which sees each server too seldom to know its level by itself.
func TestNothingIsSentOfEvenServersThatRespondSeldom(t *testing.T) {
	pool, r := newPool(1, 30), rand.New(rand.NewPCG(8, 1))
	pool.Boxes = 985
	for now := start; now.Before(start.Add(10 * time.Minute)); now = now.Add(4 * time.Second) {
		record(pool, now, r.IntN(30), 0.95+0.1*r.Float64(), true, r, 0)
		if n := pool.take(now); len(n.Speeds) > 0 {
			t.Fatalf("notes %+v after %s", unpack(n.Speeds), now.Sub(start))
		}
	}
}

// Guards against a difference that only the box knows which observed it, and against an observation that counts once for
// each box that passes it on.
func TestNotesCarryObservationsOnce(t *testing.T) {
	a, b, c := newPool(1, 9), newPool(2, 9), newPool(3, 9)
	now := start
	for range 20 {
		now = now.Add(300 * time.Millisecond)
		for i := range 9 {
			a.RecordTold(now, testServer(i), told(levels[i%3]))
		}
		n := a.take(now)
		at := now.Add(5 * time.Millisecond)
		b.Merge(at, testPool, n)
		passed := b.take(at)
		c.Merge(at, testPool, n)
		if again := c.Merge(at.Add(100*time.Millisecond), testPool, passed); again > 0 {
			t.Fatalf("%d observations were new a second time", again)
		}
		if own := a.Merge(at, testPool, passed); own > 0 {
			t.Fatalf("%d of its own observations were new to a box", own)
		}
	}
	for i := range 9 {
		s := c.speedOf(now, i)
		if want := levels[i%3]; want != 1 && (s.Lasting > 1) != (want > 1) || want != 1 && off(s.Lasting, 1) < difference || want == 1 && off(s.Lasting, 1) > difference {
			t.Errorf("server %d has speed %.2f at another box, its level is %.2f", i, s.Lasting, want)
		}
	}
	if !c.Uneven(now) || c.Uneven(now.Add(unevenFor+time.Second)) {
		t.Error("a box is to take a pool for uneven for a minute after another box got a report")
	}
}

// Guards against a new scheduler of a stage pool that knows nothing of its servers: only the scheduler calls them, so all
// notes come from one box.
func TestMeasuredSpeedsOfOneBoxReachOthers(t *testing.T) {
	a, b := newPool(1, 9), newPool(2, 9)
	now, r := start, rand.New(rand.NewPCG(12, 1))
	wrong, all := 0, 0
	for range 120 {
		now = now.Add(250 * time.Millisecond)
		for i := range 9 {
			record(a, now, i, levels[i%3], false, r, 0.15)
		}
		b.Merge(now, testPool, a.take(now))
		if now.Sub(start) < 15*time.Second {
			continue
		}
		for i := range 9 {
			lasting := math.Log(b.speedOf(now, i).Lasting)
			all++
			if want := math.Log(levels[i%3]); want != 0 && want*lasting < math.Abs(want)*difference || want == 0 && math.Abs(lasting) > difference {
				wrong++
			}
		}
	}
	t.Logf("%d of %d speeds were wrong at the other box", wrong, all)
	if wrong > all/10 {
		t.Errorf("%d of %d speeds were wrong at the other box, want at most a tenth", wrong, all)
	}
}

// Guards against a note that is wrong or forged: it must be bounded, weigh as one box and expire.
func TestForgedNotes(t *testing.T) {
	pool, now := newPool(1, 9), start
	forge := func(value float64, box uint32) int {
		return pool.Merge(now, testPool, noteOf(speedNote{server: key(0), box: box, order: orderOf(now), value: math.Log(value)}))
	}
	for _, n := range []speedNote{{server: 5, box: 9, value: 1}, {server: key(0), box: 9, order: 1, value: 1, age: validity + time.Second}, {server: key(0), box: 1, value: 1}} {
		if pool.Merge(now, testPool, noteOf(n)) > 0 {
			t.Errorf("%+v was merged", n)
		}
	}
	if pool.Merge(now, testPool, Note{Speeds: make([]byte, 5*packedNote+3)}) > 0 {
		t.Error("notes without a value were merged")
	}
	if forge(1e9, 9); pool.speedOf(now, 0).Lasting > maxSpeed {
		t.Errorf("speed %+v", pool.speedOf(now, 0))
	}
	if s := pool.speedOf(now.Add(validity+time.Second), 0); s.Lasting != 1 {
		t.Errorf("speed %.2f after the validity of the note", s.Lasting)
	}
	pool = newPool(1, 9)
	for i := range 400 { // one box against what three others and this one see
		now = now.Add(100 * time.Millisecond)
		forge(8, 9)
		if i%4 == 0 {
			forge(1, uint32(10+i/4%3))
		}
		if i%10 == 0 {
			pool.RecordTold(now, testServer(0), told(1))
		}
		if s := pool.speedOf(now, 0); i > 20 && s.Lasting > 1.15 {
			t.Fatalf("speed %.2f by the notes of one box after %d of them", s.Lasting, i)
		}
	}
	var many []byte
	for i := range 1000 {
		many = speedNote{server: key(i % 9), box: uint32(i + 100), order: 1, value: float64(i%5) / 4, age: time.Duration(i) * 20 * time.Millisecond}.pack(many)
	}
	if n := pool.Merge(now, testPool, Note{Speeds: many}); n > notesPerBeat {
		t.Errorf("%d notes of one message were merged, want at most %d", n, notesPerBeat)
	}
}

// Guards against rates of one box that replace those of all, are impossible, or outlive their validity.
func TestRatesOfOtherBoxes(t *testing.T) {
	pool, now := newPool(1, 9), start
	for _, n := range []RatesNote{
		{Pool: 5, Box: 2, TokensPerMs: 100, PerRunningMs: 3}, {Pool: testPool, Box: 2, TokensPerMs: 1e6, PerRunningMs: 3},
		{Pool: testPool, Box: 2, TokensPerMs: float32(math.NaN())}, {Pool: testPool, Box: 2, TokensPerMs: -5}, {Pool: testPool, Box: 2, EventMs: float32(math.Inf(1))}, {Pool: testPool, Box: 2, Age: 40_000, TokensPerMs: 100, PerRunningMs: 3},
	} {
		if pool.Merge(now, testPool, Note{Rates: []RatesNote{n}}) > 0 {
			t.Errorf("%+v was merged", n)
		}
	}
	for box := range uint32(100) {
		tokens := float32(100)
		if box == 3 {
			tokens = 500
		}
		now = now.Add(10 * time.Millisecond)
		pool.Merge(now, testPool, Note{Rates: []RatesNote{{Pool: testPool, Box: 2 + box%12, Order: uint16(box), TokensPerMs: tokens, PerRunningMs: 2, EventMs: 20}}})
	}
	if got := pool.Rates(now); off(got.TokensPerMs, 100) > 0.01 || got.EventTime != 20*time.Millisecond || len(pool.rateNotes) > ratesOrigins {
		t.Errorf("rates %+v of %d boxes", got, len(pool.rateNotes))
	}
	if got := pool.Rates(now.Add(validity + time.Second)); got != (Rates{}) {
		t.Errorf("rates %+v after their validity", got)
	}
}

// Guards against rates that some boxes lack until the next regular note: those that none of the first messages reached, or
// that heard of the rates before they had settled. Unchanged rates are sent again once.
func TestChangedRatesAreSentAgain(t *testing.T) {
	pool, now := newPool(1, 9), start
	learn := func(n int) {
		for i := range n {
			took := 20*time.Millisecond + time.Duration(i*50)*time.Second/100_000
			pool.RecordFirst(now, testServer(i%9), Response{Told: Told{Running: 3, Slots: 64}, Took: took, Uncached: i * 50})
		}
	}
	sent := func(period time.Duration) (rates []float64) {
		last := -1
		for end := now.Add(period); now.Before(end); now = now.Add(100 * time.Millisecond) {
			for _, n := range pool.take(now).Rates {
				if int(n.Order) != last {
					last, rates = int(n.Order), append(rates, float64(n.TokensPerMs))
				}
			}
		}
		return rates
	}
	learn(minRateSamples)
	early := sent(changedRatesAfter)
	learn(200)
	settled := pool.Rates(now).TokensPerMs
	later := sent(8 * time.Second)
	if len(early) != 1 || len(later) != 2 || off(early[0], settled) < difference || off(later[0], settled) > 0.01 || off(later[1], settled) > 0.01 {
		t.Errorf("rates sent: %.1f before and %.1f after they settled at %.1f; want one and two", early, later, settled)
	}
	if again := sent(10 * time.Second); len(again) != 1 {
		t.Errorf("unchanged rates were sent %d times in 10 s, want once", len(again))
	}
}

// Guards against any history of reports, measurements and notes that leads to a speed outside its bounds, to entries
// without bound or to a note over its bound.
func TestTrackerHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool, now := newPool(1, 4), start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 5).Draw(t, "server")
			s := testServer(i)
			s.Incarnation = int64(rapid.IntRange(1, 2).Draw(t, "incarnation"))
			load := Told{Running: rapid.IntRange(-1, 1e6).Draw(t, "running"), Slots: rapid.IntRange(-1, 64).Draw(t, "slots"), Factor: rapid.Float64().Draw(t, "factor")}
			took := time.Duration(rapid.Int64().Draw(t, "took"))
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				pool.RecordTold(now, s, load)
			case 1:
				pool.RecordStream(now, s, Response{Told: load, Gap: took})
			case 2:
				pool.RecordFirst(now, s, Response{Told: load, Took: took, Uncached: rapid.IntRange(0, 1e9).Draw(t, "tokens")})
			case 3:
				pool.RecordCall(now, s, load, took, time.Duration(rapid.Int64().Draw(t, "expected")))
			case 4:
				pool.RecordPlain(now, s, load, took)
			case 5:
				pool.Merge(now, testPool, noteOf(speedNote{server: uint32(s.key()), box: rapid.Uint32().Draw(t, "box"), order: rapid.Uint16().Draw(t, "order"), age: time.Duration(rapid.Int64().Draw(t, "age")), value: rapid.Float64().Draw(t, "value"), settled: rapid.Bool().Draw(t, "settled"), timed: rapid.Bool().Draw(t, "timed")}))
			case 6:
				pool.Update([]Server{s}, nil)
			}
			checkTracker(t, pool, now)
		}
	})
}

func checkTracker(t interface{ Fatalf(string, ...any) }, pool *Tracker, now time.Time) {
	for _, v := range pool.servers {
		s := pool.Speed(now, v.ID, v.Incarnation)
		for _, x := range []float64{s.Lasting, s.Now} {
			if !(x >= minSpeed*0.999 && x <= maxSpeed*1.001) {
				t.Fatalf("speed %+v", s)
			}
		}
		if v.state != nil && (len(v.reported) > samplesKept || len(v.timed) > samplesKept) {
			t.Fatalf("%d and %d samples", len(v.reported), len(v.timed))
		}
	}
	if r := pool.Rates(now); !r.valid() {
		t.Fatalf("rates %+v", r)
	}
	if n := pool.take(now); len(n.Speeds) > notesPerBeat*packedNote || len(n.Rates) > ratesPerBeat || len(pool.pending) > maxPending || len(pool.servers) > 6 {
		t.Fatalf("%d speeds, %d rates, %d pending, %d servers", len(n.Speeds), len(n.Rates), len(pool.pending), len(pool.servers))
	}
}

// FuzzMerge merges whatever another box sends.
func FuzzMerge(f *testing.F) {
	for _, n := range []Note{{}, noteOf(speedNote{server: key(1), box: 4, age: 10 * time.Millisecond, value: 0.5}), noteOf(speedNote{server: key(2), box: 4, value: -0.5, timed: true}), {Rates: []RatesNote{{Pool: testPool, Box: 3, TokensPerMs: 80, PerRunningMs: 3, EventMs: 20}}}} {
		raw, err := msgpack.Marshal(n)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var n Note
		if msgpack.Unmarshal(raw, &n) != nil {
			return
		}
		pool := newPool(1, 4)
		pool.Merge(start, testPool, n)
		checkTracker(t, pool, start)
		pool.Merge(start.Add(time.Second), testPool, n)
		checkTracker(t, pool, start.Add(time.Second))
	})
}

// A choice among 600 servers asks for the speed of each; the medians are computed twice a second at most.
func BenchmarkSpeeds(b *testing.B) {
	pool, now := newPool(1, 600), start
	for range 30 {
		now = now.Add(300 * time.Millisecond)
		for i := range 600 {
			pool.RecordTold(now, testServer(i), told(levels[i%3]))
		}
	}
	ids := make([]string, 600)
	for i := range ids {
		ids[i] = testServer(i).ID
	}
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(2 * time.Millisecond)
		pool.RecordTold(now, testServer(i%600), told(levels[i%3]))
		for _, id := range ids {
			pool.Speed(now, id, 1)
		}
	}
}
