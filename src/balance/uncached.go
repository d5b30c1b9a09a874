package balance

import "time"

// UncachedTokens returns the prompt tokens of a request that a server has not processed recently, as far as this box
// knows; 0 for an unknown server.
func (p *Pool) UncachedTokens(now time.Time, id string, w *Request) int {
	v := p.servers[id]
	if v == nil || len(w.Parts) == 0 {
		return 0
	}
	all, _ := p.uncachedTokens(now, v, w, p.cachedParts(w), "")
	return all
}
