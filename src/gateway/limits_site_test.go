package gateway

import (
	"slices"
	"time"
)

// limitLedger counts what reaches servers that name a limit of requests a second for all boxes together. Its owner's lock guards it.
type limitLedger struct {
	perSecond map[string]float64 // by server; those that name none are not in it
	named     map[string]time.Time
	heard     map[[2]string]time.Time // when a box first had an answer that named the limit, by box and server
	sends     map[string][]limitSend
	excused   map[string]bool // boxes that were ended, frozen or cut
}

type limitSend struct {
	at      time.Time
	counted bool // the box that sent it had heard of the limit
}

// The users' bounds. From limitBegins after a server first named its limit, it gets in limitWindow at most limitFactor of what that
// allows and limitSlack requests more, from boxes that had its word limitHeard before. Under limitUsed of what it offers used, a
// server that callers want is left idle.
const (
	limitBegins = 3 * time.Second
	limitWindow = 4 * time.Second
	limitHeard  = 500 * time.Millisecond
	limitFactor = 1.5
	limitSlack  = 5
	limitUsed   = 0.5
)

// name has servers name a limit from now on; 0 ends it.
func (l *limitLedger) name(now time.Time, perSecond float64, servers ...string) {
	if l.perSecond == nil {
		l.perSecond, l.named, l.heard, l.sends = map[string]float64{}, map[string]time.Time{}, map[[2]string]time.Time{}, map[string][]limitSend{}
		l.excused = map[string]bool{}
	}
	for _, id := range servers {
		if perSecond == 0 {
			delete(l.perSecond, id)
			continue
		}
		l.perSecond[id] = perSecond
		if l.named[id].IsZero() {
			l.named[id] = now
		}
	}
}

// arrives counts a request and gives the limit that its answer names.
func (l *limitLedger) arrives(now time.Time, box, server string) float64 {
	limit := l.perSecond[server]
	if limit > 0 {
		at, heard := l.heard[[2]string{box, server}]
		l.sends[server] = append(l.sends[server], limitSend{at: now, counted: heard && now.Sub(at) >= limitHeard && !l.excused[box]})
	}
	return limit
}

func (l *limitLedger) hears(now time.Time, box, server string) {
	key := [2]string{box, server}
	if _, ok := l.heard[key]; !ok {
		l.heard[key] = now
	}
}

// most is the largest number of requests that one server got in any window, of those that count by the users' bound or of all.
func (l *limitLedger) most(all bool) int {
	most := 0
	for server, list := range l.sends {
		from := l.named[server].Add(limitBegins)
		list = slices.DeleteFunc(slices.Clone(list), func(s limitSend) bool { return !all && !s.counted || s.at.Before(from) })
		for i, first := 0, 0; i < len(list); i++ {
			for list[i].at.Sub(list[first].at) >= limitWindow {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// used is the part of what the servers offer that was used, of the one that was used least, from the time at which the bound holds.
func (l *limitLedger) used(until time.Time) float64 {
	least := 1.0
	for server, limit := range l.perSecond {
		from, n := l.named[server].Add(limitBegins), 0
		for _, s := range l.sends[server] {
			if !s.at.Before(from) && s.at.Before(until) {
				n++
			}
		}
		least = min(least, float64(n)/(limit*until.Sub(from).Seconds()))
	}
	return least
}

func limitAllows(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds()) + limitSlack
}
