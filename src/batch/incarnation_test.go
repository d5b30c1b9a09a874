package batch

import (
	"testing"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// restartedServers returns n servers of which one has a new incarnation.
func restartedServers(n, which int) []catalog.Server {
	out := testServers(n)
	out[which].Incarnation = 20
	return out
}

// A restarted server has lost its call: it is retried at once on another server without counting as a failure, and its late
// end is ignored.
func TestCallAtARestartedServerIsRetriedAtOnce(t *testing.T) {
	s := testScheduler(2)
	a := s.Submit(start, testJob("owner", 1, 8), "")
	if len(a.Calls) != 1 {
		t.Fatalf("%d calls, want 1", len(a.Calls))
	}
	first := a.Calls[0]
	which := int(first.Server.ID[1] - '0')
	now := start.Add(100 * time.Millisecond)
	a = s.Configure(now, testPool(), pointers(restartedServers(2, which)))
	if len(a.Calls) != 1 || len(a.Calls[0].Items) != 8 {
		t.Fatalf("after the restart %+v, want one call of all pieces", a.Calls)
	}
	second := a.Calls[0]
	if late := s.CallEnded(now, first.N, CallDone, successResults(first)); len(late.Replies) > 0 {
		t.Errorf("the call to the earlier incarnation ended the job: %+v", late.Replies)
	}
	if d := doneOf(s.CallEnded(now, second.N, CallDone, successResults(second)), "owner"); d == nil {
		t.Error("the job is not done")
	}
	if v := s.servers[first.Server.ID]; v.failures > 0 {
		t.Errorf("the new incarnation has %d failures of the earlier one", v.failures)
	}
}

// Results lost in a restart are recomputed before anyone asks for them, and no longer use room.
func TestResultsLostInARestartAreRecomputed(t *testing.T) {
	s := testScheduler(1)
	a := s.Submit(start, testJob("owner", 1, 12), "") // a call of 8 pieces, then one of 4
	first := a.Calls[0]
	a = s.CallEnded(start.Add(time.Second), first.N, CallDone, successResults(first))
	second := a.Calls[0]
	now := start.Add(1100 * time.Millisecond)
	a = s.Configure(now, testPool(), pointers(restartedServers(1, 0)))
	if s.servers["s0"].used > 8*10 || len(s.handles) > 0 {
		t.Errorf("%v bytes and %d results count at a restarted server", s.servers["s0"].used, len(s.handles))
	}
	pieces := map[int]bool{}
	for range 3 {
		if len(a.Calls) == 0 {
			break
		}
		for _, it := range a.Calls[0].Items {
			pieces[it.Piece] = true
		}
		a = s.CallEnded(now, a.Calls[0].N, CallDone, successResults(a.Calls[0]))
	}
	if len(pieces) != 12 || doneOf(a, "owner") == nil {
		t.Errorf("%d pieces were recomputed, want 12; call %d was running", len(pieces), second.N)
	}
}

// If the inputs of a lost call are already freed the owner must have them produced again: the job fails with Gone.
func TestRestartAfterInputsWereFreedFailsTheJob(t *testing.T) {
	s := testScheduler(1)
	j := testJob("owner", 1, 4)
	j.Inputs = []string{"input"}
	s.Submit(start, j, "")
	now := start.Add(readTime)
	s.Tick(now)
	a := s.Configure(now.Add(time.Millisecond), testPool(), pointers(restartedServers(1, 0)))
	if len(a.Replies) != 1 || a.Replies[0].Message.Failed == nil || a.Replies[0].Message.Failed.Reason != Gone {
		t.Errorf("the owner got %+v, want Gone", a.Replies)
	}
}

// A changed entry of the same incarnation keeps its results.
func TestChangedEntryOfSameIncarnationKeepsResults(t *testing.T) {
	s := testScheduler(1)
	a := s.Submit(start, testJob("owner", 1, 8), "")
	s.CallEnded(start.Add(time.Second), a.Calls[0].N, CallDone, successResults(a.Calls[0]))
	list := testServers(1)
	list[0].Slots = 2
	s.Configure(start.Add(time.Second), testPool(), pointers(list))
	if len(s.handles) != 8 {
		t.Errorf("%d results are known, want 8", len(s.handles))
	}
}

// A withheld call was not sent: its pieces are retried without counting failures, however often that happens.
func TestWithheldCallIsNotAFailure(t *testing.T) {
	s := testScheduler(1)
	a := s.Submit(start, testJob("owner", 1, 8), "")
	for range maxJobFailures + 1 {
		a = s.CallEnded(start, a.Calls[0].N, CallWithheld, nil)
		if len(a.Replies) > 0 {
			t.Fatalf("the owner got %+v", a.Replies[0].Message)
		}
		start := start.Add(fullPause)
		a = s.Tick(start)
		if len(a.Calls) != 1 || len(a.Calls[0].Items) != 8 {
			t.Fatalf("after a withheld call: %+v", a.Calls)
		}
	}
}
