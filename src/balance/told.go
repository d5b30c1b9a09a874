package balance

import (
	"time"

	"github.com/stilemast/stilemast/src/pace"
)

// told is the number of requests that a server reported with a response.
type told struct {
	at       time.Time
	requests int32 // running and waiting, of all boxes
	own      int32 // requests of this box at that time, which requests includes
}

// RecordTold records the load that a server reported with a response. now is when the head of the response arrived; the
// request itself must not have been reported as ended. A report without slots, or of another incarnation, is ignored.
func (p *Pool) RecordTold(now time.Time, id string, incarnation int64, t pace.Told) {
	v := p.servers[id]
	if v == nil || int64(v.Incarnation) != incarnation || t.Slots <= 0 || t.Running < 0 || t.Waiting < 0 {
		return
	}
	v.told = told{at: now, requests: int32(min(t.Running, maxTold) + min(t.Waiting, maxTold)), own: int32(v.own.Requests)}
}

// requests estimates the requests of all boxes at a server: what it reported last and what the boxes reported, weighted
// by the age of the former.
func (p *Pool) requests(now time.Time, v *server, reported Load) float64 {
	age := now.Sub(v.told.at)
	if age >= toldLifetime {
		return float64(reported.Requests)
	}
	weight := 1.0
	if age > toldFresh {
		weight = float64(toldLifetime-age) / float64(toldLifetime-toldFresh)
	}
	since := max(v.own.Requests, int(v.told.requests)+v.own.Requests-int(v.told.own))
	return weight*float64(since) + (1-weight)*float64(reported.Requests)
}

// speed returns the speed of a server, Normal while speeds are not in force or unusable.
func (p *Pool) speed(now time.Time, v *server) pace.Speed {
	if p.SpeedOf == nil {
		return pace.Normal
	}
	s := p.SpeedOf(now, v.Server)
	return pace.Speed{Lasting: boundedSpeed(s.Lasting), Now: boundedSpeed(s.Now)}
}

// boundedSpeed returns a usable speed: 1 for values that aren't numbers above 0 and for those about as usual.
func boundedSpeed(s float64) float64 {
	if !(s > 0) || s <= evenSpeed && s*evenSpeed >= 1 {
		return 1
	}
	return min(max(s, minSpeed), maxSpeed)
}
