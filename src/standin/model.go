// Package standin provides fakes of the systems around stilemast for tests, demos and simulations: model
// engines, plain services, the platform's configuration service and box list, and a weight store. The
// model of an engine takes the time as an argument, so that it runs on real sockets and in virtual time.
package standin

import (
	"container/list"
	"sort"
	"time"

	"github.com/stilemast/stilemast/src/core"
)

// EngineCost holds the speed and capacity of an engine.
type EngineCost struct {
	Step            time.Duration // duration of a step of an empty batch
	PerSequence     time.Duration // added for each sequence in the batch
	PerPrefillToken time.Duration // added for each prompt token computed in the step
	PrefillChunk    int           // maximum number of prompt tokens computed in one step
	Slots           int           // maximum number of sequences in the batch
	CacheBlocks     int           // capacity of the prefix cache
}

// DefaultEngineCost returns the costs of an engine of medium speed.
func DefaultEngineCost(slots int) EngineCost {
	return EngineCost{
		Step: 8 * time.Millisecond, PerSequence: 500 * time.Microsecond,
		PerPrefillToken: 40 * time.Microsecond, PrefillChunk: 512, Slots: slots, CacheBlocks: 2048,
	}
}

// Job describes one sequence to generate.
type Job struct {
	ID       string
	Prompt   int      // prompt tokens
	Tokens   int      // tokens to generate
	Priority int      // lower values are admitted first
	Prefix   []uint64 // hashes of the prompt's blocks
}

// Output is the result of one step for one job.
type Output struct {
	ID    string
	Token bool // one more token was generated
	Done  bool
	Use   core.Use // set when Done
}

// sequence is the state of a submitted job.
type sequence struct {
	job         Job
	arrival     int
	prefillLeft int // prompt tokens yet to compute
	cached      int
	generated   int
	submittedAt time.Time
}

// EngineModel simulates continuous batching with chunked prefill and an LRU prefix cache. Not safe for
// concurrent use.
type EngineModel struct {
	Cost       EngineCost
	SlowFactor float64 // multiplies the duration of every step; 0 means 1

	waiting  []*sequence
	running  []*sequence
	stepEnd  time.Time
	stepping bool
	arrivals int
	cache    map[uint64]*list.Element
	recency  *list.List
	stored   []uint64
	removed  []uint64
}

// NewEngineModel returns an idle engine.
func NewEngineModel(cost EngineCost) *EngineModel {
	return &EngineModel{Cost: cost, cache: map[uint64]*list.Element{}, recency: list.New()}
}

// Submit adds a job and starts a step if the engine was idle. The caller then calls Next.
func (m *EngineModel) Submit(now time.Time, j Job) {
	m.arrivals++
	m.waiting = append(m.waiting, &sequence{job: j, arrival: m.arrivals, submittedAt: now})
	m.startStep(now)
}

// Cancel removes a job. It returns what the job used and whether it was found.
func (m *EngineModel) Cancel(now time.Time, id string) (core.Use, bool) {
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
		ComputedTokens: s.job.Prompt - s.cached - s.prefillLeft, CachedTokens: s.cached,
		GeneratedTokens: s.generated, Engine: now.Sub(s.submittedAt),
	}
}

// Load returns how many jobs are in the batch and how many wait.
func (m *EngineModel) Load() (running, waiting int) { return len(m.running), len(m.waiting) }

// Next returns when the current step ends, or false if the engine is idle.
func (m *EngineModel) Next() (time.Time, bool) { return m.stepEnd, m.stepping }

// startStep starts a step if none is in progress and there is work.
func (m *EngineModel) startStep(now time.Time) {
	if m.stepping {
		return
	}
	m.admit()
	if len(m.running) == 0 {
		return
	}
	prefill := 0
	for _, s := range m.running {
		prefill += min(s.prefillLeft, m.Cost.PrefillChunk-prefill)
	}
	stepTime := m.Cost.Step + time.Duration(len(m.running))*m.Cost.PerSequence + time.Duration(prefill)*m.Cost.PerPrefillToken
	if m.SlowFactor > 0 {
		stepTime = time.Duration(m.SlowFactor * float64(stepTime))
	}
	m.stepping = true
	m.stepEnd = now.Add(stepTime)
}

// admit moves waiting jobs into the batch's free slots, by priority, then by arrival.
func (m *EngineModel) admit() {
	if len(m.waiting) > 1 {
		sort.SliceStable(m.waiting, func(i, j int) bool {
			a, b := m.waiting[i], m.waiting[j]
			if a.job.Priority != b.job.Priority {
				return a.job.Priority < b.job.Priority
			}
			return a.arrival < b.arrival
		})
	}
	for len(m.waiting) > 0 && len(m.running) < m.Cost.Slots {
		s := m.waiting[0]
		m.waiting = m.waiting[1:]
		hits := 0
		for _, h := range s.job.Prefix {
			if m.cache[h] == nil {
				break
			}
			m.recency.MoveToFront(m.cache[h])
			hits++
		}
		s.cached = min(hits*core.BlockBytes/4, max(0, s.job.Prompt-1))
		s.prefillLeft = s.job.Prompt - s.cached
		m.running = append(m.running, s)
	}
}

// Step ends the current step, starts the next and returns the outputs. Call it at the time that Next returns.
func (m *EngineModel) Step(now time.Time) []Output {
	if !m.stepping {
		return nil
	}
	m.stepping = false
	budget := m.Cost.PrefillChunk
	var out []Output
	remaining := m.running[:0]
	for _, s := range m.running {
		if s.prefillLeft > 0 {
			n := min(s.prefillLeft, budget)
			s.prefillLeft -= n
			budget -= n
			if s.prefillLeft > 0 {
				remaining = append(remaining, s)
				continue
			}
			m.insertBlocks(s.job.Prefix)
		}
		s.generated++
		o := Output{ID: s.job.ID, Token: true}
		if s.generated >= s.job.Tokens {
			o.Done = true
			o.Use = s.use(now)
		} else {
			remaining = append(remaining, s)
		}
		out = append(out, o)
	}
	m.running = remaining
	m.startStep(now)
	return out
}

// insertBlocks adds blocks to the cache and evicts the least recently used ones beyond its capacity.
func (m *EngineModel) insertBlocks(prefix []uint64) {
	for _, h := range prefix {
		if el := m.cache[h]; el != nil {
			m.recency.MoveToFront(el)
			continue
		}
		m.cache[h] = m.recency.PushFront(h)
		m.stored = append(m.stored, h)
		for m.recency.Len() > m.Cost.CacheBlocks {
			el := m.recency.Back()
			old := el.Value.(uint64)
			m.recency.Remove(el)
			delete(m.cache, old)
			m.removed = append(m.removed, old)
		}
	}
}

// TakeEvents returns the blocks that entered and left the cache since the last call.
func (m *EngineModel) TakeEvents() (stored, removed []uint64) {
	stored, removed = m.stored, m.removed
	m.stored, m.removed = nil, nil
	return stored, removed
}

// Export returns the leading blocks of a prefix that the cache holds, for Import at another engine.
func (m *EngineModel) Export(prefix []uint64) []uint64 {
	var out []uint64
	for _, h := range prefix {
		if m.cache[h] == nil {
			break
		}
		out = append(out, h)
	}
	return out
}

// Import adds another engine's exported blocks to the cache.
func (m *EngineModel) Import(blocks []uint64) { m.insertBlocks(blocks) }
