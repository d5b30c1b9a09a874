package resume

import (
	"maps"
	"time"
)

// history holds which builds the servers of a pool have had since this box knows them without a gap.
type history struct {
	since  time.Time            // zero if the pool has no servers yet
	builds map[string]bool      // of its servers
	gone   map[string]time.Time // earlier builds, and until when servers had them
}

// set records the builds of the pool's servers.
func (h *history) set(now time.Time, builds map[string]int) {
	if h.since.IsZero() {
		h.since = now
	}
	for b := range h.builds {
		if builds[b] == 0 {
			if h.gone == nil {
				h.gone = map[string]time.Time{}
			}
			h.gone[b] = now
		}
	}
	h.builds = map[string]bool{}
	for b := range builds {
		h.builds[b] = true
	}
}

// sole returns the build that all servers of the pool have had for a time, false if there were several or it is not known.
func (h *history) sole(now time.Time, window time.Duration) (string, bool) {
	maps.DeleteFunc(h.gone, func(_ string, until time.Time) bool { return now.Sub(until) >= window+historyMargin })
	if h.since.IsZero() || now.Sub(h.since) < window+historyMargin || len(h.builds) != 1 {
		return "", false
	}
	for b := range h.builds {
		for other := range h.gone {
			if other != b {
				return "", false
			}
		}
		return b, true
	}
	return "", false
}
