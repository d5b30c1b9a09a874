package core

import (
	"sort"

	"github.com/stilemast/stilemast/src/config"
)

// SubsetTable holds which boxes use which servers of one pool.
//
// With hundreds of boxes and engines, no box can watch all servers. Each box uses a limited number of
// servers of each failure domain. The servers of a domain are shuffled once for each block of boxes, and
// every box of the block takes the next slice, so that servers get equal numbers of boxes. Any box can
// compute the subsets of all from the list of usable boxes, so no message is needed.
//
// It costs O(boxes x size) when the membership or configuration changes.
//
// A box that joins or leaves moves the boxes after it in name order by one slice each; what was learned of
// servers that leave a subset is lost.
type SubsetTable struct {
	of    map[string][]*config.BackendServer
	users map[string]int
	all   []*config.BackendServer
}

// minServersPerDomain is the least number of servers of each pool and failure domain that a box uses.
const minServersPerDomain = 2

// SubsetSize returns how many servers of each pool and failure domain a box uses if it should watch at most
// about watch servers in total. It returns the number of all servers if that is not larger.
func SubsetSize(c *config.Config, watch int) int {
	all := len(c.BackendServers())
	if all <= watch {
		return all
	}
	return max(minServersPerDomain, watch/max(1, len(c.Pools())*len(c.FailureDomains())))
}

// Subsets computes the subsets of all boxes for a pool, with size servers per failure domain.
func Subsets(all []*config.BackendServer, boxes []string, size int) SubsetTable {
	t := SubsetTable{of: map[string][]*config.BackendServer{}, users: map[string]int{}, all: all}
	sorted := append([]string(nil), boxes...)
	sort.Strings(sorted)
	for _, group := range byDomain(all) {
		t.assignDomain(group, sorted, size)
	}
	return t
}

func byDomain(all []*config.BackendServer) [][]*config.BackendServer {
	groups := map[int][]*config.BackendServer{}
	var order []int
	for _, s := range all {
		if groups[s.Domain()] == nil {
			order = append(order, s.Domain())
		}
		groups[s.Domain()] = append(groups[s.Domain()], s)
	}
	sort.Ints(order)
	out := make([][]*config.BackendServer, 0, len(order))
	for _, d := range order {
		out = append(out, groups[d])
	}
	return out
}

// assignDomain distributes the servers of one domain over the boxes.
func (t *SubsetTable) assignDomain(group []*config.BackendServer, boxes []string, size int) {
	if len(group) <= size {
		for _, b := range boxes {
			t.assign(b, group)
		}
		return
	}
	perRound := len(group) / size // boxes per shuffled order
	for i, b := range boxes {
		ring := shuffled(group, uint64(i/perRound))
		at := (i % perRound) * size
		t.assign(b, ring[at:at+size])
	}
}

func (t *SubsetTable) assign(box string, servers []*config.BackendServer) {
	t.of[box] = append(t.of[box], servers...)
	for _, s := range servers {
		t.users[s.Name()]++
	}
}

// shuffled orders servers by a hash that differs between rounds.
func shuffled(group []*config.BackendServer, round uint64) []*config.BackendServer {
	type ranked struct {
		s *config.BackendServer
		r uint64
	}
	list := make([]ranked, len(group))
	for i, s := range group {
		list[i] = ranked{s, rank(round*0x9e3779b97f4a7c15+1, s.Name())}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].r != list[j].r {
			return list[i].r < list[j].r
		}
		return list[i].s.Name() < list[j].s.Name()
	})
	out := make([]*config.BackendServer, len(group))
	for i, e := range list {
		out[i] = e.s
	}
	return out
}

// Of lists the servers that a box uses; a box that is not among the usable ones uses all.
func (t SubsetTable) Of(box string) []*config.BackendServer {
	if l, ok := t.of[box]; ok {
		return l
	}
	return t.all
}

// Users returns the number of boxes that use a server, at least 1.
func (t SubsetTable) Users(server string) int { return max(1, t.users[server]) }
