package config

import "maps"

// Boundaries are checked in three places with the functions of this file: when a configuration is compiled,
// when the core places a stage, and by the adapter just before it sends the first byte.

// MayRun reports whether a stage of a workspace may run in a failure domain.
func MayRun(w *Workspace, s *Stage, domain int) bool {
	return (w.runIn & s.runIn).Has(domain)
}

// MayEnter reports whether a box in a failure domain may accept, forward to or hold requests of a workspace.
// Since a box keeps a request and its answer in memory, the data must be allowed to rest there too.
func MayEnter(w *Workspace, domain int) bool {
	return (w.entryIn & w.restIn).Has(domain)
}

// Holders holds, for each workspace, the failure domains whose boxes may hold its requests. It is small and
// does not reference its Config: a box keeps one for each configuration change of the last minutes.
type Holders struct {
	domains map[string]int
	may     map[string]DomainSet
}

// Holders returns the Holders of this configuration.
func (c *Config) Holders() Holders {
	h := Holders{domains: c.byDomain, may: make(map[string]DomainSet, len(c.workspaces))}
	for name, w := range c.workspaces {
		h.may[name] = w.entryIn & w.restIn
	}
	return h
}

// Allows reports whether boxes in a failure domain may hold requests of a workspace.
func (h Holders) Allows(workspace, failureDomain string) bool {
	i, ok := h.domains[failureDomain]
	return ok && h.may[workspace].Has(i)
}

// Equal reports whether both allow the same domains for every workspace.
func (h Holders) Equal(o Holders) bool {
	return maps.Equal(h.domains, o.domains) && maps.Equal(h.may, o.may)
}

// Eligible lists the servers that a stage of a workspace may use, whatever their health.
func (c *Config) Eligible(w *Workspace, s *Stage) []*BackendServer {
	var out []*BackendServer
	for _, b := range c.pools[s.Pool()] {
		if MayRun(w, s, b.domain) && b.fits(s) {
			out = append(out, b)
		}
	}
	return out
}

// fits reports whether the server is configured with the model and adapter that the stage needs.
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
