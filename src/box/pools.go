package box

import (
	"sort"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
)

// poolSet holds the pools by name.
type poolSet struct {
	box *Box
	mu  sync.RWMutex
	all map[string]*pool
}

// pool is one core pool under its lock, with the requests whose calls wait in it.
type pool struct {
	set             *poolSet
	mu              sync.Mutex
	core            *core.Pool
	flights         map[core.Attempt]*flight
	dispatchPending bool
}

func (s *poolSet) init(b *Box) {
	s.box = b
	s.all = map[string]*pool{}
}

func (s *poolSet) get(name string) *pool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.all[name]
}

func (s *poolSet) list() []*pool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]*pool, 0, len(s.all))
	for _, p := range s.all {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].core.Name < out[j].core.Name })
	return out
}

// setServers applies the pools of a configuration.
func (s *poolSet) setServers(c *config.Config) {
	s.mu.Lock()
	for name := range c.Pools() {
		if s.all[name] == nil {
			s.all[name] = s.newPool(name)
		}
	}
	s.mu.Unlock()
	usable := s.box.fleet.usable()
	for _, p := range s.list() {
		p.setServers(c, usable)
	}
}

func (s *poolSet) newPool(name string) *pool {
	set := s.box.Settings
	p := core.NewPool(name)
	p.Self = s.box.ID.Name
	p.MaxWaiting = set.Policy.WaitingRoom
	p.Estimates = s.box.estimates
	p.NoAdmission = set.Policy.NoAdmission
	p.Placement = core.PlacerByName(set.Policy.Placement)
	return &pool{set: s, core: p, flights: map[core.Attempt]*flight{}}
}

// setServers assigns the pool this box's subset of the servers, and sets how many boxes share each of them.
func (p *pool) setServers(c *config.Config, usable []string) {
	b := p.set.box
	domain := b.domainOf(c)
	all := c.Pool(p.core.Name)
	sub := core.Subsets(all, usable, core.SubsetSize(c, b.Settings.Policy.WatchServers))
	mine := sub.Of(b.ID.Name)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Domain = domain
	if domain >= 0 {
		p.core.Region = c.FailureDomains()[domain].Region()
	}
	p.core.SetServers(mine)
	for _, s := range mine {
		p.core.SetUsers(s.Name(), sub.Users(s.Name()))
	}
}

// push queues a call, or returns why it can't be queued.
func (p *pool) push(now time.Time, c *core.Call, f *flight) *code.Error {
	p.mu.Lock()
	err := p.core.Push(now, c)
	if err == nil {
		p.flights[c.Attempt] = f
	}
	p.mu.Unlock()
	if err == nil {
		p.kick()
	}
	return err
}

func (p *pool) withdraw(id core.Attempt) {
	p.mu.Lock()
	p.core.Withdraw(id)
	delete(p.flights, id)
	p.mu.Unlock()
}

func (p *pool) release(id core.Attempt, server string) {
	p.mu.Lock()
	p.core.Release(id, server)
	p.mu.Unlock()
	p.kick()
}

func (p *pool) done(now time.Time, a core.Settle) {
	p.mu.Lock()
	p.core.Done(now, a.Attempt, a.Server, a.Failure, a.Use, a.Wasted)
	p.mu.Unlock()
	p.kick()
}

// locked runs fn with the core pool under its lock.
func (p *pool) locked(fn func(*core.Pool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fn(p.core)
}

// kick dispatches waiting calls in a separate goroutine, so that no request waits for another.
func (p *pool) kick() {
	p.mu.Lock()
	if p.dispatchPending || len(p.flights) == 0 {
		p.mu.Unlock()
		return
	}
	p.dispatchPending = true
	p.mu.Unlock()
	go p.dispatch()
}

func (s *poolSet) kickAll() {
	for _, p := range s.list() {
		p.kick()
	}
}

// dispatch assigns servers to waiting calls and drops those that can't run any more.
func (p *pool) dispatch() {
	b := p.set.box
	now := b.now()
	p.mu.Lock()
	p.dispatchPending = false
	grants, drops := p.core.Next(now)
	owners := make([]*flight, 0, len(grants)+len(drops))
	for _, g := range grants {
		owners = append(owners, p.removeFlight(g.Call.Attempt))
	}
	for _, d := range drops {
		owners = append(owners, p.removeFlight(d.Call.Attempt))
	}
	p.mu.Unlock()
	for i, g := range grants {
		waited := now.Sub(g.Call.Enqueued)
		if b.Observer.Waited != nil {
			b.Observer.Waited(p.core.Name, waited)
		}
		owners[i].post(core.Granted{Attempt: g.Call.Attempt, Server: g.Server, Waited: waited, Trace: g.Trace})
	}
	for i, d := range drops {
		owners[len(grants)+i].post(core.Refused{Attempt: d.Call.Attempt, Err: d.Err})
	}
}

// removeFlight removes and returns the request of a call. The caller holds the lock.
func (p *pool) removeFlight(id core.Attempt) *flight {
	f := p.flights[id]
	delete(p.flights, id)
	return f
}

// waitFor estimates how long a call of a stage would wait, for admission control.
func (s *poolSet) waitFor(st *config.Stage, class config.Class, deadline time.Time) time.Duration {
	p := s.get(st.Pool())
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.WaitFor(s.box.now(), class, deadline)
}

// waiting returns the number of calls that wait in all pools.
func (s *poolSet) waiting() int {
	n := 0
	for _, p := range s.list() {
		p.locked(func(c *core.Pool) { n += c.Waiting() })
	}
	return n
}
