package catalog

import (
	"maps"
	"slices"
	"testing"
)

func TestAListingHoldsWhatThePlatformListsAndNothingElse(t *testing.T) {
	l := &Listing{}
	l.Replace([]Server{{ID: "a"}, {ID: "b"}, {ID: "c"}})
	l.Replace([]Server{{ID: "a"}, {ID: "b"}})
	l.Put(Server{ID: "b", Slots: 2})
	l.Put(Server{ID: "d"})
	l.Remove("a")
	want := map[string]Server{"b": {ID: "b", Slots: 2}, "d": {ID: "d"}}
	if got := l.Servers(); !maps.Equal(got, want) {
		t.Errorf("listed %v, want %v", got, want)
	}
}

func TestAListingSaysOnceThatItChanged(t *testing.T) {
	l := &Listing{}
	for name, change := range map[string]func(){
		"whole read": func() { l.Replace([]Server{{ID: "a"}}) },
		"put":        func() { l.Put(Server{ID: "b"}) },
		"removal":    func() { l.Remove("b") },
	} {
		if l.Servers(); l.Changed() {
			t.Errorf("before the %s: changed still", name)
		}
		if change(); !l.Changed() {
			t.Errorf("no change after a %s", name)
		}
	}
}

func TestAListingTakesAChangeBeforeItsFirstWholeRead(t *testing.T) {
	l := &Listing{}
	l.Remove("a")
	l.Put(Server{ID: "b"})
	if got := l.Servers(); !maps.Equal(got, map[string]Server{"b": {ID: "b"}}) {
		t.Errorf("listed %v", got)
	}
}

// A list that was given away must not change under whoever holds it.
func TestWhatAListingGaveStays(t *testing.T) {
	l := &Listing{}
	l.Replace([]Server{{ID: "a"}})
	given := l.Servers()
	l.Put(Server{ID: "b"})
	if ids := slices.Collect(maps.Keys(given)); !slices.Equal(ids, []string{"a"}) {
		t.Errorf("what was given holds %v now", ids)
	}
}

// States of boxes of both releases must order alike: the later revision first, and each revision can be told from them.
func TestStatesRiseWithRevisions(t *testing.T) {
	for r := range uint64(5) {
		if s := StateAt(r); s >= StateAt(r+1) || RevisionOf(s) != r || RevisionOf(s-1) != r {
			t.Errorf("state %d of revision %d", s, r)
		}
	}
}
