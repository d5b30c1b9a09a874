package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// buildPool returns a pool of seven servers of one build and one of another.
func buildPool() *Pool {
	p := NewPool("box", "d")
	var list []*catalog.Server
	for i := range 8 {
		build := "v1"
		if i == 7 {
			build = "v2"
		}
		list = append(list, &catalog.Server{ID: fmt.Sprint("s", i), Domain: "d", Slots: 64, Build: build})
	}
	p.Configure(list)
	return p
}

// Guards against streams that go on at another build.
func TestBoundStreamIsSentToItsBuildOnly(t *testing.T) {
	p, now, v2, v3 := buildPool(), time.Unix(100, 0), "v2", "v3"
	for range 50 {
		if s, _, ok := p.Pick(now, &Request{Build: &v2}); !ok || s.Build != v2 {
			t.Fatalf("chose %+v", s)
		}
	}
	w := &Request{Build: &v3}
	if s, _, ok := p.Pick(now, w); ok || p.AnyLeft(w) {
		t.Errorf("chose %s for a build that no server has", s.ID)
	}
	if w = (&Request{Build: &v2, Exclude: map[string]bool{"s7": true}}); p.AnyLeft(w) {
		t.Error("a server that was tried is left")
	}
}

// Guards against a release whose first server gets no streams, and against streams that prefer a build with one server.
func TestLoneServerOfABuildGetsLessStreams(t *testing.T) {
	for _, c := range []struct {
		resumable   bool
		least, most int
	}{{true, 8, 20}, {false, 22, 28}} {
		p, n := buildPool(), 0
		for range 200 {
			if s, _, _ := p.Pick(time.Unix(100, 0), &Request{Resumable: c.resumable}); s.Build == "v2" {
				n++
			}
		}
		if n < c.least || n > c.most {
			t.Errorf("resumable %v: %d of 200 requests, want %d to %d", c.resumable, n, c.least, c.most)
		}
	}
}

// Guards against counts that keep builds whose servers have gone.
func TestBuildsAreThoseOfTheServers(t *testing.T) {
	p := buildPool()
	p.UpdateServers([]*catalog.Server{{ID: "s0", Domain: "d", Slots: 64, Build: "v2", Incarnation: 2}}, []string{"s7", "s1"})
	if b := p.Builds(); len(b) != 2 || b["v1"] != 5 || b["v2"] != 1 {
		t.Errorf("%v", b)
	}
	p.Configure(nil)
	if b := p.Builds(); len(b) != 0 {
		t.Errorf("%v", b)
	}
}

// Guards against memory of shared prompt parts that is copied from a server of another build.
func TestPromptPartsAreCopiedWithinABuild(t *testing.T) {
	now := time.Unix(100, 0)
	for _, c := range []struct {
		build string
		want  bool
	}{{"v1", true}, {"v2", false}} {
		p := NewPool("box", "d")
		p.Configure([]*catalog.Server{{ID: "a", Domain: "d", Slots: 64, Build: "v1"}, {ID: "b", Domain: "d", Slots: 64, Build: c.build}})
		w := &Request{Parts: []Part{{ID: "1", Tokens: 4000}, {ID: "2", Tokens: 10}}}
		p.RecordRead(now, "a", w)
		if _, ok := p.CopySource(now, "b", w); ok != c.want {
			t.Errorf("build %s: copied %v", c.build, ok)
		}
	}
}
