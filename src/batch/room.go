package batch

import "time"

// room returns the estimated bytes of results that a server can still store.
func (s *Scheduler) room(now time.Time, v *serverState) float64 {
	return s.pool.Batch.RoomBytes*usableRoomFraction - v.used - s.untrackedBytes(now, v)
}

// untrackedBytes estimates the bytes of results at a server that this scheduler has no handles for, because they belong to
// another scheduler. The estimate decays, since those results are freed or expire too.
func (s *Scheduler) untrackedBytes(now time.Time, v *serverState) float64 {
	left := untrackedDecay - now.Sub(v.untrackedAt)
	if v.untracked <= 0 || left <= 0 {
		return 0
	}
	return v.untracked * float64(left) / float64(untrackedDecay)
}

// recordNoRoom records that a server had no room for a result of the given bytes, so results that this scheduler doesn't
// account for are stored there.
func (s *Scheduler) recordNoRoom(now time.Time, v *serverState, size float64) {
	v.untracked = max(0, s.pool.Batch.RoomBytes-v.used-size)
	v.untrackedAt = now
}

// roomUncertain reports whether a server may have less room than estimated: it refused a result recently, and the results
// stored then may not have expired yet.
func (s *Scheduler) roomUncertain(now time.Time, v *serverState) bool {
	return now.Sub(v.untrackedAt) < s.pool.Batch.ResultTTL
}
