package catalog

import "slices"

// readers is how many boxes read the platform, however large the fleet: two of them may fail at once.
const readers = 3

// Candidate is a living box that may read the platform for others.
type Candidate struct {
	Name, Domain string
}

// Readers chooses the boxes that read the platform, first by hash, in different failure domains as far as
// there are. Boxes with the same view of the fleet choose the same.
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

func readerRank(box string) uint64 { return Hash("reader", box) }
