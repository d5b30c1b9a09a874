package batch

import (
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/crasher"
)

type job struct {
	*Job
	since    time.Time
	pending  []int
	running  int
	handles  []string
	places   []string // servers where the handles lie
	domains  []string
	failures int
	ended    bool
	insisted bool      // stays here whoever else schedules the pool
	sent     time.Time // when its last piece so far went into a call
	read     bool      // its owner was told that the inputs have been read
	doubtful bool      // some of its pieces are at a server that may lack room for them
}

type serverState struct {
	catalog.Server
	call      uint64    // at work, 0 for none
	until     time.Time // expected end of it
	pause     time.Time // no call before
	failures  int
	ratio     float64 // measured time over expected time
	probed    time.Time
	freedAt   time.Time // when results were last given up there
	handed    string    // the scheduler that was told of the call at work
	used      float64   // bytes of results that lie there
	unknown   float64   // bytes of results there that this scheduler has no handles of, when they were last estimated
	unknownAt time.Time
	listed    bool
}

type runningCall struct {
	server      string
	incarnation catalog.Incarnation // the server's life
	jobs        []*job
	pieces      []int
	began       time.Time
	expected    time.Duration // of a server of ratio 1
	bytes       float64
	alone       bool // a content in it is to be in no call with others
}

type held struct {
	server      string
	incarnation catalog.Incarnation // the server's life
	bytes       float64
	until       time.Time
	told        string // the scheduler that it was handed over to
}

type ending struct {
	message Message
	at      time.Time
}

// Scheduler forms the calls of one pool. It is pure: time comes in, actions go out. Not safe for
// concurrent use.
type Scheduler struct {
	Self  string
	Judge func(crasher.Key) crasher.Verdict // what speaks against a content; nil finds nothing

	// RestsUntil is until when a server wants no calls, by its own word; nil knows of none.
	RestsUntil func(*catalog.Server) time.Time

	// LimitOf is the requests a second that a server takes, 0 where it names no limit; nil knows of none.
	LimitOf func(*catalog.Server) float64

	pool    catalog.Pool
	jobs    map[JobID]*job
	ended   map[JobID]ending
	servers map[string]*serverState
	calls   map[uint64]*runningCall
	handles map[string]held
	freeing map[string][]string  // by server
	holds   time.Time            // no call before: a handover may be on its way
	idle    []string             // servers whose calls were handed over and have ended since
	early   map[string]time.Time // handles given up before this scheduler heard of them
	pieces  map[string]float64   // learned factor on the time of a class's piece
	pace    float64              // pieces a second of one server while work waits, moving; 0 when never measured
	next    uint64
}

// NewScheduler makes a scheduler of a pool that makes pieces.
func NewScheduler(self string, pool catalog.Pool) *Scheduler {
	return &Scheduler{
		Self: self, pool: pool, jobs: map[JobID]*job{}, ended: map[JobID]ending{}, servers: map[string]*serverState{},
		calls: map[uint64]*runningCall{}, handles: map[string]held{}, freeing: map[string][]string{}, early: map[string]time.Time{}, pieces: map[string]float64{},
	}
}

// Configure takes the pool's limits and all its servers that take new work.
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

// Change takes servers that take new work now, or are listed otherwise, and those that take none any more.
func (s *Scheduler) Change(now time.Time, put []*catalog.Server, gone []string) Actions {
	out := s.list(now, put)
	for _, id := range gone {
		if v := s.servers[id]; v != nil {
			v.listed = false
			s.dropUnlisted(id)
		}
	}
	return s.dispatchAfter(now, out)
}

// Limit takes the pool's limits.
func (s *Scheduler) Limit(now time.Time, pool catalog.Pool) Actions {
	s.pool = pool
	return s.dispatch(now)
}

// list takes servers that take new work.
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

// dropUnlisted forgets a server that takes no new work once nothing is at work there.
func (s *Scheduler) dropUnlisted(id string) {
	if v := s.servers[id]; !v.listed && v.call == 0 {
		delete(s.servers, id)
	}
}

// dispatchAfter gives servers calls and adds that to other actions.
func (s *Scheduler) dispatchAfter(now time.Time, out Actions) Actions {
	more := s.dispatch(now)
	out.Calls, out.Replies = append(out.Calls, more.Calls...), append(out.Replies, more.Replies...)
	return out
}

// Submit takes a job, or answers again for one that it knows. elsewhere names the box that schedules
// the pool when it is another: the owner is sent there, and the job is taken only if it comes back,
// since then its owner sees no other scheduler. A call that this box made beside the other's would wait
// at its server, unread, while its inputs are given up.
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
	accept := Reply{Box: id.Box, Message: Message{Accept: &id, Wait: waits.All, Waits: waits.Steps}}
	if s.jobs[id] != nil {
		return Actions{Replies: []Reply{accept}}
	}
	if elsewhere != "" && !insisted {
		moved := Message{Failed: &Failed{ID: id, Reason: Moved, To: elsewhere}}
		s.ended[id] = ending{message: moved, at: now}
		return Actions{Replies: []Reply{{Box: id.Box, Message: moved}}}
	}
	t := &job{Job: j, since: now, insisted: insisted, handles: make([]string, j.Pieces), places: make([]string, j.Pieces), domains: make([]string, j.Pieces)}
	for i := range j.Pieces {
		t.pending = append(t.pending, i)
	}
	s.jobs[id] = t
	out := s.dispatch(now)
	out.Replies = append([]Reply{accept}, out.Replies...)
	return out
}

// Withdraw ends a job that its owner needs no more.
func (s *Scheduler) Withdraw(now time.Time, id JobID) Actions {
	var out Actions
	if t := s.jobs[id]; t != nil {
		s.end(now, t, Message{Failed: &Failed{ID: id, Reason: Stopped}}, &out)
		out.Replies = nil
		return out
	}
	if e, ok := s.ended[id]; ok && e.message.Done != nil {
		s.release(now, e.message.Done.Handles)
	}
	return out
}

// Free gives up results that have been read, also those that this scheduler never heard of.
func (s *Scheduler) Free(now time.Time, results []HeldResult) {
	for _, r := range results {
		if _, known := s.handles[r.Handle]; known {
			s.release(now, []string{r.Handle})
			continue
		}
		s.early[r.Handle] = now
		if v := s.servers[r.Server]; v != nil {
			v.unknown = max(0, v.unknown-r.Bytes)
			s.freeing[r.Server] = append(s.freeing[r.Server], r.Handle)
		}
	}
}

// Hold takes what an owner or the scheduler before says of results that take up room.
func (s *Scheduler) Hold(now time.Time, results []HeldResult) {
	for _, r := range results {
		v := s.servers[r.Server]
		_, known := s.handles[r.Handle]
		_, given := s.early[r.Handle]
		if v == nil || known || given {
			continue
		}
		s.handles[r.Handle] = held{server: r.Server, incarnation: v.Incarnation, bytes: r.Bytes, until: now.Add(r.Left)}
		v.used += r.Bytes
		v.unknown = max(0, v.unknown-r.Bytes)
	}
}

// forget drops a result that is there no more.
func (s *Scheduler) forget(handle string) {
	r := s.handles[handle]
	delete(s.handles, handle)
	if v := s.servers[r.server]; v != nil {
		v.used = max(0, v.used-r.bytes)
	}
}

// release notes handles to be given up; their room counts as free at once, since the server is told
// before it gets its next call.
func (s *Scheduler) release(now time.Time, handles []string) {
	for _, h := range handles {
		r, ok := s.handles[h]
		if !ok {
			continue // was given up before, or is lost by age
		}
		delete(s.handles, h)
		if v := s.servers[r.server]; v != nil {
			v.used = max(0, v.used-r.bytes)
			s.freeing[r.server] = append(s.freeing[r.server], h)
		}
	}
}

// Tick forgets what is over, drops what is late and lets the rest be judged again.
func (s *Scheduler) Tick(now time.Time) Actions {
	var out Actions
	for id, e := range s.ended {
		if now.Sub(e.at) > memory {
			delete(s.ended, id)
		}
	}
	for h, r := range s.handles {
		if now.After(r.until) {
			s.forget(h)
		}
	}
	for h, at := range s.early {
		if now.Sub(at) > memory {
			delete(s.early, h)
		}
	}
	for _, t := range s.sorted(now) {
		if now.After(t.Deadline) {
			s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Late}}, &out)
		} else if t.hasRead(now) {
			t.read = true
			id := t.ID
			out.Replies = append(out.Replies, Reply{Box: id.Box, Message: Message{Reading: &id}})
		}
	}
	more := s.dispatch(now)
	out.Calls = append(out.Calls, more.Calls...)
	out.Replies = append(out.Replies, more.Replies...)
	out.Frees = s.frees(now)
	return out
}

// hasRead says whether every piece of a job is in a call that must have read its inputs by now, and
// its owner does not know yet. Their room is given up then and not at the call's end: room is what
// bounds a pool of makers. Where a server may refuse pieces for want of room the inputs are kept, or
// the refused pieces could not be made without making all before them again.
func (t *job) hasRead(now time.Time) bool {
	return !t.read && !t.doubtful && len(t.Inputs) > 0 && len(t.pending) == 0 && now.Sub(t.sent) >= readTime
}

func (s *Scheduler) frees(now time.Time) []FreeCall {
	var out []FreeCall
	for id, hs := range s.freeing {
		v := s.servers[id]
		if v != nil && (s.restLeft(now, v) > 0 || !s.mayFree(now, v)) {
			continue // it wants nothing now; its room is asked for after its rest
		}
		if v != nil {
			v.freedAt = now
			out = append(out, FreeCall{Server: v.Server, Handles: hs})
		}
		delete(s.freeing, id)
	}
	return out
}

// end closes a job, tells its owner and frees what was made of it if it failed.
func (s *Scheduler) end(now time.Time, t *job, m Message, out *Actions) {
	t.ended = true
	delete(s.jobs, t.ID)
	s.ended[t.ID] = ending{message: m, at: now}
	out.Replies = append(out.Replies, Reply{Box: t.ID.Box, Message: m})
	if m.Done == nil {
		s.release(now, t.handles)
	}
}

// Pending counts the pieces that wait and the calls at work.
func (s *Scheduler) Pending() (pieces, calls int) {
	for _, t := range s.jobs {
		pieces += len(t.pending)
	}
	return pieces, len(s.calls)
}
