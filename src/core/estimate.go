package core

import (
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/config"
)

// Estimates learns how long the stages of each pipeline take, waiting and retries included, and
// how much of its token limit a generate stage uses. It is safe for concurrent use.
type Estimates struct {
	mu    sync.RWMutex
	run   map[stageName]float64 // seconds from the stage's start to its end
	ratio map[stageName]float64 // generated tokens over the limit
}

type stageName struct{ pipeline, stage string }

// NewEstimates knows nothing yet.
func NewEstimates() *Estimates {
	return &Estimates{run: map[stageName]float64{}, ratio: map[stageName]float64{}}
}

func nameOf(p *config.Pipeline, s *config.Stage) stageName { return stageName{p.Name(), s.Name()} }

// Learn takes one finished stage.
func (e *Estimates) Learn(p *config.Pipeline, s *config.Stage, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	learn(e.run, nameOf(p, s), took.Seconds())
}

// LearnTokens takes how much of its limit a generate stage used.
func (e *Estimates) LearnTokens(p *config.Pipeline, s *config.Stage, generated, limit int) {
	if limit <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	learn(e.ratio, nameOf(p, s), float64(generated)/float64(limit))
}

func learn(m map[stageName]float64, n stageName, v float64) {
	old, ok := m[n]
	if !ok {
		m[n] = v
		return
	}
	m[n] = mix(old, v, learnRate)
}

// mix moves a mean towards a new value.
func mix(old, v, rate float64) float64 { return old + rate*(v-old) }

// Run is how long a stage is expected to take.
func (e *Estimates) Run(p *config.Pipeline, s *config.Stage) time.Duration {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.runLocked(p, s)
}

func (e *Estimates) runLocked(p *config.Pipeline, s *config.Stage) time.Duration {
	if v, ok := e.run[nameOf(p, s)]; ok {
		return seconds(v)
	}
	return firstGuess(s)
}

// firstGuess is what the operator wrote, or a guess by kind.
func firstGuess(s *config.Stage) time.Duration {
	if s.TypicalRun() > 0 {
		return s.TypicalRun()
	}
	if s.Kind() == config.Generate {
		return time.Duration(s.MaxTokens()) * defaultTokenTime / 2
	}
	return defaultRun
}

// TokenRatio is the part of its limit that a generate stage is expected to use.
func (e *Estimates) TokenRatio(p *config.Pipeline, s *config.Stage) float64 {
	e.mu.RLock()
	defer e.mu.RUnlock()
	if v, ok := e.ratio[nameOf(p, s)]; ok {
		return v
	}
	return 1
}

// Tail is how long the stages from index on are expected to take.
func (e *Estimates) Tail(p *config.Pipeline, from int) time.Duration {
	e.mu.RLock()
	defer e.mu.RUnlock()
	var sum time.Duration
	for _, s := range p.Stages()[min(from, len(p.Stages())):] {
		sum += e.runLocked(p, s)
	}
	return sum
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
