package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/balance"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/pace"
	"github.com/stilemast/stilemast/src/port"
	"github.com/stilemast/stilemast/src/retry"
)

// pools holds the servers and the retry budget of each pool, each pool under its own lock.
type pools struct {
	gateway *Gateway
	mu      sync.RWMutex
	all     map[string]*pool
}

type pool struct {
	mu         sync.Mutex
	name       string
	picker     *balance.Pool
	budget     *retry.Budget
	fetch      time.Duration // learned time that a server takes to fetch a request's inputs
	speeds     *pace.Pool
	usesSpeeds bool // the picker uses them
}

func (p *pools) init(g *Gateway) {
	p.gateway = g
	p.all = map[string]*pool{}
}

// initRetries connects the borrower of retries to this box.
func (g *Gateway) initRetries() {
	b := &g.retries
	b.Self, b.Now, b.Log, b.Boxes = g.ID.Name, g.now, g.Log, g.fleet.usable
	b.Ask = func(ctx context.Context, box string, r retry.Request) (retry.Loan, error) {
		a, err := g.Peers.Ask(ctx, g.fleet.addressOf(box), port.Question{Retry: &r})
		switch {
		case err != nil:
			return retry.Loan{}, err
		case a.Retry == nil:
			return retry.Loan{}, retry.ErrUnsupported
		}
		return *a.Retry, nil
	}
}

// lendRetry answers another box's request for a part of a retry.
func (g *Gateway) lendRetry(r retry.Request) retry.Loan {
	if x := g.index.Load(); x == nil || x.Pool(r.Pool) == nil {
		return retry.Loan{}
	}
	now := g.now()
	boxes := g.fleet.boxes(now)
	e := g.pools.get(r.Pool)
	e.mu.Lock()
	l := retry.Loan{Part: e.budget.Lend(now, boxes, r.Part)}
	e.mu.Unlock()
	g.Log.Info("retry lent", "pool", r.Pool, "to", r.From, "asked", r.Part, "part", l.Part)
	return l
}

// get returns a pool and creates it if it is new.
func (p *pools) get(name string) *pool {
	p.mu.RLock()
	e := p.all[name]
	p.mu.RUnlock()
	if e != nil {
		return e
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if e = p.all[name]; e == nil {
		s := p.gateway.Settings
		e = &pool{
			name:   name,
			picker: balance.NewPool(p.gateway.ID.Name, s.FailureDomain),
			speeds: pace.NewPool(catalog.Hash(p.gateway.ID.Name), catalog.Hash(name), s.Policy.ServerSpeeds),
			budget: &retry.Budget{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow},
		}
		e.picker.RestsUntil = p.gateway.restsUntil
		e.picker.Limits = func(s *catalog.Server) bool { return p.gateway.limitRate(s) > 0 }
		p.all[name] = e
	}
	return e
}

// size returns the number of the pool's servers that take new work.
func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.picker.Size()
}

func (p *pools) list() []*pool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make([]*pool, 0, len(p.all))
	for _, e := range p.all {
		out = append(out, e)
	}
	return out
}

// configure sets the servers of all pools that take new work. A pool missing from the map gets none.
func (p *pools) configure(servers map[string][]*catalog.Server) {
	for name := range servers {
		p.get(name)
	}
	for _, e := range p.list() {
		e.mu.Lock()
		e.picker.Configure(servers[e.name])
		builds := e.picker.Builds()
		e.mu.Unlock()
		p.gateway.streams.SetBuilds(e.name, builds)
		e.speeds.Configure(paceServers(servers[e.name]))
	}
}

// change applies a change of the servers of a pool that take new work.
func (p *pools) change(pool string, c *poolChange) {
	e := p.get(pool)
	e.mu.Lock()
	e.picker.UpdateServers(c.put, c.gone)
	e.speeds.Update(paceServers(c.put), c.gone)
	builds := e.picker.Builds()
	e.mu.Unlock()
	p.gateway.streams.SetBuilds(pool, builds)
}
