// Package quota shares out the requests a second that a backend server takes from all boxes together.
//
// Load. Servers in need name a limit for all boxes together, one request a second or thousands, in fleets of a few boxes or a
// thousand. Each box sees only what it sends itself, so that no box alone can keep the limit.
//
// Idea. For each such server one box, its coordinator, grants permits: a permit is the right to send one request at a time or shortly after.
// A box asks just before it would send, and sends elsewhere at once when there is no permit. Permits are granted as a
// rate with a small burst (the generic cell rate algorithm, ITU-T I.371), also ahead of time to those who can wait: the next free
// permit is the queue of all boxes, so that who can't be served in time knows it at once.
//
// What is unknown counts as used. A permit that is not used in time is lost. A limiter that takes over from another grants a part of
// the limit at first, as the other may still do so, and so does one that stands in for a limiter which does not answer; one that has
// lost sight of boxes leaves them their part.
//
// Trade-offs. A request to such a server costs one question more, of a millisecond or two; a large limit grants several permits at once
// to those who ask often. While a coordinator is lost and nobody knows it, its servers get half of what they take.
package quota

import (
	"math"
	"time"
)

// Ask is a box's question for permits at a server.
type Ask struct {
	Server      string
	Incarnation int64         // the server's life
	PerSecond   float64       // the server's limit
	Known       time.Duration // for how long boxes have known of the limit
	Patience    time.Duration // within which the first permit must begin
	Wants       int           // permits
	StandsIn    bool          // the limiter does not answer, and the next box grants permits meanwhile
}

// Grant answers an Ask.
type Grant struct {
	Permits int           // 0 for none
	Begin   time.Duration // until the permits begin
	Next    time.Duration // until the asker need ask again: the next free permit, or later when many ask
}

// Limiter grants the permits of the servers that this box coordinates. Pure: time comes in. Not safe for concurrent use.
type Limiter struct {
	servers map[string]*server
}

type server struct {
	incarnation int64
	perSecond   float64
	next        time.Time // when the next permit begins by the rate alone, without the burst
	sharesUntil time.Time // until when the limiter before may still grant permits
	usedAt      time.Time
	turn        time.Time // of the last that got nothing to ask again
}

// Take grants permits. part is the part of the limit that the boxes which this limiter can see may use.
func (l *Limiter) Take(now time.Time, a Ask, part float64) Grant {
	s := l.serverOf(now, a)
	s.usedAt = now
	rate := s.perSecond * min(1, max(0, part))
	if a.StandsIn || now.Before(s.sharesUntil) {
		rate *= takeoverPart
	}
	if rate <= 0 {
		return Grant{Next: mostPause}
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

// serverOf gives the state of a server as the asker knows it; permits that were granted ahead keep their part of a changed limit.
func (l *Limiter) serverOf(now time.Time, a Ask) *server {
	if l.servers == nil {
		l.servers = map[string]*server{}
	}
	s := l.servers[a.Server]
	if s == nil || s.incarnation < a.Incarnation {
		s = &server{incarnation: a.Incarnation, perSecond: a.PerSecond, next: now}
		if a.Known > takeoverFor {
			s.sharesUntil = now.Add(takeoverFor)
			s.next = now.Add(time.Duration(float64(burstFor) / takeoverPart)) // no burst: the limiter before may just have handed it out
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

// askAgain is when one that got nothing may ask again: they are given turns, so that a limiter's work follows the limit and not the
// fleet.
func (s *server) askAgain(now time.Time) time.Duration {
	if s.turn.Before(now) {
		s.turn = now
	}
	s.turn = s.turn.Add(time.Duration(float64(time.Second) / (asksBase + asksFactor*s.perSecond)))
	return min(s.turn.Sub(now), mostPause)
}

// burstOf is how many permits may be granted at once after a pause.
func burstOf(perSecond float64) float64 { return burstFor.Seconds() * perSecond }

// mostPermits is how many permits one question may get.
func mostPermits(perSecond float64) int {
	return max(1, int(math.Round(perSecond*batchFor.Seconds())))
}

// Sweep forgets servers that nobody asks for.
func (l *Limiter) Sweep(now time.Time) {
	for id, s := range l.servers {
		if now.Sub(s.usedAt) > keptFor {
			delete(l.servers, id)
		}
	}
}

// Size counts the servers that are known.
func (l *Limiter) Size() int { return len(l.servers) }
