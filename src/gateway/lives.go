package gateway

import (
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// takeLives drops what was believed of the earlier lives of servers that have started again under their id. Pools and
// schedulers do so when they take the new list. Requests at work there are left: an answer of the earlier life may be on
// its way, and whether they ran stays unknown.
func (g *Gateway) takeLives(reborn []catalog.Server, revision uint64, from string) {
	for i, s := range reborn {
		lost := g.holdings.lose(s.Pool, s.ID)
		if g.Backends.Forget != nil {
			g.Backends.Forget(s.Address)
		}
		if i < serverLines {
			g.Log.Info("server began a new life", "server", s.ID, "pool", s.Pool, "earlier_born", bornAt(s), "results_lost", lost, "revision", revision, "from", from)
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
