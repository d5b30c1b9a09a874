package balance

import (
	"math"
	"sync"
)

// StreamLengths are moving averages of the number of events of completed streams, by pipeline. The zero value is ready to
// use. It is safe for concurrent use.
type StreamLengths struct {
	mu     sync.Mutex
	events map[string]float64
}

// Learn records the number of events of a completed stream.
func (l *StreamLengths) Learn(pipeline string, events int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, ok := l.events[pipeline]
	switch {
	case ok:
		l.events[pipeline] = old + lengthWeight*(float64(events)-old)
		return
	case l.events == nil || len(l.events) >= maxLengths: // pipelines that were removed are not dropped one by one
		l.events = map[string]float64{}
	}
	l.events[pipeline] = float64(events)
}

// Expected returns the expected number of events of a stream, 0 if unknown.
func (l *StreamLengths) Expected(pipeline string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(math.Round(l.events[pipeline]))
}
