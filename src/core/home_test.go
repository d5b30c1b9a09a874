package core

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// homeBox is the view of one box of a list that changes.
type homeBox struct {
	v    *HomeResolver
	seen int // index of the list it holds
}

// Several boxes read a changing list at different times, stale by up to D, with clocks off by up to half
// the skew. No two of them may act as home for the same key.
func TestKeyHasAtMostOneHome(t *testing.T) {
	const freshFor, lag, skew = 3 * time.Second, 2 * time.Second, time.Second
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_000_000, 0)
		names := []string{"a", "b", "c", "d"}
		// The true list changes at these times; a removed box stays out for longer than the lag.
		type change struct {
			at    time.Time
			boxes []ListedBox
		}
		var truth []change
		at := start.Add(-time.Hour)
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			var l []ListedBox
			for _, n := range names {
				if rapid.Bool().Draw(t, n) {
					l = append(l, ListedBox{Name: n, FailureDomain: "d"})
				}
			}
			truth = append(truth, change{at, l})
			at = at.Add(time.Duration(rapid.IntRange(2500, 20000).Draw(t, "hold")) * time.Millisecond)
			if at.Before(start) {
				at = start
			}
		}
		shown := func(read time.Time, stale time.Duration) int {
			i := 0
			for i+1 < len(truth) && !truth[i+1].at.After(read.Add(-stale)) {
				i++
			}
			return i
		}
		anyone := func(string, string) bool { return true }
		homes := map[string][]string{}
		for _, n := range names {
			off := time.Duration(rapid.IntRange(-500, 500).Draw(t, "clock of "+n)) * time.Millisecond
			b := homeBox{v: NewHomeResolver(BoxID{Name: n, Incarnation: 1}), seen: -1}
			b.v.FreshFor, b.v.ListLag, b.v.ClockSkew, b.v.LedgerKeep = freshFor, lag, skew, time.Hour
			now := start.Add(-time.Minute)
			for now.Before(start.Add(40 * time.Second)) {
				now = now.Add(time.Duration(rapid.IntRange(300, 6000).Draw(t, "pace")) * time.Millisecond)
				i := shown(now, time.Duration(rapid.IntRange(0, 2000).Draw(t, "stale"))*time.Millisecond)
				if i >= b.seen { // revisions only rise
					if i > b.seen {
						b.v.Observe(now.Add(off), truth[i].boxes, anyone)
						b.seen = i
					}
					b.v.Confirm(now.Add(off), now.Add(off))
				}
				for s := range 8 {
					made := start.Add(time.Duration(s*5) * time.Second)
					k := Key{ID: NewKeyID(made, [16]byte{9: byte(s * 3), 15: byte(s)})}
					if now.After(made) && b.v.Resolve(now.Add(off), k, "w").Me {
						homes[k.String()] = append(homes[k.String()], n)
					}
				}
			}
		}
		for k, list := range homes {
			if d := distinct(list); len(d) > 1 {
				t.Fatalf("key %s has the homes %v", k, d)
			}
		}
	})
}

func TestNewBoxIsNotHomeOfOldKeys(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	v := NewHomeResolver(BoxID{Name: "a", Incarnation: 1})
	v.FreshFor, v.ListLag, v.ClockSkew, v.LedgerKeep = 3*time.Second, 2*time.Second, time.Second, time.Minute
	v.Observe(now, []ListedBox{{Name: "a", FailureDomain: "d"}}, func(string, string) bool { return true })
	for _, c := range []struct {
		made, read time.Duration
		want       string
	}{
		{made: -time.Second, read: time.Second, want: "HOME_UNSETTLED"},
		{made: 5 * time.Second, read: 5 * time.Second, want: "HOME_UNSETTLED"},
		{made: 7 * time.Second, read: 7 * time.Second, want: "me"},
		{made: 7 * time.Second, read: 3 * time.Second, want: "HOME_UNSETTLED"}, // no recent confirmation
		{made: 20 * time.Second, read: 7 * time.Second, want: "KEY_FROM_FUTURE"},
	} {
		fresh := *v
		at := now.Add(max(c.read, 7*time.Second))
		fresh.Confirm(now.Add(c.read), now.Add(c.read))
		h := fresh.Resolve(at, Key{ID: NewKeyID(now.Add(c.made), [16]byte{9: 1})}, "w")
		got := "me"
		if h.Err != nil {
			got = h.Err.Code.String()
		}
		if got != c.want || h.Me != (c.want == "me") {
			t.Errorf("made %s, read %s: %s, want %s", c.made, c.read, got, c.want)
		}
	}
}

func TestUnlistedLiveBoxPreventsHome(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var outranked bool
	for i := range 20 { // some key ranks b above a
		v := NewHomeResolver(BoxID{Name: "a", Incarnation: 1})
		v.FreshFor, v.ListLag, v.ClockSkew, v.LedgerKeep = 3*time.Second, 2*time.Second, time.Second, time.Minute
		v.Observe(now.Add(-time.Hour), []ListedBox{{Name: "a"}}, func(string, string) bool { return true })
		v.Confirm(now, now)
		k := Key{ID: NewKeyID(now, [16]byte{9: byte(i * 7), 10: byte(i)})}
		if !v.Resolve(now, k, "w").Me {
			t.Fatal("not home without another box")
		}
		v.ObserveHeartbeat(now, "b", "d")
		if h := v.Resolve(now, k, "w"); !h.Me {
			outranked = true
			if rendezvous(k, "b") < rendezvous(k, "a") {
				t.Error("not home although the other box ranks lower")
			}
		}
	}
	if !outranked {
		t.Error("an unlisted box with heartbeats has no effect on the home")
	}
}

func TestSubsetsAreBalanced(t *testing.T) {
	c := benchConfig(t, 600, 1)
	var boxes []string
	for i := range 420 {
		boxes = append(boxes, fmt.Sprintf("box-%03d", i))
	}
	s := Subsets(c.Pool("engines"), boxes, 24)
	least, most := 1<<30, 0
	for _, e := range c.Pool("engines") {
		least, most = min(least, s.Users(e.Name())), max(most, s.Users(e.Name()))
	}
	if least < 80 || most > 90 {
		t.Errorf("engines have %d to %d boxes, want 84 give or take 6", least, most)
	}
	if n := len(s.Of("box-007")); n != 120 {
		t.Errorf("a box uses %d engines, want 24 in each of 5 domains", n)
	}
}
