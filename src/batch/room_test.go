package batch

import (
	"testing"
	"time"
)

// resultsWithoutRoom returns results with ItemNoRoom for all pieces of a call but the first few.
func resultsWithoutRoom(c Call, made int) []ItemResult {
	out := make([]ItemResult, len(c.Items))
	for i := range out {
		out[i] = ItemResult{Reason: ItemNoRoom}
		if i < made {
			out[i] = ItemResult{Handle: c.Server.ID + "/" + c.Items[i].Request}
		}
	}
	return out
}

func jobOfSize(box string, n uint64, pieces int, bytes float64) *Job {
	j := testJob(box, n, pieces)
	j.ResultBytes = bytes
	return j
}

// Results that another scheduler left at a server use room that this one doesn't know about. This scheduler must
// estimate it from the server's response and still place small results.
func TestServerWithoutRoomStillGetsSmallResults(t *testing.T) {
	s := testScheduler(1)
	c := s.Submit(start, jobOfSize("a", 1, 4, 200), "").Calls[0]
	s.Submit(start, jobOfSize("b", 1, 1, 1), "")
	now := start.Add(300 * time.Millisecond)
	a := s.CallEnded(now, c.N, CallDone, resultsWithoutRoom(c, 1))
	if len(a.Calls) != 1 || len(a.Calls[0].Items) != 1 || a.Calls[0].Items[0].Request != "b-1" {
		t.Fatalf("want a call with the small result only, got %+v", a.Calls)
	}
	a = s.CallEnded(now.Add(260*time.Millisecond), a.Calls[0].N, CallDone, successResults(a.Calls[0]))
	if len(a.Calls) != 1 || len(a.Calls[0].Items) != 1 {
		t.Fatalf("a quarter of the decay time later one large result may be tried, not all: %+v", a.Calls)
	}
	a = s.CallEnded(now.Add(untrackedDecay), a.Calls[0].N, CallDone, successResults(a.Calls[0]))
	if len(a.Calls) != 1 || len(a.Calls[0].Items) != 2 {
		t.Fatalf("the rest was not tried when the estimate had decayed: %+v", a.Calls)
	}
}

// Inputs are freed early only if the server will not refuse the pieces that read them for lack of room.
func TestInputsAreKeptIfServerMayLackRoom(t *testing.T) {
	s := testScheduler(1)
	c := s.Submit(start, jobOfSize("a", 1, 4, 200), "").Calls[0]
	now := start.Add(300 * time.Millisecond)
	s.Withdraw(now, JobID{Box: "a", Life: 1, N: 1})
	s.CallEnded(now, c.N, CallDone, resultsWithoutRoom(c, 1))
	reader := jobOfSize("b", 1, 2, 1)
	reader.Inputs = []string{"x/1"}
	a := s.Submit(now, reader, "")
	if len(a.Calls) != 1 {
		t.Fatal("a small job was not started")
	}
	for _, r := range s.Tick(now.Add(readTime)).Replies {
		if r.Message.Reading != nil {
			t.Fatal("inputs were freed although the server had just refused results")
		}
	}
	b := s.CallEnded(now.Add(260*time.Millisecond), a.Calls[0].N, CallDone, resultsWithoutRoom(a.Calls[0], 1))
	if f := failedOf(b); f != nil {
		t.Fatalf("a job failed for lack of room: %s", f.Reason)
	}
}

func TestRoomLimitsCallsUntilResultsAreFreed(t *testing.T) {
	s := testScheduler(1)
	big := testJob("a", 1, 4)
	big.ResultBytes = 200 // 4 of them leave no room for a fifth of 1000 x usableRoomFraction
	c := s.Submit(start, big, "").Calls[0]
	other := testJob("b", 1, 1)
	other.ResultBytes = 200
	s.Submit(start, other, "")
	a := s.CallEnded(start.Add(300*time.Millisecond), c.N, CallDone, successResults(c))
	if len(a.Calls) != 0 {
		t.Fatal("a call was formed without room for its results")
	}
	s.Free(start.Add(310*time.Millisecond), resultsOf(doneOf(a, "a"), 200))
	b := s.Tick(start.Add(320 * time.Millisecond))
	if len(b.Calls) != 1 || len(b.Calls[0].Free) != 4 {
		t.Fatalf("freed room was not used, or not freed at the server first: %+v", b)
	}
}

func TestUnfreedResultsExpire(t *testing.T) {
	s := testScheduler(1)
	big := testJob("a", 1, 4)
	big.ResultBytes = 240
	c := s.Submit(start, big, "").Calls[0]
	s.CallEnded(start.Add(300*time.Millisecond), c.N, CallDone, successResults(c))
	late := testJob("b", 1, 1)
	late.ResultBytes, late.Deadline = 240, start.Add(time.Minute)
	if a := s.Submit(start.Add(time.Second), late, ""); len(a.Calls) != 0 {
		t.Fatal("a call was formed without room")
	}
	if a := s.Tick(start.Add(4400 * time.Millisecond)); len(a.Calls) != 1 {
		t.Fatal("the room of expired results was not used")
	}
}
