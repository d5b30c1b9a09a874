package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// A confined request runs only at servers in its domains, even if they are busier, and has its home and copy sources there.
// Servers outside don't count as available to it.
func TestConfinedRequestStaysInItsDomains(t *testing.T) {
	p := NewPool("box", "out")
	var list []catalog.Server
	for i := range 8 {
		list = append(list, catalog.Server{ID: fmt.Sprint("out", i), Domain: "out", Slots: 4}, catalog.Server{ID: fmt.Sprint("in", i), Domain: "in", Slots: 4})
	}
	p.Configure(pointers(list))
	inside := &catalog.Confines{Domains: []string{"in"}}
	for i := range 64 {
		w := &Request{Within: inside, Exclude: map[string]bool{}, Parts: []Part{{ID: "a", Tokens: 500}, {ID: fmt.Sprint("s", i%5), Tokens: 4000}, {ID: fmt.Sprint(i), Tokens: 100}}}
		if d := p.HomeDomain(w); d != "in" {
			t.Errorf("the home of request %d is in %q", i, d)
		}
		s, _, ok := p.Pick(start, w)
		if !ok || s.Domain != "in" {
			t.Fatalf("request %d went to %q", i, s.ID)
		}
		p.RecordCached(start, "out0", w.Parts)
		if from, ok := p.CopySource(start, s.ID, w); ok && from.Domain != "in" {
			t.Errorf("request %d copies from %s", i, from.ID)
		}
	}
	p.RestsUntil = func(s *catalog.Server) time.Time {
		if s.Domain == "in" {
			return start.Add(time.Second)
		}
		return time.Time{}
	}
	w := &Request{Within: inside, Exclude: map[string]bool{}}
	if _, _, ok := p.Pick(start, w); ok || p.AnyAccepting(start, w) {
		t.Error("a server outside counts as available while all inside rest")
	}
	if end, ok := p.EarliestRestEnd(start, w); !ok || !end.Equal(start.Add(time.Second)) {
		t.Errorf("the rest ends at %v", end)
	}
}

// Servers that no longer take new work are not chosen, and don't count in their failure domain.
func TestRemovedServerIsForgotten(t *testing.T) {
	p := NewPool("box", "d")
	list := []catalog.Server{{ID: "a", Domain: "d", Slots: 4}, {ID: "b", Domain: "e", Slots: 4}}
	p.UpdateServers(pointers(list), nil)
	p.UpdateServers([]*catalog.Server{{ID: "b", Domain: "f", Slots: 4}}, []string{"a", "never there"})
	if d := p.Domains(); p.Size() != 1 || len(d) != 1 || d["f"] != 1 {
		t.Errorf("%d servers are left, by failure domain %v", p.Size(), d)
	}
	if s, _, ok := p.Pick(start, &Request{}); !ok || s.ID != "b" {
		t.Errorf("%q was chosen", s.ID)
	}
}
