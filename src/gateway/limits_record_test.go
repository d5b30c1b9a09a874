package gateway

import (
	"slices"
	"time"
)

// limitRecord counts what reaches servers that announce a limit of requests per second for all boxes
// together. The owner's lock guards it.
type limitRecord struct {
	perSecond    map[string]float64 // by server; absent for servers without a limit
	limitedSince map[string]time.Time
	firstSeen    map[[2]string]time.Time // when a box first got an answer with the limit, by box and server
	sends        map[string][]limitSend
	disrupted    map[string]bool // boxes that were killed, frozen or partitioned
}

type limitSend struct {
	at      time.Time
	counted bool // the sending box knew of the limit
}

// The users' bounds. From limitGrace after a server first announced its limit, it gets in each limitWindow at
// most limitFactor times what the limit allows plus limitSlack requests, from boxes that got the limit at
// least limitKnownAfter before. A server counts as idle if less than minLimitUse of its limit is used while
// callers want more.
const (
	limitGrace      = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitKnownAfter = 500 * time.Millisecond
	limitFactor     = 1.5
	limitSlack      = 5
	minLimitUse     = 0.5
)

// set has servers announce a limit from now on; 0 ends it.
func (l *limitRecord) set(now time.Time, perSecond float64, servers ...string) {
	if l.perSecond == nil {
		l.perSecond, l.limitedSince, l.firstSeen, l.sends = map[string]float64{}, map[string]time.Time{}, map[[2]string]time.Time{}, map[string][]limitSend{}
		l.disrupted = map[string]bool{}
	}
	for _, id := range servers {
		if perSecond == 0 {
			delete(l.perSecond, id)
			continue
		}
		l.perSecond[id] = perSecond
		if l.limitedSince[id].IsZero() {
			l.limitedSince[id] = now
		}
	}
}

// recordArrival records a request and returns the limit that its answer carries.
func (l *limitRecord) recordArrival(now time.Time, box, server string) float64 {
	limit := l.perSecond[server]
	if limit > 0 {
		at, heard := l.firstSeen[[2]string{box, server}]
		l.sends[server] = append(l.sends[server], limitSend{at: now, counted: heard && now.Sub(at) >= limitKnownAfter && !l.disrupted[box]})
	}
	return limit
}

func (l *limitRecord) recordAnswer(now time.Time, box, server string) {
	key := [2]string{box, server}
	if _, ok := l.firstSeen[key]; !ok {
		l.firstSeen[key] = now
	}
}

// most returns the largest number of requests that one server got in any window: of those that count by the
// users' bound, or of all.
func (l *limitRecord) most(all bool) int {
	most := 0
	for server, list := range l.sends {
		from := l.limitedSince[server].Add(limitGrace)
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

// used returns the fraction of its limit that was used at the least used server, from when the bound applies.
func (l *limitRecord) used(until time.Time) float64 {
	least := 1.0
	for server, limit := range l.perSecond {
		from, n := l.limitedSince[server].Add(limitGrace), 0
		for _, s := range l.sends[server] {
			if !s.at.Before(from) && s.at.Before(until) {
				n++
			}
		}
		least = min(least, float64(n)/(limit*until.Sub(from).Seconds()))
	}
	return least
}

func maxRequests(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds()) + limitSlack
}
