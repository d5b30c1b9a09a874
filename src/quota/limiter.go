// Package quota divides the request rate that a backend server accepts among all boxes.
//
// An overloaded server names one limit for all boxes together, from one request per second to thousands, in
// fleets of a few boxes to a thousand. Each box sees only its own requests, so none can keep to the limit
// alone.
//
// For each such server one box, the coordinator, grants permits. A permit is the right to send one request
// at a given time or shortly after. A box asks for permits just before it would send, and uses another
// server at once when there is none. Permits are granted at a rate with a small burst (the generic cell
// rate algorithm, ITU-T I.371), also ahead of time to boxes that can wait: the time of the next free permit
// acts as the queue of all boxes, so a box that can't be served in time is refused at once.
//
// Unknown use counts as use. A permit that is not used in time is lost. A coordinator that takes over from
// another grants only a part of the limit at first, because the other may still grant permits, and so does
// a substitute for a coordinator that does not answer. A coordinator that can't reach some boxes reserves their
// part.
//
// A request to such a server costs one additional round trip of a millisecond or two; with a large limit,
// several permits are granted at once to boxes that ask often. While a coordinator is lost and not
// replaced, its servers get half of their limit.
package quota

import (
	"math"
	"time"
)

// PermitRequest is a request of a box for permits at a server.
type PermitRequest struct {
	Server      string
	Incarnation int64         // incarnation of the server
	PerSecond   float64       // limit of the server, in requests per second
	Known       time.Duration // time for which boxes have known of the limit
	Patience    time.Duration // longest acceptable time until the first permit begins
	Wants       int           // number of permits wanted
	Substitute  bool          // the asked box is a substitute for a coordinator that does not answer
}

// Grant answers a PermitRequest.
type Grant struct {
	Permits int           // 0 if none is granted
	Begin   time.Duration // until the permits begin
	Next    time.Duration // time until asking again makes sense: the next free permit, or later when many boxes ask
}

// Limiter grants the permits of the servers that this box coordinates. It takes the time as an argument and
// does no I/O. Not safe for concurrent use.
type Limiter struct {
	servers map[string]*server
}

// server is the state of one server with a limit.
type server struct {
	incarnation int64
	perSecond   float64
	next        time.Time // when the next permit begins by the rate alone, without the burst
	sharesUntil time.Time // until when the previous limiter may still grant permits
	usedAt      time.Time
	lastTurn    time.Time // latest time given to a box without a permit for its next request
}

// Take grants permits, or returns when to ask again. part is the part of the limit for the boxes that this
// limiter can reach.
func (l *Limiter) Take(now time.Time, a PermitRequest, part float64) Grant {
	s := l.serverOf(now, a)
	s.usedAt = now
	rate := s.perSecond * min(1, max(0, part))
	if a.Substitute || now.Before(s.sharesUntil) {
		rate *= takeoverPart
	}
	if rate <= 0 {
		return Grant{Next: maxAskDelay}
	}
	interval := time.Duration(float64(time.Second) / rate)
	burst := time.Duration(burstOf(s.perSecond) * float64(interval))
	begin := s.next.Add(-burst)
	if begin.Before(now) {
		begin = now
	}
	g := Grant{Begin: begin.Sub(now)}
	if g.Begin <= a.Patience {
		g.Permits = 1
		if g.Begin == 0 {
			free := int(float64(now.Add(burst).Sub(s.next))/float64(interval)) + 1
			g.Permits = max(1, min(a.Wants, free, mostPermits(s.perSecond)))
		}
		if s.next.Before(begin) {
			s.next = begin
		}
		s.next = s.next.Add(time.Duration(g.Permits) * interval)
	}
	g.Next = max(0, s.next.Add(-burst).Sub(now))
	if g.Permits == 0 {
		g.Next = max(g.Next, s.askAgain(now))
	}
	return g
}

// serverOf returns the state of a server, updated with the limit in the request. Permits granted ahead are
// converted to a changed limit.
func (l *Limiter) serverOf(now time.Time, a PermitRequest) *server {
	if l.servers == nil {
		l.servers = map[string]*server{}
	}
	s := l.servers[a.Server]
	if s == nil || s.incarnation < a.Incarnation {
		s = &server{incarnation: a.Incarnation, perSecond: a.PerSecond, next: now}
		if a.Known > takeoverFor {
			s.sharesUntil = now.Add(takeoverFor)
			s.next = now.Add(time.Duration(float64(burstFor) / takeoverPart)) // no burst, because the previous limiter may just have granted it
		}
		l.servers[a.Server] = s
	}
	if a.PerSecond != s.perSecond {
		if ahead := s.next.Sub(now); ahead > 0 {
			s.next = now.Add(time.Duration(float64(ahead) * min(1, s.perSecond/a.PerSecond)))
		}
		s.perSecond = a.PerSecond
	}
	return s
}

// askAgain returns when a box that got no permit may ask again. The times are spaced, so that the load of a
// limiter depends on the limit and not on the fleet size.
func (s *server) askAgain(now time.Time) time.Duration {
	if s.lastTurn.Before(now) {
		s.lastTurn = now
	}
	s.lastTurn = s.lastTurn.Add(time.Duration(float64(time.Second) / (asksBase + asksFactor*s.perSecond)))
	return min(s.lastTurn.Sub(now), maxAskDelay)
}

// burstOf returns how many permits may be granted at once after a pause.
func burstOf(perSecond float64) float64 { return burstFor.Seconds() * perSecond }

// mostPermits returns the largest number of permits in one Grant.
func mostPermits(perSecond float64) int {
	return max(1, int(math.Round(perSecond*batchFor.Seconds())))
}

// Sweep removes servers for which no permits were requested within serverTTL.
func (l *Limiter) Sweep(now time.Time) {
	for id, s := range l.servers {
		if now.Sub(s.usedAt) > serverTTL {
			delete(l.servers, id)
		}
	}
}

// Size returns the number of known servers.
func (l *Limiter) Size() int { return len(l.servers) }
