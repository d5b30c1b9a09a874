package core

import (
	"slices"
	"time"
)

// Find returns a member by name, or nil.
func (m *Members) Find(name string) *Member { return m.all[name] }

// All lists the members sorted by name, without this box.
func (m *Members) All() []*Member {
	out := make([]*Member, 0, len(m.all))
	for _, n := range m.names {
		out = append(out, m.all[n])
	}
	return out
}

// SmallFleetAddresses lists the addresses of the usable members if the fleet is small (smallFleet), otherwise nil.
func (m *Members) SmallFleetAddresses() []string {
	var out []string
	for _, n := range m.names {
		if e := m.all[n]; e.Usable() && e.id.Incarnation != 0 && e.address != "" {
			out = append(out, e.address)
		}
	}
	if len(out) > smallFleet {
		return nil
	}
	return out
}

// RandomAddresses returns the addresses of up to n random usable members, to gossip news in a fleet that is too large
// to contact everybody.
func (m *Members) RandomAddresses(n int) []string {
	var out []string
	for _, name := range m.newRound() {
		if e := m.all[name]; e.Usable() && e.id.Incarnation != 0 && len(out) < n {
			out = append(out, e.address)
		}
	}
	return out
}

// Usable lists the names of the members that take work, sorted, including this box unless it is leaving.
func (m *Members) Usable() []string {
	out := make([]string, 0, len(m.names)+1)
	for _, n := range m.names {
		if e := m.all[n]; e.Usable() && e.id.Incarnation != 0 {
			out = append(out, n)
		}
	}
	if m.Self.State == MemberAlive {
		at, _ := slices.BinarySearch(out, m.Self.ID.Name)
		out = slices.Insert(out, at, m.Self.ID.Name)
	}
	return out
}

// RunningMember is a member that takes work.
type RunningMember struct {
	Name     string
	Address  string
	Domain   string
	Up       time.Duration // how long it has been running
	Capacity Capacity
	NoPath   []uint64 // hashes of the pools to whose servers it has no path
	claims   []Claim
}

// Term returns the term of its claim to a pool, or 0.
func (r RunningMember) Term(pool uint64) uint64 { return termOf(r.claims, pool) }

// Running lists the same members as Usable, with the properties by which schedulers are chosen.
func (m *Members) Running(now time.Time) []RunningMember {
	var out []RunningMember
	for _, name := range m.Usable() {
		r := RunningMember{Name: name, Address: m.Self.Address, Domain: m.Self.Domain, Up: now.Sub(m.Start), Capacity: m.Self.Capacity, NoPath: m.Self.NoPath, claims: m.Self.Claims}
		if e := m.all[name]; e != nil {
			r = RunningMember{Name: name, Address: e.address, Domain: e.domain, Up: e.Up(now), Capacity: e.capacity, NoPath: e.noPath, claims: e.claims}
		}
		out = append(out, r)
	}
	return out
}

// Successor returns the box that took over the ledger of an incarnation that stopped as planned, or "".
func (m *Members) Successor(id BoxID) string { return m.handovers[id].successor }

// RecentlyLost counts the members that were lost within the given time without leaving: they may still be
// running, unreachable for this box.
func (m *Members) RecentlyLost(now time.Time, within time.Duration) int {
	n := 0
	for _, e := range m.all {
		if e.state == MemberDead && !e.left && now.Sub(e.since) < within {
			n++
		}
	}
	return n
}

// Differences returns the elements that only one of two sorted lists holds.
func Differences(before, after []string) (added, removed []string) {
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(before) == 0 || len(after) > 0 && after[0] < before[0]:
			added, after = append(added, after[0]), after[1:]
		case len(after) == 0 || before[0] < after[0]:
			removed, before = append(removed, before[0]), before[1:]
		default:
			before, after = before[1:], after[1:]
		}
	}
	return added, removed
}
