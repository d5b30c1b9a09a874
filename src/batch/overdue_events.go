package batch

import (
	"slices"
	"strings"
	"time"
)

// OverdueKind is the kind of an OverdueEvent.
type OverdueKind uint8

// Kinds of OverdueEvent.
const (
	CallOverdue      OverdueKind = iota + 1 // a call is overdue
	SecondRunStarted                        // pieces of an overdue call were put in a call to another server
	SecondRunEnded                          // a call ended of which pieces were run twice
)

// String names the kind for logs.
func (k OverdueKind) String() string {
	switch k {
	case CallOverdue:
		return "call overdue"
	case SecondRunStarted:
		return "pieces run again"
	case SecondRunEnded:
		return "call with pieces run again ended"
	}
	return "unknown"
}

// maxLoggedRequests bounds the requests named by one event.
const maxLoggedRequests = 8

// OverdueEvent is a decision about an overdue call, to be logged and counted.
type OverdueEvent struct {
	Kind     OverdueKind
	Call     uint64 // the overdue call; with SecondRunEnded the call that ended
	Server   string // of Call
	Age      time.Duration
	Limit    time.Duration // age from which Call is overdue
	To       string        // server of the second run
	ToCall   uint64        // call of the second run
	Pieces   int           // pieces in Call; with SecondRunStarted those run again
	Counted  int           // second runs that ended first
	First    int           // first runs that ended first
	Freed    int           // results that are freed since the other run ended first, or the job has ended
	Requests []string      // requests with pieces run again, at most maxLoggedRequests
}

// Attributes returns the event's fields as alternating keys and values for a log line.
func (e *OverdueEvent) Attributes() []any {
	out := []any{"server", e.Server, "call", e.Call, "age_ms", e.Age.Milliseconds()}
	switch e.Kind {
	case CallOverdue:
		out = append(out, "limit_ms", e.Limit.Milliseconds(), "pieces", e.Pieces)
	case SecondRunStarted:
		out = append(out, "limit_ms", e.Limit.Milliseconds(), "pieces", e.Pieces, "to", e.To, "to_call", e.ToCall, "requests", strings.Join(e.Requests, " "))
	case SecondRunEnded:
		out = append(out, "first_counted", e.First, "second_counted", e.Counted, "freed", e.Freed)
	}
	return out
}

// count counts a result of item i of a call that ended, if its piece was run twice. It is called before the result is
// recorded.
func (e *OverdueEvent) count(t *job, rc *runningCall, i int) {
	piece, second := rc.pieces[i], rc.firsts[i] != 0
	switch {
	case t.handles[piece] != "" || t.ended && second:
		e.Freed++
	case second:
		e.Counted++
	case t.inCalls[piece] > 0 && !t.ended:
		e.First++
	}
}

// ended reports the end of a call, if pieces of it were run twice.
func (r *secondRuns) ended(e OverdueEvent, out *Actions) {
	if e.Counted+e.First+e.Freed == 0 {
		return
	}
	r.counted += e.Counted
	out.Overdue = append(out.Overdue, e)
}

// noteSecondRuns reports the second runs in a call that was formed, by the calls that run them already.
func (s *Scheduler) noteSecondRuns(now time.Time, rc *runningCall, c *Call, out *Actions) {
	events := map[uint64]*OverdueEvent{}
	var order []uint64
	for i, n := range rc.firsts {
		if n == 0 {
			continue
		}
		e := events[n]
		if e == nil {
			first := s.calls[n]
			o := first.asCall()
			e = &OverdueEvent{Kind: SecondRunStarted, Call: n, Server: first.server, Age: now.Sub(first.began), Limit: o.Limit(s.second.level, s.spread.Factor()), To: rc.server, ToCall: c.N}
			events[n], order = e, append(order, n)
		}
		e.Pieces++
		s.second.started++
		if r := rc.jobs[i].Request; len(e.Requests) < maxLoggedRequests && !slices.Contains(e.Requests, r) {
			e.Requests = append(e.Requests, r)
		}
	}
	for _, n := range order {
		out.Overdue = append(out.Overdue, *events[n])
	}
}

// OverdueStatus is the state of a scheduler's second runs.
type OverdueStatus struct {
	InForce bool    `json:"in_force"`
	Calls   int     `json:"calls"`        // calls that are overdue now
	Pieces  int     `json:"pieces"`       // pieces that are in two calls now
	Factor  float64 `json:"factor"`       // measured over expected time from which a call is overdue
	Level   float64 `json:"level"`        // measured over expected time that half of the servers do not exceed
	Budget  int     `json:"budget"`       // second runs that may be started now
	Overdue int     `json:"overdue"`      // calls that were overdue, since the start
	Started int     `json:"second_runs"`  // second runs, since the start
	Counted int     `json:"second_first"` // second runs that ended first, since the start
}

// Status returns the state of the second runs.
func (s *Scheduler) Status(now time.Time) OverdueStatus {
	out := OverdueStatus{
		InForce: s.second.inForce, Factor: s.spread.Factor(), Level: s.second.level, Budget: s.Budget.Remaining(now, s.Boxes),
		Overdue: s.second.calls, Started: s.second.started, Counted: s.second.counted,
	}
	for _, v := range s.servers {
		if v.overdue {
			out.Calls++
		}
	}
	for _, t := range s.jobs {
		for _, n := range t.inCalls {
			if n > 1 {
				out.Pieces++
			}
		}
	}
	return out
}
