package config

import "maps"

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

// Holders says where boxes may hold each workspace's requests. It is small and keeps nothing of its
// configuration alive, since a box remembers one for every change in the last minutes.
type Holders struct {
	domains map[string]int
	may     map[string]DomainSet
}

// Holders gives this configuration's.
func (c *Config) Holders() Holders {
	h := Holders{domains: c.byDomain, may: make(map[string]DomainSet, len(c.workspaces))}
	for name, w := range c.workspaces {
		h.may[name] = w.entryIn & w.restIn
	}
	return h
}

// May says whether boxes in a failure domain may hold a workspace's requests.
func (h Holders) May(workspace, failureDomain string) bool {
	i, ok := h.domains[failureDomain]
	return ok && h.may[workspace].Has(i)
}

// Same says whether two decide alike.
func (h Holders) Same(o Holders) bool {
	return maps.Equal(h.domains, o.domains) && maps.Equal(h.may, o.may)
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
