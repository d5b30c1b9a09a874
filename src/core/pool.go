package core

import (
	"container/heap"
	"time"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/pushback"
)

// Pool decides for one pool of backend servers which waiting call goes next, and where.
//
// Idea. Calls wait here and not in the servers, so that the order can still change and a call
// whose deadline is lost costs nothing. Order: a call's latest useful start, pushed back by how far
// its workspace is ahead of its fair share (start-time fair queueing tags), so that deadlines
// decide while there is enough and shares decide when there is not. May-wait work takes what prompt
// work leaves, is admitted only as far as that will do, and goes first once its own time runs short.
//
// Cost. Push and withdraw O(log n); one dispatch O(lanes + servers). Lanes are distinct boundaries,
// few; servers are bounded by the subset the box uses.
//
// Trade-offs. A call's order is set when it comes and not revised; a workspace that went idle keeps
// no credit. Not safe for concurrent use; each pool has its own lock in the shell.
type Pool struct {
	Name        string
	Self        string // the box's name, which seeds its leanings
	Domain      int    // the box's failure domain, -1 when unknown
	Region      string
	Room        int // calls that may wait
	Estimates   *Estimates
	Placement   Placer // how a server is picked
	NoAdmission bool   // baseline: first come first served, nothing refused, no windows

	words   pushback.Register // what servers said when they turned calls away
	servers map[string]*server
	order   []*server
	lanes   map[laneKey]*lane
	laneSeq []*lane
	waiting map[Attempt]*Call
	retries budget
	hedges  budget
	tags    map[string]float64 // last fair-queueing tag of each workspace
	virtual float64
	seed    uint64
	fifo    float64
	backlog [config.NumClasses]backlog // expected seconds of slots that wait
	stats   PoolStats
	typical typical
	prefix  *prefixIndex
	marks   uint64
	round   uint64 // number of the Next under way
	hashed  uint64
	ready   []*server // reused by place
	inside  map[laneKey][]*server
	slots   int       // configured, over all servers
	room    float64   // capacity as last worked out
	roomAt  time.Time // and when
	busy    int       // calls this box has at the pool's servers
	demand  meter     // of prompt work that comes
	pace    meter     // of may-wait work that is dispatched
	// since when may-wait work has been waiting without a break; zero when none waits
	waitsSince time.Time
}

// PoolStats counts what a pool did.
type PoolStats struct {
	Retries   int
	Hedges    int
	Dropped   int
	Unsettled int
}

// Grant is a place for a call.
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

// NewPool makes an empty pool; set its exported fields before use.
func NewPool(name string) *Pool {
	return &Pool{
		Name: name, Domain: -1, Room: 2000, Placement: ExpectedFinish,
		servers: map[string]*server{}, lanes: map[laneKey]*lane{}, waiting: map[Attempt]*Call{},
		retries: newBudget(retryEarned, retryBankMax), hedges: newBudget(hedgeEarned, hedgeBankMax),
		demand: meter{window: promptWindow}, pace: meter{window: paceWindow},
		tags: map[string]float64{}, prefix: newPrefixIndex(), inside: map[laneKey][]*server{},
	}
}

// SetServers takes the servers of a new configuration. What was learned of those that stay is kept;
// those that go keep their running calls until these are done.
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
		s.stale()
		p.slots += cfg.Slots()
		next[cfg.Name()] = s
		p.order = append(p.order, s)
	}
	for name, s := range p.servers {
		if next[name] == nil {
			p.prefix.forget(s)
			p.busy -= len(s.mine)
		}
	}
	p.servers = next
	p.inside = map[laneKey][]*server{}
	p.roomAt = time.Time{}
	p.prefix.share(len(next))
}

// SetUsers says how many boxes use a server.
func (p *Pool) SetUsers(name string, n int) {
	if s := p.servers[name]; s != nil {
		s.users = max(1, n)
		s.stale()
	}
}

// Waiting counts the calls that wait.
func (p *Pool) Waiting() int { return len(p.waiting) }

// Stats gives the counters.
func (p *Pool) Stats() PoolStats { return p.stats }

// Push takes a call to wait, or says why not.
func (p *Pool) Push(now time.Time, c *Call) *code.Error {
	if err := p.admitExtra(c); err != nil {
		return err
	}
	if len(p.waiting) >= p.Room && !c.Started {
		p.stats.Dropped++
		return code.New(code.QueueFull, "", "pool %s has %d calls waiting", p.Name, len(p.waiting)).WithRetryAfter(p.comeBack(now))
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
	} else if p.waitsSince.IsZero() {
		p.waitsSince = now
	}
	p.backlog[c.Pipeline.Class()].add(c.Deadline, c.cost)
	return nil
}

// admitExtra charges retries and hedges to their budgets.
func (p *Pool) admitExtra(c *Call) *code.Error {
	switch {
	case c.Hedge:
		if len(p.waiting) > 0 || !p.hedges.spend() {
			return code.New(code.RetryBudgetSpent, "", "no hedge for pool %s", p.Name)
		}
		p.stats.Hedges++
	case c.Retry:
		if !p.retries.spend() {
			return code.New(code.RetryBudgetSpent, "", "pool %s is failing and its retry budget is spent", p.Name).WithRetryAfter(time.Second)
		}
		p.stats.Retries++
	default:
		p.retries.earned()
		p.hedges.earned()
	}
	return nil
}

// costOf is the slot time a call is expected to take on a typical server as full as this box's own.
func (p *Pool) costOf(now time.Time, c *Call) float64 {
	if c.MaxTokens == 0 {
		if p.typical.run.at.IsZero() {
			return firstGuess(c.Stage).Seconds()
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

// orderOf is the latest useful start plus how far the workspace is ahead of its share, in seconds.
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
		p.tags = map[string]float64{} // nobody waits, so nobody is ahead
	}
	return start + ahead*float64(max(1, len(p.tags)))
}

// Withdraw takes a waiting call out again; it says whether it was waiting.
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
		p.waitsSince = time.Time{}
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

// Next places what can be placed now and drops what can't finish any more. The caller asks again
// after each Push, Done, Report and at least every TickEvery while calls wait.
func (p *Pool) Next(now time.Time) ([]Grant, []Drop) {
	var grants []Grant
	var drops []Drop
	p.round++
	for len(p.waiting) > 0 {
		c := p.head(now)
		if c == nil {
			break
		}
		if err := p.hopeless(now, c); err != nil {
			p.remove(c)
			p.stats.Dropped++
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

// head picks the call that is next in order over the lanes that are not blocked.
func (p *Pool) head(now time.Time) *Call {
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
	return p.between(now, best[config.Prompt], best[config.MayWait])
}

// between chooses among the classes' heads: urgent may-wait work, then prompt work, then the rest.
func (p *Pool) between(now time.Time, prompt, may *Call) *Call {
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

// urgent says whether may-wait work has little slack left of the time it had.
func (p *Pool) urgent(now time.Time, c *Call) bool {
	had := c.Deadline.Sub(c.Enqueued)
	return float64(c.slack(now, seconds(c.cost))) < urgentSlack*float64(had)
}

// hopeless says why a call can't finish in time wherever it went; accepted must-finish work never is.
func (p *Pool) hopeless(now time.Time, c *Call) *code.Error {
	if p.NoAdmission || c.Pipeline.MustFinish() || c.once() && c.Started {
		return nil
	}
	if c.slack(now, seconds(hopelessPart*c.cost)) >= 0 {
		return nil
	}
	return code.New(code.CannotFinish, "", "stage %s could no longer finish by the deadline", c.Stage.Name()).WithRetryAfter(p.comeBack(now))
}

// comeBack is when what waits now should have gone.
func (p *Pool) comeBack(now time.Time) time.Duration {
	wait := seconds((p.backlog[config.Prompt].sum + p.backlog[config.MayWait].sum) / max(1, p.capacity(now)))
	return min(max(wait, 100*time.Millisecond), 30*time.Second)
}

// AsksRest takes for how long a server wants nothing from this box, as it said when it turned a call away.
func (p *Pool) AsksRest(now time.Time, name string, length time.Duration) {
	if s := p.servers[name]; s != nil && length > 0 {
		p.words.HearRest(now, name, length)
		s.asked = true
		s.stale()
	}
}

// dispatch books a call at a server.
func (p *Pool) dispatch(now time.Time, c *Call, s *server) {
	p.words.Begin(now, pushback.Server{ID: s.cfg.Name()}, "")
	w := s.expect(now, c, p.ratio(c))
	s.mine[c.Attempt] = running{
		sent: now, expect: w.total(), tokens: w.tokens, prefill: w.prefill, guessed: w.guessed, prefix: c.Prefix,
	}
	for _, h := range c.Prefix {
		p.prefix.add(s, h)
	}
	p.busy++
	if c.Pipeline.Class() == config.MayWait {
		p.pace.add(now, c.cost)
	}
	s.stale()
	if s.rest > 0 {
		s.probing = true
	}
	p.virtual = max(p.virtual, p.tags[c.Workspace.Name()]-c.cost/c.Workspace.Weight()/max(1, float64(p.slots)))
}

// Done ends a booked call; failure 0 is success. It says whether the call was booked.
func (p *Pool) Done(now time.Time, id Attempt, name string, f Failure, u Use, wasted bool) bool {
	s := p.servers[name]
	if s == nil {
		return false
	}
	r, ok := s.mine[id]
	if !ok {
		return false
	}
	delete(s.mine, id)
	p.busy--
	s.probing = false
	s.stale()
	switch f {
	case 0:
		if wasted && u == (Use{}) {
			return true // stopped by us: it says nothing about the server
		}
		s.succeeded()
		s.learn(now, r, u)
		p.words.Answered(now, name)
		s.asked = p.words.Remembers(name)
	case Leaving:
		s.answeredLeaving(now)
	case Busy:
		s.window = max(s.share(), windowCut*s.window)
		if p.words.Judge(now, pushback.Server{ID: name}).State != pushback.Resting { // its own time counts in place of our guess
			s.failed(now)
		}
	case Wrong:
		s.succeeded()
	default:
		s.failed(now)
	}
	return true
}

// Release gives back a place that was never used.
func (p *Pool) Release(id Attempt, name string) {
	s := p.servers[name]
	if s == nil {
		return
	}
	if _, ok := s.mine[id]; ok {
		delete(s.mine, id)
		p.busy--
		s.stale()
		s.probing = false
	}
}
