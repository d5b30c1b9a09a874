package core

import (
	"sort"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/config"
)

// Cost sums what stages consumed; keys are pipelines and stages, so its size is the
// configuration's and not the load's. Safe for concurrent use.
type Cost struct {
	mu   sync.Mutex
	sums map[stageName]*StageCost
}

// StageCost is what one stage of one pipeline consumed.
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
	// What was computed for nothing: failed, late, cancelled or hedged away.
	WastedTokens int
	WastedTime   time.Duration
}

// NewCost makes an empty account.
func NewCost() *Cost { return &Cost{sums: map[stageName]*StageCost{}} }

// Add books one ended call; took is how long it held its place.
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

// Sums lists the account by pipeline and stage.
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
