package gateway

import (
	"github.com/stilemast/stilemast/src/catalog"
)

// dropEarlierIncarnations drops the state kept for earlier incarnations of servers that restarted under the same id;
// pools and schedulers do so when they apply the new list. Requests running there are not touched: an answer
// of the earlier incarnation may be on its way, and whether they ran stays unknown. A request whose first
// stage's results were lost is answered within 1 s, and after 1.5 s where only a failed call shows the loss
// (virtual time).
func (g *Gateway) dropEarlierIncarnations(restarted []catalog.Restart, revision catalog.Revision, from string) {
	for i, r := range restarted {
		lost, stages := g.holdings.DropServer(r.Now.ID)
		for l := range stages {
			l.Of.recordLost(l.Index)
		}
		if g.Backends.Forget != nil {
			g.Backends.Forget(r.Before.Address)
			g.Backends.Forget(r.Now.Address)
		}
		if i < serverLines {
			g.Log.Info("server restarted", "server", r.Now.ID, "pool", r.Now.Pool, "earlier_incarnation", r.Before.Incarnation.Time(), "incarnation", r.Now.Incarnation.Time(), "results_lost", lost, "revision", revision, "from", from)
		}
	}
}
