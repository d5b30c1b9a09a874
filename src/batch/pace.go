package batch

import (
	"time"

	"github.com/stilemast/stilemast/src/backlog"
)

// pieceTime returns the learned time per piece of a class.
func (s *Scheduler) pieceTime(class string) time.Duration {
	f, ok := s.pieces[class]
	if !ok {
		f = 1
	}
	return time.Duration(f * float64(s.pool.Batch.ItemTime))
}

// learn updates the learned times of the server, the classes in the call and the pool from a completed call.
func (s *Scheduler) learn(now time.Time, rc *runningCall, v *serverState) {
	if v == nil {
		return
	}
	v.failures = 0
	took := now.Sub(rc.began)
	r := float64(took) / float64(rc.expected)
	if len(rc.jobs) > 0 && v.ratio < slowRatio && r < slowRatio {
		items := float64(rc.expected - s.pool.Batch.CallTime)
		measured := max(0, float64(took)/s.relativeRatio(v)-float64(s.pool.Batch.CallTime))
		for _, t := range rc.jobs {
			f := float64(s.pieceTime(t.Class)) / float64(s.pool.Batch.ItemTime)
			s.pieces[t.Class] = min(3, max(0.1, f*(1+s.classShare(rc)/float64(len(rc.jobs))*(measured/max(items, 1)-1))))
		}
	}
	x := r / rc.ratio
	v.ratio += ratioWeight * (r - v.ratio)
	v.learned, v.last = true, r
	if c := rc.asCall(); !c.Overdue(now, s.second.level, s.spread.Factor()) {
		v.provenBegan = rc.began
	}
	if v.ratio <= slowRatio {
		s.spread.Add(x)
	}
	if waiting, _ := s.Pending(); waiting >= s.pool.Batch.Size {
		measured := float64(len(rc.jobs)) / took.Seconds()
		if s.pace == 0 {
			s.pace = measured
		}
		s.pace += paceWeight * (measured - s.pace)
	}
}

// EffectiveDue returns the due time used to order jobs, which is later for less urgent priorities.
func EffectiveDue(due time.Time, priority int) time.Time {
	return due.Add(time.Duration(priority) * priorityStep)
}

// Waits estimates how long a new piece waits before its call begins, by its due time. Jobs that can no longer be in
// time are served last and don't count as ahead of it.
func (s *Scheduler) Waits(now time.Time) backlog.Waits {
	if s.pool.Batch == nil {
		return backlog.Waits{}
	}
	first, perSecond := s.capacity(now)
	if perSecond == 0 {
		return backlog.Waits{All: first + s.pool.Batch.CallTime}
	}
	var ahead backlog.Count
	for _, t := range s.jobs {
		if !s.cannotBeInTime(now, t) {
			ahead.Add(EffectiveDue(t.Due, t.Priority).Sub(now), t.Priority, len(t.pending))
		}
	}
	return ahead.Waits(first, perSecond, s.yields())
}

// capacity returns the time until the next call can begin, and the pieces per second of all servers that accept calls; 0
// if none does.
func (s *Scheduler) capacity(now time.Time) (time.Duration, float64) {
	sound, soonest := 0.0, time.Duration(-1)
	least, allRest := s.leastRest(now)
	rate := s.fullRate()
	if s.pace > 0 {
		rate = min(rate, s.pace)
	}
	for _, v := range s.servers {
		limit := s.limitOf(v)
		if !v.healthy() || !allRest && limit == 0 && s.restRemaining(now, v) > 0 {
			continue
		}
		part := 1.0
		if limit > 0 {
			part = min(1, limit*float64(s.pool.Batch.Size)/rate)
		}
		sound += part
		left := max(least, s.restRemaining(now, v))
		if v.call != 0 {
			left = max(left, v.expectedEnd.Sub(now))
		}
		if soonest < 0 || left < soonest {
			soonest = left
		}
	}
	if sound == 0 {
		return least, 0
	}
	return soonest, rate * sound
}

// fullRate returns the pieces per second of one server with full calls.
func (s *Scheduler) fullRate() float64 {
	return float64(s.pool.Batch.Size) / s.fullCall().Seconds()
}

// fullCall returns the expected time of a full call at a server of normal speed.
func (s *Scheduler) fullCall() time.Duration { return s.pool.Batch.FullCall() }
