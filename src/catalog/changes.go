package catalog

import (
	"reflect"
	"slices"
)

// Changes summarizes the differences between two configurations for logs. It contains no tokens.
type Changes struct {
	PipelinesAdded, PipelinesRemoved, PipelinesChanged []string
	PoolsChanged                                       []string
	TokensAdded, TokensRemoved                         []string // names of the workspaces, each once
}

// ChangesOf compares two configurations; before may be nil.
func ChangesOf(before, after *Catalog) Changes {
	var c Changes
	if before == nil {
		before = &Catalog{}
	}
	c.comparePipelines(before.Pipelines, after.Pipelines)
	c.comparePools(before.Pools, after.Pools)
	c.TokensAdded = workspacesWithNewTokens(before.Workspaces, after.Workspaces)
	c.TokensRemoved = workspacesWithNewTokens(after.Workspaces, before.Workspaces)
	return c
}

func (c *Changes) comparePipelines(before, after []Pipeline) {
	old := map[string]*Pipeline{}
	for i := range before {
		old[before[i].Name] = &before[i]
	}
	for i := range after {
		name := after[i].Name
		was := old[name]
		delete(old, name)
		switch {
		case was == nil:
			c.PipelinesAdded = append(c.PipelinesAdded, name)
		case !reflect.DeepEqual(*was, after[i]):
			c.PipelinesChanged = append(c.PipelinesChanged, name)
		}
	}
	for name := range old {
		c.PipelinesRemoved = append(c.PipelinesRemoved, name)
	}
	slices.Sort(c.PipelinesRemoved)
}

func (c *Changes) comparePools(before, after []Pool) {
	old := map[string]Pool{}
	for _, p := range before {
		old[p.Name] = p
	}
	for _, p := range after {
		if was, ok := old[p.Name]; !ok || !reflect.DeepEqual(was, p) {
			c.PoolsChanged = append(c.PoolsChanged, p.Name)
		}
	}
}

// workspacesWithNewTokens returns the workspaces with tokens that no workspace had before.
func workspacesWithNewTokens(before, after []Workspace) []string {
	had := map[string]bool{}
	for _, w := range before {
		for _, t := range w.Tokens {
			had[t] = true
		}
	}
	var out []string
	for _, w := range after {
		if slices.ContainsFunc(w.Tokens, func(t string) bool { return !had[t] }) {
			out = append(out, w.Name)
		}
	}
	return out
}
