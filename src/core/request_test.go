package core

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
)

// testingT is the common part of *testing.T and *rapid.T.
type testingT interface {
	Helper()
	Fatal(args ...any)
}

// testRequest returns a request of one of the example pipelines.
func testRequest(tb testingT, pipeline string) (*Request, time.Time) {
	tb.Helper()
	raw, err := config.Marshal(config.ExamplePageworks())
	if err != nil {
		tb.Fatal(err)
	}
	c, faults := config.Parse(raw)
	if len(faults) > 0 {
		tb.Fatal(faults)
	}
	now := time.Unix(1_000_000, 0)
	p := c.Pipeline(pipeline)
	key := Key{ID: NewKeyID(now, [16]byte{9: 1})}
	return NewRequest(key, c.Workspace("lakeside"), p, []byte("input"), now.Add(p.Deadline()), 0, NewEstimates()), now
}

// advanceToStage answers the stages before the n-th and returns the live attempt of that stage.
func advanceToStage(r *Request, now time.Time, n int) Attempt {
	r.Step(now, Begin{})
	for i := range n {
		id := Attempt{Key: r.Key(), Stage: i}
		r.Step(now, Granted{Attempt: id, Server: "s"})
		r.Step(now, Done{Attempt: id, Output: []byte("o")})
	}
	id := Attempt{Key: r.Key(), Stage: n}
	r.Step(now, Granted{Attempt: id, Server: "s"})
	return id
}

func findFinish(acts []Action) *Finish {
	for _, a := range acts {
		if f, ok := a.(Finish); ok {
			return &f
		}
	}
	return nil
}

func TestForeignRepliesAreIgnored(t *testing.T) {
	r, now := testRequest(t, "caption")
	id := advanceToStage(r, now, 3)
	other := Key{ID: NewKeyID(now, [16]byte{9: 2})}
	for _, ev := range []Event{
		Chunk{Attempt: Attempt{Key: other, Stage: 3}, Data: []byte("x")},
		Chunk{Attempt: Attempt{Key: r.Key(), Stage: 2}, Data: []byte("x")},
		Chunk{Attempt: Attempt{Key: r.Key(), Stage: 3, N: 5}, Data: []byte("x")},
		Done{Attempt: Attempt{Key: r.Key(), Stage: 3, N: 5}, Output: []byte("x")},
		Done{Attempt: Attempt{Key: other, Stage: 3}, Output: []byte("x")},
		Failed{Attempt: Attempt{Key: r.Key(), Stage: 1}, Failure: Broken},
	} {
		if acts := r.Step(now, ev); len(acts) > 0 {
			t.Errorf("%T of another attempt caused %v", ev, acts)
		}
	}
	if r.Stale() != 6 {
		t.Errorf("%d stale replies counted, want 6", r.Stale())
	}
	if acts := r.Step(now, Chunk{Attempt: id, Data: []byte("abc")}); len(acts) != 1 {
		t.Errorf("its own reply caused %v", acts)
	}
}

func TestMissingTokensCauseResume(t *testing.T) {
	r, now := testRequest(t, "caption")
	id := advanceToStage(r, now, 3)
	r.Step(now, Chunk{Attempt: id, Offset: 0, Data: []byte("abcd")})
	acts := r.Step(now, Chunk{Attempt: id, Offset: 8, Data: []byte("ijkl")})
	s, ok := acts[0].(Send)
	if !ok || !s.Resume || s.Offset != 4 {
		t.Errorf("a gap caused %+v", acts)
	}
}

func TestCancelWaitsForSentOnceCall(t *testing.T) {
	r, now := testRequest(t, "tag-stamp")
	id := advanceToStage(r, now, 2)
	if acts := r.Step(now, CancelRequested{}); len(acts) > 0 {
		t.Fatalf("cancel of a sent call caused %v", acts)
	}
	f := findFinish(r.Step(now, Done{Attempt: id, Output: []byte("stamped")}))
	if f == nil || f.Err.Code != code.Cancelled || f.Err.DidRun() != code.RanYes || r.MayRepeat() {
		t.Errorf("finish = %+v", f)
	}
}

func TestOnceCallOutcomes(t *testing.T) {
	for _, c := range []struct {
		failure Failure
		code    code.Code
		again   bool
		repeat  bool
	}{
		{NotSent, 0, true, true},
		{Broken, code.OutcomeUnknown, false, false},
		{TimedOut, code.OutcomeUnknown, false, false},
		{InvalidCall, code.BackendRefused, false, false},
		{Busy, code.BackendRefused, false, true},
		{Leaving, code.BackendRefused, false, true},
	} {
		r, now := testRequest(t, "tag-stamp")
		id := advanceToStage(r, now, 2)
		acts := r.Step(now, Failed{Attempt: id, Failure: c.failure})
		f := findFinish(acts)
		if c.again != (f == nil) {
			t.Errorf("%s: finish = %v", c.failure, f)
			continue
		}
		if f != nil && f.Err.Code != c.code {
			t.Errorf("%s: %s", c.failure, f.Err.Code)
		}
		if r.MayRepeat() != c.repeat {
			t.Errorf("%s: may repeat %t", c.failure, r.MayRepeat())
		}
	}
}

func TestLateOnceAnswerAmendsOutcome(t *testing.T) {
	r, now := testRequest(t, "tag-stamp")
	id := advanceToStage(r, now, 2)
	f := findFinish(r.Step(now, DeadlineReached{}))
	if f == nil || f.Err.Code != code.OutcomeUnknown {
		t.Fatalf("finish = %+v", f)
	}
	for _, a := range r.Step(now, Done{Attempt: id, Output: []byte("x")}) {
		if m, ok := a.(Amend); ok && m.Err.DidRun() == code.RanYes {
			return
		}
	}
	t.Error("a late answer does not show that the call ran")
}

// With any order of replies, failures and timers, the caller gets each byte once and in order and one final
// answer, and a call that must not be repeated is sent at most once.
func TestRequestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pipe := rapid.SampledFrom([]string{"caption", "spread-draft", "tag-stamp"}).Draw(t, "pipeline")
		r, now := testRequest(t, pipe)
		whole := []byte("0123456789abcdef0123456789abcdef")
		var got []byte
		var waiting []Attempt
		running := map[Attempt]int{} // bytes each has sent
		sends, finals := 0, 0
		do := func(acts []Action) {
			for _, a := range acts {
				switch a := a.(type) {
				case Enqueue:
					waiting = append(waiting, a.Call.Attempt)
				case Send:
					if a.Once {
						sends++
					}
					running[a.Attempt] = a.Offset
				case Stop:
					delete(running, a.Attempt)
				case Emit:
					if a.Offset != len(got) {
						t.Fatalf("emitted at %d after %d bytes", a.Offset, len(got))
					}
					got = append(got, a.Data...)
				case Finish:
					finals++
					if a.Err == nil && pipe != "tag-stamp" && !bytes.Equal(got, whole) {
						t.Fatalf("whole answer %q", got)
					}
				}
			}
		}
		do(r.Step(now, Begin{}))
		pick := func() (Attempt, bool) {
			var ids []Attempt
			for s := range 4 {
				for n := range 60 {
					id := Attempt{Key: r.Key(), Stage: s, N: n}
					if _, ok := running[id]; ok {
						ids = append(ids, id)
					}
				}
			}
			if len(ids) == 0 {
				return Attempt{}, false
			}
			return rapid.SampledFrom(ids).Draw(t, "attempt"), true
		}
		t.Repeat(map[string]func(*rapid.T){
			"grant": func(t *rapid.T) {
				if len(waiting) > 0 {
					id := waiting[0]
					waiting = waiting[1:]
					do(r.Step(now, Granted{Attempt: id, Server: "s"}))
				}
			},
			"piece": func(t *rapid.T) {
				id, ok := pick()
				if !ok || id.Stage != 3 {
					return
				}
				at := max(0, running[id]-rapid.IntRange(0, 3).Draw(t, "back"))
				end := min(len(whole), at+rapid.IntRange(1, 8).Draw(t, "n"))
				if rapid.IntRange(0, 9).Draw(t, "gap") > 0 || at+9 > len(whole) {
					running[id] = max(running[id], end)
				} else {
					at, end = at+4, at+8 // one chunk is lost
				}
				do(r.Step(now, Chunk{Attempt: id, Offset: at, Data: whole[at:end]}))
			},
			"done": func(t *rapid.T) {
				id, ok := pick()
				if !ok {
					return
				}
				if id.Stage == 3 && pipe != "tag-stamp" {
					do(r.Step(now, Done{Attempt: id, Stream: true, Length: len(whole)}))
					return
				}
				do(r.Step(now, Done{Attempt: id, Output: []byte("out")}))
			},
			"fail": func(t *rapid.T) {
				if id, ok := pick(); ok {
					f := Failure(rapid.IntRange(int(NotSent), int(TimedOut)).Draw(t, "failure"))
					if f == NotSent && r.pipeline.Stages()[id.Stage].Once() {
						sends--
					}
					delete(running, id)
					do(r.Step(now, Failed{Attempt: id, Failure: f}))
				}
			},
			"pause over": func(t *rapid.T) { do(r.Step(now, PauseEnded{})) },
			"late copy": func(t *rapid.T) {
				id := Attempt{Key: r.Key(), Stage: rapid.IntRange(0, 2).Draw(t, "stage"), N: 70}
				do(r.Step(now, Done{Attempt: id, Output: []byte("foreign")}))
			},
			"": func(t *rapid.T) {
				if finals > 1 {
					t.Fatalf("%d final answers", finals)
				}
				if sends > 1 {
					t.Fatalf("the once-call was sent %d times", sends)
				}
				if !bytes.HasPrefix(whole, got) && pipe != "tag-stamp" {
					t.Fatalf("got %q", got)
				}
			},
		})
	})
}

// The first chunk gets more time than later ones. Otherwise a call that queues at a busy engine is taken
// for a broken stream and moves from queue to queue without being served.
func TestFirstChunkTimeoutAllowsQueueing(t *testing.T) {
	if FirstChunkTimeout(0) <= StallLimit {
		t.Errorf("the first chunk has %s, no more than a later one", FirstChunkTimeout(0))
	}
	sum := time.Duration(0)
	for n := range immediateAttempts {
		if n > 0 && FirstChunkTimeout(n) <= FirstChunkTimeout(n-1) {
			t.Errorf("attempt %d has no more time than the one before", n)
		}
		sum += FirstChunkTimeout(n)
	}
	if sum < time.Minute {
		t.Errorf("the first %d attempts wait %s in all", immediateAttempts, sum)
	}
}
