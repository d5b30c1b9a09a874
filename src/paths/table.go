package paths

import (
	"log/slog"
	"sync"
	"time"
)

// Table records to which pools this box can open connections. It is safe for concurrent use; set the exported fields
// before.
type Table struct {
	Now func() time.Time // must be monotonic
	Log *slog.Logger

	mu    sync.Mutex
	pools map[string]*poolState
}

// poolState is what is known of the connections to the servers of one pool.
type poolState struct {
	failed map[string]time.Time // servers to which a connection failed since the last success, by address, and when last
	since  time.Time            // of the first of these failures
	lost   bool
}

// Reached records that a connection to a server of a pool was opened.
func (t *Table) Reached(pool, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil {
		return
	}
	if p.lost {
		t.Log.Info("servers of the pool can be reached again", "pool", pool, "server_address", address, "lost_ms", t.Now().Sub(p.since).Milliseconds())
	}
	delete(t.pools, pool)
}

// Failed records that no connection to a server of a pool could be opened.
func (t *Table) Failed(pool, address string, cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	p := t.pools[pool]
	if p == nil {
		if t.pools == nil {
			t.pools = map[string]*poolState{}
		}
		p = &poolState{failed: map[string]time.Time{}, since: now}
		t.pools[pool] = p
	}
	for a, at := range p.failed {
		if now.Sub(at) > failureRetention {
			delete(p.failed, a)
		}
	}
	p.failed[address] = now
	if !p.lost && len(p.failed) >= lostServers {
		p.lost = true
		t.Log.Warn("no server of the pool can be reached", "pool", pool, "servers", len(p.failed), "since_ms", now.Sub(p.since).Milliseconds(), "cause", cause.Error())
	}
}
