package balance

import (
	"time"
)

// usable reports whether a server is neither paused nor being probed after a pause.
func (v *server) usable(now time.Time) bool {
	if now.Before(v.pausedUntil) {
		return false
	}
	return v.pauses == 0 || !v.probing
}

// doubted reports whether a server may be absent or rejecting requests: another server was found so recently, and no box
// is known to have requests at this one or to have had an answer since. An absent server looks idle and would be chosen
// first: without this check, with a third of the servers crashed, 18 of 20 requests were first sent to a crashed server,
// with it at most 2.
func (p *Pool) doubted(now time.Time, v *server, l Load) bool {
	return now.Sub(p.doubtSince) < doubtPeriod && l.Requests == 0 && now.Sub(v.seenAt) >= doubtPeriod
}

// cold reports whether a server has just started and can take only little load.
func (v *server) cold(now time.Time) bool { return now.Before(v.ColdUntil) }

// fewCold reports whether fewer than half of the servers are cold, so that cold servers can be skipped. An idle cold
// server would otherwise get the next request of every box at once and be overloaded. If most are cold, requests spread
// over them.
func (p *Pool) fewCold(now time.Time) bool {
	n := 0
	for _, v := range p.servers {
		if v.cold(now) {
			n++
		}
	}
	return 2*n < len(p.servers)
}

// Outcome is the outcome of an exchange with a server.
type Outcome uint8

// String names the outcome for logs.
func (o Outcome) String() string {
	switch o {
	case Good:
		return "good"
	case Failed:
		return "failed"
	case Full:
		return "full"
	case Broken:
		return "broken"
	case Dropped:
		return "dropped"
	case Absent:
		return "absent"
	case Replaced:
		return "replaced"
	case AsksRest:
		return "asks for rest"
	}
	return "unknown"
}

// Ended records the end of a request's exchange with a server. It reports whether the server was paused.
func (p *Pool) Ended(now time.Time, id string, w *Request, o Outcome) bool {
	v := p.servers[id]
	if v == nil {
		return false
	}
	v.own.Requests = max(0, v.own.Requests-1)
	if v.own.Requests == 0 {
		v.own.Tokens = 0
		delete(p.busy, id)
	}
	if o == Dropped {
		v.probing = false
		return false
	}
	if o != Absent && o != Replaced {
		v.seenAt = now
	}
	if o == AsksRest { // not a failure: the rest that the server asked for applies instead of a pause
		v.probing = false
		p.doubtSince = now // with 3 of 5 servers rejecting all requests, 2 of 2,500 were refused, 23 without this
		return false
	}
	bad := 0.0
	if o != Good {
		bad = 1
	}
	v.failureRate += failureRateWeight * (bad - v.failureRate)
	p.failureRate += failureRateWeight / float64(max(1, len(p.servers))) * (bad - p.failureRate)
	switch o {
	case Good:
		v.broken = 0
		if v.probing || v.failureRate < excessFailureRate {
			v.pauses = 0
		}
		v.probing = false
		return false
	case Broken, Full:
		v.broken++
	case Absent:
		p.doubtSince = now
		p.pause(now, v)
		return true
	case Replaced:
		p.doubtSince = now
		p.pause(now, v)
		v.pausedUntil = now.Add(replacedPause)
		return true
	}
	if v.probing || v.broken >= maxConsecutiveBroken || v.failureRate > p.failureRate+excessFailureRate {
		p.pause(now, v)
		return true
	}
	return false
}

// pause pauses a server, longer with each pause since the last success.
func (p *Pool) pause(now time.Time, v *server) {
	v.pausedUntil = now.Add(failurePause << min(v.pauses, maxDoublings))
	p.paused[v.ID] = v
	v.pauses++
	v.broken, v.probing = 0, false
	v.failureRate = min(v.failureRate, p.failureRate+excessFailureRate/2)
}

// PausedServers returns the ids of the servers that are paused after failures.
func (p *Pool) PausedServers(now time.Time) []string {
	var out []string
	for id, v := range p.paused {
		if now.Before(v.pausedUntil) {
			out = append(out, id)
		} else {
			delete(p.paused, id)
		}
	}
	return out
}

// Outcomes of an exchange.
const (
	Good     Outcome = iota + 1 // a response that is not a failure
	Failed                      // a failure response from the server
	Full                        // the server rejected the request for lack of capacity
	Broken                      // no connection, no response or an invalid one
	Absent                      // no process listens at its address
	Replaced                    // another server answers at its address
	AsksRest                    // the server rejected the request and said for how long to send none
	Dropped                     // cancelled by this box; says nothing about the server
)
