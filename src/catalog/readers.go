package catalog

import "slices"

// readers is how many boxes read the platform, whatever the size of the fleet, so that two may fail at once.
const readers = 3

// Candidate is a living box that may read the platform for others.
type Candidate struct {
	Name, Domain string
}

// Readers chooses the boxes that read the platform: the highest-ranked by hash, in different failure domains
// as far as possible. Boxes with the same view of the fleet choose the same ones.
func Readers(candidates []Candidate) []string {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		if readerRank(a.Name) > readerRank(b.Name) {
			return -1
		}
		return 1
	})
	var chosen []string
	taken := map[string]bool{}
	for _, c := range ranked {
		if len(chosen) < readers && !taken[c.Domain] {
			chosen, taken[c.Domain] = append(chosen, c.Name), true
		}
	}
	for _, c := range ranked {
		if len(chosen) < readers && !slices.Contains(chosen, c.Name) {
			chosen = append(chosen, c.Name)
		}
	}
	return chosen
}

// readerRank returns the rank of a box by hash; higher ranks read first.
func readerRank(box string) uint64 { return Hash("reader", box) }
