package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/core"
)

// roster ranks the boxes that may schedule a pool. A pool stays with the box that claims it (core.Claim). An
// unclaimed pool goes to the first of the eligible boxes by rendezvous hash, which all boxes compute without
// a message. A newly started box is not eligible: it knows neither the members nor the results held at the
// servers, and each change of scheduler costs work. The fleet's lock guards it.
type roster struct {
	running      []core.RunningMember // boxes that take work
	boxes        []string             // of them, the eligible schedulers
	readers      []string             // of them, those that read the platform first
	able         []string             // of them, those with about the capacity of the largest machine
	coordinators map[string]string    // box that grants a server's permits, by server
	links        map[string]uint32    // Mbit/s, by box
	chosen       map[string]string    // scheduler by pool
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
	r.coordinators = map[string]string{}
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

// schedulerCandidate is a box that takes work, with what the choice of schedulers depends on.
type schedulerCandidate struct {
	name     string
	up       time.Duration // uptime
	seed     bool          // configured as a seed at every box
	domain   string
	capacity core.Capacity
}

// eligible lists the boxes that may schedule: those that have been running for a while or that started with
// the oldest, on machines with enough capacity. Just after a start or a loss of all boxes few know one
// another; then the seeds schedule, which every box contacts first.
func eligible(all []schedulerCandidate) []string {
	var settled []schedulerCandidate
	var seeds []string
	oldest := time.Duration(0)
	for _, c := range all {
		oldest = max(oldest, c.up)
	}
	for _, c := range all {
		if c.up >= settledAfter || oldest-c.up <= cohortSpread {
			settled = append(settled, c)
		}
		if c.seed {
			seeds = append(seeds, c.name)
		}
	}
	if oldest < formedAfter && len(seeds) > 0 {
		return seeds
	}
	return capable(settled)
}

// capable returns the boxes that have at least minCapacityShare of the largest processor and of the fastest link;
// all of them if no machine has both.
func capable(all []schedulerCandidate) []string {
	var most core.Capacity
	for _, c := range all {
		most.CPU, most.Link = max(most.CPU, c.capacity.CPU), max(most.Link, c.capacity.Link)
	}
	enough := func(have, most uint32) bool { return float64(have) >= minCapacityShare*float64(most) }
	var out, names []string
	for _, c := range all {
		names = append(names, c.name)
		if enough(c.capacity.CPU, most.CPU) && enough(c.capacity.Link, most.Link) {
			out = append(out, c.name)
		}
	}
	if len(out) == 0 {
		return names
	}
	return out
}

// readersOf chooses the boxes that read the platform from those with enough capacity.
func readersOf(all []schedulerCandidate) []string {
	able := capable(all)
	var candidates []catalog.Candidate
	for _, c := range all {
		if slices.Contains(able, c.name) {
			candidates = append(candidates, catalog.Candidate{Name: c.name, Domain: c.domain})
		}
	}
	return catalog.Readers(candidates)
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

// firstByHash returns the first box for a pool by rendezvous hash, or otherwise if there is none.
func firstByHash(pool string, boxes []string, avoid map[string]bool, otherwise string) string {
	best, rank := otherwise, uint64(0)
	for _, b := range boxes {
		if avoid[b] {
			continue
		}
		if r := catalog.Hash("scheduler", pool, b); r >= rank {
			best, rank = b, r
		}
	}
	return best
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
	return firstByHash(pool, best, nil, "")
}

// eligible lists the boxes that may schedule now. The fleet's lock is held.
func (f *fleet) eligible(now time.Time) []string {
	r := &f.roster
	if now.Before(r.until) && (r.version == f.core.Version() || now.Sub(r.madeAt) < minRosterValidity) {
		return r.boxes
	}
	r.version, r.madeAt = f.core.Version(), now
	r.running = f.core.Running(now)
	all := make([]schedulerCandidate, 0, len(r.running))
	r.links = make(map[string]uint32, len(r.running)) // a new map, as readers may hold the previous one
	for _, m := range r.running {
		all = append(all, schedulerCandidate{name: m.Name, up: m.Up, seed: slices.Contains(f.gateway.Settings.Seeds, m.Address), domain: m.Domain, capacity: m.Capacity})
		r.links[m.Name] = m.Capacity.Link
	}
	r.readers, r.able = readersOf(all), capable(all)
	clear(r.chosen)
	clear(r.coordinators)
	r.boxes, r.until = eligible(all), now.Add(rosterValidity(all))
	return r.boxes
}

// rosterValidity returns how long a choice among members is valid while none of them changes: until one has been
// running long enough to take a pool over, or until the fleet has formed. Computing it anew at each tick
// would be half of the work of a box among 300.
func rosterValidity(all []schedulerCandidate) time.Duration {
	validity, oldest := maxRosterValidity, time.Duration(0)
	for _, c := range all {
		oldest = max(oldest, c.up)
		if c.up < settledAfter {
			validity = min(validity, settledAfter-c.up)
		}
	}
	if oldest < formedAfter {
		validity = min(validity, formedAfter-oldest)
	}
	return max(minRosterValidity, validity)
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

// choose returns the claimant of a pool, or else the first eligible box by hash. The fleet's lock is held.
func (f *fleet) choose(now time.Time, pool string, avoid map[string]bool) string {
	if box := f.claimant(now, pool, avoid); box != "" {
		return box
	}
	return firstByHash(pool, f.schedulers(now), avoid, f.gateway.ID.Name)
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
		if m.Up >= formedAfter || slices.Contains(f.gateway.Settings.Seeds, m.Address) {
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
func (f *fleet) coordinatorOf(now time.Time, server string, passed map[string]bool) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.eligible(now)
	r := &f.roster
	if len(passed) > 0 {
		return firstByHash(server, r.able, passed, f.gateway.ID.Name)
	}
	box, ok := r.coordinators[server]
	if !ok {
		box = firstByHash(server, r.able, nil, f.gateway.ID.Name)
		r.coordinators[server] = box
	}
	return box
}
