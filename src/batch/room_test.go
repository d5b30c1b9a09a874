package batch

import (
	"testing"
	"time"
)

// refuse answers a call with "no room" for all its pieces but the first few.
func refuse(c Call, made int) []ItemResult {
	out := make([]ItemResult, len(c.Items))
	for i := range out {
		out[i] = ItemResult{Reason: ItemNoRoom}
		if i < made {
			out[i] = ItemResult{Handle: c.Server.ID + "/" + c.Items[i].Request}
		}
	}
	return out
}

func sized(box string, n uint64, pieces int, bytes float64) *Job {
	j := testJob(box, n, pieces)
	j.ResultBytes = bytes
	return j
}

// Results that another scheduler left at a server take up room that this one can't see. The server's
// answer tells how much, and small results still fit.
func TestAServerWithoutRoomStillMakesSmallResults(t *testing.T) {
	s := testScheduler(1)
	c := s.Submit(start, sized("a", 1, 4, 200), "").Calls[0]
	s.Submit(start, sized("b", 1, 1, 1), "")
	now := start.Add(300 * time.Millisecond)
	a := s.CallEnded(now, c.N, CallDone, refuse(c, 1))
	if len(a.Calls) != 1 || len(a.Calls[0].Items) != 1 || a.Calls[0].Items[0].Request != "b-1" {
		t.Fatalf("want a call with the small result only, got %+v", a.Calls)
	}
	a = s.CallEnded(now.Add(260*time.Millisecond), a.Calls[0].N, CallDone, made(a.Calls[0]))
	if len(a.Calls) != 1 || len(a.Calls[0].Items) != 1 {
		t.Fatalf("a quarter of the estimate's life later one large result may be tried, not all: %+v", a.Calls)
	}
	a = s.CallEnded(now.Add(unknownDecay), a.Calls[0].N, CallDone, made(a.Calls[0]))
	if len(a.Calls) != 1 || len(a.Calls[0].Items) != 2 {
		t.Fatalf("the rest was not tried when the estimate had faded: %+v", a.Calls)
	}
}

// Inputs are given up early only when the pieces that read them will surely be made.
func TestInputsAreKeptWhereAServerMayLackRoom(t *testing.T) {
	s := testScheduler(1)
	c := s.Submit(start, sized("a", 1, 4, 200), "").Calls[0]
	now := start.Add(300 * time.Millisecond)
	s.Withdraw(now, JobID{Box: "a", Life: 1, N: 1})
	s.CallEnded(now, c.N, CallDone, refuse(c, 1))
	reader := sized("b", 1, 2, 1)
	reader.Inputs = []string{"x/1"}
	a := s.Submit(now, reader, "")
	if len(a.Calls) != 1 {
		t.Fatal("a small job was not begun")
	}
	for _, r := range s.Tick(now.Add(readTime)).Replies {
		if r.Message.Reading != nil {
			t.Fatal("the inputs of pieces were given up at a server that had just refused results")
		}
	}
	b := s.CallEnded(now.Add(260*time.Millisecond), a.Calls[0].N, CallDone, refuse(a.Calls[0], 1))
	if f := failedOf(b); f != nil {
		t.Fatalf("a job whose piece found no room failed: %s", f.Reason)
	}
}

func TestRoomBoundsWhatIsMadeUntilResultsAreGivenUp(t *testing.T) {
	s := testScheduler(1)
	big := testJob("a", 1, 4)
	big.ResultBytes = 200 // 4 of them leave no room for a fifth of 1000 x roomPart
	c := s.Submit(start, big, "").Calls[0]
	other := testJob("b", 1, 1)
	other.ResultBytes = 200
	s.Submit(start, other, "")
	a := s.CallEnded(start.Add(300*time.Millisecond), c.N, CallDone, made(c))
	if len(a.Calls) != 0 {
		t.Fatal("a call was made without room for its results")
	}
	s.Free(start.Add(310*time.Millisecond), resultsOf(doneOf(a, "a"), 200))
	b := s.Tick(start.Add(320 * time.Millisecond))
	if len(b.Calls) != 1 || len(b.Calls[0].Free) != 4 {
		t.Fatalf("room that was given up was not used, or the server not told first: %+v", b)
	}
}

func TestResultsNobodyGivesUpStopCountingWhenTheyAreOld(t *testing.T) {
	s := testScheduler(1)
	big := testJob("a", 1, 4)
	big.ResultBytes = 240
	c := s.Submit(start, big, "").Calls[0]
	s.CallEnded(start.Add(300*time.Millisecond), c.N, CallDone, made(c))
	late := testJob("b", 1, 1)
	late.ResultBytes, late.Deadline = 240, start.Add(time.Minute)
	if a := s.Submit(start.Add(time.Second), late, ""); len(a.Calls) != 0 {
		t.Fatal("a call was made without room")
	}
	if a := s.Tick(start.Add(4400 * time.Millisecond)); len(a.Calls) != 1 {
		t.Fatal("the room of results that are lost by age was not used")
	}
}
