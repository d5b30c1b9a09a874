package gateway

import (
	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/retry"
)

// enableOverdue enables second runs of pieces of overdue calls where the setting or the configuration calls for them.
func (d *schedulers) enableOverdue(s *batch.Scheduler, pool string) {
	g := d.gateway
	s.OverduePieces = func() bool { return g.Settings.Policy.OverduePieces.Enabled(g.index.Load().Contended(pool)) }
	s.Budget = retry.Budget{Ratio: g.Settings.RetryRatio, Slack: g.Settings.RetrySlack, Window: g.Settings.RetryWindow}
	s.Boxes = assumedFleetSize // until the next tick
}

// reportOverdue logs and counts decisions about overdue calls.
func (d *schedulers) reportOverdue(pool string, events []batch.OverdueEvent) {
	for _, e := range events {
		d.gateway.Log.Info(e.Kind.String(), append([]any{"pool", pool}, e.Attributes()...)...)
		if d.gateway.Observer.Overdue != nil {
			d.gateway.Observer.Overdue(pool, &e)
		}
	}
}

// OverdueStatus returns the state of second runs by pool that this box schedules.
func (g *Gateway) OverdueStatus() map[string]batch.OverdueStatus {
	out := map[string]batch.OverdueStatus{}
	for _, s := range g.schedulers.list() {
		s.mu.Lock()
		out[s.pool] = s.core.Status(g.now())
		s.mu.Unlock()
	}
	return out
}
