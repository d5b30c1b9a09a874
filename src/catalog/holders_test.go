package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/stilemast/stilemast/src/core"
)

// feedsBehind returns the feeds of many boxes that hold revision 1 and know two peers with a newer one.
func feedsBehind(n int, links map[string]uint32) []*Feed {
	var out []*Feed
	for i := range n {
		f := NewFeed(fmt.Sprint("box", i))
		f.Links = links
		f.ApplyRead(start, 1, "x", 0)
		for _, peer := range []string{"large", "small"} {
			f.HandleStatement(start, peer, core.Statement{Version: 2, Digest: "y"}, time.Time{})
		}
		out = append(out, f)
	}
	return out
}

func TestPullsAreWeightedByLinkBandwidth(t *testing.T) {
	n := map[string]int{}
	for _, f := range feedsBehind(1000, map[string]uint32{"large": 200, "small": 10}) {
		n[f.NextPull(start)]++
	}
	if n["small"] < 20 || n["small"] > 90 || n["large"]+n["small"] != 1000 {
		t.Errorf("pulls by peer: %v, want about one in 21 from the small one", n)
	}
	n = map[string]int{}
	for _, f := range feedsBehind(1000, nil) {
		n[f.NextPull(start)]++
	}
	if n["small"] < 400 || n["small"] > 600 {
		t.Errorf("pulls by peer with unknown links: %v, want equal shares", n)
	}
}

func TestPullPrefersNewestHolder(t *testing.T) {
	for _, f := range feedsBehind(20, nil) {
		f.HandleStatement(start, "newest", core.Statement{Version: 3, Digest: "z"}, time.Time{})
		if from := f.NextPull(start); from != "newest" {
			t.Errorf("%s pulls from %s", f.Self, from)
		}
		f.PullBusy(start, "newest", 100*time.Millisecond)
		if from := f.NextPull(start); from == "newest" || from == "" {
			t.Errorf("%s pulls from %q while the newest holder is busy", f.Self, from)
		}
	}
}

func TestBusyHolderIsSkippedForBoundedTime(t *testing.T) {
	f := feedsBehind(1, nil)[0]
	for _, peer := range []string{"large", "small"} {
		f.PullBusy(start, peer, time.Hour)
	}
	if from := f.NextPull(start.Add(maxBusy - time.Millisecond)); from != "" {
		t.Errorf("%s is asked while busy", from)
	}
	if from := f.NextPull(start.Add(maxBusy)); from == "" {
		t.Error("a box that claimed to be busy for an hour is skipped beyond the bound")
	}
}

// A pull that makes progress must not be duplicated, however long it takes; one that stalls must be replaced.
func TestProgressingPullIsNotDuplicated(t *testing.T) {
	f := feedsBehind(1, nil)[0]
	first := f.NextPull(start)
	now := start
	for range 10 {
		now = now.Add(pullTimeout - time.Millisecond)
		if from := f.NextPull(now); from != "" {
			t.Fatalf("%s is asked during the pull from %s", from, first)
		}
		f.PullProgressed(now)
	}
	if from := f.NextPull(now.Add(pullTimeout)); from == "" {
		t.Error("no other box is asked though the pull has stalled")
	}
}

// A box that knows of newer content and does not get it from peers must read the platform within the bound,
// whatever its rank.
func TestBoxThatIsBehindReadsSoon(t *testing.T) {
	var boxes []string
	for i := range 300 {
		boxes = append(boxes, fmt.Sprint("box", i))
	}
	for _, f := range feedsBehind(300, nil) {
		if f.ReadersAhead(boxes) < readers {
			continue
		}
		told := start.Add(500 * time.Millisecond)
		f.HandleStatement(start, "peer", core.Statement{Version: 1, Digest: "x"}, start) // it was confirmed just now
		if since, newest := f.Behind(); !since.Equal(start) || newest != 2 {
			t.Errorf("%s is behind %d since %v", f.Self, newest, since)
		}
		if f.ShouldRead(told, boxes) {
			t.Errorf("%s reads before its peers could send the document", f.Self)
		}
		if !f.ShouldRead(start.Add(behindAfter+selfReadSpread+time.Millisecond), boxes) {
			t.Errorf("%s does not read though it is behind", f.Self)
		}
		f.ApplyPull(start, 2, "y", 0)
		if since, _ := f.Behind(); !since.IsZero() || f.ShouldRead(start.Add(behindAfter+selfReadSpread+time.Millisecond), boxes) {
			t.Errorf("%s holds the newest content but is behind since %v", f.Self, since)
		}
	}
}

func TestChosenReadersRankFirst(t *testing.T) {
	boxes := []string{"a", "b", "c", "d", "e"}
	ahead := map[int]int{}
	for _, b := range boxes {
		f := NewFeed(b)
		f.Chosen = []string{"d", "b"}
		f.ApplyRead(start, 1, "x", 0)
		n := f.ReadersAhead(boxes)
		ahead[n]++
		if (b == "d" && n != 0) || (b == "b" && n != 1) || (b != "d" && b != "b" && n < 2) {
			t.Errorf("%d boxes read before %s", n, b)
		}
	}
	for n := range boxes {
		if ahead[n] != 1 {
			t.Errorf("ranks %v, want each once", ahead)
		}
	}
}

// Boxes that held the newest content may be dead without having been detected. The content of live boxes,
// older but newer than this box's own, must be pulled soon nevertheless.
func TestDeadHoldersDoNotBlockLiveOnes(t *testing.T) {
	for i := range 20 {
		f := NewFeed(fmt.Sprint("box", i))
		f.ApplyRead(start, 1, "x", 0)
		f.HandleStatement(start, "living", core.Statement{Version: 2, Digest: "y"}, time.Time{})
		for _, dead := range []string{"dead1", "dead2", "dead3"} {
			f.HandleStatement(start, dead, core.Statement{Version: 3, Digest: "z"}, time.Time{})
		}
		now, asked := start, 0
		for ; now.Sub(start) < time.Second; now = now.Add(50 * time.Millisecond) {
			from := f.NextPull(now)
			if from == "living" {
				break
			}
			if from != "" {
				asked++
				f.PullFailed(now, from)
			}
		}
		if now.Sub(start) >= 500*time.Millisecond || asked > 3 {
			t.Errorf("%s asked dead boxes %d times, and the live one after %v", f.Self, asked, now.Sub(start))
		}
	}
}
