package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/candidates"
	"github.com/stilemast/stilemast/src/clock"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/duties"
)

// withRoster calls a function with the roster under the fleet's lock and returns its result.
func withRoster[T any](f *fleet, do func(r *duties.Roster) T) T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return do(&f.roster)
}

// readers returns the boxes that read the platform first.
func (f *fleet) readers(now time.Time) []string {
	return withRoster(f, func(r *duties.Roster) []string { return r.Readers(now) })
}

// links returns the boxes' link speeds in Mbit/s; the map must not be changed.
func (f *fleet) links(now time.Time) map[string]uint32 {
	return withRoster(f, func(r *duties.Roster) map[string]uint32 { return r.Links(now) })
}

// boxesToAsk lists the boxes that take work, including this one; the list must not be changed.
func (f *fleet) boxesToAsk(now time.Time) []candidates.Box {
	return withRoster(f, func(r *duties.Roster) []candidates.Box { return r.Boxes(now) })
}

// avoidScheduler stops choosing a box as a scheduler.
func (f *fleet) avoidScheduler(now time.Time, box string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster.Avoid(now, box)
}

// handleSilenceReport handles another box's report that a scheduler did not answer it, unless this box heard of that
// scheduler recently.
func (f *fleet) handleSilenceReport(now time.Time, box, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if box != "" && box != f.gateway.ID.Name && now.Sub(f.seen[box]) >= recentContact {
		f.roster.HandleSilenceReport(now, box, from)
	}
}

// claim makes this box the scheduler of a pool and announces it.
func (f *fleet) claim(pool string) {
	if withRoster(f, func(r *duties.Roster) bool { return r.Claim(pool) }) {
		f.gateway.Log.Info("pool claimed", "pool", pool)
		f.gateway.announce()
	}
}

// releaseClaim withdraws this box's claim to schedule a pool.
func (f *fleet) releaseClaim(pool string) {
	if withRoster(f, func(r *duties.Roster) bool { return r.ReleaseClaim(pool) }) {
		f.gateway.Log.Info("pool released", "pool", pool)
	}
}

// setNoPath sets the pools to whose servers this box has no path.
func (f *fleet) setNoPath(pools []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster.SetNoPath(pools)
}

// mayAsk reports whether a box can be asked: its address is known and it has not been silent recently.
func (f *fleet) mayAsk(now time.Time, box string) bool {
	if box == f.gateway.ID.Name {
		return true
	}
	known := f.addressOf(box) != ""
	return known && !withRoster(f, func(r *duties.Roster) bool { return r.IsSilent(now, box) })
}

// recordRedirect records a scheduler's redirect of its pool to another box.
func (f *fleet) recordRedirect(now time.Time, pool, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster.RecordRedirect(now, pool, to)
}

// forming reports whether this box has just started and not yet met a box that may schedule; no other box
// would make its choice.
func (f *fleet) forming(now time.Time) bool {
	if now.Sub(f.gateway.startedAt) > formingFor {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(f.core.Running(now), func(m core.RunningMember) bool {
		return m.Up >= candidates.FormedAfter || slices.Contains(f.gateway.Settings.Seeds, m.Address)
	})
}

// awaitFormed holds a job while this box does not know who schedules, for at most formingFor.
func (g *Gateway) awaitFormed(ctx context.Context) {
	for g.Settings.SharedBatches && g.fleet.forming(g.now()) && ctx.Err() == nil {
		clock.Sleep(ctx, formingPollInterval)
	}
}

// schedulerOf returns the box that schedules the calls of a pool.
func (g *Gateway) schedulerOf(pool string, avoid map[string]bool) string {
	if !g.Settings.SharedBatches {
		return g.ID.Name
	}
	return withRoster(&g.fleet, func(r *duties.Roster) string { return r.SchedulerOf(g.now(), pool, avoid) })
}
