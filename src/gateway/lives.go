package gateway

import (
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// takeLives drops what was believed of the earlier lives of servers that have started again under their id. Pools and
// schedulers do so when they take the new list. Requests at work there are left: an answer of the earlier life may be on
// its way, and whether they ran stays unknown.
func (g *Gateway) takeLives(reborn []catalog.Rebirth, revision uint64, from string) {
	for i, r := range reborn {
		lost := g.holdings.lose(r.Now.ID)
		if g.Backends.Forget != nil {
			g.Backends.Forget(r.Before.Address)
			g.Backends.Forget(r.Now.Address)
		}
		if i < serverLines {
			g.Log.Info("server began a new life", "server", r.Now.ID, "pool", r.Now.Pool, "earlier_born", bornAt(r.Before), "born", bornAt(r.Now), "results_lost", lost, "revision", revision, "from", from)
		}
	}
}

// bornAt is when a server's life began, for logs; zero where its entry did not say.
func bornAt(s catalog.Server) time.Time {
	if s.Born == 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.Born)
}
