package gateway

import (
	"errors"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/code"
)

// errOutside means that nothing was sent because the server is outside the regions in which the request may
// run.
var errOutside = errors.New("the server is outside the request's boundary")

// currentConfines returns where the request may run under the configuration in force. A pipeline or workspace
// that is no longer configured keeps its previous boundary.
func (v *requestRun) currentConfines() *catalog.Confines {
	g, r := v.gateway, v.request
	x := g.index.Load()
	p := x.Route(r.Host, r.Path)
	if p == nil {
		p = v.pipeline
	}
	bounds := []*catalog.Boundary{p.Boundary}
	if v.workspace != "" {
		w := x.Workspace(r.Token)
		if w == nil {
			return v.confines
		}
		bounds = append(bounds, w.Boundary)
	}
	return g.Settings.Regions.Confine(bounds...)
}

// startInBoundary checks the boundary again just before the first byte is sent, as the configuration may have
// changed since the server was chosen.
func (v *requestRun) startInBoundary(s catalog.Server, start func() error) func() error {
	return func() error {
		if err := start(); err != nil {
			return err
		}
		if !v.currentConfines().Allow(s.Domain) {
			v.gateway.Log.Warn("request not sent, server is outside the boundary", "request", v.request.ID, "server", s.ID, "domain", s.Domain, "version", v.gateway.Version())
			return errOutside
		}
		return nil
	}
}

// checkBoundary refuses a request if a pool that it needs has servers, but none inside its boundary.
func (v *requestRun) checkBoundary() *code.Error {
	if v.confines == nil {
		return nil
	}
	pools := []string{v.pool}
	for i, st := range v.pipeline.Stages {
		if v.request.Pieces[i] > 0 {
			pools = append(pools, st.Pool)
		}
	}
	for _, name := range pools {
		if !v.hasServerInside(name) {
			return v.boundaryRefusal(name)
		}
	}
	return nil
}

// hasServerInside reports whether a pool has a server inside the request's boundary, or no servers at all.
func (v *requestRun) hasServerInside(pool string) bool {
	e := v.gateway.pools.get(pool)
	e.mu.Lock()
	domains := e.picker.Domains()
	e.mu.Unlock()
	for d := range domains {
		if v.confines.Allow(d) {
			return true
		}
	}
	return len(domains) == 0
}

// boundaryRefusal returns the refusal of a request for which no server is inside its boundary.
func (v *requestRun) boundaryRefusal(what string) *code.Error {
	return refusal(code.NowhereToRun, "boundary", failureRetryAfter, "no server of %s is inside the boundary", what)
}
