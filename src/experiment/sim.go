// Package experiment measures the policy in virtual time: the decision core of several boxes over
// the stand-ins' cost models, driven by one list of events. It simulates no cluster; membership,
// configuration and sockets are left out, since the policy does not depend on them.
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

// The paces and delays of the simulated surroundings.
const (
	reportEvery = 250 * time.Millisecond // a box asks, and a server renews its report
	beatEvery   = core.LoadNotesEvery
	nearDelay   = 100 * time.Microsecond // one way inside a failure domain
	farDelay    = 500 * time.Microsecond // one way between failure domains
	afterwards  = 90 * time.Second       // time for what is running to end
)

// timed is something that happens at a moment; moments are ordered, then by when they were set.
type timed struct {
	at  time.Time
	seq int
	do  func()
}

type timeline []timed

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].seq < t[j].seq
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timeline) Push(x any) { *t = append(*t, x.(timed)) }

// Pop implements heap.Interface.
func (t *timeline) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// sim is one run of one policy.
type sim struct {
	now     time.Time
	seq     int
	events  timeline
	conf    *config.Config
	policy  Policy
	boxes   []*simBox
	servers map[string]*simServer
	out     []outcome
	rand    *rand.Rand
	end     time.Time
}

// outcome is what became of one arrival.
type outcome struct {
	arrival load.Arrival
	came    time.Time
	err     *code.Error
	took    time.Duration
	first   time.Duration
	done    bool
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, timed{at: s.now.Add(d), seq: s.seq, do: do})
}

// run plays the timeline to its end.
func (s *sim) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(timed)
		if e.at.After(s.end) {
			return
		}
		s.now = e.at
		e.do()
	}
}

// simBox is one box: the core's parts and the requests that run on it.
type simBox struct {
	s       *sim
	name    string
	domain  int
	dead    bool
	pools   map[string]*core.Pool
	order   []string // of the pools, so that a seed always gives the same run
	est     *core.Estimates
	entries *core.Admission
	cost    *core.Cost
	waiting map[core.Attempt]*simFlight
	flights map[int]*simFlight // running, by arrival
}

// simFlight is one request on a box.
type simFlight struct {
	box   *simBox
	req   *core.Request
	begun time.Time
	out   *outcome
	sent  map[core.Attempt]time.Time
	at    map[core.Attempt]string // servers of the calls under way
}

func (s *sim) newBox(i, boxes int) *simBox {
	domains := s.conf.FailureDomains()
	b := &simBox{
		s: s, name: fmt.Sprintf("box-%d", i+1), domain: i % len(domains), pools: map[string]*core.Pool{},
		est: core.NewEstimates(), entries: core.NewAdmission(), cost: core.NewCost(), waiting: map[core.Attempt]*simFlight{}, flights: map[int]*simFlight{},
	}
	b.entries.Disabled = s.policy.NoAdmission
	b.entries.Boxes = func() int { return boxes }
	for name, list := range s.conf.Pools() {
		p := core.NewPool(name)
		p.Self, p.Domain, p.Region = b.name, b.domain, domains[b.domain].Region()
		p.Estimates = b.est
		p.Placement = s.policy.Placement
		p.NoAdmission = s.policy.NoAdmission
		p.SetServers(list)
		for _, v := range list {
			p.SetUsers(v.Name(), boxes)
		}
		b.pools[name] = p
		b.order = append(b.order, name)
	}
	sort.Strings(b.order)
	return b
}

// noticed is how long the boxes take to know that one of them is gone.
const noticed = 5 * time.Second

// forget has a box count on one box fewer at every server.
func (b *simBox) forget(gone string, users int) {
	for _, p := range b.pools {
		p.ForgetPeer(gone)
		for _, name := range p.Servers() {
			p.SetUsers(name, users)
		}
	}
}

// reconnect is how long callers take to notice that their box is gone and reach another.
const reconnect = 200 * time.Millisecond

// die loses the box. Its callers come back with the same key at another box, with the time they have
// left; a request that may not be repeated has no other home.
func (b *simBox) die() {
	b.dead = true
	s := b.s
	s.after(noticed, func() {
		for _, o := range s.boxes {
			o.forget(b.name, len(s.boxes)-1)
		}
	})
	for n := range s.out {
		f := b.flights[n]
		if f == nil {
			continue
		}
		for id, server := range f.at {
			s.servers[server].cancel(id) // its connections close
		}
		if f.req.Pipeline().Once() {
			f.out.err, f.out.done = code.New(code.OutcomeUnknown, "", "the box is gone"), true
			continue
		}
		s.after(reconnect, func() { s.balance(f.out.arrival).arrive(f.out.arrival, f.out, f.req.Deadline()) })
	}
}

// arrive takes a request from the balancer.
func (b *simBox) arrive(a load.Arrival, out *outcome, deadline time.Time) {
	s := b.s
	key := core.Key{ID: core.NewKeyID(s.now, s.random())}
	w := s.conf.Workspace(a.Workspace)
	if out.came.IsZero() {
		out.came = s.now
	}
	waits := func(st *config.Stage, c config.Class, d time.Time) time.Duration {
		return b.pools[st.Pool()].WaitFor(s.now, c, d)
	}
	if err := b.entries.Admit(s.now, w, a.Pipeline, deadline, b.est, waits); err != nil {
		out.err, out.done = err, true
		return
	}
	f := &simFlight{
		box: b, begun: s.now, out: out, sent: map[core.Attempt]time.Time{}, at: map[core.Attempt]string{},
		req: core.NewRequest(key, w, a.Pipeline, a.Input, deadline, 0, b.est),
	}
	b.flights[a.N] = f
	s.after(f.req.FinalDeadline(s.now).Sub(s.now), func() { f.post(core.DeadlineReached{}) })
	f.post(core.Begin{})
}

func (s *sim) random() [16]byte {
	var r [16]byte
	for i := range r {
		r[i] = byte(s.rand.Uint32())
	}
	return r
}

func (f *simFlight) post(ev core.Event) {
	if f.box.dead {
		return
	}
	for _, a := range f.req.Step(f.box.s.now, ev) {
		f.do(a)
	}
}

func (f *simFlight) do(a core.Action) {
	b, s := f.box, f.box.s
	switch a := a.(type) {
	case core.Enqueue:
		f.enqueue(a.Call)
	case core.Withdraw:
		b.pools[a.Pool].Withdraw(a.Attempt)
		delete(b.waiting, a.Attempt)
	case core.Release:
		b.pools[a.Pool].Release(a.Attempt, a.Server)
		b.pumpSoon(a.Pool)
	case core.Send:
		f.send(a)
	case core.Stop:
		server := s.servers[a.Server]
		s.after(s.delay(b, server), func() { server.cancel(a.Attempt) })
	case core.ArmHedge:
		s.after(a.After, func() { f.post(core.HedgeDue{Attempt: a.Attempt}) })
	case core.Pause:
		s.after(a.After, func() { f.post(core.PauseEnded{}) })
	case core.Emit:
		if f.out.first == 0 {
			f.out.first = s.now.Sub(f.out.came)
		}
	case core.Settle:
		delete(f.at, a.Attempt)
		b.pools[a.Pool].Done(s.now, a.Attempt, a.Server, a.Failure, a.Use, a.Wasted)
		stage := f.req.Pipeline().Stages()[a.Attempt.Stage]
		b.cost.Add(f.req.Pipeline(), stage, a.Attempt.N, a.Use, s.now.Sub(f.sent[a.Attempt]), a.Wasted)
		b.pumpSoon(a.Pool)
	case core.Finish:
		f.out.err, f.out.done, f.out.took = a.Err, true, s.now.Sub(f.out.came)
		delete(b.flights, f.out.arrival.N)
		b.entries.Leave(f.req.Workspace().Name())
	}
}

func (f *simFlight) enqueue(c *core.Call) {
	b := f.box
	if err := b.pools[c.Stage.Pool()].Push(b.s.now, c); err != nil {
		b.s.after(0, func() { f.post(core.Refused{Attempt: c.Attempt, Err: err}) })
		return
	}
	b.waiting[c.Attempt] = f
	b.pumpSoon(c.Stage.Pool())
}

// pumpSoon places calls after the event under way, as the shell does on another goroutine.
func (b *simBox) pumpSoon(pool string) {
	b.s.after(0, func() { b.pump(pool) })
}

func (b *simBox) pump(pool string) {
	if b.dead {
		return
	}
	grants, drops := b.pools[pool].Next(b.s.now)
	for _, g := range grants {
		f := b.waiting[g.Call.Attempt]
		delete(b.waiting, g.Call.Attempt)
		f.post(core.Granted{Attempt: g.Call.Attempt, Server: g.Server, Waited: b.s.now.Sub(g.Call.Enqueued)})
	}
	for _, d := range drops {
		f := b.waiting[d.Call.Attempt]
		delete(b.waiting, d.Call.Attempt)
		f.post(core.Refused{Attempt: d.Call.Attempt, Err: d.Err})
	}
}

// send carries a call to its server and its end back.
func (f *simFlight) send(a core.Send) {
	b, s := f.box, f.box.s
	server := s.servers[a.Server]
	delay := s.delay(b, server)
	f.sent[a.Attempt] = s.now
	f.at[a.Attempt] = a.Server
	stage := f.req.Pipeline().Stages()[a.Attempt.Stage]
	if server.down {
		s.after(delay, func() { f.post(core.Failed{Attempt: a.Attempt, Failure: core.NotSent}) })
		return
	}
	if stage.Kind() != config.Generate {
		s.after(f.req.CallTimeout(s.now, f.begun, a.Attempt), func() {
			f.post(core.Failed{Attempt: a.Attempt, Failure: core.TimedOut})
		})
	}
	c := simCall{
		id: a.Attempt, input: a.Input, held: len(a.Continue), stage: stage,
		limit: f.req.TokenLimit(stage), priority: core.ServerPriority(f.req.Pipeline().Class(), f.req.Deadline()), workspace: f.req.Workspace().Name(),
		reply: func(ev core.Event) {
			if d, ok := ev.(core.Done); ok && d.Stream {
				b.est.LearnTokens(s.now, f.req.Pipeline(), stage, d.Length/4, stage.MaxTokens())
			}
			s.after(delay, func() { f.post(ev) })
		},
	}
	s.after(delay, func() { server.take(c) })
}

func (s *sim) delay(b *simBox, v *simServer) time.Duration {
	if v.cfg.Domain() == b.domain {
		return nearDelay
	}
	return farDelay
}

// watch has every box ask for reports and hear the others' notes, at their paces.
func (s *sim) watch() {
	for _, v := range s.sorted() {
		v.renew()
	}
	var poll, beat func()
	poll = func() {
		for _, b := range s.boxes {
			b.takeReports()
		}
		s.after(reportEvery, poll)
	}
	beat = func() {
		for _, b := range s.boxes {
			b.tell()
		}
		s.after(beatEvery, beat)
	}
	s.after(reportEvery, poll)
	s.after(beatEvery, beat)
}

func (b *simBox) takeReports() {
	if b.dead {
		return
	}
	for _, name := range b.order {
		p := b.pools[name]
		for _, server := range p.Servers() {
			v := b.s.servers[server]
			if v.down {
				p.ReportFailed(b.s.now, server)
				continue
			}
			p.Report(b.s.now, server, v.report)
			p.Events(server, v.takeEvents(p.LastEvent(server)))
		}
		b.pump(name)
	}
}

// tell gives the other boxes this box's in-flight counts.
func (b *simBox) tell() {
	if b.dead {
		return
	}
	for _, name := range b.order {
		for _, v := range b.pools[name].View(b.s.now) {
			for _, o := range b.s.boxes {
				if o != b && !o.dead {
					o.pools[name].PeerLoad(b.s.now, b.name, v.Name, v.InFlight)
				}
			}
		}
	}
}
