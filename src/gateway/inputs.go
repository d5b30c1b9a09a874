package gateway

import "time"

// An engine fetches the results of stages that a request needs before it reads the prompt, and the first
// output comes only when that is read. Their room at the makers is given up after the time that fetching
// takes, which is learned: a request whose inputs were gone doubles it.

// giveUpInputs has the inputs of a request that is being sent given up when its engine will have fetched
// them. The function that it gives calls this off.
func (v *visit) giveUpInputs(e *pool, any bool) func() {
	if !any {
		return func() {}
	}
	timer := time.AfterFunc(e.fetchTime(), v.made.freeAll)
	return func() { timer.Stop() }
}

// fetchTime is how long an engine of the pool may take to fetch inputs.
func (p *pool) fetchTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetch = max(leastFetch, time.Duration(float64(p.fetch)*fetchDecay))
	return p.fetch
}

// inputGone notes that an input was gone when an engine wanted it.
func (p *pool) inputGone() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetch = min(mostFetch, 2*max(leastFetch, p.fetch))
}
