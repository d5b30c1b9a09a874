package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// roster ranks the boxes that may schedule a pool. All boxes come to the same answer without a
// message: the first by rendezvous hash among the eligible ones. A box that has just started is not
// settled: it knows neither the members nor the results that lie at the servers, and each change of
// scheduler costs work. It is guarded by the fleet's lock.
type roster struct {
	boxes  []string             // that are eligible
	chosen map[string]string    // scheduler by pool
	until  time.Time            // when both are worked out anew
	silent map[string]time.Time // boxes that did not answer this box, and when they are asked again
	hints  map[string]hint      // what schedulers said of who follows them, by pool
}

// hint is the word of a scheduler that another box has its pool now. It goes before this box's own view,
// which learns of a change later in a large fleet.
type hint struct {
	box   string
	until time.Time
}

func (r *roster) init() {
	r.chosen, r.silent, r.hints = map[string]string{}, map[string]time.Time{}, map[string]hint{}
}

// forget has everything worked out anew.
func (r *roster) forget() {
	clear(r.chosen)
	r.until = time.Time{}
}

// heard notes a message of a box.
func (r *roster) heard(box string) {
	if _, ok := r.silent[box]; ok {
		delete(r.silent, box)
		r.forget()
	}
}

// shun passes a box over that did not answer, until it is heard of or for a while.
func (r *roster) shun(now time.Time, box string) {
	r.silent[box] = now.Add(shunFor)
	r.forget()
}

// contender is a box that takes work, as the choice of schedulers sees it.
type contender struct {
	name string
	up   time.Duration // how long it has been running
	seed bool          // it is one of the boxes that every box begins with
}

// eligible lists the boxes that may schedule: those that have been running for a while or that started
// with the oldest. Just after a start or a loss of all boxes few know one another; then the seeds
// schedule, which every box meets first.
func eligible(all []contender) []string {
	var settled, seeds []string
	oldest := time.Duration(0)
	for _, c := range all {
		oldest = max(oldest, c.up)
	}
	for _, c := range all {
		if c.up >= settledAfter || oldest-c.up <= cohortSpread {
			settled = append(settled, c.name)
		}
		if c.seed {
			seeds = append(seeds, c.name)
		}
	}
	if oldest < formedAfter && len(seeds) > 0 {
		return seeds
	}
	return settled
}

// firstByHash ranks boxes for a pool by rendezvous hash; otherwise is given when there is none.
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

// shun has this box pass another over as a scheduler.
func (f *fleet) shun(now time.Time, box string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster.shun(now, box)
}

// toldSilent takes another box's word that a scheduler did not answer it, unless this box heard of that
// scheduler lately.
func (f *fleet) toldSilent(now time.Time, box string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if box == "" || box == f.gateway.ID.Name || now.Sub(f.seen[box]) < heardLately || now.Before(f.roster.silent[box]) {
		return
	}
	f.roster.shun(now, box)
}

// eligible lists the boxes that may do now what one box does for all. The fleet's lock is held.
func (f *fleet) eligible(now time.Time) []string {
	r := &f.roster
	if now.Before(r.until) {
		return r.boxes
	}
	var all []contender
	for _, m := range f.core.Running(now) {
		all = append(all, contender{name: m.Name, up: m.Up, seed: slices.Contains(f.gateway.Settings.Seeds, m.Address)})
	}
	clear(r.chosen)
	r.boxes, r.until = eligible(all), now.Add(rosterLife)
	return r.boxes
}

// mayAsk says whether a box can be asked: its address is known and it did not stay silent lately.
func (f *fleet) mayAsk(now time.Time, box string) bool {
	if box == f.gateway.ID.Name {
		return true
	}
	known := f.addressOf(box) != ""
	f.mu.Lock()
	defer f.mu.Unlock()
	return known && !now.Before(f.roster.silent[box])
}

// moved notes a scheduler's word that another box has its pool now.
func (f *fleet) moved(now time.Time, pool, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster.hints[pool] = hint{box: to, until: now.Add(hintLife)}
}

// schedulers lists the boxes that may schedule pools now. The fleet's lock is held.
func (f *fleet) schedulers(now time.Time) []string {
	all := f.eligible(now)
	if len(f.roster.silent) == 0 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(box string) bool { return now.Before(f.roster.silent[box]) })
}

// schedulerOf gives the scheduler of a pool and remembers it for a moment.
func (f *fleet) schedulerOf(now time.Time, pool string, avoid map[string]bool) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	boxes := f.schedulers(now)
	if len(avoid) > 0 {
		return firstByHash(pool, boxes, avoid, f.gateway.ID.Name)
	}
	if h, ok := f.roster.hints[pool]; ok {
		if now.Before(h.until) && !now.Before(f.roster.silent[h.box]) {
			return h.box
		}
		delete(f.roster.hints, pool)
	}
	box, ok := f.roster.chosen[pool]
	if !ok {
		box = firstByHash(pool, boxes, nil, f.gateway.ID.Name)
		f.roster.chosen[pool] = box
	}
	return box
}

// forming says whether this box has just started and has not met the boxes that may schedule: what it
// would choose now, no other box would.
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

// awaitFormed holds a job back while this box does not know who schedules, for a bounded time.
func (g *Gateway) awaitFormed(ctx context.Context) {
	for g.Settings.SharedBatches && g.fleet.forming(g.now()) && ctx.Err() == nil {
		sleep(ctx, formingPace)
	}
}

// schedulerOf is the box that forms the calls of a pool.
func (g *Gateway) schedulerOf(pool string, avoid map[string]bool) string {
	if !g.Settings.SharedBatches {
		return g.ID.Name
	}
	return g.fleet.schedulerOf(g.now(), pool, avoid)
}
