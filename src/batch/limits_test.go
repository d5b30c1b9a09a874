package batch

import (
	"testing"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// limitedScheduler returns a scheduler whose servers each accept one call per second.
func limitedScheduler(servers int) *Scheduler {
	s := testScheduler(servers)
	s.LimitOf = func(*catalog.Server) float64 { return 1 }
	return s
}

// The estimated wait accounts for request limits: two servers that accept a call of 8 pieces per second need two seconds for
// 32 pieces.
func TestWaitAccountsForRequestLimits(t *testing.T) {
	s := limitedScheduler(2)
	s.RestsUntil = func(*catalog.Server) time.Time { return start.Add(time.Millisecond) }
	for i := range 4 {
		j := testJob("a", uint64(i), 8)
		j.Due, j.Deadline = start.Add(9*time.Second), start.Add(10*time.Second)
		s.Submit(start, j, "")
	}
	if w := s.Waits(start).All; w < 1800*time.Millisecond || w > 2300*time.Millisecond {
		t.Errorf("wait of %s behind 32 pieces that two servers run in two seconds", w)
	}
	s.LimitOf = nil
	if w := s.Waits(start).All; w > 900*time.Millisecond {
		t.Errorf("wait of %s though no server has a limit", w)
	}
}

// If all servers limit their calls, a job that can't be in time fails at once while others fill the calls. If one server has no
// limit the job waits.
func TestJobsFailEarlyIfLimitsMakeThemLate(t *testing.T) {
	for _, c := range []struct {
		name    string
		one     bool // one server has no limit
		due     time.Duration
		ends    bool
		waiting int // earlier jobs of 8 pieces
	}{
		{"in time", false, 4 * time.Second, false, 2},
		{"too far back for its objective", false, 2 * time.Second, true, 6},
		{"too far back for its deadline", false, 9 * time.Second, true, 13},
		{"one server has no limit", true, 2 * time.Second, false, 6},
	} {
		s := limitedScheduler(2)
		s.RestsUntil = func(*catalog.Server) time.Time { return start.Add(time.Millisecond) }
		if c.one {
			s.LimitOf = func(v *catalog.Server) float64 {
				if v.ID == "s0" {
					return 0
				}
				return 1
			}
		}
		for i := range c.waiting {
			j := testJob("a", uint64(i), 8)
			j.Due, j.Deadline = start.Add(1900*time.Millisecond+time.Duration(i)*600*time.Millisecond), start.Add(20*time.Second)
			if c.due < 3*time.Second {
				j.Due = start.Add(c.due - time.Duration(c.waiting-i)*time.Millisecond)
			}
			s.Submit(start, j, "")
		}
		last := testJob("b", 1, 8)
		last.Due, last.Deadline = start.Add(c.due), start.Add(5*time.Second)
		f := failedOf(s.Submit(start, last, ""))
		if got := f != nil && f.Reason == Late; got != c.ends {
			t.Errorf("%s: ended at once %v, want %v", c.name, got, c.ends)
		}
	}
}

// At a server with a limit many results are freed with one request, so that calls keep their permits.
func TestResultsAreFreedInBulkAtALimitedServer(t *testing.T) {
	s := limitedScheduler(1)
	told := 0
	for at := time.Duration(0); at < 10*time.Second; at += 40 * time.Millisecond {
		now := start.Add(at)
		s.Free(now, []HeldResult{{Handle: now.String(), Server: "s0"}})
		told += len(s.Tick(now).Frees)
	}
	if told < 2 || told > 4 {
		t.Errorf("%d requests in 10 s free results at a server that accepts one call per second, want one every 4 s", told)
	}
}
