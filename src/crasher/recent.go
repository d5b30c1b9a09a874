package crasher

import "time"

// recentGood holds the contents with recent good responses in two generations; the older one is dropped as a whole.
type recentGood struct {
	current, previous map[Key]time.Time
	since             time.Time // start of the newer generation
}

// add records a good response to a content.
func (r *recentGood) add(now time.Time, k Key) {
	if r.current == nil || len(r.current) >= maxGood {
		r.rotate(now)
	}
	r.current[k] = now
}

// at returns the time of the last good response to a content, if it is recent.
func (r *recentGood) at(k Key) (time.Time, bool) {
	if at, ok := r.current[k]; ok {
		return at, true
	}
	at, ok := r.previous[k]
	return at, ok
}

// sweep starts a new generation when the newer one is older than generationTime.
func (r *recentGood) sweep(now time.Time) {
	if now.Sub(r.since) >= generationTime {
		r.rotate(now)
	}
}

func (r *recentGood) rotate(now time.Time) {
	r.current, r.previous, r.since = map[Key]time.Time{}, r.current, now
}
