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

// pool is one core pool under its lock, with the flights that wait in it.
type pool struct {
	set     *poolSet
	mu      sync.Mutex
	core    *core.Pool
	flights map[core.Attempt]*flight
	kicked  bool
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

// setServers puts a configuration's pools in force.
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
	p.Estimates = s.box.est
	p.NoAdmission = set.Policy.NoAdmission
	p.Placement = core.PlacerByName(set.Policy.Placement)
	return &pool{set: s, core: p, flights: map[core.Attempt]*flight{}}
}

// setServers gives the pool its part of the servers and how many boxes share each.
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

// push lets a call wait, or says why not.
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

// locked runs fn with the core pool.
func (p *pool) locked(fn func(*core.Pool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fn(p.core)
}

// kick places what can be placed, on a goroutine of its own so that no flight waits for another.
func (p *pool) kick() {
	p.mu.Lock()
	if p.kicked || len(p.flights) == 0 {
		p.mu.Unlock()
		return
	}
	p.kicked = true
	p.mu.Unlock()
	go p.pump()
}

func (s *poolSet) kickAll() {
	for _, p := range s.list() {
		p.kick()
	}
}

func (p *pool) pump() {
	b := p.set.box
	now := b.now()
	p.mu.Lock()
	p.kicked = false
	grants, drops := p.core.Next(now)
	owners := make([]*flight, 0, len(grants)+len(drops))
	for _, g := range grants {
		owners = append(owners, p.take(g.Call.Attempt))
	}
	for _, d := range drops {
		owners = append(owners, p.take(d.Call.Attempt))
	}
	p.mu.Unlock()
	for i, g := range grants {
		waited := now.Sub(g.Call.Enqueued)
		if b.Watch.Waited != nil {
			b.Watch.Waited(p.core.Name, waited)
		}
		owners[i].post(core.Granted{Attempt: g.Call.Attempt, Server: g.Server, Waited: waited, Trace: g.Trace})
	}
	for i, d := range drops {
		owners[len(grants)+i].post(core.Refused{Attempt: d.Call.Attempt, Err: d.Err})
	}
}

// take removes and gives the flight of a call; the lock is held.
func (p *pool) take(id core.Attempt) *flight {
	f := p.flights[id]
	delete(p.flights, id)
	return f
}

// waitFor tells admission how long a stage's call would wait.
func (s *poolSet) waitFor(st *config.Stage, class config.Class, deadline time.Time) time.Duration {
	p := s.get(st.Pool())
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.WaitFor(s.box.now(), class, deadline)
}

// waiting counts the calls that wait in any pool.
func (s *poolSet) waiting() int {
	n := 0
	for _, p := range s.list() {
		p.locked(func(c *core.Pool) { n += c.Waiting() })
	}
	return n
}
