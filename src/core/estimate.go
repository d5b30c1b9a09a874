package core

import (
	"math"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/config"
)

// Estimates learns how long the stages of each pipeline run and how much of its token limit a generate
// stage uses. Safe for concurrent use.
//
// Run times above the default decay when they are not renewed: admission refuses requests by these
// estimates, so one slow minute would otherwise block a pipeline for good, with no admitted request left to
// measure the recovery.
type Estimates struct {
	mu    sync.RWMutex
	run   map[stageName]measurement // seconds
	ratio map[stageName]measurement // generated tokens divided by the token limit
}

// measurement is a moving average and the time of its last update.
type measurement struct {
	v  float64
	at time.Time
}

type stageName struct{ pipeline, stage string }

// NewEstimates returns Estimates without measurements.
func NewEstimates() *Estimates {
	return &Estimates{run: map[stageName]measurement{}, ratio: map[stageName]measurement{}}
}

func nameOf(p *config.Pipeline, s *config.Stage) stageName { return stageName{p.Name(), s.Name()} }

// Learn adds the run time of a finished stage, without its wait.
func (e *Estimates) Learn(now time.Time, p *config.Pipeline, s *config.Stage, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	learn(e.run, nameOf(p, s), took.Seconds(), now)
}

// LearnTokens adds how many tokens of its limit a generate stage used.
func (e *Estimates) LearnTokens(now time.Time, p *config.Pipeline, s *config.Stage, generated, limit int) {
	if limit <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	learn(e.ratio, nameOf(p, s), float64(generated)/float64(limit), now)
}

func learn(m map[stageName]measurement, n stageName, v float64, now time.Time) {
	old, ok := m[n]
	if ok {
		v = ewma(old.v, v, learnRate)
	}
	m[n] = measurement{v: v, at: now}
}

// ewma returns an exponentially weighted moving average after a new value.
func ewma(old, v, rate float64) float64 { return old + rate*(v-old) }

// decay is the weight that is left of a measurement of the given age, from 1 down to 0.
func decay(age time.Duration) float64 {
	if age <= decayAfter {
		return 1
	}
	return math.Exp2(-float64(age-decayAfter) / float64(decayHalfLife))
}

// Run returns the expected run time of a stage.
func (e *Estimates) Run(now time.Time, p *config.Pipeline, s *config.Stage) time.Duration {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.runLocked(now, p, s)
}

func (e *Estimates) runLocked(now time.Time, p *config.Pipeline, s *config.Stage) time.Duration {
	guess := defaultEstimate(s)
	m, ok := e.run[nameOf(p, s)]
	if !ok {
		return guess
	}
	v := seconds(m.v)
	if v <= guess {
		return v
	}
	return guess + time.Duration(float64(v-guess)*decay(now.Sub(m.at)))
}

// defaultEstimate returns the configured typical run time of a stage, or a default for its kind.
func defaultEstimate(s *config.Stage) time.Duration {
	if s.TypicalRun() > 0 {
		return s.TypicalRun()
	}
	if s.Kind() == config.Generate {
		return time.Duration(s.MaxTokens()) * defaultTokenTime / 2
	}
	return defaultRun
}

// TokenRatio returns the part of its token limit that a generate stage is expected to use.
func (e *Estimates) TokenRatio(p *config.Pipeline, s *config.Stage) float64 {
	e.mu.RLock()
	defer e.mu.RUnlock()
	if m, ok := e.ratio[nameOf(p, s)]; ok {
		return m.v
	}
	return 1
}

// Tail returns the expected run time of the stages from index from on.
func (e *Estimates) Tail(now time.Time, p *config.Pipeline, from int) time.Duration {
	e.mu.RLock()
	defer e.mu.RUnlock()
	var sum time.Duration
	for _, s := range p.Stages()[min(from, len(p.Stages())):] {
		sum += e.runLocked(now, p, s)
	}
	return sum
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
