package batch

import (
	"testing"
	"time"
)

func TestHandoverTransfersJobsResultsAndCalls(t *testing.T) {
	s, next := testScheduler(1), testScheduler(1)
	first := testJob("a", 1, 4)
	first.ResultBytes = 240
	c := s.Submit(start, first, "").Calls[0]
	a := s.CallEnded(start.Add(300*time.Millisecond), c.N, CallDone, successResults(c))
	given := resultsOf(doneOf(a, "a"), 240)
	s.Submit(start.Add(300*time.Millisecond), &Job{ID: JobID{Box: "b", N: 1}, Pool: "rerank", Pieces: 1, Deadline: start.Add(time.Minute), Due: start.Add(time.Second)}, "")
	waiting := testJob("w", 1, 1)
	s.Submit(start.Add(300*time.Millisecond), waiting, "")
	h, out := s.HandOver(start.Add(310*time.Millisecond), "next")
	if f := failedOf(out); f == nil || f.Reason != Moved || f.To != "next" || f.ID != waiting.ID {
		t.Fatalf("the waiting job was not returned to its owner: %+v", out.Replies)
	}
	if len(h.Held) != 4 || len(h.Busy) != 1 {
		t.Fatalf("handed over %d results and %d calls, want 4 and 1", len(h.Held), len(h.Busy))
	}
	next.Free(start.Add(310*time.Millisecond), given[:1]) // arrives before the handover
	next.TakeOver(start.Add(311*time.Millisecond), h)
	big := testJob("n", 1, 1)
	big.ResultBytes, big.Deadline = 240, start.Add(time.Minute)
	if a := next.Submit(start.Add(320*time.Millisecond), big, ""); len(a.Calls) != 0 {
		t.Fatal("the next scheduler called a busy server")
	}
	if a := next.Tick(start.Add(2 * time.Second)); len(a.Calls) != 1 {
		t.Fatal("room freed before the handover arrived is not used")
	}
	if a := s.Submit(start.Add(330*time.Millisecond), waiting, ""); len(a.Replies) == 0 || a.Replies[0].Message.Accept == nil {
		t.Fatal("a resubmitted job was redirected again")
	}
}

// If the next scheduler is unreachable owners come back to the previous one, which must still account for the results.
func TestHandoverIsSentOnceAndStaysAccounted(t *testing.T) {
	s := testScheduler(1)
	c := s.Submit(start, jobOfSize("a", 1, 4, 240), "").Calls[0]
	s.CallEnded(start.Add(300*time.Millisecond), c.N, CallDone, successResults(c))
	if h, _ := s.HandOver(start.Add(310*time.Millisecond), "next"); len(h.Held) != 4 {
		t.Fatalf("handed over %d results, want 4", len(h.Held))
	}
	if h, _ := s.HandOver(start.Add(350*time.Millisecond), "next"); !h.Empty() {
		t.Fatal("the same results were handed over twice")
	}
	if h, _ := s.HandOver(start.Add(390*time.Millisecond), "third"); len(h.Held) != 4 {
		t.Fatal("nothing was handed over to a third scheduler")
	}
	big := jobOfSize("b", 1, 1, 240)
	big.Deadline = start.Add(time.Minute)
	s.Submit(start.Add(400*time.Millisecond), big, "next")
	if a := s.Submit(start.Add(410*time.Millisecond), big, ""); len(a.Calls) != 0 {
		t.Fatal("room that was handed over counts as free")
	}
	s.TakeOver(start.Add(420*time.Millisecond), Handover{Pool: "rerank"})
	if a := s.Tick(start.Add(430 * time.Millisecond)); len(a.Calls) != 1 {
		t.Fatal("results that the other scheduler no longer knows still count")
	}
}

func TestResultsOfALostSchedulerAreCountedAndFreed(t *testing.T) {
	s := testScheduler(1)
	held := []HeldResult{{Server: "s0", Handle: "h1", Bytes: 480, Left: 3 * time.Second}, {Server: "s0", Handle: "h2", Bytes: 480, Left: 3 * time.Second}}
	s.AddHeld(start, held)
	s.AddHeld(start, held[:1]) // repeated by the same owner
	big := jobOfSize("b", 1, 1, 400)
	if a := s.Submit(start, big, ""); len(a.Calls) != 0 {
		t.Fatal("the room of an owner's results was used")
	}
	s.Free(start.Add(time.Millisecond), held[:1])
	a := s.Tick(start.Add(40 * time.Millisecond))
	if len(a.Calls) != 1 || len(a.Calls[0].Free) != 1 || a.Calls[0].Free[0] != "h1" {
		t.Fatalf("the room of a freed result is not used: %+v", a.Calls)
	}
	s.Free(start.Add(50*time.Millisecond), []HeldResult{{Server: "s0", Handle: "unknown", Bytes: 1}})
	if a := s.Tick(start.Add(80 * time.Millisecond)); len(a.Frees) != 1 || a.Frees[0].Handles[0] != "unknown" {
		t.Fatalf("an unknown result was not freed at the server: %+v", a.Frees)
	}
}

// With two schedulers using the same servers a second call would wait at a server while its inputs count as read.
func TestJobIsRedirectedAndAcceptedIfResubmitted(t *testing.T) {
	s := testScheduler(1)
	j := testJob("a", 1, 1)
	first := s.Submit(start, j, "next")
	if f := failedOf(first); f == nil || f.Reason != Moved || f.To != "next" || len(first.Calls) != 0 {
		t.Fatalf("the job was not redirected: %+v", first)
	}
	again := s.Submit(start.Add(time.Millisecond), j, "next")
	if failedOf(again) != nil || len(again.Calls) != 1 {
		t.Fatalf("a resubmitted job was not accepted: %+v", again)
	}
	third := s.Submit(start.Add(2*time.Millisecond), j, "next")
	if failedOf(third) != nil || len(third.Calls) != 0 || len(third.Replies) != 1 {
		t.Errorf("third submission of the job: %+v", third)
	}
}
