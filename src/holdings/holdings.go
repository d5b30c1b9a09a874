// Package holdings keeps the stage results that the requests of a box hold at servers.
package holdings

import (
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/batch"
)

// Table holds stage results by pool, each with the request that it belongs to, of type O. A box that becomes the scheduler
// of a pool is informed of them: the previous scheduler may be gone, and with it the knowledge of the servers' memory use.
// The zero value is empty. It is safe for concurrent use.
type Table[O comparable] struct {
	mu       sync.Mutex
	pools    map[string]map[string]holding[O] // by pool and handle
	informed map[string]string                // the box last informed of a pool's results
}

// Stage identifies the results of one stage of a request.
type Stage[O comparable] struct {
	Of    O
	Index int
}

// holding is one stage result held at a server.
type holding[O comparable] struct {
	server string
	bytes  float64
	until  time.Time // when it expires
	of     Stage[O]
}

// Add records the results of a job, which produces a stage of a request.
func (h *Table[O]) Add(pool string, done *batch.Done, bytes float64, until time.Time, of Stage[O]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := h.pools[pool]
	if all == nil {
		if h.pools == nil {
			h.pools = map[string]map[string]holding[O]{}
		}
		all = map[string]holding[O]{}
		h.pools[pool] = all
	}
	for i, handle := range done.Handles {
		if i < len(done.Servers) {
			all[handle] = holding[O]{server: done.Servers[i], bytes: bytes, until: until, of: of}
		}
	}
}

// Take removes freed results and returns them for their scheduler.
func (h *Table[O]) Take(now time.Time, pool string, handles []string) []batch.HeldResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := h.pools[pool]
	out := make([]batch.HeldResult, 0, len(handles))
	for _, handle := range handles {
		r := all[handle]
		delete(all, handle)
		out = append(out, batch.HeldResult{Server: r.server, Handle: handle, Bytes: r.bytes, Left: r.until.Sub(now)})
	}
	return out
}

// DropServer drops the results at a server that restarted. It returns their number and the stages that they belong to.
func (h *Table[O]) DropServer(server string) (results int, lost map[Stage[O]]bool) {
	lost = map[Stage[O]]bool{}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, all := range h.pools {
		for handle, r := range all {
			if r.server == server {
				delete(all, handle)
				results++
				lost[r.of] = true
			}
		}
	}
	return results, lost
}

// Unreported returns the results that a box that is to schedule a pool has not been informed of, and marks it as
// informed.
func (h *Table[O]) Unreported(now time.Time, pool, box string) []batch.HeldResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	before, known := h.informed[pool]
	if h.informed == nil {
		h.informed = map[string]string{}
	}
	h.informed[pool] = box
	if !known || before == box {
		return nil
	}
	var out []batch.HeldResult
	for handle, r := range h.pools[pool] {
		if left := r.until.Sub(now); left > 0 {
			out = append(out, batch.HeldResult{Server: r.server, Handle: handle, Bytes: r.bytes, Left: left})
		} else {
			delete(h.pools[pool], handle)
		}
	}
	return out
}
