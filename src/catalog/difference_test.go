package catalog

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// Whatever a list goes through, its history turns any earlier state it still knows into the newest.
func TestHistoryTurnsEveryEarlierStateIntoTheNewest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		list := map[string]Server{}
		h := &History{}
		states := []map[string]Server{{}}
		for range rapid.IntRange(1, historySteps).Draw(rt, "changes") {
			next := maps.Clone(list)
			for range rapid.IntRange(1, 4).Draw(rt, "servers") {
				id := fmt.Sprint("s", rapid.IntRange(0, 9).Draw(rt, "id"))
				switch rapid.IntRange(0, 2).Draw(rt, "what") {
				case 0:
					delete(next, id)
				default:
					next[id] = Server{ID: id, Slots: rapid.IntRange(1, 3).Draw(rt, "slots"), Draining: rapid.Bool().Draw(rt, "draining")}
				}
			}
			h.Add(Digest(list), Digest(next), Diff(list, next))
			list = next
			states = append(states, next)
		}
		for _, old := range states[:len(states)-1] {
			d, ok := h.Since(Digest(old))
			if !ok {
				rt.Fatalf("a state of a moment ago is not known: %v", old)
			}
			got := maps.Clone(old)
			d.Apply(got)
			if !maps.Equal(got, list) {
				rt.Fatalf("%v became %v, want %v", old, got, list)
			}
		}
	})
}

func TestHistoryForgetsWhatDoesNotLeadToTheNewest(t *testing.T) {
	h := &History{}
	for i := range historySteps + 5 {
		h.Add(fmt.Sprint(i), fmt.Sprint(i+1), Difference{Gone: []string{fmt.Sprint("s", i)}})
	}
	if _, ok := h.Since("3"); ok {
		t.Error("more is remembered than the bound")
	}
	if d, ok := h.Since("60"); !ok || len(d.Gone) != historySteps+5-60 {
		t.Errorf("since 60: %v %v", d, ok)
	}
	h.Add("elsewhere", "there", Difference{})
	if _, ok := h.Since("60"); ok {
		t.Error("a state that does not lead to the newest counts as known")
	}
}
