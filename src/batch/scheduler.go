package batch

import (
	"sort"
	"strings"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// Tunables of the scheduler.
const (
	priorityStep      = 250 * time.Millisecond // by which a less urgent job counts as due later
	foreignAfter      = 160 * time.Millisecond // wait after which a job may leave the domain of its inputs
	foreignSlack      = 500 * time.Millisecond // beyond a call's time; with so much left
	foreignAfterSlack = 350 * time.Millisecond // a job waits for its domain this long
	splitAfter        = 200 * time.Millisecond // wait after which a job may be split between calls
	roomPart          = 0.97                   // part of a server's room that is used
	roomPause         = 300 * time.Millisecond // after a server said that it has none
	fullPause         = 60 * time.Millisecond  // after a server said that it is full
	failurePause      = 400 * time.Millisecond // after a failed call; doubled with each
	maxDoublings      = 4
	pieceFailures     = 4                      // failed calls that one job survives
	timeoutFactor     = 3.0                    // of a call's expected time
	timeoutFloor      = 500 * time.Millisecond // added to it
	serverLearning    = 0.3                    // weight of a new measurement of a server's pace
	paceLearning      = 0.1                    // of the pieces a second of one server while work waits
	classLearning     = 0.1                    // of a class's time for a piece
	slowRatio         = 1.8                    // a server this much slower than expected is used last
	slowProbe         = 1500 * time.Millisecond
	readTime          = 70 * time.Millisecond  // that a call which has begun may take to read its inputs
	hopelessFill      = 0.4                    // how full the call is in which a job could just be in time
	handoverSlack     = 300 * time.Millisecond // over twice the expected time of a call that was handed over
	memory            = 5 * time.Second        // for which the end of a job is remembered
)

// Item is one piece in a call.
type Item struct {
	Request   string
	Stage     int
	Piece     int
	Remaining time.Duration
	Key       string
	Inputs    []string
}

// ItemResult is what a call gave for one item: a handle, or the reason why there is none.
type ItemResult struct {
	Handle string
	Reason ItemReason
}

// CountReasons counts the items that were not made, by reason.
func CountReasons(results []ItemResult) (late, gone, noRoom, failed int) {
	for _, r := range results {
		switch {
		case r.Handle != "":
		case r.Reason == ItemLate:
			late++
		case r.Reason == ItemGone:
			gone++
		case r.Reason == ItemNoRoom:
			noRoom++
		default:
			failed++
		}
	}
	return late, gone, noRoom, failed
}

// ItemReason says why a server did not make a piece.
type ItemReason uint8

// The reasons of servers.
const (
	ItemLate ItemReason = iota + 1
	ItemGone
	ItemNoRoom
	ItemError
)

// CallOutcome says how a call ended.
type CallOutcome uint8

// The ends of a call.
const (
	CallDone   CallOutcome = iota + 1
	CallFull               // the server took nothing
	CallBroken             // connection, time-out or an answer that makes no sense
	CallMoved              // another server has the address
)

// String names the outcome for logs.
func (o CallOutcome) String() string {
	switch o {
	case CallDone:
		return "done"
	case CallFull:
		return "full"
	case CallBroken:
		return "broken"
	case CallMoved:
		return "moved"
	}
	return "unknown"
}

// Call is a call to be made; the shell reports its end by CallEnded.
type Call struct {
	N       uint64
	Server  catalog.Server
	Items   []Item
	Free    []string // results to give up at the server before the call
	Timeout time.Duration
}

// Requests names the requests whose pieces are in the call, each once, for logs.
func (c *Call) Requests() string {
	var b strings.Builder
	last := ""
	for _, i := range c.Items {
		if i.Request != last {
			last = i.Request
			b.WriteString(last + " ")
		}
	}
	return strings.TrimSpace(b.String())
}

// FreeCall gives up results at a server.
type FreeCall struct {
	Server  catalog.Server
	Handles []string
}

// Reply is a message to the owner of a job.
type Reply struct {
	Box     string
	Message Message
}

// Actions are what the shell must carry out.
type Actions struct {
	Calls   []Call
	Frees   []FreeCall
	Replies []Reply
}

type job struct {
	*Job
	since    time.Time
	pending  []int
	running  int
	handles  []string
	domains  []string
	failures int
	ended    bool
	insisted bool      // stays here whoever else schedules the pool
	sent     time.Time // when its last piece so far went into a call
	read     bool      // its owner was told that the inputs have been read
}

type serverState struct {
	catalog.Server
	call     uint64    // at work, 0 for none
	until    time.Time // expected end of it
	pause    time.Time // no call before
	failures int
	ratio    float64 // measured time over expected time
	probed   time.Time
	handed   bool    // the call at work was told to the next scheduler
	used     float64 // bytes of results that lie there
	listed   bool
}

type runningCall struct {
	server   string
	jobs     []*job
	pieces   []int
	began    time.Time
	expected time.Duration // of a server of ratio 1
	bytes    float64
}

type held struct {
	server string
	bytes  float64
	until  time.Time
}

type ending struct {
	message Message
	at      time.Time
}

// Scheduler forms the calls of one pool. It is pure: time comes in, actions go out. Not safe for
// concurrent use.
type Scheduler struct {
	Self string

	waiting int // pieces that wait, as calls were last formed

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

// Configure takes the pool's limits and its servers that take new work.
func (s *Scheduler) Configure(now time.Time, pool catalog.Pool, servers []catalog.Server) Actions {
	s.pool = pool
	for _, v := range s.servers {
		v.listed = false
	}
	for _, v := range servers {
		st := s.servers[v.ID]
		if st == nil {
			st = &serverState{ratio: 1}
			s.servers[v.ID] = st
		}
		st.Server, st.listed = v, true
	}
	for id, v := range s.servers {
		if !v.listed && v.call == 0 {
			delete(s.servers, id)
		}
	}
	return s.dispatch(now)
}

// Submit takes a job, or answers again for one that it knows.
func (s *Scheduler) Submit(now time.Time, j *Job) Actions {
	insisted := false
	if e, ok := s.ended[j.ID]; ok && e.message.Failed != nil && e.message.Failed.Reason == Moved {
		delete(s.ended, j.ID) // its owner sees no other scheduler
		insisted = true
	} else if ok {
		return Actions{Replies: []Reply{{Box: j.ID.Box, Message: e.message}}}
	}
	id := j.ID
	accept := Reply{Box: id.Box, Message: Message{Accept: &id, Wait: s.Wait(now)}}
	if s.jobs[id] != nil {
		return Actions{Replies: []Reply{accept}}
	}
	t := &job{Job: j, since: now, insisted: insisted, handles: make([]string, j.Pieces), domains: make([]string, j.Pieces)}
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

// Free gives up results that have been read.
func (s *Scheduler) Free(now time.Time, handles []string) { s.release(now, handles) }

// release notes handles to be given up; their room counts as free at once, since the server is told
// before it gets its next call.
func (s *Scheduler) release(now time.Time, handles []string) {
	for _, h := range handles {
		r, ok := s.handles[h]
		if !ok {
			if h != "" {
				s.early[h] = now
			}
			continue
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
			delete(s.handles, h)
			if v := s.servers[r.server]; v != nil {
				v.used = max(0, v.used-r.bytes)
			}
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
	out.Frees = s.frees()
	return out
}

// hasRead says whether every piece of a job is in a call that must have read its inputs by now, and
// its owner does not know yet. Their room is given up then and not at the call's end: room is what
// bounds a pool of makers.
func (t *job) hasRead(now time.Time) bool {
	return !t.read && len(t.Inputs) > 0 && len(t.pending) == 0 && now.Sub(t.sent) >= readTime
}

func (s *Scheduler) frees() []FreeCall {
	var out []FreeCall
	for id, hs := range s.freeing {
		if v := s.servers[id]; v != nil {
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

// sorted lists the jobs with those first that should be served first: jobs that can still be in
// time by how soon they are due, then the others by their deadline.
func (s *Scheduler) sorted(now time.Time) []*job {
	list := make([]*job, 0, len(s.jobs))
	for _, t := range s.jobs {
		list = append(list, t)
	}
	hopeless := func(t *job) bool { return s.hopeless(now, t) }
	rank := func(t *job) time.Time {
		if hopeless(t) {
			return t.Deadline
		}
		return t.Due.Add(time.Duration(t.Priority) * priorityStep)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if ha, hb := hopeless(a), hopeless(b); ha != hb {
			return hb
		}
		if ra, rb := rank(a), rank(b); !ra.Equal(rb) {
			return ra.Before(rb)
		}
		return a.ID.N < b.ID.N || a.ID.N == b.ID.N && a.ID.Box < b.ID.Box
	})
	return list
}

// free lists the servers that can take a call, the best first.
func (s *Scheduler) free(now time.Time) []*serverState {
	var out []*serverState
	for _, v := range s.servers {
		if v.listed && v.call == 0 && !now.Before(v.pause) {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if slowA, slowB := a.ratio > slowRatio, b.ratio > slowRatio; slowA != slowB {
			return slowB
		}
		if a.used != b.used {
			return a.used < b.used
		}
		return a.ID < b.ID
	})
	return out
}

// dispatch gives every free server a call, as long as there is work that fits it.
func (s *Scheduler) dispatch(now time.Time) Actions {
	var out Actions
	if s.pool.Batch == nil || len(s.jobs) == 0 || now.Before(s.holds) {
		return out
	}
	free := s.free(now)
	if len(free) == 0 {
		return out
	}
	s.waiting, _ = s.Pending()
	queue := s.sorted(now)
	for _, v := range free {
		if v.ratio > slowRatio && !s.worthSlow(now, v) {
			continue
		}
		if c, ok := s.form(now, v, queue); ok {
			out.Calls = append(out.Calls, c)
		}
	}
	return out
}

// worthSlow says whether a slow server should get a call: when work has piled up beyond what the
// others can take soon, or now and then to see whether it is slow still.
func (s *Scheduler) worthSlow(now time.Time, v *serverState) bool {
	sound, pending := 0, 0
	for _, o := range s.servers {
		if o.listed && o.ratio <= slowRatio && o.failures == 0 {
			sound++
		}
	}
	for _, t := range s.jobs {
		pending += len(t.pending)
	}
	if sound == 0 {
		return true
	}
	if now.Sub(v.probed) > slowProbe {
		v.probed = now
		return true
	}
	return pending > int(v.ratio)*sound*s.pool.Batch.Size
}

// form makes a call of the most urgent pieces that fit a server.
func (s *Scheduler) form(now time.Time, v *serverState, queue []*job) (Call, bool) {
	limit := s.pool.Batch.Size
	room := s.pool.Batch.RoomBytes*roomPart - v.used
	c := Call{Server: v.Server}
	rc := &runningCall{server: v.ID, began: now, expected: s.pool.Batch.CallTime}
	for _, t := range queue {
		if t.ended || len(t.pending) == 0 || len(c.Items) >= limit {
			continue
		}
		if !s.fitsDomain(now, t, v) {
			continue
		}
		n := min(len(t.pending), limit-len(c.Items))
		if t.ResultBytes > 0 {
			n = min(n, int(room/t.ResultBytes))
		}
		if n <= 0 || n < len(t.pending) && now.Sub(t.since) < splitAfter && len(t.pending) <= limit && s.roomFor(t) {
			continue
		}
		for _, piece := range t.pending[:n] {
			c.Items = append(c.Items, Item{Request: t.Request, Stage: t.Stage, Piece: piece, Remaining: t.Deadline.Sub(now), Key: t.Key, Inputs: t.Inputs})
			rc.jobs, rc.pieces = append(rc.jobs, t), append(rc.pieces, piece)
			rc.expected += s.pieceTime(t.Class)
		}
		t.pending = t.pending[n:]
		t.running += n
		t.sent = now
		room -= float64(n) * t.ResultBytes
		rc.bytes += float64(n) * t.ResultBytes
	}
	if len(c.Items) == 0 {
		return c, false
	}
	s.next++
	c.N = s.next
	c.Free = s.freeing[v.ID]
	delete(s.freeing, v.ID)
	expected := time.Duration(float64(rc.expected) * max(1, v.ratio))
	c.Timeout = time.Duration(float64(expected)*timeoutFactor) + timeoutFloor
	v.call, v.until = c.N, now.Add(expected)
	v.used += rc.bytes
	s.calls[c.N] = rc
	return c, true
}

// roomFor says whether some server's room could hold all of a job's results at once.
func (s *Scheduler) roomFor(t *job) bool {
	return float64(len(t.pending))*t.ResultBytes <= s.pool.Batch.RoomBytes*roomPart
}

// fitsDomain keeps a job near its inputs for a while, as long as there is a sound server there.
func (s *Scheduler) fitsDomain(now time.Time, t *job, v *serverState) bool {
	wait := foreignAfter
	if s.waiting <= s.pool.Batch.Size && t.Due.Sub(now) > s.pool.Batch.CallTime+foreignSlack {
		wait = foreignAfterSlack
	}
	if t.InputDomain == "" || t.InputDomain == v.Domain || now.Sub(t.since) >= wait {
		return true
	}
	for _, o := range s.servers {
		if o.listed && o.Domain == t.InputDomain && o.failures == 0 && o.ratio <= slowRatio {
			return false
		}
	}
	return true
}

func (s *Scheduler) pieceTime(class string) time.Duration {
	f, ok := s.pieces[class]
	if !ok {
		f = 1
	}
	return time.Duration(f * float64(s.pool.Batch.ItemTime))
}

// CallEnded takes the end of a call. results has an entry for each item when the outcome is CallDone.
func (s *Scheduler) CallEnded(now time.Time, n uint64, outcome CallOutcome, results []ItemResult) Actions {
	var out Actions
	rc := s.calls[n]
	if rc == nil {
		return out
	}
	delete(s.calls, n)
	v := s.servers[rc.server]
	if v != nil {
		if v.handed {
			s.idle = append(s.idle, rc.server)
		}
		v.call, v.handed = 0, false
	}
	if outcome == CallDone && len(results) != len(rc.jobs) {
		outcome = CallBroken
	}
	if outcome == CallDone {
		s.takeResults(now, rc, v, results, &out)
	} else {
		s.giveBack(now, rc, v, outcome, &out)
	}
	if v != nil && !v.listed {
		delete(s.servers, rc.server)
	}
	more := s.dispatch(now)
	out.Calls = append(out.Calls, more.Calls...)
	out.Replies = append(out.Replies, more.Replies...)
	return out
}

// giveBack returns the pieces of a call that did not run and lets the server rest.
func (s *Scheduler) giveBack(now time.Time, rc *runningCall, v *serverState, outcome CallOutcome, out *Actions) {
	if v != nil {
		v.used = max(0, v.used-rc.bytes)
		if outcome == CallFull {
			v.pause = now.Add(fullPause)
		} else {
			v.pause = now.Add(failurePause << min(v.failures, maxDoublings))
			v.failures++
		}
	}
	counted := map[*job]bool{}
	for i, t := range rc.jobs {
		t.running--
		if t.ended {
			continue
		}
		if t.read {
			s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Gone}}, out)
			continue
		}
		t.pending = append(t.pending, rc.pieces[i])
		if outcome != CallFull && !counted[t] {
			counted[t] = true
			t.failures++
		}
		if t.failures >= pieceFailures {
			s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Errors}}, out)
		}
	}
}

func (s *Scheduler) takeResults(now time.Time, rc *runningCall, v *serverState, results []ItemResult, out *Actions) {
	s.learn(now, rc, v)
	for i, r := range results {
		t := rc.jobs[i]
		t.running--
		if r.Handle != "" {
			s.handles[r.Handle] = held{server: rc.server, bytes: t.ResultBytes, until: now.Add(s.pool.Batch.ResultTTL)}
			if t.ended {
				s.release(now, []string{r.Handle})
				continue
			}
			t.handles[rc.pieces[i]] = r.Handle
			if v != nil {
				t.domains[rc.pieces[i]] = v.Domain
			}
			continue
		}
		if v != nil {
			v.used = max(0, v.used-t.ResultBytes)
		}
		if !t.ended {
			s.missed(now, t, rc.pieces[i], r.Reason, v, out)
		}
	}
	for _, t := range rc.jobs {
		if !t.ended && t.running == 0 && len(t.pending) == 0 {
			s.end(now, t, Message{Done: &Done{ID: t.ID, Handles: t.handles, Domain: commonest(t.domains)}}, out)
		}
	}
}

// missed deals with a piece that a server did not make.
func (s *Scheduler) missed(now time.Time, t *job, piece int, why ItemReason, v *serverState, out *Actions) {
	switch why {
	case ItemLate:
		s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Late}}, out)
		return
	case ItemGone:
		s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Gone}}, out)
		return
	case ItemNoRoom:
		if v != nil {
			v.pause = now.Add(roomPause)
		}
	default:
		t.failures++
	}
	if t.read { // its inputs were given up: only its owner can make them again
		s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Gone}}, out)
		return
	}
	t.pending = append(t.pending, piece)
	if t.failures >= pieceFailures {
		s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Errors}}, out)
	}
}

// learn compares a call's time with what was expected of it.
func (s *Scheduler) learn(now time.Time, rc *runningCall, v *serverState) {
	if v == nil {
		return
	}
	v.failures = 0
	took := now.Sub(rc.began)
	r := float64(took) / float64(rc.expected)
	if len(rc.jobs) > 0 && v.ratio < slowRatio && r < slowRatio {
		items := float64(rc.expected - s.pool.Batch.CallTime)
		measured := max(0, float64(took)/v.ratio-float64(s.pool.Batch.CallTime))
		for _, t := range rc.jobs {
			f := float64(s.pieceTime(t.Class)) / float64(s.pool.Batch.ItemTime)
			s.pieces[t.Class] = min(3, max(0.1, f*(1+classLearning/float64(len(rc.jobs))*(measured/max(items, 1)-1))))
		}
	}
	v.ratio += serverLearning * (r - v.ratio)
	if waiting, _ := s.Pending(); waiting >= s.pool.Batch.Size {
		measured := float64(len(rc.jobs)) / took.Seconds()
		if s.pace == 0 {
			s.pace = measured
		}
		s.pace += paceLearning * (measured - s.pace)
	}
}

// Wait estimates how long a new piece waits before its call begins. Jobs that can't be in time any
// more go last and are not ahead of it.
func (s *Scheduler) Wait(now time.Time) time.Duration {
	if s.pool.Batch == nil {
		return 0
	}
	sound, soonest := 0, time.Duration(-1)
	for _, v := range s.servers {
		if !v.listed || v.failures > 0 || v.ratio > slowRatio {
			continue
		}
		sound++
		left := time.Duration(0)
		if v.call != 0 {
			left = max(0, v.until.Sub(now))
		}
		if soonest < 0 || left < soonest {
			soonest = left
		}
	}
	if sound == 0 {
		return s.pool.Batch.CallTime
	}
	ahead := 0
	for _, t := range s.jobs {
		if !s.hopeless(now, t) {
			ahead += len(t.pending)
		}
	}
	rate := s.fullRate()
	if s.pace > 0 {
		rate = min(rate, s.pace)
	}
	return soonest + time.Duration(float64(ahead)/(rate*float64(sound))*float64(time.Second))
}

// fullRate is the pieces a second of one server whose calls are full.
func (s *Scheduler) fullRate() float64 {
	b := s.pool.Batch
	return float64(b.Size) / (b.CallTime + time.Duration(b.Size)*b.ItemTime).Seconds()
}

// hopeless says whether a job can't be in time any more.
func (s *Scheduler) hopeless(now time.Time, t *job) bool {
	b := s.pool.Batch
	call := b.CallTime + time.Duration(hopelessFill*float64(b.Size))*b.ItemTime
	return t.running == 0 && now.Add(call).After(t.Due)
}

// HandOver empties a scheduler whose pool another box schedules now: jobs of which nothing is in a
// call go back to their owners, and the next scheduler is told of the rest.
func (s *Scheduler) HandOver(now time.Time, next string) (Handover, Actions) {
	h := Handover{Pool: s.pool.Name, Idle: s.idle}
	s.idle = nil
	var out Actions
	for _, t := range s.sorted(now) {
		if t.running == 0 && len(t.pending) == t.Pieces && !t.insisted {
			s.end(now, t, Message{Failed: &Failed{ID: t.ID, Reason: Moved, To: next}}, &out)
		}
	}
	for handle, r := range s.handles {
		h.Held = append(h.Held, HeldResult{Server: r.server, Handle: handle, Bytes: r.bytes, Left: r.until.Sub(now)})
		delete(s.handles, handle)
		if v := s.servers[r.server]; v != nil {
			v.used = max(0, v.used-r.bytes)
		}
	}
	for id, v := range s.servers {
		if v.call != 0 && !v.handed {
			v.handed = true
			h.Busy = append(h.Busy, BusyServer{Server: id, Left: max(0, v.until.Sub(now)), Bytes: s.calls[v.call].bytes})
		}
	}
	return h, out
}

// TakeOver takes what the scheduler before knew.
func (s *Scheduler) TakeOver(now time.Time, h Handover) {
	s.holds = time.Time{}
	for _, r := range h.Held {
		v := s.servers[r.Server]
		if v == nil {
			continue
		}
		s.handles[r.Handle] = held{server: r.Server, bytes: r.Bytes, until: now.Add(r.Left)}
		v.used += r.Bytes
		if _, ok := s.early[r.Handle]; ok {
			delete(s.early, r.Handle)
			s.release(now, []string{r.Handle})
		}
	}
	for _, b := range h.Busy {
		v := s.servers[b.Server]
		if v == nil || v.call != 0 {
			continue
		}
		v.pause = now.Add(2*b.Left + handoverSlack) // or until it is told that the call has ended
		v.used += b.Bytes                           // until the results themselves are told of
		s.handles[callAt(b.Server)] = held{server: b.Server, bytes: b.Bytes, until: v.pause}
	}
	for _, id := range h.Idle {
		v := s.servers[id]
		r, ok := s.handles[callAt(id)]
		if v == nil || !ok {
			continue
		}
		delete(s.handles, callAt(id))
		v.used = max(0, v.used-r.bytes)
		v.pause = now
	}
}

// callAt stands for the results of a call that another scheduler has at work.
func callAt(server string) string { return "call at " + server }

// HoldUntil puts calls off: a scheduler that has just got a pool waits for the handover of the one
// before it.
func (s *Scheduler) HoldUntil(t time.Time) { s.holds = t }

// Empty says whether a handover would tell nothing.
func (h Handover) Empty() bool { return len(h.Held) == 0 && len(h.Busy) == 0 && len(h.Idle) == 0 }

// Pending counts the pieces that wait and the calls at work.
func (s *Scheduler) Pending() (pieces, calls int) {
	for _, t := range s.jobs {
		pieces += len(t.pending)
	}
	return pieces, len(s.calls)
}

// commonest gives the word that occurs most often; the first by order among equals.
func commonest(words []string) string {
	count := map[string]int{}
	best := ""
	for _, w := range words {
		count[w]++
		if n := count[w]; n > count[best] || n == count[best] && w < best {
			best = w
		}
	}
	return best
}
