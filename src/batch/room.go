package batch

import "time"

// room is how many bytes of results a server can take, as far as this scheduler knows.
func (s *Scheduler) room(now time.Time, v *serverState) float64 {
	return s.pool.Batch.RoomBytes*roomPart - v.used - s.unknown(now, v)
}

// unknown estimates the bytes at a server that this scheduler has no handles of: another scheduler made
// them, or one that is gone. They fade, since they are given up or lost by age like others.
func (s *Scheduler) unknown(now time.Time, v *serverState) float64 {
	left := unknownLife - now.Sub(v.unknownAt)
	if v.unknown <= 0 || left <= 0 {
		return 0
	}
	return v.unknown * float64(left) / float64(unknownLife)
}

// refusedRoom notes that a server had no room for a result of some size: what this scheduler does not
// account for lies there.
func (s *Scheduler) refusedRoom(now time.Time, v *serverState, size float64) {
	v.unknown = max(0, s.pool.Batch.RoomBytes-v.used-size)
	v.unknownAt = now
}

// inDoubt says whether a server may lack the room that this scheduler counts on: it refused results
// within the life of those that were there.
func (s *Scheduler) inDoubt(now time.Time, v *serverState) bool {
	return now.Sub(v.unknownAt) < s.pool.Batch.ResultTTL
}
