package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/candidates"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/core"
)

// roster ranks the boxes that may schedule a pool. A pool stays with the box that claims it (core.Claim). An
// unclaimed pool goes to the first of the eligible boxes by rendezvous hash, which all boxes compute without
// a message. A newly started box is not eligible: it knows neither the members nor the results held at the
// servers, and each change of scheduler costs work. The fleet's lock guards it.
type roster struct {
	running      []core.RunningMember // boxes that take work
	all          []candidates.Box     // the same, for choices among them
	anyNoPath    bool                 // some of them have no path to the servers of a pool
	boxes        []string             // of them, the eligible schedulers
	readers      []string             // of them, those that read the platform first
	able         []string             // of them, those with about the capacity of the largest machine
	coordinators map[string]string    // box that grants a server's permits, by server
	links        map[string]uint32    // Mbit/s, by box
	chosen       map[string]string    // scheduler by pool
	logged       map[string]string    // the same when it was last logged
	version      uint64               // of the membership from which all this was computed
	madeAt       time.Time            // time of that computation
	until        time.Time            // time of the next computation even if no member changes
	// Boxes that did not answer this box, and until when they are not chosen.
	silent         map[string]time.Time
	redirects      map[string]redirect      // redirects of schedulers to their successors, by pool
	silenceReports map[string]silenceReport // the last report on a box that did not answer another, by that box
}

// silenceReport is a box's report that another one did not answer it.
type silenceReport struct {
	from string
	at   time.Time
}

// redirect names the box that a pool's scheduler has handed the pool over to. It overrides this box's own view, which learns
// of a change later in a large fleet.
type redirect struct {
	box   string
	until time.Time
}

func (r *roster) init() {
	r.coordinators, r.logged = map[string]string{}, map[string]string{}
	r.chosen, r.silent, r.redirects, r.silenceReports = map[string]string{}, map[string]time.Time{}, map[string]redirect{}, map[string]silenceReport{}
}

// invalidate invalidates everything computed.
func (r *roster) invalidate() {
	clear(r.chosen)
	clear(r.coordinators)
	r.until = time.Time{}
}

// clearSilent records a message of a box, which is then no longer silent.
func (r *roster) clearSilent(box string) {
	if _, ok := r.silent[box]; ok {
		delete(r.silent, box)
		r.invalidate()
	}
}

// avoid stops choosing a box that did not answer, until it is heard of again or avoidFor has passed.
func (r *roster) avoid(now time.Time, box string) {
	r.silent[box] = now.Add(avoidFor)
	r.invalidate()
}

// readers returns the boxes that read the platform first.
func (f *fleet) readers(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.eligible(now)
	return f.roster.readers
}

// links returns the boxes' link speeds in Mbit/s; the map must not be changed.
func (f *fleet) links(now time.Time) map[string]uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.eligible(now)
	return f.roster.links
}

// avoidScheduler stops choosing a box as a scheduler.
func (f *fleet) avoidScheduler(now time.Time, box string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster.avoid(now, box)
}

// handleSilenceReport handles another box's report that a scheduler did not answer it, unless this box heard of that
// scheduler recently. In a large fleet boxes rarely hear of one another and a single report may come from a
// lost message, so two boxes must report it.
func (f *fleet) handleSilenceReport(now time.Time, box, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &f.roster
	if box == "" || box == f.gateway.ID.Name || now.Sub(f.seen[box]) < recentContact || now.Before(r.silent[box]) {
		return
	}
	last, reported := r.silenceReports[box]
	r.silenceReports[box] = silenceReport{from: from, at: now}
	alone := !reported || last.from == from || now.Sub(last.at) > reportValidity
	if alone && len(f.usableNow) > twoReportsFrom {
		f.gateway.Log.Info("report of a silent scheduler awaits a second one", "about", box, "from", from, "members", len(f.usableNow))
		return
	}
	delete(r.silenceReports, box)
	r.avoid(now, box)
}

// claim makes this box the scheduler of a pool and announces it.
func (f *fleet) claim(pool string) {
	f.mu.Lock()
	if f.core.Self.State != core.MemberAlive || f.claims(pool) {
		f.mu.Unlock()
		return
	}
	f.core.Claim(catalog.Hash(pool))
	delete(f.roster.redirects, pool)
	f.roster.invalidate()
	f.mu.Unlock()
	f.gateway.Log.Info("pool claimed", "pool", pool)
	f.gateway.announce()
}

// claims reports whether this box claims a pool. The fleet's lock is held.
func (f *fleet) claims(pool string) bool {
	hash := catalog.Hash(pool)
	return slices.ContainsFunc(f.core.Self.Claims, func(c core.Claim) bool { return c.Pool == hash })
}

// releaseClaim withdraws this box's claim to schedule a pool.
func (f *fleet) releaseClaim(pool string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	claimed := f.claims(pool)
	f.core.ReleaseClaim(catalog.Hash(pool))
	f.roster.invalidate()
	if claimed {
		f.gateway.Log.Info("pool released", "pool", pool)
	}
}

// claimant returns the running box whose claim to a pool is in force, "" for none: the one with the latest
// term, and between equal terms the first by hash, so that all boxes agree. The fleet's lock is held.
func (f *fleet) claimant(now time.Time, pool string, avoid map[string]bool) string {
	f.eligible(now) // updates the running boxes
	hash, latest := catalog.Hash(pool), uint64(0)
	var best []string
	for _, m := range f.roster.running {
		t := m.Term(hash)
		if t == 0 || t < latest || avoid[m.Name] || now.Before(f.roster.silent[m.Name]) {
			continue
		}
		if t > latest {
			best, latest = nil, t
		}
		best = append(best, m.Name)
	}
	return candidates.FirstByHash(pool, best, nil, "")
}

// eligible lists the boxes that may schedule now. The fleet's lock is held.
func (f *fleet) eligible(now time.Time) []string {
	r := &f.roster
	if now.Before(r.until) && (r.version == f.core.Version() || now.Sub(r.madeAt) < candidates.MinValidity) {
		return r.boxes
	}
	r.version, r.madeAt = f.core.Version(), now
	r.running = f.core.Running(now)
	all := make([]candidates.Box, 0, len(r.running)) // a new list and map, as readers may hold the previous ones
	r.anyNoPath = false
	r.links = make(map[string]uint32, len(r.running))
	for _, m := range r.running {
		all = append(all, candidates.Box{Name: m.Name, Up: m.Up, Seed: slices.Contains(f.gateway.Settings.Seeds, m.Address), Address: m.Address, Domain: m.Domain, Capacity: m.Capacity, NoPath: m.NoPath})
		r.anyNoPath = r.anyNoPath || len(m.NoPath) > 0
		r.links[m.Name] = m.Capacity.Link
	}
	r.all = all
	r.readers, r.able = candidates.Readers(all), candidates.Capable(all)
	clear(r.chosen)
	clear(r.coordinators)
	r.boxes, r.until = candidates.Schedulers(all), now.Add(candidates.Validity(all))
	return r.boxes
}

// mayAsk reports whether a box can be asked: its address is known and it has not been silent recently.
func (f *fleet) mayAsk(now time.Time, box string) bool {
	if box == f.gateway.ID.Name {
		return true
	}
	known := f.addressOf(box) != ""
	f.mu.Lock()
	defer f.mu.Unlock()
	return known && !now.Before(f.roster.silent[box])
}

// recordRedirect records a scheduler's redirect of its pool to another box.
func (f *fleet) recordRedirect(now time.Time, pool, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster.redirects[pool] = redirect{box: to, until: now.Add(redirectValidity)}
}

// schedulers lists the boxes that may schedule pools now. The fleet's lock is held.
func (f *fleet) schedulers(now time.Time) []string {
	all := f.eligible(now)
	if len(f.roster.silent) == 0 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(box string) bool { return now.Before(f.roster.silent[box]) })
}

// schedulerOf returns the scheduler of a pool and caches it.
func (f *fleet) schedulerOf(now time.Time, pool string, avoid map[string]bool) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(avoid) > 0 {
		return f.choose(now, pool, avoid)
	}
	f.eligible(now)
	box, ok := f.roster.chosen[pool]
	if !ok {
		box = f.choose(now, pool, nil)
		f.roster.chosen[pool] = box
		f.logScheduler(now, pool, box)
	}
	if box == f.gateway.ID.Name && f.claims(pool) {
		return box
	}
	if h, ok := f.roster.redirects[pool]; ok {
		if now.Before(h.until) && !now.Before(f.roster.silent[h.box]) {
			return h.box
		}
		delete(f.roster.redirects, pool)
	}
	return box
}

// logScheduler logs the scheduler of a pool if this box chose another one before. The fleet's lock is held.
func (f *fleet) logScheduler(now time.Time, pool, box string) {
	if before := f.roster.logged[pool]; before != box {
		f.roster.logged[pool] = box
		f.gateway.Log.Info("scheduler chosen", "pool", pool, "box_chosen", box, "before", before, "claims", box == f.claimant(now, pool, nil), "members", len(f.usableNow))
	}
}

// choose returns the claimant of a pool, or else the first eligible box by hash. The fleet's lock is held.
func (f *fleet) choose(now time.Time, pool string, avoid map[string]bool) string {
	avoid = f.passOver(now, pool, avoid)
	if box := f.claimant(now, pool, avoid); box != "" {
		return box
	}
	return candidates.FirstByHash(pool, f.schedulers(now), avoid, f.gateway.ID.Name)
}

// passOver adds the boxes without a path to the servers of a pool to those that are passed over for its duties. The fleet's
// lock is held.
func (f *fleet) passOver(now time.Time, pool string, avoid map[string]bool) map[string]bool {
	if f.eligible(now); !f.roster.anyNoPath {
		return avoid
	}
	return candidates.WithoutPath(f.roster.all, catalog.Hash(pool), avoid)
}

// setNoPath sets the pools to whose servers this box has no path.
func (f *fleet) setNoPath(pools []string) {
	hashes := make([]uint64, len(pools))
	for i, p := range pools {
		hashes[i] = catalog.Hash(p)
	}
	f.mu.Lock()
	f.core.SetNoPath(hashes)
	f.roster.invalidate()
	f.mu.Unlock()
}

// boxesToAsk lists the boxes that take work, including this one; the list must not be changed.
func (f *fleet) boxesToAsk(now time.Time) []candidates.Box {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.eligible(now)
	return f.roster.all
}

// forming reports whether this box has just started and not yet met a box that may schedule; no other box
// would make its choice.
func (f *fleet) forming(now time.Time) bool {
	if now.Sub(f.gateway.startedAt) > formingFor {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.core.Running(now) {
		if m.Up >= candidates.FormedAfter || slices.Contains(f.gateway.Settings.Seeds, m.Address) {
			return false
		}
	}
	return true
}

// awaitFormed holds a job while this box does not know who schedules, for at most formingFor.
func (g *Gateway) awaitFormed(ctx context.Context) {
	for g.Settings.SharedBatches && g.fleet.forming(g.now()) && ctx.Err() == nil {
		sleep(ctx, formingPollInterval)
	}
}

// schedulerOf returns the box that schedules the calls of a pool.
func (g *Gateway) schedulerOf(pool string, avoid map[string]bool) string {
	if !g.Settings.SharedBatches {
		return g.ID.Name
	}
	return g.fleet.schedulerOf(g.now(), pool, avoid)
}

// coordinatorOf returns the box that grants the permits of a server, chosen among those with enough capacity.
// Uptime and whether a box answered this one don't count: boxes differ in what they know of these, and two
// coordinators would grant twice as much.
func (f *fleet) coordinatorOf(now time.Time, pool, server string, passed map[string]bool) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.eligible(now)
	r := &f.roster
	if len(passed) > 0 {
		return candidates.FirstByHash(server, r.able, f.passOver(now, pool, passed), f.gateway.ID.Name)
	}
	box, ok := r.coordinators[server]
	if !ok {
		box = candidates.FirstByHash(server, r.able, f.passOver(now, pool, nil), f.gateway.ID.Name)
		r.coordinators[server] = box
	}
	return box
}
