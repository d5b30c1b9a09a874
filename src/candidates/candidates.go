// Package candidates chooses the boxes that have tasks for the whole fleet: those that schedule pools, grant permits or
// read the platform. Boxes with the same view of the fleet choose the same ones without a message.
package candidates

import (
	"maps"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/core"
)

// Box is a box that takes work, with what the choice of schedulers depends on.
type Box struct {
	Name     string
	Up       time.Duration // uptime
	Seed     bool          // configured as a seed at every box
	Address  string
	Domain   string
	Capacity core.Capacity
	NoPath   []uint64 // hashes of the pools to whose servers it has no path
}

// HasPath reports whether a box has a path to the servers of a pool, given by its hash.
func (b *Box) HasPath(pool uint64) bool { return !slices.Contains(b.NoPath, pool) }

// Schedulers lists the boxes that may schedule: those that have been running for a while or that started with
// the oldest, on machines with enough capacity. Just after a start or a loss of all boxes few know one
// another; then the seeds schedule, which every box contacts first.
func Schedulers(all []Box) []string {
	var settled []Box
	var seeds []string
	oldest := time.Duration(0)
	for _, c := range all {
		oldest = max(oldest, c.Up)
	}
	for _, c := range all {
		if c.Up >= SettledAfter || oldest-c.Up <= CohortSpread {
			settled = append(settled, c)
		}
		if c.Seed {
			seeds = append(seeds, c.Name)
		}
	}
	if oldest < FormedAfter && len(seeds) > 0 {
		return seeds
	}
	return Capable(settled)
}

// Capable returns the boxes that have at least minCapacityShare of the largest processor and of the fastest link;
// all of them if no machine has both.
func Capable(all []Box) []string {
	var most core.Capacity
	for _, c := range all {
		most.CPU, most.Link = max(most.CPU, c.Capacity.CPU), max(most.Link, c.Capacity.Link)
	}
	enough := func(have, most uint32) bool { return float64(have) >= minCapacityShare*float64(most) }
	var out, names []string
	for _, c := range all {
		names = append(names, c.Name)
		if enough(c.Capacity.CPU, most.CPU) && enough(c.Capacity.Link, most.Link) {
			out = append(out, c.Name)
		}
	}
	if len(out) == 0 {
		return names
	}
	return out
}

// Readers chooses the boxes that read the platform from those with enough capacity.
func Readers(all []Box) []string {
	able := Capable(all)
	var candidates []catalog.Candidate
	for _, c := range all {
		if slices.Contains(able, c.Name) {
			candidates = append(candidates, catalog.Candidate{Name: c.Name, Domain: c.Domain})
		}
	}
	return catalog.Readers(candidates)
}

// WithoutPath adds to the boxes that are passed over for a task of a pool, given by its hash, those without a path to its
// servers; unless none would be left.
func WithoutPath(all []Box, pool uint64, avoid map[string]bool) map[string]bool {
	out, left := maps.Clone(avoid), 0
	for i := range all {
		switch b := &all[i]; {
		case avoid[b.Name]:
		case b.HasPath(pool):
			left++
		default:
			if out == nil {
				out = map[string]bool{}
			}
			out[b.Name] = true
		}
	}
	if left == 0 {
		return avoid
	}
	return out
}

// FirstByHash returns the first box for a pool by rendezvous hash, or otherwise if there is none.
func FirstByHash(pool string, boxes []string, avoid map[string]bool, otherwise string) string {
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

// Validity returns how long a choice among members is valid while none of them changes: until one has been
// running long enough to take a pool over, or until the fleet has formed. Computing it anew at each tick
// would be half of the work of a box among 300.
func Validity(all []Box) time.Duration {
	validity, oldest := MaxValidity, time.Duration(0)
	for _, c := range all {
		oldest = max(oldest, c.Up)
		if c.Up < SettledAfter {
			validity = min(validity, SettledAfter-c.Up)
		}
	}
	if oldest < FormedAfter {
		validity = min(validity, FormedAfter-oldest)
	}
	return max(MinValidity, validity)
}
