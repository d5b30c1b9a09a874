package paths

import (
	"log/slog"
	"sort"
	"sync"
	"time"
)

// Table records to which servers this box has no path although other boxes have one. Failures of servers that nobody
// reaches are no evidence. Safe for concurrent use; set the exported fields before.
type Table struct {
	Now func() time.Time // must be monotonic
	Log *slog.Logger

	mu    sync.Mutex
	pools map[string]*poolState
	// reached are the two servers that this box connected to last, the latest first.
	reached [2]Target
}

// poolState is what is known of the paths to the servers of one pool. Pools without evidence have none.
type poolState struct {
	servers  map[string]evidence // that only other boxes reach, by address
	since    time.Time           // of the first evidence
	lost     bool
	silent   bool      // connections are not answered, rather than refused
	held     time.Time // until when the pool is announced as lost although its path is back
	probing  bool
	probedAt time.Time
}

// evidence is a server that only other boxes reach.
type evidence struct {
	target Target
	failed bool // a direct connection failed too; otherwise only others tried, as the pool is lost
	first  time.Time
	last   time.Time // when another box last connected to it for this one
	probed time.Time
}

// HasPath reports whether a connection to a server should first be tried from this box.
func (t *Table) HasPath(to Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[to.Pool]
	if p == nil {
		return true
	}
	_, alone := p.servers[to.Address]
	return !p.lost && !alone
}

// ReachedBeside returns the server that this box connected to last, other than the given one, or false if there is none.
func (t *Table) ReachedBeside(to Target) (Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.reached {
		if r.Address != "" && r.Address != to.Address {
			return r, true
		}
	}
	return Target{}, false
}

// Lost reports whether this box has no path to the servers of a pool.
func (t *Table) Lost(pool string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	return p != nil && p.lost
}

// AnyLost reports whether this box has no path to the servers of some pool.
func (t *Table) AnyLost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		if p.lost {
			return true
		}
	}
	return false
}

// Silent reports whether open connections to the servers of a pool are dead too, as new ones are not answered.
func (t *Table) Silent(pool string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	return p != nil && p.lost && p.silent
}

// Announced lists the pools to announce as lost, sorted.
func (t *Table) Announced() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	var out []string
	for name, p := range t.pools {
		if p.lost || now.Before(p.held) {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// Reached records that this box connected to a server. Where the pool was lost, its path is back.
func (t *Table) Reached(to Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reached[0].Address != to.Address {
		t.reached[0], t.reached[1] = to, t.reached[0]
	}
	p := t.pools[to.Pool]
	if p == nil {
		return
	}
	before, known := p.servers[to.Address]
	delete(p.servers, to.Address)
	if !p.lost || known && !before.failed && p.anyFailed() { // the path to this server may never have been lost
		return
	}
	now := t.Now()
	t.Log.Info("servers of the pool can be reached directly again", "pool", to.Pool, "server", to.Server, "lost_ms", now.Sub(p.since).Milliseconds())
	t.pools[to.Pool] = &poolState{servers: map[string]evidence{}, held: now.Add(holdFor)}
}

// anyFailed reports whether a direct connection to a remembered server failed.
func (p *poolState) anyFailed() bool {
	for _, e := range p.servers {
		if e.failed {
			return true
		}
	}
	return false
}

// OnlyOthers records that a connection from this box failed while another box opened one to the same server.
func (t *Table) OnlyOthers(to Target, cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	p := t.pools[to.Pool]
	if p == nil {
		if t.pools == nil {
			t.pools = map[string]*poolState{}
		}
		p = &poolState{servers: map[string]evidence{}}
		t.pools[to.Pool] = p
	}
	if len(p.servers) == 0 {
		p.since = now
	}
	e, known := p.servers[to.Address]
	if !known {
		e = evidence{target: to, first: now}
	}
	if !e.failed {
		t.Log.Warn("server can only be reached through other boxes", "pool", to.Pool, "server", to.Server, "servers", len(p.servers), "cause", cause.Error())
	}
	e.failed, e.last = true, now
	p.servers[to.Address] = e
	p.silent = !isRefusal(cause)
	if !p.lost && (len(p.servers) >= lostServers || now.Sub(e.first) >= lostAfter) {
		p.lost = true
		t.Log.Warn("no path to the servers of the pool, other boxes carry the connections", "pool", to.Pool, "servers", len(p.servers), "since_ms", now.Sub(p.since).Milliseconds(), "silent", p.silent, "cause", cause.Error())
	}
}

// Carried records that another box opened a connection to a server that this box did not try.
func (t *Table) Carried(to Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[to.Pool]
	if p == nil {
		return
	}
	now := t.Now()
	if len(p.servers) == 0 {
		p.since = now
	}
	e, known := p.servers[to.Address]
	if !known {
		e = evidence{target: to, first: now}
	}
	e.last = now
	p.servers[to.Address] = e
}

// dueProbes returns the servers to try directly now: one of each pool, the one that was tried longest ago of those to which a
// connection failed.
func (t *Table) dueProbes() []Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	var out []Target
	for name, p := range t.pools {
		t.expire(now, name, p)
		if p.probing || len(p.servers) == 0 || now.Sub(p.probedAt) < probeEvery {
			continue
		}
		var next evidence
		anyFailed := p.anyFailed()
		for _, e := range p.servers {
			if anyFailed && !e.failed {
				continue
			}
			if next.target == (Target{}) || e.probed.Before(next.probed) {
				next = e
			}
		}
		next.probed = now
		p.servers[next.target.Address] = next
		p.probing, p.probedAt = true, now
		out = append(out, next.target)
	}
	return out
}

// expire removes old evidence of a pool, and the pool if none is left.
func (t *Table) expire(now time.Time, name string, p *poolState) {
	for a, e := range p.servers {
		if now.Sub(e.last) > evidenceTTL {
			delete(p.servers, a)
		}
	}
	if len(p.servers) == 0 && !now.Before(p.held) {
		delete(t.pools, name)
	}
}

// probeEnded records that the probe of a pool has ended.
func (t *Table) probeEnded(pool string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pools[pool]; p != nil {
		p.probing = false
	}
}
