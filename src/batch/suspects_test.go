package batch

import (
	"testing"
	"time"

	"github.com/stilemast/stilemast/src/crasher"
)

// contentJob returns a job of one piece with a numbered content.
func contentJob(n uint64, content byte) *Job {
	j := testJob("box", n, 1)
	j.Content = crasher.Key{content}
	return j
}

// schedulerWithVerdicts returns a scheduler with verdicts from a table.
func schedulerWithVerdicts(servers int, ends map[byte]crasher.Verdict) *Scheduler {
	s := testScheduler(servers)
	s.VerdictOf = func(k crasher.Key) crasher.Verdict { return ends[k[0]] }
	return s
}

// contentsIn returns the contents in each call.
func contentsIn(calls []Call) [][]byte {
	var out [][]byte
	for _, c := range calls {
		var in []byte
		for _, it := range c.Items {
			in = append(in, it.Content[0])
		}
		out = append(out, in)
	}
	return out
}

// submitTogether submits jobs while no calls are formed, and returns the calls formed afterwards.
func submitTogether(s *Scheduler, jobs ...*Job) []Call {
	s.HoldUntil(start.Add(time.Millisecond))
	for _, j := range jobs {
		s.Submit(start, j, "")
	}
	return s.Tick(start.Add(2 * time.Millisecond)).Calls
}

func TestContentWithTwoCrashesSharesNoCall(t *testing.T) {
	s := schedulerWithVerdicts(4, map[byte]crasher.Verdict{9: {Ends: 2}, 8: {Ends: 1}})
	calls := contentsIn(submitTogether(s, contentJob(1, 1), contentJob(2, 9), contentJob(3, 2), contentJob(4, 8)))
	if len(calls) != 2 {
		t.Fatalf("%d calls: %v, want one of 9 and one of the others, which have at most one crash", len(calls), calls)
	}
	for _, in := range calls {
		for _, c := range in {
			if (c == 9) != (in[0] == 9) {
				t.Errorf("a call holds %v", in)
			}
		}
	}
}

func TestContentWithTwoCrashesIsInOneCallAtATime(t *testing.T) {
	s := schedulerWithVerdicts(4, map[byte]crasher.Verdict{9: {Ends: 2}, 8: {Ends: 1}})
	calls := submitTogether(s, contentJob(1, 9), contentJob(2, 9), contentJob(3, 8))
	if got := contentsIn(calls); len(got) != 2 {
		t.Fatalf("calls of %v, want one of 9 and one of 8", got)
	}
	for _, in := range contentsIn(calls) {
		if len(in) > 1 && in[0] != in[1] {
			t.Errorf("a call holds %v", in)
		}
	}
}

func TestBarredContentFailsItsJob(t *testing.T) {
	ends := map[byte]crasher.Verdict{}
	s := schedulerWithVerdicts(1, ends)
	if calls := submitTogether(s, contentJob(1, 9)); len(calls) != 1 {
		t.Fatalf("%d calls", len(calls))
	}
	s.Submit(start, contentJob(2, 9), "")
	ends[9] = crasher.Verdict{Ends: 3, Barred: true}
	if f := failedOf(s.Tick(start.Add(10 * time.Millisecond))); f == nil || f.Reason != Barred {
		t.Errorf("the job ended by %+v", f)
	}
	if len(s.jobs) != 0 {
		t.Errorf("%d jobs are left", len(s.jobs))
	}
}
