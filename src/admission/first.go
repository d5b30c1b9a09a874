package admission

import (
	"sync"
	"time"
)

// FirstOutputs learns how long requests of each pipeline take from the end of their stages to the first output. It is
// safe for concurrent use.
type FirstOutputs struct {
	mu    sync.Mutex
	first map[string]time.Duration
}

// Learn adds the time that a request of a pipeline took.
func (e *FirstOutputs) Learn(pipeline string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.first == nil {
		e.first = map[string]time.Duration{}
	}
	old, ok := e.first[pipeline]
	if !ok {
		old = took
	}
	e.first[pipeline] = old + time.Duration(estimateLearning*float64(took-old))
}

// Get returns the time to expect for a request of a pipeline.
func (e *FirstOutputs) Get(pipeline string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if d, ok := e.first[pipeline]; ok {
		return d
	}
	return firstGuess
}
