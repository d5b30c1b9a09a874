package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/crasher"
	"github.com/stilemast/stilemast/src/holdings"
)

// results tracks the results of the stages of one request, which are held at servers.
type results struct {
	gateway  *Gateway
	pipeline *catalog.Pipeline

	mu      sync.Mutex
	handles [][]string
	freed   []bool
	read    []bool // stages that have read their inputs
	domains []string
	expires []time.Time // when they expire at their servers
	lost    bool        // some were lost with their server before they were read
	onLoss  func()      // cancels the later stages; set before any stage is produced
}

// recordLost records that the results of a stage are lost with their server. Stages that still need them are
// produced again.
func (r *results) recordLost(stage int) {
	r.mu.Lock()
	gone := !r.freed[stage]
	r.freed[stage] = true
	r.lost = r.lost || gone
	r.mu.Unlock()
	if gone {
		r.onLoss()
	}
}

// wasLost reports whether results were lost that were still needed.
func (r *results) wasLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}

// final returns the handles that the request itself needs, the domain that holds most of their bytes, and
// their size in bytes.
func (r *results) final() (handles []string, domain string, size float64) {
	if r == nil {
		return nil, "", 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	best := 0.0
	for _, i := range r.pipeline.FinalStages() {
		handles = append(handles, r.handles[i]...)
		n := float64(len(r.handles[i]) * r.pipeline.Stages[i].ResultBytes)
		size += n
		if n > best {
			best, domain = n, r.domains[i]
		}
	}
	return handles, domain, size
}

// free frees the results of one stage, once.
func (r *results) free(stage int) {
	r.mu.Lock()
	handles := r.handles[stage]
	if r.freed[stage] || len(handles) == 0 {
		r.mu.Unlock()
		return
	}
	r.freed[stage] = true
	r.mu.Unlock()
	g, pool := r.gateway, r.pipeline.Stages[stage].Pool
	g.sendBatch(g.schedulerOf(pool, nil), batch.Message{Free: &batch.Free{Pool: pool, Results: g.holdings.Take(g.now(), pool, handles)}})
}

// freeAll frees all results still held.
func (r *results) freeAll() {
	if r == nil {
		return
	}
	for i := range r.handles {
		r.free(i)
	}
}

// stageRun is the execution of the stages of one request.
type stageRun struct {
	gateway   *Gateway
	pipeline  *catalog.Pipeline
	request   *Request
	content   crasher.Content
	priority  int
	objective time.Time
	deadline  time.Time
	domain    string // preferred domain of results that the request itself reads, "" for any
	confines  *catalog.Confines
	results   *results
	returned  bool // the caller was refused before and is not refused again
	promised  bool // the retry-after of the refusal is a promise to be in time
	followers [][]int
	tried     bool // stages were submitted before, or the caller was refused before
	done      []chan struct{}
	ends      []time.Time // expected completion of submitted stages
}

// typicalCallTime returns the duration of a stage's calls at typical fill; calls also hold pieces of other requests.
func (s *stageRun) typicalCallTime(stage int) time.Duration { return s.callTime(stage, typicalFill) }

// callTime returns the duration of a stage's calls at a fill, as a share of the batch size.
func (s *stageRun) callTime(stage int, fill float64) time.Duration {
	n := s.request.Pieces[stage]
	p := s.gateway.index.Load().Pool(s.pipeline.Stages[stage].Pool)
	if n == 0 || p == nil || p.Batch == nil {
		return 0
	}
	n = max(min(n, p.Batch.Size), int(fill*float64(p.Batch.Size)))
	return p.Batch.CallTime + time.Duration(n)*p.Batch.ItemTime + stageMargin
}

// runStages runs all stages of a request. The reason is 0 if all results are complete; otherwise no results
// are held.
func (g *Gateway) runStages(ctx context.Context, s *stageRun) (*results, batch.Reason) {
	n := len(s.pipeline.Stages)
	s.gateway, s.followers = g, s.pipeline.Followers()
	s.results = &results{gateway: g, pipeline: s.pipeline, handles: make([][]string, n), freed: make([]bool, n), read: make([]bool, n), domains: make([]string, n), expires: make([]time.Time, n)}
	s.done, s.ends = make([]chan struct{}, n), make([]time.Time, n)
	for i := range s.done {
		s.done[i] = make(chan struct{})
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.results.onLoss = cancel
	reasons := make(chan batch.Reason, n)
	for i := range n {
		go func() {
			r := s.runStage(ctx, i)
			if r == 0 {
				close(s.done[i])
			}
			reasons <- r
		}()
	}
	failed := batch.Reason(0)
	for range n {
		if r := <-reasons; r != 0 && failed == 0 {
			failed = r
			cancel()
		}
	}
	s.tried = true
	if s.results.wasLost() {
		failed = batch.Gone
	}
	if failed != 0 {
		s.results.freeAll()
		return nil, failed
	}
	return s.results, 0
}

// runStage waits for the stages that one depends on and runs it.
func (s *stageRun) runStage(ctx context.Context, i int) batch.Reason {
	st := s.pipeline.Stages[i]
	for _, a := range st.After {
		if a < 0 || a >= i {
			continue
		}
		select {
		case <-s.done[a]:
		case <-ctx.Done():
			return batch.Withdrawn
		}
	}
	if s.request.Pieces[i] == 0 {
		return 0
	}
	g, ready := s.gateway, s.gateway.now()
	s.awaitPartners(ctx, i)
	began := g.now()
	s.expectEnd(i, began.Add(s.timeToResults(began, i)))
	j := s.job(i)
	done, reason := g.runJob(ctx, j, func() { s.freeRead(i) })
	if done == nil {
		if reason != batch.Withdrawn {
			g.Log.Warn("stage failed", "request", s.request.ID, "stage", i, "pool", st.Pool, "reason", reason.String(), "took_ms", g.now().Sub(began).Milliseconds())
		}
		return reason
	}
	s.results.mu.Lock()
	s.results.handles[i], s.results.domains[i] = done.Handles, done.Domain
	s.results.expires[i] = g.now().Add(s.resultLifetime(i))
	s.results.mu.Unlock()
	g.holdings.Add(st.Pool, done, j.ResultBytes, g.now().Add(s.resultLifetime(i)), holdings.Stage[*results]{Of: s.results, Index: i})
	s.freeRead(i)
	g.Log.Info("stage made", "request", s.request.ID, "stage", i, "pool", st.Pool, "pieces", j.Pieces, "domain", done.Domain, "took_ms", g.now().Sub(began).Milliseconds(), "held_ms", began.Sub(ready).Milliseconds(), "slack_ms", j.Due.Sub(g.now()).Milliseconds())
	return 0
}

// job returns the job for a stage that is sent to its pool's scheduler.
func (s *stageRun) job(i int) *batch.Job {
	st, rest := s.pipeline.Stages[i], s.forecast(s.gateway.now()).Remaining[i]
	j := &batch.Job{
		Pool: st.Pool, Request: s.request.ID, Content: s.content.At(st.Pool), Class: s.pipeline.Name + "/" + st.Pool + "/" + string(rune('0'+i%10)),
		Stage: i, Pieces: s.request.Pieces[i], ResultBytes: float64(st.ResultBytes), Priority: s.priority,
		Due: s.objective.Add(-rest), Deadline: s.deadline.Add(-rest), Within: s.confines, Fresh: !s.tried && s.pipeline.RunsFirst(i, s.request.Pieces),
	}
	var expires time.Time
	var each float64
	j.Inputs, j.InputDomain, each, expires = s.inputs(i)
	j.CrossBytes = each * float64(j.Pieces) // every piece reads all inputs
	if !expires.IsZero() && expires.Before(j.Deadline) {
		j.Deadline = expires
	}
	if len(j.Inputs) == 0 {
		j.Key = s.request.PieceKey
	}
	if made := j.ResultBytes * float64(j.Pieces); j.InputDomain == "" && len(s.followers[i]) == 0 && made >= largeResults {
		j.InputDomain, j.CrossBytes = s.domain, made
	}
	return j
}

// inputs returns the handles that a stage's pieces need, the domain that holds most of them, their size in
// bytes and when the first expires, less a margin for the queueing of a call.
func (s *stageRun) inputs(i int) (handles []string, domain string, size float64, expires time.Time) {
	r := s.results
	r.mu.Lock()
	defer r.mu.Unlock()
	best := 0
	for _, a := range s.pipeline.Stages[i].After {
		if a < 0 || a >= i {
			continue
		}
		handles = append(handles, r.handles[a]...)
		size += float64(len(r.handles[a]) * s.pipeline.Stages[a].ResultBytes)
		if n := len(r.handles[a]) * s.pipeline.Stages[a].ResultBytes; n > best {
			best, domain = n, r.domains[a]
		}
		if len(r.handles[a]) > 0 && (expires.IsZero() || r.expires[a].Before(expires)) {
			expires = r.expires[a]
		}
	}
	return handles, domain, size, expires
}

// freeRead frees the results that a stage was the last to read.
func (s *stageRun) freeRead(i int) {
	r := s.results
	r.mu.Lock()
	r.read[i] = true
	r.mu.Unlock()
	for _, a := range s.pipeline.Stages[i].After {
		if a < 0 || a >= i {
			continue
		}
		all := true
		r.mu.Lock()
		for _, f := range s.followers[a] {
			all = all && (s.request.Pieces[f] == 0 || r.read[f])
		}
		r.mu.Unlock()
		if all {
			r.free(a)
		}
	}
}

// resultLifetime returns the remaining lifetime of new results of a stage, less a margin for messages and queueing.
func (s *stageRun) resultLifetime(i int) time.Duration {
	p := s.gateway.index.Load().Pool(s.pipeline.Stages[i].Pool)
	if p == nil || p.Batch == nil || p.Batch.ResultTTL == 0 {
		return time.Hour
	}
	return p.Batch.ResultTTL - lifeMargin
}
