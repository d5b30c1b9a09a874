package core

import (
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/config"
)

// BurnRates tracks how fast the error budget of each service level is spent over several windows. Counts are
// kept in a ring of time slots, so memory is fixed. Safe for concurrent use.
type BurnRates struct {
	mu     sync.Mutex
	levels []*burnLevel
}

// Size of the ring: the longest window is six hours.
const (
	burnSlot  = 10 * time.Second
	burnSlots = 6 * 60 * 6 // six hours
)

// BurnWindows are the windows reported for each level.
var BurnWindows = []time.Duration{time.Minute, 5 * time.Minute, time.Hour, 6 * time.Hour}

type burnLevel struct {
	doc   config.ServiceLevelDoc
	good  [burnSlots]uint32
	total [burnSlots]uint32
	slot  int64 // number of the newest slot
}

// BurnReading is the result of one service level over one window.
type BurnReading struct {
	Level     string
	Class     string
	Window    time.Duration
	Good      int
	Total     int
	Objective float64
	Rate      float64 // burn rate; 1 spends the error budget exactly
}

// Sample is the outcome of one ended request.
type Sample struct {
	Class         config.Class
	Attained      bool
	FirstToken    time.Duration // 0 when the request did not stream
	BetweenTokens time.Duration
}

// NewBurnRates returns BurnRates without service levels.
func NewBurnRates() *BurnRates { return &BurnRates{} }

// SetLevels replaces the service levels; levels that are unchanged keep their counts.
func (b *BurnRates) SetLevels(docs []config.ServiceLevelDoc) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := map[config.ServiceLevelDoc]*burnLevel{}
	for _, l := range b.levels {
		old[l.doc] = l
	}
	b.levels = nil
	for _, d := range docs {
		l := old[d]
		if l == nil {
			l = &burnLevel{doc: d}
		}
		b.levels = append(b.levels, l)
	}
}

// Add counts one ended request in every level of its class.
func (b *BurnRates) Add(now time.Time, s Sample) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.levels {
		if l.doc.Class != s.Class.String() {
			continue
		}
		if good, counts := l.classify(s); counts {
			l.add(now, good)
		}
	}
}

// classify reports whether a sample meets the level, and whether it counts at all.
func (l *burnLevel) classify(s Sample) (good, counts bool) {
	within := time.Duration(l.doc.Within)
	switch l.doc.Measure {
	case "first_token":
		return s.FirstToken <= within, s.FirstToken > 0
	case "between_tokens":
		return s.BetweenTokens <= within, s.BetweenTokens > 0
	}
	return s.Attained, true
}

func slotOf(now time.Time) int64 { return now.UnixNano() / int64(burnSlot) }

// advance clears the slots between the newest one and now.
func (l *burnLevel) advance(now time.Time) {
	n := slotOf(now)
	if n-l.slot > burnSlots {
		l.slot = n - burnSlots
	}
	for l.slot < n {
		l.slot++
		l.good[l.slot%burnSlots], l.total[l.slot%burnSlots] = 0, 0
	}
}

func (l *burnLevel) add(now time.Time, good bool) {
	l.advance(now)
	i := l.slot % burnSlots
	l.total[i]++
	if good {
		l.good[i]++
	}
}

// Read returns the reading of every level over every window.
func (b *BurnRates) Read(now time.Time) []BurnReading {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []BurnReading
	for _, l := range b.levels {
		l.advance(now)
		for _, w := range BurnWindows {
			out = append(out, l.read(w))
		}
	}
	return out
}

func (l *burnLevel) read(w time.Duration) BurnReading {
	r := BurnReading{Level: l.doc.Name, Class: l.doc.Class, Window: w, Objective: l.doc.Objective}
	for i := l.slot - int64(w/burnSlot) + 1; i <= l.slot; i++ {
		if i < 0 {
			continue
		}
		r.Good += int(l.good[i%burnSlots])
		r.Total += int(l.total[i%burnSlots])
	}
	if r.Total > 0 {
		r.Rate = float64(r.Total-r.Good) / float64(r.Total) / (1 - l.doc.Objective)
	}
	return r
}
