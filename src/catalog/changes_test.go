package catalog

import (
	"reflect"
	"testing"
)

func TestChangesBetweenVersions(t *testing.T) {
	before := &Catalog{
		Pipelines:  []Pipeline{{Name: "same"}, {Name: "moved", Targets: []Target{{Pool: "a"}}}, {Name: "dropped"}},
		Pools:      []Pool{{Name: "a"}, {Name: "b"}},
		Workspaces: []Workspace{{Name: "school", Tokens: []string{"1", "2"}}, {Name: "press", Tokens: []string{"3"}}},
	}
	after := &Catalog{
		Pipelines:  []Pipeline{{Name: "same"}, {Name: "moved", Targets: []Target{{Pool: "b"}}}, {Name: "new"}},
		Pools:      []Pool{{Name: "a"}, {Name: "b", Connections: 4}},
		Workspaces: []Workspace{{Name: "school", Tokens: []string{"2"}}, {Name: "press", Tokens: []string{"3", "4"}}},
	}
	want := Changes{
		PipelinesAdded: []string{"new"}, PipelinesRemoved: []string{"dropped"}, PipelinesChanged: []string{"moved"},
		PoolsChanged: []string{"b"}, TokensAdded: []string{"press"}, TokensRemoved: []string{"school"},
	}
	if got := ChangesOf(before, after); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
	if got := ChangesOf(after, after); !reflect.DeepEqual(got, Changes{}) {
		t.Errorf("identical configurations differ: %+v", got)
	}
	if got := ChangesOf(nil, before); len(got.PipelinesAdded) != 3 || len(got.TokensAdded) != 2 {
		t.Errorf("the first configuration: %+v", got)
	}
}
