package connections

import (
	"testing"
	"time"
)

// playSlowReaders plays 2,000 callers at 250 a second, of which one in four never reads.
func playSlowReaders(w *Writes) (cutSlow, cutReading int) {
	now := time.Unix(1000, 0)
	for i := range 2000 {
		now = now.Add(4 * time.Millisecond)
		reads := i%4 != 0
		v := w.Begin(now, 4<<10, func() {
			if reads {
				cutReading++
			} else {
				cutSlow++
			}
		})
		if reads {
			v.End()
		}
	}
	return cutSlow, cutReading
}

// Guards against a box that exceeds its memory because of callers that do not read, and against cutting off those that
// do.
func TestSlowReadersAreCutOffBeyondTheLimit(t *testing.T) {
	w := &Writes{Limit: 4 << 20, Overhead: 32 << 10}
	slow, reading := playSlowReaders(w)
	s := w.Status()
	if s.Held > w.Limit {
		t.Errorf("%d bytes are held, %d allowed", s.Held, w.Limit)
	}
	if reading != 0 || slow == 0 || int64(slow) != s.Cut {
		t.Errorf("cut off: %d slow, %d reading; status %+v", slow, reading, s)
	}
	if s.Open+slow != 500 {
		t.Errorf("%d writes are open and %d were cut off, of 500 slow ones", s.Open, slow)
	}
}

// Guards against cutting callers off where nothing calls for it.
func TestNothingIsCutOffWithinTheLimit(t *testing.T) {
	for _, limit := range []int64{0, 1 << 30} {
		if slow, reading := playSlowReaders(&Writes{Limit: limit}); slow+reading > 0 {
			t.Errorf("limit %d: %d callers were cut off", limit, slow+reading)
		}
	}
}

// Guards against the wrong choice: the write that has held most for longest is cut off first, and a recent one never.
func TestTheWriteThatHeldMostForLongestIsCutOffFirst(t *testing.T) {
	w := &Writes{Limit: 1000}
	now := time.Unix(1000, 0)
	cut := ""
	begin := func(name string, bytes int) *Write { return w.Begin(now, bytes, func() { cut += name }) }
	begin("small", 100)
	begin("large", 500)
	now = now.Add(time.Second)
	recent := begin("recent", 800)
	if cut != "large" {
		t.Errorf("cut off: %q", cut)
	}
	recent.End()
	recent.End() // a write that returns after it was cut off is counted once
	if s := w.Status(); s.Held != 100 || s.Open != 1 {
		t.Errorf("status %+v", s)
	}
}

// Guards against callers that do not read and keep the memory that others wait for, within the limit.
func TestSlowWritesGiveWayToWhatIsWanted(t *testing.T) {
	wanted, cut := int64(0), 0
	w := &Writes{Limit: 1000, Wanted: func() int64 { return wanted }}
	now := time.Unix(1000, 0)
	for range 4 {
		w.Begin(now, 200, func() { cut++ })
	}
	now = now.Add(2 * slowAfter)
	recent := w.Begin(now, 100, func() { t.Error("a recent write is cut off") })
	if w.Enforce(now); cut > 0 {
		t.Fatalf("%d writes are cut off though nothing is wanted", cut)
	}
	wanted = 300
	if w.Enforce(now); cut != 2 {
		t.Errorf("%d writes of 200 bytes are cut off for 300 bytes", cut)
	}
	recent.End()
}

// Guards against a slow caller that is cut off for an answer that was granted room beyond the limit.
func TestOneWriteMayExceedTheLimitIfItHasRoom(t *testing.T) {
	exceeded, cut := true, 0
	w := &Writes{Limit: 1000, Exceeded: func() bool { return exceeded }}
	now := time.Unix(1000, 0)
	w.Begin(now, 700, func() { cut++ })
	now = now.Add(2 * slowAfter)
	w.Begin(now, 800, func() {})
	if cut > 0 {
		t.Error("a write within the limit is cut off")
	}
	exceeded = false
	if w.Enforce(now); cut != 1 {
		t.Errorf("%d writes are cut off without that room", cut)
	}
	exceeded = true
	now = now.Add(2 * slowAfter)
	w.Begin(now, 1100, func() {})
	if s := w.Status(); s.Cut != 1 || s.Held != 800+1100 {
		t.Errorf("only the largest write may exceed the limit: %+v", s)
	}
	w.Begin(now, 300, func() {})
	if s := w.Status(); s.Cut != 2 || s.Held != 1100+300 {
		t.Errorf("the others are above the limit: %+v", s)
	}
}

// Guards against callers that are cut off for what others, already cut off, are about to give back.
func TestWritesThatEndAreNotReplaced(t *testing.T) {
	cut := 0
	w := &Writes{Limit: 1000, Wanted: func() int64 { return 300 }}
	now := time.Unix(1000, 0)
	var open []*Write
	for range 4 {
		open = append(open, w.Begin(now, 200, func() { cut++ }))
	}
	now = now.Add(2 * slowAfter)
	w.Enforce(now)
	if w.Enforce(now); cut != 2 {
		t.Errorf("%d writes of 200 bytes are cut off for 300 bytes", cut)
	}
	for _, v := range open {
		v.End()
		v.End()
	}
	for range 4 {
		w.Begin(now, 200, func() { cut++ })
	}
	now = now.Add(2 * slowAfter)
	if w.Enforce(now); cut != 4 {
		t.Errorf("%d writes are cut off after all have ended, 2 more expected", cut)
	}
}
