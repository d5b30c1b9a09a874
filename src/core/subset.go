package core

import (
	"sort"

	"github.com/stilemast/stilemast/src/config"
)

// SubsetTable says which boxes use which servers of one pool.
//
// Idea. With hundreds of boxes and engines nobody can watch everybody. Each box uses at most size
// servers of each failure domain. Servers of a domain are laid out in a shuffled ring, one for each
// block of boxes, and every box takes the next slice, so that servers get equal numbers of boxes.
// Any box can work out everyone's subset from the list of usable boxes, so no message is needed.
//
// Cost. O(boxes x size) when membership or configuration changes.
//
// Trade-offs. A box joining or leaving moves the boxes after it in name order, each by one place;
// what was learned of servers that leave a subset is forgotten.
type SubsetTable struct {
	of    map[string][]*config.BackendServer
	users map[string]int
	all   []*config.BackendServer
}

// leastInDomain is how many servers of each pool and failure domain a box uses at least.
const leastInDomain = 2

// SubsetSize is how many servers of each pool and failure domain a box uses, if it is to watch at most
// about watch servers altogether. Where all of them are no more than that, it uses all.
func SubsetSize(c *config.Config, watch int) int {
	all := len(c.BackendServers())
	if all <= watch {
		return all
	}
	return max(leastInDomain, watch/max(1, len(c.Pools())*len(c.FailureDomains())))
}

// Subsets works out everyone's subset of a pool.
func Subsets(all []*config.BackendServer, boxes []string, size int) SubsetTable {
	t := SubsetTable{of: map[string][]*config.BackendServer{}, users: map[string]int{}, all: all}
	sorted := append([]string(nil), boxes...)
	sort.Strings(sorted)
	for _, group := range byDomain(all) {
		t.deal(group, sorted, size)
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

// deal hands the servers of one domain to the boxes in turns.
func (t *SubsetTable) deal(group []*config.BackendServer, boxes []string, size int) {
	if len(group) <= size {
		for _, b := range boxes {
			t.give(b, group)
		}
		return
	}
	perRound := len(group) / size // boxes that one shuffled ring serves
	for i, b := range boxes {
		ring := shuffled(group, uint64(i/perRound))
		at := (i % perRound) * size
		t.give(b, ring[at:at+size])
	}
}

func (t *SubsetTable) give(box string, servers []*config.BackendServer) {
	t.of[box] = append(t.of[box], servers...)
	for _, s := range servers {
		t.users[s.Name()]++
	}
}

// shuffled orders servers by hash, differently for each round.
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

// Of lists the servers a box uses; a box that is not among the usable ones uses all.
func (t SubsetTable) Of(box string) []*config.BackendServer {
	if l, ok := t.of[box]; ok {
		return l
	}
	return t.all
}

// Users counts the boxes that use a server.
func (t SubsetTable) Users(server string) int { return max(1, t.users[server]) }
