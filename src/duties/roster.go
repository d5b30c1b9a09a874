// Package duties chooses, as one box sees the fleet, the box that schedules each pool and the box that grants the permits of
// each server.
package duties

import (
	"log/slog"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/candidates"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/core"
)

// Roster ranks the boxes that may schedule a pool. A pool stays with the box that claims it (core.Claim). An unclaimed pool
// goes to the first of the eligible boxes by rendezvous hash, which all boxes compute without a message. A newly started
// box is not eligible: it knows neither the members nor the results held at the servers, and each change of scheduler costs
// work. A box without a path to a pool's servers is passed over.
//
// Set the exported fields before use. Not safe for concurrent use.
type Roster struct {
	Self    string   // name of this box
	Seeds   []string // addresses of the boxes that schedule first
	Members *core.Members
	Log     *slog.Logger

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

// Init prepares the roster.
func (r *Roster) Init() {
	r.coordinators, r.chosen, r.logged = map[string]string{}, map[string]string{}, map[string]string{}
	r.silent, r.redirects, r.silenceReports = map[string]time.Time{}, map[string]redirect{}, map[string]silenceReport{}
}

// Invalidate invalidates everything computed.
func (r *Roster) Invalidate() {
	clear(r.chosen)
	clear(r.coordinators)
	r.until = time.Time{}
}

// Heard records a message of a box, which is then no longer silent.
func (r *Roster) Heard(box string) {
	if _, ok := r.silent[box]; ok {
		delete(r.silent, box)
		r.Invalidate()
	}
}

// Avoid stops choosing a box that did not answer, until it is heard of again or avoidFor has passed.
func (r *Roster) Avoid(now time.Time, box string) {
	r.silent[box] = now.Add(avoidFor)
	r.Invalidate()
}

// IsSilent reports whether a box did not answer recently.
func (r *Roster) IsSilent(now time.Time, box string) bool { return now.Before(r.silent[box]) }

// HandleSilenceReport handles another box's report that a scheduler did not answer it. In a large fleet boxes rarely hear of
// one another and a single report may come from a lost message, so two boxes must report it.
func (r *Roster) HandleSilenceReport(now time.Time, box, from string) {
	if r.IsSilent(now, box) {
		return
	}
	last, reported := r.silenceReports[box]
	r.silenceReports[box] = silenceReport{from: from, at: now}
	alone := !reported || last.from == from || now.Sub(last.at) > ReportValidity
	if r.refresh(now); alone && len(r.running) > TwoReportsFrom {
		r.Log.Info("report of a silent scheduler awaits a second one", "about", box, "from", from, "members", len(r.running))
		return
	}
	delete(r.silenceReports, box)
	r.Avoid(now, box)
}

// Claim makes this box the scheduler of a pool; it returns false if it is that already or leaves.
func (r *Roster) Claim(pool string) bool {
	if r.Members.Self.State != core.MemberAlive || r.claims(pool) {
		return false
	}
	r.Members.Claim(catalog.Hash(pool))
	delete(r.redirects, pool)
	r.Invalidate()
	return true
}

// ReleaseClaim withdraws this box's claim to schedule a pool and reports whether there was one.
func (r *Roster) ReleaseClaim(pool string) bool {
	claimed := r.claims(pool)
	r.Members.ReleaseClaim(catalog.Hash(pool))
	r.Invalidate()
	return claimed
}

// claims reports whether this box claims a pool.
func (r *Roster) claims(pool string) bool {
	hash := catalog.Hash(pool)
	return slices.ContainsFunc(r.Members.Self.Claims, func(c core.Claim) bool { return c.Pool == hash })
}

// SetNoPath sets the pools to whose servers this box has no path.
func (r *Roster) SetNoPath(pools []string) {
	hashes := make([]uint64, len(pools))
	for i, p := range pools {
		hashes[i] = catalog.Hash(p)
	}
	r.Members.SetNoPath(hashes)
	r.Invalidate()
}

// Boxes lists the boxes that take work, including this one; the list must not be changed.
func (r *Roster) Boxes(now time.Time) []candidates.Box {
	r.refresh(now)
	return r.all
}

// Readers returns the boxes that read the platform first.
func (r *Roster) Readers(now time.Time) []string {
	r.refresh(now)
	return r.readers
}

// Links returns the boxes' link speeds in Mbit/s; the map must not be changed.
func (r *Roster) Links(now time.Time) map[string]uint32 {
	r.refresh(now)
	return r.links
}

// RecordRedirect records a scheduler's redirect of its pool to another box.
func (r *Roster) RecordRedirect(now time.Time, pool, to string) {
	r.redirects[pool] = redirect{box: to, until: now.Add(RedirectValidity)}
}

// refresh computes the boxes that may have duties if members changed.
func (r *Roster) refresh(now time.Time) {
	if now.Before(r.until) && (r.version == r.Members.Version() || now.Sub(r.madeAt) < candidates.MinValidity) {
		return
	}
	r.version, r.madeAt = r.Members.Version(), now
	r.running = r.Members.Running(now)
	r.all = make([]candidates.Box, 0, len(r.running)) // a new list and map, as readers may hold the previous ones
	r.links = make(map[string]uint32, len(r.running))
	r.anyNoPath = false
	for _, m := range r.running {
		r.all = append(r.all, candidates.Box{Name: m.Name, Up: m.Up, Seed: slices.Contains(r.Seeds, m.Address), Address: m.Address, Domain: m.Domain, Capacity: m.Capacity, NoPath: m.NoPath})
		r.anyNoPath = r.anyNoPath || len(m.NoPath) > 0
		r.links[m.Name] = m.Capacity.Link
	}
	r.readers, r.able = candidates.Readers(r.all), candidates.Capable(r.all)
	clear(r.chosen)
	clear(r.coordinators)
	r.boxes, r.until = candidates.Schedulers(r.all), now.Add(candidates.Validity(r.all))
}

// SchedulerOf returns the scheduler of a pool and caches it, unless boxes are to be avoided.
func (r *Roster) SchedulerOf(now time.Time, pool string, avoid map[string]bool) string {
	r.refresh(now)
	if len(avoid) > 0 {
		return r.choose(now, pool, avoid)
	}
	box, ok := r.chosen[pool]
	if !ok {
		box = r.choose(now, pool, nil)
		r.chosen[pool] = box
		r.logScheduler(now, pool, box)
	}
	if box == r.Self && r.claims(pool) {
		return box
	}
	if h, ok := r.redirects[pool]; ok {
		if now.Before(h.until) && !r.IsSilent(now, h.box) {
			return h.box
		}
		delete(r.redirects, pool)
	}
	return box
}

// logScheduler logs the scheduler of a pool if this box chose another one before.
func (r *Roster) logScheduler(now time.Time, pool, box string) {
	if before := r.logged[pool]; before != box {
		r.logged[pool] = box
		r.Log.Info("scheduler chosen", "pool", pool, "box_chosen", box, "before", before, "claims", box == r.claimant(now, pool, nil), "members", len(r.running))
	}
}

// choose returns the claimant of a pool, or else the first eligible box by hash.
func (r *Roster) choose(now time.Time, pool string, avoid map[string]bool) string {
	avoid = r.passOver(pool, avoid)
	if box := r.claimant(now, pool, avoid); box != "" {
		return box
	}
	return candidates.FirstByHash(pool, r.schedulers(now), avoid, r.Self)
}

// claimant returns the running box whose claim to a pool is in force, "" for none: the one with the latest term, and between
// equal terms the first by hash, so that all boxes agree.
func (r *Roster) claimant(now time.Time, pool string, avoid map[string]bool) string {
	hash, latest := catalog.Hash(pool), uint64(0)
	var best []string
	for _, m := range r.running {
		t := m.Term(hash)
		if t == 0 || t < latest || avoid[m.Name] || r.IsSilent(now, m.Name) {
			continue
		}
		if t > latest {
			best, latest = nil, t
		}
		best = append(best, m.Name)
	}
	return candidates.FirstByHash(pool, best, nil, "")
}

// schedulers lists the boxes that may schedule pools now.
func (r *Roster) schedulers(now time.Time) []string {
	if len(r.silent) == 0 {
		return r.boxes
	}
	return slices.DeleteFunc(slices.Clone(r.boxes), func(box string) bool { return r.IsSilent(now, box) })
}

// passOver adds the boxes without a path to the servers of a pool to those that are passed over for its duties.
func (r *Roster) passOver(pool string, avoid map[string]bool) map[string]bool {
	if !r.anyNoPath {
		return avoid
	}
	return candidates.WithoutPath(r.all, catalog.Hash(pool), avoid)
}

// CoordinatorOf returns the box that grants the permits of a server, chosen among those with enough capacity. Uptime and
// whether a box answered this one don't count: boxes differ in what they know of these, and two coordinators would grant
// twice as much.
func (r *Roster) CoordinatorOf(now time.Time, pool, server string, passed map[string]bool) string {
	r.refresh(now)
	if len(passed) > 0 {
		return candidates.FirstByHash(server, r.able, r.passOver(pool, passed), r.Self)
	}
	box, ok := r.coordinators[server]
	if !ok {
		box = candidates.FirstByHash(server, r.able, r.passOver(pool, nil), r.Self)
		r.coordinators[server] = box
	}
	return box
}
