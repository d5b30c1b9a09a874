package config

// Boundaries are checked in three places that share this file: when a configuration is compiled,
// when the core places a stage, and again by the adapter just before the first byte goes out.

// MayRun says whether a stage of a workspace may run in a domain.
func MayRun(w *Workspace, s *Stage, domain int) bool {
	return (w.runIn & s.runIn).Has(domain)
}

// MayEnter says whether a box in a domain may accept, forward to or hold a workspace's requests.
// A box holds a request and its answer in memory, so the data rests there as well.
func MayEnter(w *Workspace, domain int) bool {
	return (w.entryIn & w.restIn).Has(domain)
}

// Eligible lists the servers a stage of a workspace may use, wherever they stand in health.
func (c *Config) Eligible(w *Workspace, s *Stage) []*BackendServer {
	var out []*BackendServer
	for _, b := range c.pools[s.Pool()] {
		if MayRun(w, s, b.domain) && b.fits(s) {
			out = append(out, b)
		}
	}
	return out
}

// fits says whether the server should hold the model and adapter that the stage needs.
func (b *BackendServer) fits(s *Stage) bool {
	if s.doc.Model != "" && b.doc.Model != s.doc.Model {
		return false
	}
	if s.doc.Adapter == "" {
		return true
	}
	for _, a := range b.doc.Adapters {
		if a == s.doc.Adapter {
			return true
		}
	}
	return false
}
