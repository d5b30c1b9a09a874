package core

import (
	"sort"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/config"
)

// Cost sums the resources that stages consumed, by pipeline and stage, so its size depends on the
// configuration and not on the load. Safe for concurrent use.
type Cost struct {
	mu   sync.Mutex
	sums map[stageName]*StageCost
}

// StageCost is the resources that one stage of one pipeline consumed.
type StageCost struct {
	Pipeline  string
	Class     config.Class
	Stage     string
	Kind      config.Kind
	Calls     int
	Retries   int
	Engine    time.Duration
	Computed  int
	Cached    int
	Generated int
	// Consumption of calls whose output was not used: failed, late, cancelled or hedged.
	WastedTokens int
	WastedTime   time.Duration
}

// NewCost returns a Cost without entries.
func NewCost() *Cost { return &Cost{sums: map[stageName]*StageCost{}} }

// Add counts one ended call. took is how long it held its slot, which is used when the server did not
// report its engine time.
func (c *Cost) Add(p *config.Pipeline, s *config.Stage, attempt int, u Use, took time.Duration, wasted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := nameOf(p, s)
	x := c.sums[n]
	if x == nil {
		x = &StageCost{Pipeline: p.Name(), Class: p.Class(), Stage: s.Name(), Kind: s.Kind()}
		c.sums[n] = x
	}
	x.Calls++
	if attempt > 0 {
		x.Retries++
	}
	engine := u.Engine
	if engine == 0 {
		engine = took
	}
	x.Engine += engine
	x.Computed += u.ComputedTokens
	x.Cached += u.CachedTokens
	x.Generated += u.GeneratedTokens
	if wasted {
		x.WastedTokens += u.ComputedTokens + u.GeneratedTokens
		x.WastedTime += engine
	}
}

// Sums lists the costs sorted by pipeline and stage.
func (c *Cost) Sums() []StageCost {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]StageCost, 0, len(c.sums))
	for _, x := range c.sums {
		out = append(out, *x)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Pipeline != out[j].Pipeline {
			return out[i].Pipeline < out[j].Pipeline
		}
		return out[i].Stage < out[j].Stage
	})
	return out
}
