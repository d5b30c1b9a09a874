package config

import (
	"fmt"
	"sort"
	"strings"
)

// PlannedChange is one effect of replacing a configuration. Before or After is empty if the subject is new or
// removed.
type PlannedChange struct {
	Subject string
	Before  string
	After   string
}

// Plan lists the effects of replacing now, which may be nil, by next: changed servers, pipelines and
// workspaces, and for each stage of a workspace the servers that may run it.
func Plan(now, next *Config) []PlannedChange {
	before, after := map[string]string{}, describe(next)
	if now != nil {
		before = describe(now)
	}
	var out []PlannedChange
	for k, b := range before {
		if after[k] != b {
			out = append(out, PlannedChange{Subject: k, Before: b, After: after[k]})
		}
	}
	for k, a := range after {
		if _, ok := before[k]; !ok {
			out = append(out, PlannedChange{Subject: k, After: a})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Subject < out[j].Subject })
	return out
}

// describe returns what a configuration decides, as one text for each subject.
func describe(c *Config) map[string]string {
	f := map[string]string{}
	for _, b := range c.servers {
		f["backend server "+b.Name()] = fmt.Sprintf("%s in %s, pool %s, %d slots, model %q, leaving %t",
			b.Address(), b.FailureDomain(), b.Pool(), b.Slots(), b.Model(), b.Leaving())
	}
	for _, p := range c.pipelines {
		f["pipeline "+p.Name()] = fmt.Sprintf("%s, deadline %s, must finish %t, weight %g", p.class, p.Deadline(), p.MustFinish(), p.Weight())
	}
	for _, w := range c.workspaces {
		f["workspace "+w.Name()] = fmt.Sprintf("weight %g, at most %d in flight, enters in %s, rests in %s",
			w.Weight(), w.MaxInFlight(), c.names(w.entryIn), c.names(w.restIn))
		for _, pn := range w.doc.Pipelines {
			for _, s := range c.pipelines[pn].stages {
				f["placement "+w.Name()+"/"+pn+"/"+s.Name()] = c.candidates(w, s)
			}
		}
	}
	return f
}

func (c *Config) candidates(w *Workspace, s *Stage) string {
	list := c.Eligible(w, s)
	names := make([]string, len(list))
	for i, b := range list {
		names[i] = b.Name()
	}
	return strings.Join(names, " ")
}

func (c *Config) names(s DomainSet) string {
	var out []string
	for i, d := range c.domains {
		if s.Has(i) {
			out = append(out, d.name)
		}
	}
	return strings.Join(out, " ")
}
