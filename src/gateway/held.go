package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/batch"
)

// holdings are the results of stages that requests of this box hold, by pool. When another box schedules
// a pool, it is told of them: the scheduler before may be gone, and with it what it knew of the servers'
// room.
type holdings struct {
	gateway *Gateway

	mu    sync.Mutex
	pools map[string]map[string]holding // by pool and handle
	told  map[string]string             // the box that was last told of a pool's results
}

type holding struct {
	server string
	bytes  float64
	until  time.Time // when it is lost by age
	of     *results
	stage  int
}

func (h *holdings) init(g *Gateway) {
	h.gateway = g
	h.pools, h.told = map[string]map[string]holding{}, map[string]string{}
}

// add notes the results of one job, which makes a stage of a request.
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

// take removes results that are given up and lists them for their scheduler.
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

// lose drops the results that lay at a server which has started again, and tells the requests that hold them. It gives
// how many there were.
func (h *holdings) lose(server string) (results int) {
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
		l.of.lose(l.stage)
	}
	return results
}

// resultsOfStage are those of one stage of a request.
type resultsOfStage struct {
	of    *results
	stage int
}

// news lists what a box that is to schedule a pool has not been told, and notes that it is told now.
func (h *holdings) news(now time.Time, pool, box string) []batch.HeldResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	before, known := h.told[pool]
	h.told[pool] = box
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

// submit sends a job to a scheduler. One that is new to this box hears first of the results that the
// box holds in the pool.
func (g *Gateway) submit(box string, j *batch.Job, silent string) {
	now := g.now()
	if held := g.holdings.news(now, j.Pool, box); len(held) > 0 {
		g.Log.Info("scheduler told of results", "pool", j.Pool, "to", box, "results", len(held))
		for part := range slices.Chunk(held, resultsPerMessage) {
			g.tell(box, batch.Message{Held: &batch.Held{Pool: j.Pool, Results: part}})
		}
	}
	m := j.ToSubmit(now)
	m.Silent = silent
	if m.Within != nil {
		g.tell(box, batch.Message{Confined: m})
		return
	}
	g.tell(box, batch.Message{Submit: m})
}
