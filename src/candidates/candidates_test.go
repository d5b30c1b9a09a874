package candidates

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stilemast/stilemast/src/core"
)

// Guards against a new box that takes pools over before it knows the members, except while the fleet starts.
func TestOnlySettledBoxesScheduleExceptAtFleetStart(t *testing.T) {
	old, young := time.Minute, 5*time.Second
	for _, c := range []struct {
		name string
		all  []Box
		want []string
	}{
		{"all start, without seeds", []Box{{Name: "a", Up: time.Second, Seed: false}, {Name: "b", Up: 1200 * time.Millisecond, Seed: false}}, []string{"a", "b"}},
		{"all start", []Box{{Name: "a", Up: 1500 * time.Millisecond, Seed: false}, {Name: "b", Up: 1500 * time.Millisecond, Seed: true}, {Name: "c", Up: time.Second, Seed: true}}, []string{"b", "c"}},
		{"all know one another", []Box{{Name: "a", Up: young, Seed: false}, {Name: "b", Up: young, Seed: true}, {Name: "c", Up: young, Seed: true}}, []string{"a", "b", "c"}},
		{"one has restarted", []Box{{Name: "a", Up: old, Seed: false}, {Name: "b", Up: old, Seed: false}, {Name: "c", Up: young, Seed: true}}, []string{"a", "b"}},
		{"it has settled", []Box{{Name: "a", Up: old, Seed: false}, {Name: "c", Up: SettledAfter, Seed: true}}, []string{"a", "c"}},
		{"a small machine", []Box{{Name: "a", Up: old, Capacity: core.Capacity{CPU: 192, Link: 20}}, {Name: "b", Up: old, Capacity: core.Capacity{CPU: 800, Link: 200}}, {Name: "c", Up: old, Capacity: core.Capacity{CPU: 400, Link: 100}}}, []string{"b", "c"}},
		{"no machine has the most of both", []Box{{Name: "a", Up: old, Capacity: core.Capacity{CPU: 100, Link: 200}}, {Name: "b", Up: old, Capacity: core.Capacity{CPU: 800, Link: 20}}}, []string{"a", "b"}},
		{"the large machine has not settled", []Box{{Name: "a", Up: old, Capacity: core.Capacity{CPU: 192, Link: 20}}, {Name: "b", Up: young, Capacity: core.Capacity{CPU: 800, Link: 200}}}, []string{"a"}},
		{"only one is old", []Box{{Name: "a", Up: 10 * time.Second, Seed: false}, {Name: "b", Up: 4 * time.Second, Seed: false}}, []string{"a"}},
	} {
		if got := Schedulers(c.all); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Readers are boxes with enough capacity for the document, in different failure domains; where none has
// enough, a few of all.
func TestReadersHaveCapacityForDocument(t *testing.T) {
	for fleet := range 20 {
		var all []Box
		large, domain := map[string]bool{}, map[string]string{}
		for i := range 40 {
			c := Box{Name: fmt.Sprintf("fleet%d-box%d", fleet, i), Domain: fmt.Sprint("d", i%4), Capacity: core.Capacity{CPU: 192, Link: 10}}
			if i%5 == 0 {
				c.Capacity = core.Capacity{CPU: 800, Link: 200}
				large[c.Name] = true
			}
			domain[c.Name] = c.Domain
			all = append(all, c)
		}
		chosen, domains := Readers(all), map[string]bool{}
		for _, name := range chosen {
			domains[domain[name]] = true
			if !large[name] {
				t.Errorf("fleet %d: %s reads over a slow link", fleet, name)
			}
		}
		if len(chosen) != 3 || len(domains) != 3 {
			t.Errorf("fleet %d: %v read, in %d failure domains, want three in three", fleet, chosen, len(domains))
		}
		if got := Readers(all[1:5]); len(got) != 3 {
			t.Errorf("%v read of four equal boxes, want three", got)
		}
		if got := Readers(all[1:3]); len(got) != 2 {
			t.Errorf("%v read of two, want both", got)
		}
	}
}

func TestBoxesWithoutPathArePassedOver(t *testing.T) {
	all := []Box{{Name: "a"}, {Name: "b", NoPath: []uint64{1}}, {Name: "c", NoPath: []uint64{1, 2}}}
	for _, c := range []struct {
		pool  uint64
		avoid map[string]bool
		want  map[string]bool
	}{
		{1, nil, map[string]bool{"b": true, "c": true}},
		{2, nil, map[string]bool{"c": true}},
		{3, nil, nil},
		{2, map[string]bool{"a": true}, map[string]bool{"a": true, "c": true}},
		{1, map[string]bool{"a": true}, map[string]bool{"a": true}}, // no box with a path is left
	} {
		if got := WithoutPath(all, c.pool, c.avoid); !maps.Equal(got, c.want) {
			t.Errorf("pool %d, avoiding %v: %v, want %v", c.pool, c.avoid, got, c.want)
		}
	}
}
