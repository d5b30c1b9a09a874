package batch

import (
	"testing"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// Results at a resting server are freed after the rest, and stay queued until then.
func TestResultsAreNotFreedWhileServerRests(t *testing.T) {
	s := testScheduler(1)
	until := start
	s.RestsUntil = func(*catalog.Server) time.Time { return until }
	calls := s.Submit(start, testJob("a", 1, 1), "").Calls
	if len(calls) != 1 {
		t.Fatalf("%d calls, want 1", len(calls))
	}
	s.CallEnded(start, calls[0].N, CallDone, []ItemResult{{Handle: "h"}})
	s.Free(start, []HeldResult{{Handle: "h", Server: calls[0].Server.ID}})
	until = start.Add(3 * time.Second)
	if a := s.Tick(start.Add(time.Second)); len(a.Frees) > 0 {
		t.Errorf("%d requests free results at a resting server", len(a.Frees))
	}
	if a := s.Tick(until); len(a.Frees) != 1 {
		t.Errorf("%d requests free results after the rest, want 1", len(a.Frees))
	}
}

// If all servers rest, the estimated wait includes the rest, and a job that can't finish after it fails at once.
func TestWaitIncludesRestOfAllServers(t *testing.T) {
	s := testScheduler(2)
	resting := map[string]time.Time{}
	s.RestsUntil = func(v *catalog.Server) time.Time { return resting[v.ID] }
	for id := range s.servers {
		resting[id] = start.Add(3 * time.Second)
	}
	if w := s.Waits(start).All; w < 3*time.Second {
		t.Errorf("wait of %s while all servers rest for 3s", w)
	}
	short, long := testJob("a", 1, 1), testJob("a", 2, 1)
	short.Deadline, long.Deadline = start.Add(2*time.Second), start.Add(9*time.Second)
	a := s.Submit(start, short, "")
	if len(a.Calls) > 0 || len(a.Replies) != 2 || a.Replies[1].Message.Failed == nil || a.Replies[1].Message.Failed.Reason != Late {
		t.Errorf("a job with 2s left gets %+v while all servers rest for 3s, want it to fail at once", a)
	}
	if a := s.Submit(start, long, ""); len(a.Calls) > 0 || len(a.Replies) != 1 {
		t.Errorf("a job with 9s left gets %+v, want it to wait", a)
	}
	for id := range s.servers {
		resting[id] = time.Time{}
		break
	}
	if w := s.Waits(start).All; w > time.Second {
		t.Errorf("wait of %s though one server is free", w)
	}
	if a := s.Tick(start); len(a.Calls) != 1 {
		t.Errorf("%d calls, want 1 at the free server", len(a.Calls))
	}
}
