// Package standin holds small stand-ins for what surrounds stilemast: model engines, plain
// services, the platform's configuration service and box list, and the weight store. The cost model
// of an engine is pure (time in, outputs out), so that real sockets and virtual time share it.
package standin

import (
	"container/list"
	"sort"
	"time"

	"github.com/stilemast/stilemast/src/core"
)

// EngineCost says how fast an engine is.
type EngineCost struct {
	Step       time.Duration // one step of an empty batch
	PerRunning time.Duration // added for each sequence in the batch
	PerPrefill time.Duration // added for each prompt token computed in the step
	Chunk      int           // prompt tokens computed in one step at most
	Slots      int           // sequences in the batch at most
	CacheBlock int           // prefix blocks that the cache holds
}

// DefaultEngineCost is a middling engine.
func DefaultEngineCost(slots int) EngineCost {
	return EngineCost{
		Step: 8 * time.Millisecond, PerRunning: 500 * time.Microsecond,
		PerPrefill: 40 * time.Microsecond, Chunk: 512, Slots: slots, CacheBlock: 2048,
	}
}

// Job is one sequence to generate.
type Job struct {
	ID       string
	Prompt   int // prompt tokens
	Tokens   int // tokens to generate
	Priority int // lower goes first
	Prefix   []uint64
}

// Output is what a step gave one job.
type Output struct {
	ID    string
	Token bool // one more token
	Done  bool
	Use   core.Use
}

type sequence struct {
	job     Job
	order   int
	left    int // prompt tokens still to compute
	cached  int
	made    int
	started time.Time
}

// Model is an engine's continuous batching with a prefix cache. Not safe for concurrent use.
type Model struct {
	Cost EngineCost
	Slow float64 // factor on every step; 0 means 1

	waiting []*sequence
	running []*sequence
	stepEnd time.Time
	busy    bool
	arrived int
	cache   map[uint64]*list.Element
	recent  *list.List
	stored  []uint64
	removed []uint64
}

// NewModel makes an idle engine.
func NewModel(cost EngineCost) *Model {
	return &Model{Cost: cost, cache: map[uint64]*list.Element{}, recent: list.New()}
}

// Submit adds a job; the caller then looks at Next.
func (m *Model) Submit(now time.Time, j Job) {
	m.arrived++
	m.waiting = append(m.waiting, &sequence{job: j, order: m.arrived, started: now})
	m.begin(now)
}

// Cancel drops a job; it says what it had used.
func (m *Model) Cancel(now time.Time, id string) (core.Use, bool) {
	for i, s := range m.waiting {
		if s.job.ID == id {
			m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
			return core.Use{}, true
		}
	}
	for i, s := range m.running {
		if s.job.ID == id {
			m.running = append(m.running[:i], m.running[i+1:]...)
			return s.use(now), true
		}
	}
	return core.Use{}, false
}

func (s *sequence) use(now time.Time) core.Use {
	return core.Use{
		ComputedTokens: s.job.Prompt - s.cached - s.left, CachedTokens: s.cached,
		GeneratedTokens: s.made, Engine: now.Sub(s.started),
	}
}

// Load says how many jobs run and wait.
func (m *Model) Load() (running, waiting int) { return len(m.running), len(m.waiting) }

// Next is when the step under way ends; false when the engine is idle.
func (m *Model) Next() (time.Time, bool) { return m.stepEnd, m.busy }

// begin starts a step if none is under way and there is work.
func (m *Model) begin(now time.Time) {
	if m.busy {
		return
	}
	m.admit()
	if len(m.running) == 0 {
		return
	}
	prefill := 0
	for _, s := range m.running {
		prefill += min(s.left, m.Cost.Chunk-prefill)
	}
	took := m.Cost.Step + time.Duration(len(m.running))*m.Cost.PerRunning + time.Duration(prefill)*m.Cost.PerPrefill
	if m.Slow > 0 {
		took = time.Duration(m.Slow * float64(took))
	}
	m.busy = true
	m.stepEnd = now.Add(took)
}

// admit fills the batch from the waiting jobs by priority, then by arrival.
func (m *Model) admit() {
	if len(m.waiting) > 1 {
		sort.SliceStable(m.waiting, func(i, j int) bool {
			a, b := m.waiting[i], m.waiting[j]
			if a.job.Priority != b.job.Priority {
				return a.job.Priority < b.job.Priority
			}
			return a.order < b.order
		})
	}
	for len(m.waiting) > 0 && len(m.running) < m.Cost.Slots {
		s := m.waiting[0]
		m.waiting = m.waiting[1:]
		held := 0
		for _, h := range s.job.Prefix {
			if m.cache[h] == nil {
				break
			}
			m.recent.MoveToFront(m.cache[h])
			held++
		}
		s.cached = min(held*core.BlockBytes/4, max(0, s.job.Prompt-1))
		s.left = s.job.Prompt - s.cached
		m.running = append(m.running, s)
	}
}

// Step ends the step under way and begins the next. Call it at the time Next gave.
func (m *Model) Step(now time.Time) []Output {
	if !m.busy {
		return nil
	}
	m.busy = false
	budget := m.Cost.Chunk
	var out []Output
	keep := m.running[:0]
	for _, s := range m.running {
		if s.left > 0 {
			n := min(s.left, budget)
			s.left -= n
			budget -= n
			if s.left > 0 {
				keep = append(keep, s)
				continue
			}
			m.store(s.job.Prefix)
		}
		s.made++
		o := Output{ID: s.job.ID, Token: true}
		if s.made >= s.job.Tokens {
			o.Done = true
			o.Use = s.use(now)
		} else {
			keep = append(keep, s)
		}
		out = append(out, o)
	}
	m.running = keep
	m.begin(now)
	return out
}

// store puts a prompt's blocks into the cache, oldest blocks go.
func (m *Model) store(prefix []uint64) {
	for _, h := range prefix {
		if el := m.cache[h]; el != nil {
			m.recent.MoveToFront(el)
			continue
		}
		m.cache[h] = m.recent.PushFront(h)
		m.stored = append(m.stored, h)
		for m.recent.Len() > m.Cost.CacheBlock {
			el := m.recent.Back()
			old := el.Value.(uint64)
			m.recent.Remove(el)
			delete(m.cache, old)
			m.removed = append(m.removed, old)
		}
	}
}

// TakeEvents gives the cache's changes since the last call.
func (m *Model) TakeEvents() (stored, removed []uint64) {
	stored, removed = m.stored, m.removed
	m.stored, m.removed = nil, nil
	return stored, removed
}

// Export lists the blocks of a prefix that the cache holds, for another engine to Import.
func (m *Model) Export(prefix []uint64) []uint64 {
	var out []uint64
	for _, h := range prefix {
		if m.cache[h] == nil {
			break
		}
		out = append(out, h)
	}
	return out
}

// Import puts another engine's blocks into the cache.
func (m *Model) Import(blocks []uint64) { m.store(blocks) }
