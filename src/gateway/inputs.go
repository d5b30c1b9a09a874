package gateway

import "time"

// An engine fetches the stage results that a request needs before it reads the prompt, and the first output
// comes only after that. The results are freed at their servers after the time that fetching takes. That
// time is learned: it doubles when a request finds its inputs gone.

// freeInputs frees the inputs of a request that is being sent once its engine should have fetched them.
// The returned function cancels that.
func (v *requestRun) freeInputs(e *pool, any bool) func() {
	if !any {
		return func() {}
	}
	timer := time.AfterFunc(e.fetchTime(), v.stageResults.freeAll)
	return func() { timer.Stop() }
}

// fetchTime returns how long an engine of the pool may take to fetch inputs.
func (p *pool) fetchTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetch = max(minFetch, time.Duration(float64(p.fetch)*fetchDecay))
	return p.fetch
}

// inputGone records that an input was gone when an engine fetched it.
func (p *pool) inputGone() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetch = min(maxFetch, 2*max(minFetch, p.fetch))
}
