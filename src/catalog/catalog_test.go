package catalog

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stilemast/stilemast/src/core"
)

var start = time.Unix(1_700_000_000, 0)

func TestRoutePrefersLongestPrefix(t *testing.T) {
	x := NewIndex(&Catalog{Pipelines: []Pipeline{
		{Name: "short", Host: "Edit.example", Prefix: "/a/"}, {Name: "long", Host: "edit.example", Prefix: "/a/b/"}, {Name: "other", Host: "x.example", Prefix: "/a/b/c/"},
	}})
	for path, want := range map[string]string{"/a/b/c/d": "long", "/a/c": "short", "/b/": "", "/a": ""} {
		got := ""
		if p := x.Route("EDIT.example", path); p != nil {
			got = p.Name
		}
		if got != want {
			t.Errorf("%s is routed to %q, want %q", path, got, want)
		}
	}
}

func TestTargetsAreWeighted(t *testing.T) {
	p := Pipeline{Name: "p", Targets: []Target{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}}}
	n := map[string]int{}
	for i := range 10_000 {
		id := fmt.Sprint(i)
		first := p.PickPool(id)
		if again := p.PickPool(id); again != first {
			t.Fatal("the same request id gave two pools")
		}
		n[first]++
	}
	if n["b"] < 900 || n["b"] > 1100 {
		t.Errorf("a target with a tenth of the weight got %d of 10,000 requests", n["b"])
	}
}

func TestFinalStagesHaveNoSuccessors(t *testing.T) {
	p := Pipeline{Stages: []Stage{{}, {}, {After: []int{1}}, {After: []int{2}}}}
	if got := fmt.Sprint(p.FinalStages()); got != "[0 3]" {
		t.Errorf("final stages %s, want [0 3]", got)
	}
}

func TestFeedRejectsOlderStates(t *testing.T) {
	f := NewFeed("a")
	if !f.ApplyRead(start, 10, "x", 0) {
		t.Fatal("the first content was rejected")
	}
	if f.ApplyRead(start, 9, "old", 0) || f.ApplyPull(start, 10, "other", 0) {
		t.Error("an older state was accepted")
	}
	if f.AsOf() != 10 {
		t.Errorf("as of %d, want 10", f.AsOf())
	}
	if !f.ApplyPull(start, 11, "y", 0) || !f.Confirmed().Equal(start) {
		t.Error("a newer state from a peer was rejected, or counted as confirmed")
	}
}

func TestPeerStatementConfirmsAsOfItsRead(t *testing.T) {
	f := NewFeed("a")
	f.ApplyRead(start, 10, "x", 0)
	asked := start.Add(3 * time.Second)
	f.HandleStatement(asked, "b", core.Statement{Version: 12, Digest: "x", Age: time.Second}, asked)
	if want := asked.Add(-time.Second); !f.Confirmed().Equal(want) || f.AsOf() != 12 {
		t.Errorf("confirmed %v as of %d, want %v as of 12", f.Confirmed(), f.AsOf(), want)
	}
	f.HandleStatement(start, "b", core.Statement{Version: 12, Digest: "x"}, time.Time{})
	f.HandleStatement(start, "c", core.Statement{Version: 13, Digest: "z"}, asked.Add(time.Hour))
	if !f.Confirmed().Equal(asked.Add(-time.Second)) {
		t.Error("an unsolicited statement, or one of other content, confirmed the held content")
	}
	if from := f.NextPull(asked); from != "c" {
		t.Errorf("newer content is pulled from %q, want c", from)
	}
}

func TestFailedPullTriesAnotherPeer(t *testing.T) {
	f := NewFeed("a")
	f.HandleStatement(start, "b", core.Statement{Version: 5, Digest: "n"}, time.Time{})
	f.HandleStatement(start, "c", core.Statement{Version: 5, Digest: "n"}, time.Time{})
	first := f.NextPull(start)
	if f.NextPull(start) != "" {
		t.Error("a second pull began during the first")
	}
	f.PullFailed(start, first)
	if second := f.NextPull(start); second == first || second == "" {
		t.Errorf("after %s failed, the next pull is from %q", first, second)
	}
}

func TestUnsolicitedStatementPostponesReadWithoutConfirming(t *testing.T) {
	var boxes []string
	for i := range 12 {
		boxes = append(boxes, fmt.Sprint("box", i))
	}
	for _, b := range boxes {
		f := NewFeed(b)
		f.ApplyRead(start, 1, "x", 0)
		if f.ShouldRead(start, boxes) {
			continue // readers read regardless of statements
		}
		later := start.Add(5 * time.Second)
		f.HandleStatement(later, "peer", core.Statement{Version: 1, Digest: "x", Age: time.Second}, time.Time{})
		if f.ShouldRead(later, boxes) || !f.Confirmed().Equal(start) {
			t.Errorf("%s reads %v, confirmed at %v", b, f.ShouldRead(later, boxes), f.Confirmed())
		}
		if !f.ShouldRead(later.Add(selfReadAfter), boxes) {
			t.Errorf("%s does not read after the statement has become stale", b)
		}
	}
}

// Guards against the whole fleet reading the platform at once when its content is no longer confirmed: the
// first box that succeeds confirms it for the others.
func TestUnconfirmedBoxesReadInStages(t *testing.T) {
	start := time.Unix(1000, 0)
	var boxes []string
	for i := range 300 {
		boxes = append(boxes, "box"+strconv.Itoa(i))
	}
	reading := func(after time.Duration) int {
		n := 0
		for _, b := range boxes {
			f := NewFeed(b)
			f.ApplyRead(start, 1, "x", 0)
			if f.ShouldRead(start.Add(after), boxes) {
				n++
			}
		}
		return n
	}
	all := selfReadAfter + selfReadSpread + 4*selfReadStep + time.Millisecond
	for _, c := range []struct {
		after time.Duration
		most  int
		least int
	}{{time.Second, readers, readers}, {all, 4 * readers, 2 * readers}, {all + selfReadStep, 8 * readers, 4 * readers}, {all + maxReadStages*selfReadStep, 300, 300}} {
		if n := reading(c.after); n > c.most || n < c.least {
			t.Errorf("%d boxes read %s after the last confirmation, want %d to %d", n, c.after, c.least, c.most)
		}
	}
}

// When the whole fleet starts, only the seeds read at once; the others wait for their peers first.
func TestNewBoxWaitsForPeersBeforeReading(t *testing.T) {
	start := time.Unix(1000, 0)
	seed, other := NewFeed("seed"), NewFeed("other")
	seed.Started, other.Started, seed.First = start, start, true
	alone := []string{"other"} // the only box that it knows of
	if !seed.ShouldRead(start, []string{"seed"}) || other.ShouldRead(start.Add(firstReadAfter), alone) {
		t.Error("a seed waited, or another box did not")
	}
	if !other.ShouldRead(start.Add(firstReadAfter+selfReadSpread+time.Millisecond), alone) {
		t.Error("a box whose peers hold nothing does not read")
	}
}

func TestOnlyReadersReadUnlessUnconfirmed(t *testing.T) {
	var boxes []string
	for i := range 300 {
		boxes = append(boxes, fmt.Sprint("box", i))
	}
	reading := 0
	for _, b := range boxes {
		f := NewFeed(b)
		f.ApplyRead(start, 1, "x", 0)
		if f.ShouldRead(start.Add(time.Second), boxes) {
			reading++
		}
		if !f.ShouldRead(start.Add(selfReadAfter+selfReadSpread+(4+maxReadStages)*selfReadStep+time.Millisecond), boxes) {
			t.Errorf("%s does not read though its content is not confirmed", b)
		}
	}
	if reading != readers {
		t.Errorf("%d of 300 boxes read, want %d", reading, readers)
	}
	if !NewFeed("box7").ShouldRead(start, boxes) {
		t.Error("a box that holds nothing does not read")
	}
}
