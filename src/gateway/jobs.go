package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/backlog"
	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/core"
)

// ownedJobs holds this box's jobs that schedulers work on.
type ownedJobs struct {
	gateway *Gateway
	mu      sync.Mutex
	next    uint64
	jobs    map[uint64]chan batch.Message
}

func (w *ownedJobs) init(g *Gateway) {
	w.gateway = g
	w.jobs = map[uint64]chan batch.Message{}
}

// open creates a job id and the channel for its answers.
func (w *ownedJobs) open() (batch.JobID, chan batch.Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	c := make(chan batch.Message, 8)
	w.jobs[w.next] = c
	id := w.gateway.ID
	return batch.JobID{Box: id.Name, Life: id.Incarnation, N: w.next}, c
}

func (w *ownedJobs) close(id batch.JobID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.jobs, id.N)
}

// take delivers an answer to the job that waits for it.
func (w *ownedJobs) take(m batch.Message) {
	id := batch.JobID{}
	switch {
	case m.Accept != nil:
		id = *m.Accept
	case m.Reading != nil:
		id = *m.Reading
	case m.Done != nil:
		id = m.Done.ID
	case m.Failed != nil:
		id = m.Failed.ID
	}
	if id.Life != w.gateway.ID.Incarnation {
		return
	}
	w.mu.Lock()
	c := w.jobs[id.N]
	w.mu.Unlock()
	if c == nil {
		return
	}
	select {
	case c <- m:
	default:
	}
}

// failJobsAt notifies the jobs that wait for a scheduler that it is gone.
func (w *ownedJobs) failJobsAt(box string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n, c := range w.jobs {
		m := batch.Message{From: box, Failed: &batch.Failed{ID: batch.JobID{N: n}, Reason: batch.Unreachable}}
		select {
		case c <- m:
		default:
		}
	}
}

// HandleRefusal handles a refused connection to a box's address: its process has ended. Jobs
// that wait there are moved at once; the box is used again when it is next heard of.
func (g *Gateway) HandleRefusal(address string) {
	box := g.fleet.boxAt(address)
	if box == "" || !g.fleet.avoidEnded(g.now(), box) {
		return
	}
	g.Log.Warn("box refuses connections", "box_address", address, "peer", box)
	g.ownedJobs.failJobsAt(box)
}

// sendBatch sends a message on jobs to a box, which may be this one.
func (g *Gateway) sendBatch(box string, m batch.Message) {
	m.From, m.Address = g.ID.Name, g.Settings.Address
	if box == g.ID.Name {
		g.schedulers.handleMessage(m)
		return
	}
	if a := g.fleet.addressOf(box); a != "" {
		g.Peers.Batch(a, m)
	}
}

// runJob has a job done by its pool's scheduler and returns its result. When a scheduler stays silent, the
// next box is asked; a piece may then be produced twice. reading is called when every piece is in a call.
func (g *Gateway) runJob(ctx context.Context, j *batch.Job, reading func()) (*batch.Done, batch.Reason) {
	id, answers := g.ownedJobs.open()
	defer g.ownedJobs.close(id)
	j.ID = id
	avoid := map[string]bool{}
	g.awaitFormed(ctx)
	box := g.schedulerOf(j.Pool, avoid)
	g.submit(box, j, "")
	patience := ackPatience
	timer := time.NewTimer(patience)
	defer timer.Stop()
	accepted, silent := false, 0
	for {
		select {
		case <-ctx.Done():
			g.sendBatch(box, batch.Message{Withdraw: &batch.Withdraw{ID: id, Pool: j.Pool}})
			return nil, batch.Withdrawn
		case m := <-answers:
			switch {
			case m.Done != nil:
				return m.Done, 0
			case m.Failed != nil && m.Failed.Reason == batch.NoPool && box != g.ID.Name:
				avoid[box] = true
				box, accepted, silent = g.reassign(j, box, avoid, poolUnknown), false, 0
				timer.Reset(patience)
			case m.Failed != nil && m.Failed.Reason == batch.Moved:
				if m.From != box {
					continue // a late answer; submitting again for each would keep a congested link congested
				}
				// A box that did not answer is not asked again: the box that redirected to it accepts the
				// job when it is sent again.
				if to := m.Failed.To; !avoid[to] && g.fleet.mayAsk(g.now(), to) {
					box = to
					g.fleet.recordRedirect(g.now(), j.Pool, to)
				}
				accepted, silent = false, 0
				g.submit(box, j, "")
				timer.Reset(patience)
			case m.Failed != nil && m.Failed.Reason == batch.Unreachable:
				if m.From == box {
					avoid[box] = true
					box, accepted, silent = g.reassign(j, box, avoid, silentScheduler), false, 0
					timer.Reset(patience)
				}
			case m.Failed != nil && m.Failed.Reason == batch.Yielded && len(avoid) > 0:
				// Another scheduler may have run pieces, so the request can't be refused as not run.
				if m.From == box {
					avoid[box] = true
					box, accepted, silent = g.reassign(j, box, avoid, ranElsewhere), false, 0
					timer.Reset(patience)
				}
			case m.Failed != nil:
				return nil, m.Failed.Reason
			case m.Reading != nil:
				reading()
			case m.From == box:
				g.fleet.noteWaits(g.now(), j.Pool, backlog.Told(m.Wait, m.Waits, m.Levels))
				accepted, silent, j.Fresh = true, 0, false // pieces may run now, also if this scheduler is lost
				timer.Reset(max(askAgain, patience))
			}
		case <-timer.C:
			silent++
			lost := g.fleet.stateOf(box) == core.MemberDead && box != g.ID.Name
			if !accepted || silent > maxSilentAsks || lost {
				avoid[box] = true
				box, accepted, silent = g.reassign(j, box, avoid, silentScheduler), false, 0
				patience = min(2*patience, maxAckPatience)
				timer.Reset(patience)
				continue
			}
			g.submit(box, j, "")
			timer.Reset(patience)
		}
	}
}

// Causes for moving a job to another scheduler.
const (
	silentScheduler = "silent"
	poolUnknown     = "no_pool"
	ranElsewhere    = "may_have_run"
)

// reassign moves a job from a scheduler that does not answer to the next one.
func (g *Gateway) reassign(j *batch.Job, from string, avoid map[string]bool, why string) string {
	g.sendBatch(from, batch.Message{Withdraw: &batch.Withdraw{ID: j.ID, Pool: j.Pool}})
	if why == silentScheduler {
		g.fleet.avoidScheduler(g.now(), from)
	}
	box := g.schedulerOf(j.Pool, avoid)
	j.Fresh = false
	g.Log.Warn("scheduler changed", "request", j.Request, "pool", j.Pool, "from", from, "to", box, "cause", why)
	silent := ""
	if why == silentScheduler {
		silent = from
	}
	g.submit(box, j, silent)
	return box
}

// submit sends a job to a scheduler. A scheduler that is new to this box is first informed of the results
// that the box holds in the pool.
func (g *Gateway) submit(box string, j *batch.Job, silent string) {
	now := g.now()
	if held := g.holdings.Unreported(now, j.Pool, box); len(held) > 0 {
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
