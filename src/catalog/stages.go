package catalog

import "slices"

// Followers lists, for each stage, the stages that need its results.
func (p *Pipeline) Followers() [][]int {
	out := make([][]int, len(p.Stages))
	for i, st := range p.Stages {
		for _, a := range st.After {
			if a >= 0 && a < i {
				out[a] = append(out[a], i)
			}
		}
	}
	return out
}

// RunsFirst reports whether no other stage of a request with these pieces can begin before a stage is complete.
func (p *Pipeline) RunsFirst(stage int, pieces []int) bool {
	needs := make([]bool, len(p.Stages)) // the stage, directly or not
	for k, st := range p.Stages {
		needs[k] = k == stage || slices.ContainsFunc(st.After, func(a int) bool { return a >= 0 && a < k && needs[a] })
		if pieces[k] > 0 && !needs[k] {
			return false
		}
	}
	return true
}
