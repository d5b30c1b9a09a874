package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/batch"
)

// holdings are the stage results that this box's requests hold, by pool. A box that becomes the scheduler of
// a pool is informed of them: the previous scheduler may be gone, and with it the knowledge of the servers'
// memory use.
type holdings struct {
	gateway *Gateway

	mu       sync.Mutex
	pools    map[string]map[string]holding // by pool and handle
	informed map[string]string             // the box last informed of a pool's results
}

// holding is one stage result held at a server.
type holding struct {
	server string
	bytes  float64
	until  time.Time // when it expires
	of     *results
	stage  int
}

func (h *holdings) init(g *Gateway) {
	h.gateway = g
	h.pools, h.informed = map[string]map[string]holding{}, map[string]string{}
}

// add records the results of a job, which produces a stage of a request.
func (h *holdings) add(pool string, done *batch.Done, bytes float64, until time.Time, of *results, stage int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := h.pools[pool]
	if all == nil {
		all = map[string]holding{}
		h.pools[pool] = all
	}
	for i, handle := range done.Handles {
		if i < len(done.Servers) {
			all[handle] = holding{server: done.Servers[i], bytes: bytes, until: until, of: of, stage: stage}
		}
	}
}

// take removes freed results and returns them for their scheduler.
func (h *holdings) take(now time.Time, pool string, handles []string) []batch.HeldResult {
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

// dropServer drops the results at a server that restarted, notifies the requests that hold them and returns their
// number.
func (h *holdings) dropServer(server string) (results int) {
	lost := map[resultsOfStage]bool{}
	h.mu.Lock()
	for _, all := range h.pools {
		for handle, r := range all {
			if r.server == server {
				delete(all, handle)
				results++
				lost[resultsOfStage{r.of, r.stage}] = true
			}
		}
	}
	h.mu.Unlock()
	for l := range lost {
		l.of.recordLost(l.stage)
	}
	return results
}

// resultsOfStage identifies the results of one stage of a request.
type resultsOfStage struct {
	of    *results
	stage int
}

// unreported returns the results that a box that is to schedule a pool has not been informed of, and marks it as
// informed.
func (h *holdings) unreported(now time.Time, pool, box string) []batch.HeldResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	before, known := h.informed[pool]
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

// submit sends a job to a scheduler. A scheduler that is new to this box is first informed of the results
// that the box holds in the pool.
func (g *Gateway) submit(box string, j *batch.Job, silent string) {
	now := g.now()
	if held := g.holdings.unreported(now, j.Pool, box); len(held) > 0 {
		g.Log.Info("scheduler informed of held results", "pool", j.Pool, "to", box, "results", len(held))
		for part := range slices.Chunk(held, resultsPerMessage) {
			g.sendBatch(box, batch.Message{Held: &batch.Held{Pool: j.Pool, Results: part}})
		}
	}
	m := j.ToSubmit(now)
	m.Silent = silent
	if m.Within != nil {
		g.sendBatch(box, batch.Message{Confined: m})
		return
	}
	g.sendBatch(box, batch.Message{Submit: m})
}
