// Package experiment compares scheduling policies by discrete-event simulation: the decision core of several
// boxes runs over the engine models of package standin in virtual time. Membership, configuration and sockets
// are left out, since the policy does not depend on them.
package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/load"
)

// Intervals and delays of the simulated environment.
const (
	reportInterval    = 250 * time.Millisecond // at which boxes poll reports and servers renew them
	broadcastInterval = core.LoadNotesEvery
	sameDomainDelay   = 100 * time.Microsecond // one way, within a failure domain
	crossDomainDelay  = 500 * time.Microsecond // one way, between failure domains
	drainTime         = 90 * time.Second       // simulated after the last arrival, for running requests to end
)

// scheduledEvent runs at a time. Events of the same time run in the order in which they were scheduled.
type scheduledEvent struct {
	at  time.Time
	seq int
	run func()
}

// eventQueue is a heap of scheduled events.
type eventQueue []scheduledEvent

func (t eventQueue) Len() int { return len(t) }
func (t eventQueue) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].seq < t[j].seq
}
func (t eventQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *eventQueue) Push(x any) { *t = append(*t, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (t *eventQueue) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// sim simulates one run of one policy.
type sim struct {
	now      time.Time
	seq      int
	events   eventQueue
	config   *config.Config
	policy   Policy
	boxes    []*simBox
	servers  map[string]*simServer
	outcomes []outcome
	rand     *rand.Rand
	end      time.Time
}

// outcome is the result of one arrival.
type outcome struct {
	arrival     load.Arrival
	arrivedAt   time.Time
	err         *code.Error
	latency     time.Duration
	firstOutput time.Duration
	done        bool
}

// schedule runs do after d of virtual time.
func (s *sim) schedule(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, scheduledEvent{at: s.now.Add(d), seq: s.seq, run: do})
}

// run runs the events in order, until none is left or the simulation's end is reached.
func (s *sim) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(scheduledEvent)
		if e.at.After(s.end) {
			return
		}
		s.now = e.at
		e.run()
	}
}

// simBox is one box: its decision core and the requests that run on it.
type simBox struct {
	s         *sim
	name      string
	domain    int
	dead      bool
	pools     map[string]*core.Pool
	poolNames []string // sorted, so that a seed always gives the same run
	estimates *core.Estimates
	admission *core.Admission
	cost      *core.Cost
	waiting   map[core.Attempt]*simRequest
	requests  map[int]*simRequest // running, by arrival
}

// simRequest is one request on a box.
type simRequest struct {
	box       *simBox
	req       *core.Request
	startedAt time.Time
	outcome   *outcome
	sentAt    map[core.Attempt]time.Time
	servers   map[core.Attempt]string // servers of the calls in progress
}

func (s *sim) newBox(i, boxes int) *simBox {
	domains := s.config.FailureDomains()
	b := &simBox{
		s: s, name: fmt.Sprintf("box-%d", i+1), domain: i % len(domains), pools: map[string]*core.Pool{},
		estimates: core.NewEstimates(), admission: core.NewAdmission(), cost: core.NewCost(), waiting: map[core.Attempt]*simRequest{}, requests: map[int]*simRequest{},
	}
	b.admission.Disabled = s.policy.NoAdmission
	b.admission.Boxes = func() int { return boxes }
	for name, list := range s.config.Pools() {
		p := core.NewPool(name)
		p.Self, p.Domain, p.Region = b.name, b.domain, domains[b.domain].Region()
		p.Estimates = b.estimates
		p.Placement = s.policy.Placement
		p.NoAdmission = s.policy.NoAdmission
		p.SetServers(list)
		for _, v := range list {
			p.SetUsers(v.Name(), boxes)
		}
		b.pools[name] = p
		b.poolNames = append(b.poolNames, name)
	}
	sort.Strings(b.poolNames)
	return b
}

// failureDetectionTime is how long the other boxes take to detect that a box has crashed.
const failureDetectionTime = 5 * time.Second

// removePeer drops a crashed peer's load and sets how many boxes share each server.
func (b *simBox) removePeer(peer string, users int) {
	for _, p := range b.pools {
		p.ForgetPeer(peer)
		for _, name := range p.Servers() {
			p.SetUsers(name, users)
		}
	}
}

// reconnectDelay is how long callers take to detect that their box has crashed and to connect to another.
const reconnectDelay = 200 * time.Millisecond

// crash stops the box. Its callers retry with the same key at another box and keep their deadline; the
// outcome of a request that may not be repeated stays unknown.
func (b *simBox) crash() {
	b.dead = true
	s := b.s
	s.schedule(failureDetectionTime, func() {
		for _, o := range s.boxes {
			o.removePeer(b.name, len(s.boxes)-1)
		}
	})
	for n := range s.outcomes {
		r := b.requests[n]
		if r == nil {
			continue
		}
		for id, server := range r.servers {
			s.servers[server].cancel(id) // its connections close
		}
		if r.req.Pipeline().Once() {
			r.outcome.err, r.outcome.done = code.New(code.OutcomeUnknown, "", "the box crashed"), true
			continue
		}
		s.schedule(reconnectDelay, func() { s.pickBox(r.outcome.arrival).arrive(r.outcome.arrival, r.outcome, r.req.Deadline()) })
	}
}

// arrive accepts a request from the load balancer.
func (b *simBox) arrive(a load.Arrival, out *outcome, deadline time.Time) {
	s := b.s
	key := core.Key{ID: core.NewKeyID(s.now, s.random())}
	w := s.config.Workspace(a.Workspace)
	if out.arrivedAt.IsZero() {
		out.arrivedAt = s.now
	}
	estimateWait := func(st *config.Stage, c config.Class, d time.Time) time.Duration {
		return b.pools[st.Pool()].WaitFor(s.now, c, d)
	}
	if err := b.admission.Admit(s.now, w, a.Pipeline, deadline, b.estimates, estimateWait); err != nil {
		out.err, out.done = err, true
		return
	}
	r := &simRequest{
		box: b, startedAt: s.now, outcome: out, sentAt: map[core.Attempt]time.Time{}, servers: map[core.Attempt]string{},
		req: core.NewRequest(key, w, a.Pipeline, a.Input, deadline, 0, b.estimates),
	}
	b.requests[a.N] = r
	s.schedule(r.req.FinalDeadline(s.now).Sub(s.now), func() { r.handle(core.DeadlineReached{}) })
	r.handle(core.Begin{})
}

func (s *sim) random() [16]byte {
	var r [16]byte
	for i := range r {
		r[i] = byte(s.rand.Uint32())
	}
	return r
}

// handle steps the request's state machine with an event and performs the resulting actions.
func (r *simRequest) handle(ev core.Event) {
	if r.box.dead {
		return
	}
	for _, a := range r.req.Step(r.box.s.now, ev) {
		r.perform(a)
	}
}

func (r *simRequest) perform(a core.Action) {
	b, s := r.box, r.box.s
	switch a := a.(type) {
	case core.Enqueue:
		r.enqueue(a.Call)
	case core.Withdraw:
		b.pools[a.Pool].Withdraw(a.Attempt)
		delete(b.waiting, a.Attempt)
	case core.Release:
		b.pools[a.Pool].Release(a.Attempt, a.Server)
		b.schedulePlacement(a.Pool)
	case core.Send:
		r.send(a)
	case core.Stop:
		server := s.servers[a.Server]
		s.schedule(s.linkDelay(b, server), func() { server.cancel(a.Attempt) })
	case core.ArmHedge:
		s.schedule(a.After, func() { r.handle(core.HedgeDue{Attempt: a.Attempt}) })
	case core.Pause:
		s.schedule(a.After, func() { r.handle(core.PauseEnded{}) })
	case core.Emit:
		if r.outcome.firstOutput == 0 {
			r.outcome.firstOutput = s.now.Sub(r.outcome.arrivedAt)
		}
	case core.Settle:
		delete(r.servers, a.Attempt)
		b.pools[a.Pool].Done(s.now, a.Attempt, a.Server, a.Failure, a.Use, a.Wasted)
		stage := r.req.Pipeline().Stages()[a.Attempt.Stage]
		b.cost.Add(r.req.Pipeline(), stage, a.Attempt.N, a.Use, s.now.Sub(r.sentAt[a.Attempt]), a.Wasted)
		b.schedulePlacement(a.Pool)
	case core.Finish:
		r.outcome.err, r.outcome.done, r.outcome.latency = a.Err, true, s.now.Sub(r.outcome.arrivedAt)
		delete(b.requests, r.outcome.arrival.N)
		b.admission.Leave(r.req.Workspace().Name())
	}
}

func (r *simRequest) enqueue(c *core.Call) {
	b := r.box
	if err := b.pools[c.Stage.Pool()].Push(b.s.now, c); err != nil {
		b.s.schedule(0, func() { r.handle(core.Refused{Attempt: c.Attempt, Err: err}) })
		return
	}
	b.waiting[c.Attempt] = r
	b.schedulePlacement(c.Stage.Pool())
}

// schedulePlacement places calls after the current event, as a real box does on another goroutine.
func (b *simBox) schedulePlacement(pool string) {
	b.s.schedule(0, func() { b.placeCalls(pool) })
}

// placeCalls sends a pool's waiting calls to servers and fails those that the pool drops.
func (b *simBox) placeCalls(pool string) {
	if b.dead {
		return
	}
	grants, drops := b.pools[pool].Next(b.s.now)
	for _, g := range grants {
		r := b.waiting[g.Call.Attempt]
		delete(b.waiting, g.Call.Attempt)
		r.handle(core.Granted{Attempt: g.Call.Attempt, Server: g.Server, Waited: b.s.now.Sub(g.Call.Enqueued)})
	}
	for _, d := range drops {
		r := b.waiting[d.Call.Attempt]
		delete(b.waiting, d.Call.Attempt)
		r.handle(core.Refused{Attempt: d.Call.Attempt, Err: d.Err})
	}
}

// send delivers a call to its server and the server's events back to the request.
func (r *simRequest) send(a core.Send) {
	b, s := r.box, r.box.s
	server := s.servers[a.Server]
	delay := s.linkDelay(b, server)
	r.sentAt[a.Attempt] = s.now
	r.servers[a.Attempt] = a.Server
	stage := r.req.Pipeline().Stages()[a.Attempt.Stage]
	if server.down {
		s.schedule(delay, func() { r.handle(core.Failed{Attempt: a.Attempt, Failure: core.NotSent}) })
		return
	}
	if stage.Kind() != config.Generate {
		s.schedule(r.req.CallTimeout(s.now, r.startedAt, a.Attempt), func() {
			r.handle(core.Failed{Attempt: a.Attempt, Failure: core.TimedOut})
		})
	}
	c := simCall{
		id: a.Attempt, input: a.Input, received: len(a.Continue), stage: stage,
		limit: r.req.TokenLimit(stage), priority: core.ServerPriority(r.req.Pipeline().Class(), r.req.Deadline()), workspace: r.req.Workspace().Name(),
		reply: func(ev core.Event) {
			if d, ok := ev.(core.Done); ok && d.Stream {
				b.estimates.LearnTokens(s.now, r.req.Pipeline(), stage, d.Length/4, stage.MaxTokens())
			}
			s.schedule(delay, func() { r.handle(ev) })
		},
	}
	s.schedule(delay, func() { server.accept(c) })
}

// linkDelay returns the one-way delay between a box and a server.
func (s *sim) linkDelay(b *simBox, v *simServer) time.Duration {
	if v.cfg.Domain() == b.domain {
		return sameDomainDelay
	}
	return crossDomainDelay
}

// startPolling makes every box poll its servers' reports and exchange loads with its peers periodically.
func (s *sim) startPolling() {
	for _, v := range s.sortedServers() {
		v.renewReport()
	}
	var poll, beat func()
	poll = func() {
		for _, b := range s.boxes {
			b.collectReports()
		}
		s.schedule(reportInterval, poll)
	}
	beat = func() {
		for _, b := range s.boxes {
			b.sendLoads()
		}
		s.schedule(broadcastInterval, beat)
	}
	s.schedule(reportInterval, poll)
	s.schedule(broadcastInterval, beat)
}

// collectReports reads the reports and cache events of all servers.
func (b *simBox) collectReports() {
	if b.dead {
		return
	}
	for _, name := range b.poolNames {
		p := b.pools[name]
		for _, server := range p.Servers() {
			v := b.s.servers[server]
			if v.down {
				p.ReportFailed(b.s.now, server)
				continue
			}
			p.Report(b.s.now, server, v.report)
			p.Events(server, v.eventsAfter(p.LastEvent(server)))
		}
		b.placeCalls(name)
	}
}

// sendLoads sends this box's in-flight counts to the other boxes.
func (b *simBox) sendLoads() {
	if b.dead {
		return
	}
	for _, name := range b.poolNames {
		for _, v := range b.pools[name].View(b.s.now) {
			for _, o := range b.s.boxes {
				if o != b && !o.dead {
					o.pools[name].PeerLoad(b.s.now, b.name, v.Name, v.InFlight)
				}
			}
		}
	}
}
