package batch

import (
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/crasher"
	"github.com/stilemast/stilemast/src/overdue"
	"github.com/stilemast/stilemast/src/pace"
	"github.com/stilemast/stilemast/src/retry"
)

// job is a job and its progress in the scheduler.
type job struct {
	*Job
	since         time.Time // when it was accepted
	pending       []int     // pieces that are in no call
	running       int       // number of pieces in calls that have no result yet
	inCalls       []uint8   // number of running calls that contain each piece: 2 while a second run of it is running
	again         []again   // pieces worth a second run, as of the last dispatch
	handles       []string  // result of each piece
	resultServers []string  // server of each result
	resultDomains []string  // failure domain of each result
	failures      int
	ended         bool
	resubmitted   bool      // stays here even if another box schedules the pool
	sent          time.Time // when a piece was last put in a call
	read          bool      // its owner was notified that the inputs have been read
	roomUncertain bool      // some of its pieces are at a server that may lack room for them
}

// serverState is a server as seen by the scheduler.
type serverState struct {
	catalog.Server
	call        uint64    // number of the running call, 0 for none
	expectedEnd time.Time // expected end of the running call
	pausedUntil time.Time // no call before
	failures    int       // consecutive
	ratio       float64   // moving average of measured over expected call time
	last        float64   // the same of the last call
	learned     bool      // ratio comes from calls, of this scheduler or the previous one
	overdue     bool      // its call is overdue
	provenBegan time.Time // when the last call began there that ended and was not overdue
	probed      time.Time // when it last got a call although slow
	freedAt     time.Time // when results were last freed there
	handedTo    string    // scheduler that was notified of the running call
	used        float64   // bytes of known results stored there
	untracked   float64   // bytes of results there without known handles, as estimated at untrackedAt
	untrackedAt time.Time
	listed      bool // takes new work
}

// runningCall is a call that has not ended.
type runningCall struct {
	server      string
	incarnation catalog.Incarnation // of the server
	jobs        []*job              // job of each item
	pieces      []int               // piece of each item
	began       time.Time
	expected    time.Duration // duration at a server of ratio 1
	bytes       float64       // expected size of the results
	alone       bool          // contains a content that must not share a call with others
	ranAgain    map[int]bool  // items that got a second run, at most one each
	firsts      []uint64      // of each item: for a second run the number of the first call, otherwise 0
	ratio       float64       // of the server when the call began
	timeout     time.Duration
	noted       bool      // it was reported as overdue
	due         time.Time // earliest due time in the call; zero while no job in it can be in time
}

// held is a result stored at a server.
type held struct {
	server      string
	incarnation catalog.Incarnation // of the server
	bytes       float64
	until       time.Time // expiry
	handedTo    string    // scheduler that it was handed over to
}

// endedJob is the outcome of a job, kept to answer repeated submissions.
type endedJob struct {
	message Message
	at      time.Time
}

// Scheduler forms the calls of one pool. It does no I/O and reads no clock: methods take the time and return Actions.
// It is not safe for concurrent use.
type Scheduler struct {
	Self      string                            // name of this box
	VerdictOf func(crasher.Key) crasher.Verdict // returns the crashes attributed to a content; nil for none

	// RestsUntil returns the end of the rest that a server asked for (pushback.Resting); nil if no server rests.
	RestsUntil func(*catalog.Server) time.Time

	// LimitOf returns a server's limit in requests per second, 0 for none; nil if no server has a limit.
	LimitOf func(*catalog.Server) float64

	// OverduePieces reports whether pieces of overdue calls are run a second time and the speeds of servers decide who
	// gets urgent work; nil for never.
	OverduePieces func() bool
	// Budget limits the second runs of pieces by the number of first runs.
	Budget retry.Budget
	// Boxes is the number of boxes that may be alive and share the slack of Budget; 0 counts as one.
	Boxes int
	// SpeedOf returns the speed of a server that this scheduler has learned nothing of; nil if none is known.
	SpeedOf func(now time.Time, server *catalog.Server) pace.Speed
	// MayYield reports whether queued jobs make room for more urgent ones; nil for never.
	MayYield func() bool

	// Overtaken is told how many queued jobs a more urgent one overtook when calls were formed, and of which request one
	// of the urgent ones is; nil for nobody.
	Overtaken func(jobs int, request string)

	pool       catalog.Pool
	jobs       map[JobID]*job
	ended      map[JobID]endedJob
	servers    map[string]*serverState
	calls      map[uint64]*runningCall
	handles    map[string]held
	toFree     map[string][]string  // handles to free, by server
	holdUntil  time.Time            // no call before, to wait for a handover
	idle       []string             // servers whose handed-over calls have ended since
	freedEarly map[string]time.Time // handles that were freed before this scheduler knew them, by time
	pieces     map[string]float64   // learned factor on ItemTime, by class
	pace       float64              // moving average of one server's pieces per second while work waits; 0 if never measured
	next       uint64               // number of the last call
	second     secondRuns
	spread     overdue.Spread    // of the call times
	urgent     map[int]time.Time // when a job of each priority was last accepted
}

// NewScheduler returns a scheduler for a pool, running in box self.
func NewScheduler(self string, pool catalog.Pool) *Scheduler {
	return &Scheduler{
		Self: self, pool: pool, jobs: map[JobID]*job{}, ended: map[JobID]endedJob{}, servers: map[string]*serverState{},
		calls: map[uint64]*runningCall{}, handles: map[string]held{}, toFree: map[string][]string{}, freedEarly: map[string]time.Time{}, pieces: map[string]float64{}, urgent: map[int]time.Time{},
	}
}

// Configure sets the pool's limits and the complete list of its servers that take new work.
func (s *Scheduler) Configure(now time.Time, pool catalog.Pool, servers []*catalog.Server) Actions {
	s.pool = pool
	for _, v := range s.servers {
		v.listed = false
	}
	out := s.list(now, servers)
	for id := range s.servers {
		s.dropUnlisted(id)
	}
	return s.dispatchAfter(now, out)
}

// UpdateServers adds or updates servers that take new work (put) and removes those that no longer do (gone).
func (s *Scheduler) UpdateServers(now time.Time, put []*catalog.Server, gone []string) Actions {
	out := s.list(now, put)
	for _, id := range gone {
		if v := s.servers[id]; v != nil {
			v.listed = false
			s.dropUnlisted(id)
		}
	}
	return s.dispatchAfter(now, out)
}

// SetLimits sets the pool's limits.
func (s *Scheduler) SetLimits(now time.Time, pool catalog.Pool) Actions {
	s.pool = pool
	return s.dispatch(now)
}

// list adds or updates servers that take new work.
func (s *Scheduler) list(now time.Time, servers []*catalog.Server) Actions {
	var out Actions
	for _, v := range servers {
		st := s.servers[v.ID]
		if st == nil || st.Incarnation != v.Incarnation {
			s.forgetIncarnation(now, *v, st, &out)
			st = &serverState{ratio: 1}
			s.servers[v.ID] = st
		}
		st.Server, st.listed = *v, true
	}
	return out
}

// dropUnlisted removes a server that takes no new work unless a call is running there.
func (s *Scheduler) dropUnlisted(id string) {
	if v := s.servers[id]; !v.listed && v.call == 0 {
		delete(s.servers, id)
	}
}

// dispatchAfter dispatches calls and appends them to out.
func (s *Scheduler) dispatchAfter(now time.Time, out Actions) Actions {
	out.add(s.dispatch(now))
	return out
}

// Submit accepts a job, or repeats the answer for a known one. elsewhere is the box that schedules the pool if it isn't
// this one: the owner is redirected there, and the job is accepted only if it is submitted here again, which means
// that its owner can't reach the other scheduler. A call sent by this box while the other has one at the same server
// would wait there, while its inputs are freed as read.
func (s *Scheduler) Submit(now time.Time, j *Job, elsewhere string) Actions {
	id := j.ID
	e, ended := s.ended[id]
	insisted := ended && e.message.Failed != nil && e.message.Failed.Reason == Moved
	if insisted {
		delete(s.ended, id)
	} else if ended {
		return Actions{Replies: []Reply{{Box: id.Box, Message: e.message}}}
	}
	waits := s.Waits(now)
	accept := Reply{Box: id.Box, Message: Message{Accept: &id, Wait: waits.All, Waits: waits.Steps, Levels: waits.Levels}}
	if s.jobs[id] != nil {
		return Actions{Replies: []Reply{accept}}
	}
	if elsewhere != "" && !insisted {
		moved := Message{Failed: &Failed{ID: id, Reason: Moved, To: elsewhere}}
		s.ended[id] = endedJob{message: moved, at: now}
		return Actions{Replies: []Reply{{Box: id.Box, Message: moved}}}
	}
	if elsewhere == "" {
		s.second.handedOver = false
	}
	t := &job{Job: j, since: now, resubmitted: insisted, inCalls: make([]uint8, j.Pieces), handles: make([]string, j.Pieces), resultServers: make([]string, j.Pieces), resultDomains: make([]string, j.Pieces)}
	for i := range j.Pieces {
		t.pending = append(t.pending, i)
	}
	s.jobs[id] = t
	s.recordUrgency(now, j.Priority)
	out := s.dispatch(now)
	out.Replies = append([]Reply{accept}, out.Replies...)
	return out
}

// Withdraw cancels a job that its owner no longer needs.
func (s *Scheduler) Withdraw(now time.Time, id JobID) Actions {
	var out Actions
	if t := s.jobs[id]; t != nil {
		s.end(now, t, Message{Failed: &Failed{ID: id, Reason: Withdrawn}}, &out)
		out.Replies = nil
		return out
	}
	if e, ok := s.ended[id]; ok && e.message.Done != nil {
		s.queueFree(now, e.message.Done.Handles)
	}
	return out
}

// Free frees results that have been read, including those that this scheduler doesn't know.
func (s *Scheduler) Free(now time.Time, results []HeldResult) {
	for _, r := range results {
		if _, known := s.handles[r.Handle]; known {
			s.queueFree(now, []string{r.Handle})
			continue
		}
		s.freedEarly[r.Handle] = now
		if v := s.servers[r.Server]; v != nil {
			v.untracked = max(0, v.untracked-r.Bytes)
			s.toFree[r.Server] = append(s.toFree[r.Server], r.Handle)
		}
	}
}

// AddHeld accounts for results stored at servers, as reported by an owner or the previous scheduler.
func (s *Scheduler) AddHeld(now time.Time, results []HeldResult) {
	for _, r := range results {
		v := s.servers[r.Server]
		_, known := s.handles[r.Handle]
		_, given := s.freedEarly[r.Handle]
		if v == nil || known || given {
			continue
		}
		s.handles[r.Handle] = held{server: r.Server, incarnation: v.Incarnation, bytes: r.Bytes, until: now.Add(r.Left)}
		v.used += r.Bytes
		v.untracked = max(0, v.untracked-r.Bytes)
	}
}

// forget removes a result that no longer exists at its server.
func (s *Scheduler) forget(handle string) {
	r := s.handles[handle]
	delete(s.handles, handle)
	if v := s.servers[r.server]; v != nil {
		v.used = max(0, v.used-r.bytes)
	}
}

// queueFree queues handles to be freed. Their memory counts as free at once, since the server frees them before its next
// call.
func (s *Scheduler) queueFree(now time.Time, handles []string) {
	for _, h := range handles {
		r, ok := s.handles[h]
		if !ok {
			continue // already freed or expired
		}
		delete(s.handles, h)
		if v := s.servers[r.server]; v != nil {
			v.used = max(0, v.used-r.bytes)
			s.toFree[r.server] = append(s.toFree[r.server], h)
		}
	}
}

// Tick removes expired state, fails jobs past their deadlines, reports read inputs and dispatches calls.
func (s *Scheduler) Tick(now time.Time) Actions {
	var out Actions
	for id, e := range s.ended {
		if now.Sub(e.at) > outcomeRetention {
			delete(s.ended, id)
		}
	}
	for h, r := range s.handles {
		if now.After(r.until) {
			s.forget(h)
		}
	}
	for h, at := range s.freedEarly {
		if now.Sub(at) > outcomeRetention {
			delete(s.freedEarly, h)
		}
	}
	kept := s.jobsKeepingInputs(now)
	for _, t := range s.orderedJobs(now) {
		if now.After(t.Deadline) {
			s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Late}}, &out)
		} else if t.hasRead(now) && !kept[t] {
			t.read = true
			id := t.ID
			out.Replies = append(out.Replies, Reply{Box: id.Box, Message: Message{Reading: &id}})
		}
	}
	out.add(s.dispatch(now))
	out.Frees = s.frees(now)
	return out
}

// hasRead reports whether every piece of a job is in a call that must have read its inputs by now, and the owner has
// not been notified yet. The inputs are freed then rather than at the end of the call, since result memory is what limits
// the throughput of pools that produce inputs. If a server may refuse pieces for lack of room the inputs are kept:
// without them all earlier stages would have to run again for the refused pieces.
func (t *job) hasRead(now time.Time) bool {
	return !t.read && !t.roomUncertain && len(t.Inputs) > 0 && len(t.pending) == 0 && now.Sub(t.sent) >= readTime
}

// frees returns requests that free the queued handles at servers that accept them now.
func (s *Scheduler) frees(now time.Time) []FreeCall {
	var out []FreeCall
	for id, hs := range s.toFree {
		v := s.servers[id]
		if v != nil && (s.restRemaining(now, v) > 0 || !s.mayFree(now, v)) {
			continue // freed later, when the server accepts requests
		}
		if v != nil {
			v.freedAt = now
			out = append(out, FreeCall{Server: v.Server, Handles: hs})
		}
		delete(s.toFree, id)
	}
	return out
}

// end ends a job, replies to its owner and, if it failed, frees its results.
func (s *Scheduler) end(now time.Time, t *job, m Message, out *Actions) {
	t.ended = true
	delete(s.jobs, t.ID)
	s.ended[t.ID] = endedJob{message: m, at: now}
	out.Replies = append(out.Replies, Reply{Box: t.ID.Box, Message: m})
	if m.Done == nil {
		s.queueFree(now, t.handles)
	}
}

// Pending returns the number of waiting pieces and of running calls.
func (s *Scheduler) Pending() (pieces, calls int) {
	for _, t := range s.jobs {
		pieces += len(t.pending)
	}
	return pieces, len(s.calls)
}
