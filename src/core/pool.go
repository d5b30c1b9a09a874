package core

import (
	"container/heap"
	"time"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/pushback"
)

// Pool decides for one pool of backend servers which waiting call goes next, and to which server.
//
// Calls wait here and not in the servers, so that their order can still change and a call that misses its
// deadline costs nothing. They are ordered by the latest useful start, delayed by how far the workspace is
// ahead of its fair share (start-time fair queueing tags), so that deadlines decide while capacity suffices
// and shares decide when it does not. May-wait calls use what prompt calls leave, are admitted only as far
// as that suffices, and go first once their own time runs short.
//
// Push and Withdraw are O(log n); one dispatch is O(lanes + servers). Lanes are the distinct boundaries,
// models and adapters, which are few; servers are bounded by the subset that the box uses.
//
// The order of a call is set when it arrives and not revised; a workspace that was idle keeps no credit.
// Not safe for concurrent use; callers lock each pool.
type Pool struct {
	Name        string
	Self        string // name of the box, the seed of its jitter
	Domain      int    // failure domain of the box, -1 when unknown
	Region      string
	MaxWaiting  int // greatest number of waiting calls
	Estimates   *Estimates
	Placement   Placer // placement policy
	NoAdmission bool   // baseline: first come first served, nothing refused, no windows

	pushback        pushback.Register // of the servers that refused calls
	servers         map[string]*server
	order           []*server
	lanes           map[laneKey]*lane
	laneSeq         []*lane
	waiting         map[Attempt]*Call
	retries         budget
	hedges          budget
	tags            map[string]float64 // last fair-queueing tag of each workspace
	virtual         float64
	seed            uint64
	fifo            float64
	backlog         [config.NumClasses]backlog // expected slot seconds of the waiting calls
	typical         poolAverages
	prefix          *prefixIndex
	marks           uint64
	round           uint64 // number of the current call of Next
	hashed          uint64
	ready           []*server // reused by readyFor
	eligibleServers map[laneKey][]*server
	slots           int       // configured slots of all servers
	cachedCapacity  float64   // cached capacity
	capacityAt      time.Time // time of its computation
	busy            int       // this box's calls at the servers of the pool
	demand          meter     // of arriving prompt work
	pace            meter     // of dispatched may-wait work
	// since when may-wait work has been waiting without interruption; zero when none waits
	mayWaitSince time.Time
}

// Grant assigns a call to a server.
type Grant struct {
	Call   *Call
	Server string
	Trace  []Candidate
}

// Drop is a call that will not be placed.
type Drop struct {
	Call *Call
	Err  *code.Error
}

// NewPool returns a pool without servers; set its exported fields before use.
func NewPool(name string) *Pool {
	return &Pool{
		Name: name, Domain: -1, MaxWaiting: 2000, Placement: ExpectedFinish,
		servers: map[string]*server{}, lanes: map[laneKey]*lane{}, waiting: map[Attempt]*Call{},
		retries: newBudget(retryEarned, retryBankMax), hedges: newBudget(hedgeEarned, hedgeBankMax),
		demand: meter{window: promptWindow}, pace: meter{window: paceWindow},
		tags: map[string]float64{}, prefix: newPrefixIndex(), eligibleServers: map[laneKey][]*server{},
	}
}

// SetServers replaces the servers after a configuration change. Servers that remain keep their state; for
// those that are removed, the results of running calls are no longer taken.
func (p *Pool) SetServers(list []*config.BackendServer) {
	next := make(map[string]*server, len(list))
	p.order = p.order[:0]
	p.slots = 0
	for _, cfg := range list {
		s := p.servers[cfg.Name()]
		if s == nil {
			s = newServer(cfg, &p.typical)
			s.window = s.share()
		}
		s.cfg = cfg
		s.sameRegion = cfg.Region() == p.Region
		s.invalidateRates()
		p.slots += cfg.Slots()
		next[cfg.Name()] = s
		p.order = append(p.order, s)
	}
	for name, s := range p.servers {
		if next[name] == nil {
			p.prefix.forget(s)
			p.busy -= len(s.inFlight)
		}
	}
	p.servers = next
	p.eligibleServers = map[laneKey][]*server{}
	p.capacityAt = time.Time{}
	p.prefix.share(len(next))
}

// SetUsers sets the number of boxes that use a server.
func (p *Pool) SetUsers(name string, n int) {
	if s := p.servers[name]; s != nil {
		s.users = max(1, n)
		s.invalidateRates()
	}
}

// Waiting returns the number of waiting calls.
func (p *Pool) Waiting() int { return len(p.waiting) }

// Push adds a waiting call or returns why it is refused.
func (p *Pool) Push(now time.Time, c *Call) *code.Error {
	if err := p.admitExtra(c); err != nil {
		return err
	}
	if len(p.waiting) >= p.MaxWaiting && !c.Started {
		return code.New(code.QueueFull, "", "pool %s has %d calls waiting", p.Name, len(p.waiting)).WithRetryAfter(p.retryAfter(now))
	}
	if len(p.eligible(c)) == 0 {
		return code.New(code.NowhereToRun, "", "pool %s has no backend server inside the boundary", p.Name)
	}
	c.cost = p.costOf(now, c)
	c.order = p.orderOf(now, c)
	k := laneOf(c)
	l := p.lanes[k]
	if l == nil {
		l = &lane{key: k}
		p.lanes[k] = l
		p.laneSeq = append(p.laneSeq, l)
	}
	c.lane = l
	heap.Push(&l.classes[c.Pipeline.Class()], c)
	p.waiting[c.Attempt] = c
	if c.Pipeline.Class() == config.Prompt {
		p.demand.add(now, c.cost)
	} else if p.mayWaitSince.IsZero() {
		p.mayWaitSince = now
	}
	p.backlog[c.Pipeline.Class()].add(c.Deadline, c.cost)
	return nil
}

// admitExtra charges retries and hedges to their budgets, to which first attempts add, or returns why the
// call is refused.
func (p *Pool) admitExtra(c *Call) *code.Error {
	switch {
	case c.Hedge:
		if len(p.waiting) > 0 || !p.hedges.spend() {
			return code.New(code.RetryBudgetSpent, "", "no hedge for pool %s", p.Name)
		}
	case c.Retry:
		if !p.retries.spend() {
			return code.New(code.RetryBudgetSpent, "", "pool %s is failing and its retry budget is spent", p.Name).WithRetryAfter(time.Second)
		}
	default:
		p.retries.deposit()
		p.hedges.deposit()
	}
	return nil
}

// costOf estimates the slot time of a call in seconds, on a server of the pool with average times and the
// load of this box's own calls.
func (p *Pool) costOf(now time.Time, c *Call) float64 {
	if c.MaxTokens == 0 {
		if p.typical.run.at.IsZero() {
			return defaultEstimate(c.Stage).Seconds()
		}
		return p.typical.run.v
	}
	token := p.typical.token.v
	if p.typical.token.at.IsZero() {
		token = defaultTokenTime.Seconds()
	}
	full := min(1, float64(p.busy)/max(1, p.capacity(now)))
	tokens := max(1, float64(c.MaxTokens)*p.ratio(c))
	return defaultPrefill.Seconds()*float64(c.PromptTokens) + token*(1+loadSlope*full)*tokens
}

func (p *Pool) ratio(c *Call) float64 {
	if c.MaxTokens == 0 {
		return 1
	}
	return p.Estimates.TokenRatio(c.Pipeline, c.Stage)
}

// orderOf returns the call's dispatch order: its latest useful start plus how far the workspace is ahead of
// its fair share, in seconds.
func (p *Pool) orderOf(now time.Time, c *Call) float64 {
	if p.NoAdmission {
		p.fifo++
		return p.fifo
	}
	w := c.Workspace.Name()
	tag := max(p.virtual, p.tags[w])
	p.tags[w] = tag + c.cost/c.Workspace.Weight()/max(1, float64(p.slots))
	ahead := tag - p.virtual
	start := float64(c.Deadline.Add(-c.Tail).UnixNano())/float64(time.Second) - c.cost
	if len(p.waiting) == 0 && len(p.tags) > 4096 {
		p.tags = map[string]float64{} // without waiting calls no workspace is ahead
	}
	return start + ahead*float64(max(1, len(p.tags)))
}

// Withdraw removes a waiting call and reports whether it was waiting.
func (p *Pool) Withdraw(id Attempt) bool {
	c := p.waiting[id]
	if c == nil {
		return false
	}
	p.remove(c)
	return true
}

func (p *Pool) remove(c *Call) {
	delete(p.waiting, c.Attempt)
	h := &c.lane.classes[c.Pipeline.Class()]
	heap.Remove(h, c.index)
	p.backlog[c.Pipeline.Class()].remove(c.Deadline, c.cost)
	if p.backlog[config.MayWait].sum == 0 {
		p.mayWaitSince = time.Time{}
	}
	if c.lane.empty() {
		delete(p.lanes, c.lane.key)
		p.dropLane(c.lane)
	}
}

func (p *Pool) dropLane(l *lane) {
	for i, o := range p.laneSeq {
		if o == l {
			p.laneSeq = append(p.laneSeq[:i], p.laneSeq[i+1:]...)
			return
		}
	}
}

// Next places the calls that can be placed now and drops those that can not finish in time. It must be
// called after each Push, Done and Report, and at least every TickEvery while calls wait.
func (p *Pool) Next(now time.Time) ([]Grant, []Drop) {
	var grants []Grant
	var drops []Drop
	p.round++
	for len(p.waiting) > 0 {
		c := p.nextCall(now)
		if c == nil {
			break
		}
		if err := p.deadlineError(now, c); err != nil {
			p.remove(c)
			drops = append(drops, Drop{Call: c, Err: err})
			continue
		}
		s, trace := p.place(now, c)
		if s == nil {
			c.lane.blocked = p.round
			continue
		}
		p.remove(c)
		p.dispatch(now, c, s)
		grants = append(grants, Grant{Call: c, Server: s.cfg.Name(), Trace: trace})
	}
	return grants, drops
}

// nextCall returns the first call in order among the lanes that are not blocked, or nil.
func (p *Pool) nextCall(now time.Time) *Call {
	var best [config.NumClasses]*Call
	for _, l := range p.laneSeq {
		if l.blocked == p.round {
			continue
		}
		for class, h := range l.classes {
			if len(h) > 0 && (best[class] == nil || h[0].order < best[class].order) {
				best[class] = h[0]
			}
		}
	}
	return p.pickClass(now, best[config.Prompt], best[config.MayWait])
}

// pickClass chooses between the first calls of both classes: urgent may-wait work, then prompt work, then
// other may-wait work.
func (p *Pool) pickClass(now time.Time, prompt, may *Call) *Call {
	switch {
	case prompt == nil:
		return may
	case may == nil:
		return prompt
	case p.NoAdmission:
		if may.order < prompt.order {
			return may
		}
		return prompt
	case p.urgent(now, may):
		return may
	}
	return prompt
}

// urgent reports whether a may-wait call has little slack left of its total time.
func (p *Pool) urgent(now time.Time, c *Call) bool {
	had := c.Deadline.Sub(c.Enqueued)
	return float64(c.slack(now, seconds(c.cost))) < urgentSlack*float64(had)
}

// deadlineError returns an error if a call can not finish in time on any server. Accepted must-finish work
// is never dropped.
func (p *Pool) deadlineError(now time.Time, c *Call) *code.Error {
	if p.NoAdmission || c.Pipeline.MustFinish() || c.once() && c.Started {
		return nil
	}
	if c.slack(now, seconds(minRunFraction*c.cost)) >= 0 {
		return nil
	}
	return code.New(code.CannotFinish, "", "stage %s could no longer finish by the deadline", c.Stage.Name()).WithRetryAfter(p.retryAfter(now))
}

// retryAfter estimates when the present backlog will be done, between 100 ms and 30 s.
func (p *Pool) retryAfter(now time.Time) time.Duration {
	wait := seconds((p.backlog[config.Prompt].sum + p.backlog[config.MayWait].sum) / max(1, p.capacity(now)))
	return min(max(wait, 100*time.Millisecond), 30*time.Second)
}

// RecordRest records that a server refused a call and asked this box to send nothing for the given time.
func (p *Pool) RecordRest(now time.Time, name string, length time.Duration) {
	if s := p.servers[name]; s != nil && length > 0 {
		p.pushback.RecordRest(now, name, length)
		s.askedRest = true
		s.invalidateRates()
	}
}

// dispatch records a call as running at a server.
func (p *Pool) dispatch(now time.Time, c *Call, s *server) {
	p.pushback.Begin(now, pushback.Server{ID: s.cfg.Name()}, "")
	w := s.estimate(now, c, p.ratio(c))
	s.inFlight[c.Attempt] = runningCall{
		sent: now, expect: w.total(), tokens: w.tokens, prefill: w.prefill, guessed: w.guessed, prefix: c.Prefix,
	}
	for _, h := range c.Prefix {
		p.prefix.add(s, h)
	}
	p.busy++
	if c.Pipeline.Class() == config.MayWait {
		p.pace.add(now, c.cost)
	}
	s.invalidateRates()
	if s.backoff > 0 {
		s.probing = true
	}
	p.virtual = max(p.virtual, p.tags[c.Workspace.Name()]-c.cost/c.Workspace.Weight()/max(1, float64(p.slots)))
}

// Done ends a running call; failure 0 is success. It reports whether the call was recorded as running.
func (p *Pool) Done(now time.Time, id Attempt, name string, f Failure, u Use, wasted bool) bool {
	s := p.servers[name]
	if s == nil {
		return false
	}
	r, ok := s.inFlight[id]
	if !ok {
		return false
	}
	delete(s.inFlight, id)
	p.busy--
	s.probing = false
	s.invalidateRates()
	switch f {
	case 0:
		if wasted && u == (Use{}) {
			return true // cancelled by this box, so no evidence about the server
		}
		s.succeeded()
		s.learn(now, r, u)
		p.pushback.RecordResponse(now, name)
		s.askedRest = p.pushback.HasRest(name)
	case Leaving:
		s.answeredLeaving(now)
	case Busy:
		s.window = max(s.share(), windowCut*s.window)
		if p.pushback.Check(now, pushback.Server{ID: name}).State != pushback.Resting { // the server's own rest time replaces our backoff
			s.failed(now)
		}
	case InvalidCall:
		s.succeeded()
	default:
		s.failed(now)
	}
	return true
}

// Release frees a slot that was assigned but not used.
func (p *Pool) Release(id Attempt, name string) {
	s := p.servers[name]
	if s == nil {
		return
	}
	if _, ok := s.inFlight[id]; ok {
		delete(s.inFlight, id)
		p.busy--
		s.invalidateRates()
		s.probing = false
	}
}
