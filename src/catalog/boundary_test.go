package catalog

import (
	"slices"
	"testing"
)

// Guards against requests running outside a boundary, among others in a failure domain of unknown region.
func TestConfineReturnsDomainsInsideAllBoundaries(t *testing.T) {
	regions := Regions{"w1": "west", "w2": "west", "c1": "central", "lost": ""}
	to := func(r ...string) *Boundary { return &Boundary{Regions: r} }
	for _, c := range []struct {
		name   string
		bounds []*Boundary
		want   []string // nil for everywhere
	}{
		{"none", []*Boundary{nil, nil}, nil},
		{"one", []*Boundary{to("west"), nil}, []string{"w1", "w2"}},
		{"both regions", []*Boundary{to("west", "central")}, []string{"c1", "w1", "w2"}},
		{"pipeline and workspace", []*Boundary{to("west", "central"), to("central")}, []string{"c1"}},
		{"no region in common", []*Boundary{to("west"), to("central")}, []string{}},
		{"an empty list", []*Boundary{to()}, []string{}},
		{"an unknown region", []*Boundary{to("east")}, []string{}},
		{"a region without a name", []*Boundary{to("")}, []string{}},
	} {
		got := regions.Confine(c.bounds...)
		if (got == nil) != (c.want == nil) || got != nil && !slices.Equal(got.Domains, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		if got.Allow("elsewhere") != (c.want == nil) {
			t.Errorf("%s: an unknown failure domain is allowed: %v", c.name, got.Allow("elsewhere"))
		}
	}
}
