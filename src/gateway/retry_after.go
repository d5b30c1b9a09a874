package gateway

import (
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/returning"
)

// retryAfter returns the retry-after of a request that admission refuses because its forecast exceeds the limit.
func (g *Gateway) retryAfter(s *stageRun, excess time.Duration) time.Duration {
	if !g.recordsRefusals(s.pipeline) {
		return returning.WaitAfter(excess)
	}
	return s.promise(g.now())
}

// promise returns when the caller should return, from the capacity to come of the pool where it would wait the longest. It
// returns 0 if the caller's deadline allows no response then.
func (s *stageRun) promise(now time.Time) (after time.Duration) {
	f := s.forecast(now)
	service, left := f.Total-f.Waited, s.deadline.Sub(now)
	stage := slices.Index(f.Waits, slices.Max(f.Waits))
	pool := s.pipeline.Stages[stage].Pool
	after, s.promised = s.gateway.returning.Promise(pool, returning.Want{
		Pieces: s.request.Pieces[stage], Priority: s.priority, Free: f.Waits[stage], Latest: s.objective.Sub(now) - service - (f.Waited - f.Waits[stage]), Left: left,
		Share: s.gateway.throughput(pool) / float64(max(1, len(s.gateway.fleet.usable()))), Spread: catalog.Hash(s.request.ID),
	})
	if after+service > left {
		return 0
	}
	return after
}

// throughput returns the pieces per second of a pool whose servers all run full calls.
func (g *Gateway) throughput(pool string) float64 {
	e, servers := g.pools.get(pool), 0
	e.mu.Lock()
	for _, n := range e.picker.Domains() {
		servers += n
	}
	e.mu.Unlock()
	p := g.index.Load().Pool(pool)
	if p == nil || p.Batch == nil {
		return 0
	}
	return float64(servers*p.Batch.Size) / p.Batch.FullCall().Seconds()
}

// stagesReturn returns the retry-after of a request whose stages could not be produced: the longest
// waiting time in their pools.
func (v *requestRun) stagesReturn() time.Duration {
	g, now := v.gateway, v.gateway.now()
	if g.recordsRefusals(v.pipeline) {
		return v.stages.promise(now)
	}
	return returning.WaitAfter(slices.Max(v.stages.forecast(now).Waits))
}
