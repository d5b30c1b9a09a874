package batch

import (
	"math"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/overdue"
)

// Where second runs are in force, the learned ratio of servers also decides which free server gets the most urgent work
// and how full the calls of slower ones are.

const (
	minRatio    = 0.25 // bounds of ratios that other boxes report
	maxRatio    = 8.0
	ratioBand   = 1.25 // servers whose ratios differ by less count as equally fast, so that noise decides nothing
	ratioToTell = 0.05 // ratios closer to 1 are not handed over
)

// presetRatios sets the ratios of servers that had no call from what is known of their speed elsewhere. A speed is
// relative to the pool's median, so it is multiplied by the pool's level.
func (s *Scheduler) presetRatios(now time.Time) {
	if s.SpeedOf == nil {
		return
	}
	for _, v := range s.servers {
		if !v.learned {
			v.ratio = clampRatio(s.SpeedOf(now, &v.Server).Lasting * s.second.learned)
		}
	}
}

// findLearned returns the ratio that half of the servers with learned ratios do not exceed.
func (s *Scheduler) findLearned() float64 {
	var ratios []float64
	for _, v := range s.servers {
		if v.listed && v.learned {
			ratios = append(ratios, v.ratio)
		}
	}
	return overdue.Level(ratios)
}

// relativeRatio returns the ratio of a server over that of most servers, where speeds are in force. Otherwise a deviation
// that all servers share would move the ratios and the times per piece apart, without an end. While most servers are slow
// for a time the ratio itself is used, or the times per piece would grow for those that recover first.
func (s *Scheduler) relativeRatio(v *serverState) float64 {
	if !s.second.inForce || s.second.learned > slowRatio {
		return v.ratio
	}
	return v.ratio / s.second.learned
}

// classShare returns the weight of a call in the learned times per piece of its classes. Where speeds are in force it
// is in proportion to the share of the pieces in the call's time: of a small call that time says little.
func (s *Scheduler) classShare(rc *runningCall) float64 {
	if !s.second.inForce {
		return classWeight
	}
	return classWeight * float64(rc.expected-s.pool.Batch.CallTime) / float64(rc.expected)
}

// clampRatio bounds a ratio that was not measured here; 1 if it is no positive number.
func clampRatio(r float64) float64 {
	if !(r > 0) {
		return 1
	}
	return min(maxRatio, max(minRatio, r))
}

// piecesForSlow limits the pieces of a job that may be added to a call to a server that failed or is noticeably slower
// than half of the servers; false if the server is neither. After a failure the call is a trial with one job. A slow
// server gets no more than it can do in time, provided that what is left out has time for a call at another server and
// most servers are healthy.
func (s *Scheduler) piecesForSlow(now time.Time, t *job, rc *runningCall, v *serverState, patience time.Duration) (int, bool) {
	slower := v.ratio > ratioBand*s.second.learned || v.last > ratioBand*s.second.level
	if !s.second.inForce || v.failures == 0 && !slower {
		return 0, false
	}
	if 2*s.healthyServers(now) < len(s.servers) {
		return 0, false // the others can't do what is left out
	}
	least := 0 // in any case, so that the server is measured again
	if len(rc.jobs) == 0 {
		least = len(t.pending)
	}
	if v.failures > 0 {
		return least, true
	}
	if s.cannotBeInTime(now, t) || t.Due.Sub(now) < patience-s.fullCall() {
		return 0, false
	}
	ratio := max(v.ratio, v.last) // the average follows a server that turned slow over several calls
	if ratio <= slowRatio {
		least = int(minCallFill*float64(s.pool.Batch.Size)) - len(rc.jobs)
	}
	return max(least, s.piecesBy(now, t, rc, ratio, earlier(rc.due, t.Due))), true
}

// nextServer returns the index of the free server that gets a call next: the first one, or if the most urgent work would
// be late at the slowest, the fastest.
func (s *Scheduler) nextServer(now time.Time, free []*serverState, queue []*job) int {
	if !s.second.inForce || !s.isTight(now, free, queue) {
		return 0
	}
	best := 0
	for i, v := range free {
		if band(v.ratio) < band(free[best].ratio) {
			best = i
		}
	}
	return best
}

// isTight reports whether the most urgent work that waits would be late after a full call at the slowest of the free
// servers.
func (s *Scheduler) isTight(now time.Time, free []*serverState, queue []*job) bool {
	slowest := 0.0
	for _, v := range free {
		slowest = max(slowest, v.ratio)
	}
	call := time.Duration(slowest * float64(s.fullCall()))
	for _, t := range queue {
		if len(t.pending) > 0 || slices.ContainsFunc(t.again, func(a again) bool { return a.worth == overdue.InTime }) {
			return !s.cannotBeInTime(now, t) && now.Add(call).After(t.Due)
		}
	}
	return false
}

// band returns the number of the band of a ratio.
func band(ratio float64) int {
	return int(math.Round(math.Log(clampRatio(ratio)) / math.Log(ratioBand)))
}

// ratiosToHandOver returns the learned ratios for the next scheduler, unless this box was not the scheduler any more: the
// next one may know better.
func (s *Scheduler) ratiosToHandOver() []ServerRatio {
	if !s.second.inForce || s.second.handedOver {
		return nil
	}
	var out []ServerRatio
	for id, v := range s.servers {
		if v.learned && math.Abs(v.ratio-1) > ratioToTell {
			out = append(out, ServerRatio{Server: id, Incarnation: v.Incarnation, Ratio: v.ratio})
		}
	}
	return out
}

// takeRatios applies the ratios that the previous scheduler learned.
func (s *Scheduler) takeRatios(list []ServerRatio) {
	if s.OverduePieces == nil || !s.OverduePieces() {
		return
	}
	for _, r := range list {
		if v := s.servers[r.Server]; v != nil && v.Incarnation == r.Incarnation {
			v.ratio, v.learned = clampRatio(r.Ratio), true
		}
	}
}
