package batch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stilemast/stilemast/src/catalog"
)

var start = time.Unix(1_700_000_000, 0)

func testPool() catalog.Pool {
	return catalog.Pool{Name: "rerank", Batch: &catalog.BatchLimits{
		Slots: 1, Queue: 2, Size: 8, CallTime: 240 * time.Millisecond, ItemTime: 20 * time.Millisecond,
		RoomBytes: 1000, ResultTTL: 4 * time.Second,
	}}
}

func testServers(n int) []catalog.Server {
	var out []catalog.Server
	for i := range n {
		out = append(out, catalog.Server{ID: fmt.Sprintf("s%d", i), Pool: "rerank", Domain: fmt.Sprintf("d%d", i%2), Slots: 1})
	}
	return out
}

func testScheduler(servers int) *Scheduler {
	s := NewScheduler("box", testPool())
	s.Configure(start, testPool(), pointers(testServers(servers)))
	return s
}

func testJob(box string, n uint64, pieces int) *Job {
	return &Job{
		ID: JobID{Box: box, Life: 1, N: n}, Pool: "rerank", Request: fmt.Sprintf("%s-%d", box, n), Class: "c", Pieces: pieces,
		ResultBytes: 10, Due: start.Add(2 * time.Second), Deadline: start.Add(5 * time.Second),
	}
}

func successResults(c Call) []ItemResult {
	out := make([]ItemResult, len(c.Items))
	for i, it := range c.Items {
		out[i] = ItemResult{Handle: fmt.Sprintf("%s/%s/%d", c.Server.ID, it.Request, it.Piece)}
	}
	return out
}

func doneOf(a Actions, box string) *Done {
	for _, r := range a.Replies {
		if r.Box == box && r.Message.Done != nil {
			return r.Message.Done
		}
	}
	return nil
}

// resultsOf returns the results of a job as its owner reports them.
func resultsOf(d *Done, bytes float64) []HeldResult {
	var out []HeldResult
	for i, h := range d.Handles {
		out = append(out, HeldResult{Server: d.Servers[i], Handle: h, Bytes: bytes, Left: 3 * time.Second})
	}
	return out
}

func failedOf(a Actions) *Failed {
	for _, r := range a.Replies {
		if r.Message.Failed != nil {
			return r.Message.Failed
		}
	}
	return nil
}

func TestCallContainsPiecesOfSeveralBoxes(t *testing.T) {
	s := testScheduler(1)
	first := s.Submit(start, testJob("a", 1, 1), "")
	if len(first.Calls) != 1 {
		t.Fatalf("a free server got %d calls, want 1", len(first.Calls))
	}
	s.Submit(start, testJob("b", 1, 2), "")
	s.Submit(start, testJob("c", 1, 3), "")
	next := s.CallEnded(start.Add(260*time.Millisecond), first.Calls[0].N, CallDone, successResults(first.Calls[0]))
	if doneOf(next, "a") == nil {
		t.Fatal("the first job's owner got no result")
	}
	if len(next.Calls) != 1 || len(next.Calls[0].Items) != 5 {
		t.Fatalf("the pieces of two boxes did not share the next call: %+v", next.Calls)
	}
	last := s.CallEnded(start.Add(600*time.Millisecond), next.Calls[0].N, CallDone, successResults(next.Calls[0]))
	if d := doneOf(last, "c"); d == nil || len(d.Handles) != 3 || d.Handles[2] != "s0/c-1/2" {
		t.Fatalf("wrong results for box c: %+v", d)
	}
}

func TestRepeatedSubmitOfEndedJobIsAnswered(t *testing.T) {
	s := testScheduler(1)
	j := testJob("a", 1, 1)
	c := s.Submit(start, j, "").Calls[0]
	s.CallEnded(start.Add(time.Second), c.N, CallDone, successResults(c))
	again := s.Submit(start.Add(time.Second), j, "")
	if doneOf(again, "a") == nil || len(again.Calls) != 0 {
		t.Fatalf("a repeated submission of an ended job was not answered: %+v", again)
	}
}

func TestBrokenCallIsRetriedElsewhereUpToALimit(t *testing.T) {
	s := testScheduler(2)
	now := start
	a := s.Submit(now, testJob("a", 1, 1), "")
	seen := map[string]bool{}
	for range maxJobFailures {
		for len(a.Calls) == 0 {
			now = now.Add(50 * time.Millisecond)
			a = s.Tick(now)
			if now.Sub(start) > 4*time.Second {
				t.Fatal("no further call was made")
			}
		}
		c := a.Calls[0]
		seen[c.Server.ID] = true
		now = now.Add(10 * time.Millisecond)
		a = s.CallEnded(now, c.N, CallBroken, nil)
	}
	if len(seen) != 2 {
		t.Errorf("only %v was tried", seen)
	}
	if f := failedOf(a); f == nil || f.Reason != Errors {
		t.Errorf("the job did not end after %d failures: %+v", maxJobFailures, a.Replies)
	}
}

func TestFullServerIsNotAFailure(t *testing.T) {
	s := testScheduler(1)
	now := start
	a := s.Submit(now, testJob("a", 1, 1), "")
	for range 2 * maxJobFailures {
		a = s.CallEnded(now, a.Calls[0].N, CallFull, nil)
		if f := failedOf(a); f != nil {
			t.Fatalf("failed with %s", f.Reason)
		}
		for len(a.Calls) == 0 {
			now = now.Add(20 * time.Millisecond)
			a = s.Tick(now)
		}
	}
}

func TestLostInputIsReportedToOwner(t *testing.T) {
	s := testScheduler(1)
	j := testJob("a", 1, 1)
	j.Inputs = []string{"x"}
	c := s.Submit(start, j, "").Calls[0]
	a := s.CallEnded(start.Add(time.Second), c.N, CallDone, []ItemResult{{Reason: ItemGone}})
	if f := failedOf(a); f == nil || f.Reason != Gone {
		t.Fatalf("the owner was not told that an input is lost: %+v", a.Replies)
	}
}

func TestReadingIsSentOnceCallsHaveReadInputs(t *testing.T) {
	said := func(a Actions) bool {
		for _, r := range a.Replies {
			if r.Message.Reading != nil {
				return true
			}
		}
		return false
	}
	s := testScheduler(1)
	j := testJob("a", 1, 1)
	j.Inputs = []string{"x"}
	a := s.Submit(start, j, "")
	if said(a) || said(s.Tick(start.Add(readTime/2))) {
		t.Fatal("inputs were freed while the server might still refuse the call")
	}
	s.CallEnded(start.Add(readTime/2), a.Calls[0].N, CallFull, nil)
	if said(s.Tick(start.Add(readTime))) {
		t.Fatal("inputs were freed though the call was refused")
	}
	next := s.Tick(start.Add(2 * readTime))
	if len(next.Calls) != 1 || !said(s.Tick(start.Add(4*readTime))) {
		t.Fatal("the owner was not told that its inputs have been read")
	}
	b := s.CallEnded(start.Add(5*readTime), next.Calls[0].N, CallDone, []ItemResult{{Reason: ItemError}})
	if f := failedOf(b); f == nil || f.Reason != Gone {
		t.Fatal("a piece whose inputs were freed was retried")
	}
}

func TestJobFailsAfterDeadline(t *testing.T) {
	s := testScheduler(0)
	s.Submit(start, testJob("a", 1, 1), "")
	if f := failedOf(s.Tick(start.Add(5001 * time.Millisecond))); f == nil || f.Reason != Late {
		t.Fatal("a job outlived its deadline")
	}
}

func TestWithdrawnJobFreesResults(t *testing.T) {
	s := testScheduler(1)
	j := testJob("a", 1, 1)
	c := s.Submit(start, j, "").Calls[0]
	s.Withdraw(start, j.ID)
	s.CallEnded(start.Add(time.Second), c.N, CallDone, successResults(c))
	a := s.Tick(start.Add(time.Second))
	if len(a.Frees) != 1 || len(a.Frees[0].Handles) != 1 {
		t.Fatalf("the result of a withdrawn job was not freed: %+v", a.Frees)
	}
}

func TestWaitGrowsWithBacklog(t *testing.T) {
	s := testScheduler(2)
	idle := s.Waits(start).All
	for n := range uint64(20) {
		s.Submit(start, testJob("a", n, 4), "")
	}
	if w := s.Waits(start).All; w <= idle+500*time.Millisecond {
		t.Fatalf("80 pieces queued at two servers wait %s", w)
	}
}

// For random sequences of events: a server has one call at a time, no call exceeds the size limit, results fit in the
// servers' room, every job ends at most once, and a job's results are complete, its own and in order.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := testScheduler(3)
		now := start
		open := map[uint64]Call{}
		busy := map[string]bool{}
		stored := map[string]float64{} // bytes stored at each server, as the server counts them
		handles := map[string]string{}
		ends := map[JobID]int{}
		jobs := map[JobID]*Job{}
		next := uint64(0)
		free := func(server string, hs []string) {
			for _, h := range hs {
				if handles[h] == server {
					stored[server] -= 100
					delete(handles, h)
				}
			}
		}
		take := func(a Actions) {
			for _, f := range a.Frees {
				free(f.Server.ID, f.Handles)
			}
			for _, c := range a.Calls {
				free(c.Server.ID, c.Free)
				if busy[c.Server.ID] {
					rt.Fatalf("%s has two calls", c.Server.ID)
				}
				busy[c.Server.ID] = true
				stored[c.Server.ID] += 100 * float64(len(c.Items))
				if stored[c.Server.ID] > 1000 {
					rt.Fatalf("%s holds %g bytes", c.Server.ID, stored[c.Server.ID])
				}
				if len(c.Items) == 0 || len(c.Items) > 8 {
					rt.Fatalf("a call of %d items", len(c.Items))
				}
				open[c.N] = c
			}
			for _, r := range a.Replies {
				if d := r.Message.Done; d != nil {
					ends[d.ID]++
					for i, h := range d.Handles {
						if want := fmt.Sprintf("%s/%d", jobs[d.ID].Request, i); len(h) < len(want) || h[3:] != want {
							rt.Fatalf("job %v got %q as piece %d", d.ID, h, i)
						}
					}
					s.Free(now, resultsOf(d, 10))
				}
				if f := r.Message.Failed; f != nil {
					ends[f.ID]++
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0, 1:
				next++
				j := testJob("a", next, rapid.IntRange(1, 10).Draw(rt, "pieces"))
				j.ResultBytes, j.Due, j.Deadline = 100, now.Add(time.Second), now.Add(3*time.Second)
				jobs[j.ID] = j
				take(s.Submit(now, j, ""))
			case 2, 3:
				for _, n := range slices.Sorted(maps.Keys(open)) {
					c := open[n]
					delete(open, n)
					delete(busy, c.Server.ID)
					outcome := CallOutcome(rapid.IntRange(1, 3).Draw(rt, "outcome"))
					results := successResults(c)
					if outcome != CallDone {
						results = nil
						stored[c.Server.ID] -= 100 * float64(len(c.Items))
					}
					for _, r := range results {
						handles[r.Handle] = c.Server.ID
					}
					take(s.CallEnded(now, n, outcome, results))
					break
				}
			default:
				take(s.Tick(now))
			}
		}
		for id, n := range ends {
			if n > 1 {
				rt.Fatalf("job %v ended %d times", id, n)
			}
		}
	})
}

// pointers returns pointers to the elements of a list.
func pointers(list []catalog.Server) []*catalog.Server {
	out := make([]*catalog.Server, len(list))
	for i := range list {
		out[i] = &list[i]
	}
	return out
}

func TestUnreachableServerCostsJobsNothingAndResumes(t *testing.T) {
	s := testScheduler(1)
	a := s.Submit(start, testJob("a", 1, 2), "")
	if len(a.Calls) != 1 {
		t.Fatalf("%d calls", len(a.Calls))
	}
	now := start
	for range maxJobFailures + 1 {
		now = now.Add(700 * time.Millisecond)
		out := s.CallEnded(now, a.Calls[0].N, CallUnreachable, nil)
		if len(out.Replies) > 0 {
			t.Fatalf("the job ended: %+v", out.Replies)
		}
		if len(out.Calls) > 0 {
			t.Fatal("the server was not paused")
		}
		if a = s.Resume(now, a.Calls[0].Server.ID); len(a.Calls) != 1 {
			t.Fatalf("%d calls after the server could be reached", len(a.Calls))
		}
	}
}
