package batch

import (
	"testing"
	"time"
)

func TestUrgentJobsFirstAndLateJobsLast(t *testing.T) {
	s := testScheduler(1)
	busy := s.Submit(start, testJob("x", 1, 8), "").Calls[0]
	hopeless, later, soon := testJob("h", 1, 4), testJob("l", 1, 4), testJob("s", 1, 4)
	hopeless.Due = start.Add(100 * time.Millisecond)
	soon.Due = start.Add(1500 * time.Millisecond)
	for _, j := range []*Job{hopeless, later, soon} {
		s.Submit(start, j, "")
	}
	c := s.CallEnded(start.Add(400*time.Millisecond), busy.N, CallDone, successResults(busy)).Calls[0]
	if len(c.Items) != 8 || c.Items[0].Request != "s-1" || c.Items[4].Request != "l-1" {
		t.Fatalf("wrong order: %+v", c.Items)
	}
}

func TestJobWaitsForDomainOfItsInputs(t *testing.T) {
	s := testScheduler(2)
	s.Submit(start, testJob("x", 1, 1), "") // occupies s0, in d0
	near := testJob("a", 1, 1)
	near.InputDomain, near.CrossBytes = "d0", smallCrossBytes
	if a := s.Submit(start, near, ""); len(a.Calls) != 0 {
		t.Fatal("a job left the domain of its inputs at once")
	}
	if a := s.Tick(start.Add(leaveDomainAfter)); len(a.Calls) != 0 {
		t.Fatal("a job left the domain of its inputs long before it is due")
	}
	hurried := testJob("b", 1, 1)
	hurried.InputDomain, hurried.CrossBytes, hurried.Due = "d0", smallCrossBytes, start.Add(800*time.Millisecond)
	s.Submit(start, hurried, "")
	a := s.Tick(start.Add(leaveDomainAfter))
	if len(a.Calls) != 1 || a.Calls[0].Server.Domain != "d1" || a.Calls[0].Items[0].Request != "b-1" {
		t.Fatal("a job that is due soon waited for the domain of its inputs")
	}
	s.CallEnded(start.Add(leaveDomainAfterSlack), a.Calls[0].N, CallDone, successResults(a.Calls[0]))
	if _, calls := s.Pending(); calls != 2 {
		t.Fatal("a job waited too long for the domain of its inputs")
	}
}

func TestJobWithSmallInputsRunsInAnyDomain(t *testing.T) {
	s := testScheduler(2)
	s.Submit(start, testJob("x", 1, 1), "") // occupies s0, in d0
	near := testJob("a", 1, 1)
	near.InputDomain, near.CrossBytes = "d0", smallCrossBytes-1
	if a := s.Submit(start, near, ""); len(a.Calls) != 1 || a.Calls[0].Server.Domain != "d1" {
		t.Fatal("a job with small inputs waited for their domain")
	}
}

func TestBacklogDoesNotMoveJobsOutOfTheirDomain(t *testing.T) {
	s := testScheduler(2)
	s.Submit(start, testJob("x", 1, 1), "") // occupies s0, in d0
	for n := range uint64(20) {
		near := testJob("a", n, 2)
		near.InputDomain, near.CrossBytes = "d0", smallCrossBytes
		s.Submit(start, near, "")
	}
	if a := s.Tick(start.Add(leaveDomainAfter)); len(a.Calls) != 0 {
		t.Fatal("a job left the domain of its inputs long before it is due because of a backlog")
	}
}

// A call isn't filled up so much that its urgent job is late; jobs that can wait for everything queued go into the next call.
func TestCallEndsBeforeItsUrgentJobIsDue(t *testing.T) {
	for _, c := range []struct {
		name    string
		waiting int           // other jobs, of one piece each
		due     time.Duration // of the other jobs
		want    int           // pieces in the call
	}{
		{"they have time", 6, 3 * time.Second, 4},
		{"they have none", 6, 900 * time.Millisecond, 8},
		{"the pool is behind", 60, 3 * time.Second, 8},
	} {
		s := testScheduler(1)
		busy := s.Submit(start, testJob("x", 1, 8), "").Calls[0]
		now := start.Add(400 * time.Millisecond)
		urgent := testJob("urgent", 1, 2)
		urgent.Due = now.Add(testPool().Batch.CallTime + 4*testPool().Batch.ItemTime)
		s.Submit(start, urgent, "")
		for n := range c.waiting {
			j := testJob("other", uint64(n), 1)
			j.Due = now.Add(c.due)
			s.Submit(start, j, "")
		}
		if got := s.CallEnded(now, busy.N, CallDone, successResults(busy)).Calls[0]; len(got.Items) != c.want || got.Items[0].Request != "urgent-1" {
			t.Errorf("%s: %d pieces in the call, want %d", c.name, len(got.Items), c.want)
		}
	}
}
