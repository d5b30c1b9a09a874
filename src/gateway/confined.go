package gateway

import (
	"errors"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/code"
)

// errOutside says that nothing was sent, since the server stands outside the regions in which the request may run now.
var errOutside = errors.New("the server stands outside the request's boundary")

// confinesNow gives where the request may run by the configuration in force. What is missing there binds as it did before.
func (v *visit) confinesNow() *catalog.Confines {
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

// startInside asks the boundary once more just before the first byte: the configuration may have changed since the server was chosen.
func (v *visit) startInside(s catalog.Server, start func() error) func() error {
	return func() error {
		if err := start(); err != nil {
			return err
		}
		if !v.confinesNow().Allow(s.Domain) {
			v.gateway.Log.Warn("nothing sent outside a boundary", "request", v.request.ID, "server", s.ID, "domain", s.Domain, "version", v.gateway.Version())
			return errOutside
		}
		return nil
	}
}

// nowhere refuses a request at once where a pool that it needs has servers, but none inside its boundary.
func (v *visit) nowhere() *code.Error {
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
		if !v.standsInside(name) {
			return v.outside(name)
		}
	}
	return nil
}

// standsInside says whether a pool has a server inside the request's boundary, or none at all.
func (v *visit) standsInside(pool string) bool {
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

// outside is the refusal of a request that may run at no server there is.
func (v *visit) outside(what string) *code.Error {
	return refusal(code.NowhereToRun, "boundary", failureReturn, "no server of %s stands inside the boundary", what)
}
