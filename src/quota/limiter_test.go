package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// In any four seconds the permits stay within what a server can take, whatever is requested and however
// late permits are used in their time; a limiter that is asked constantly grants nearly the whole limit.
func TestLimiterStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var k Limiter
		perSecond := rapid.SampledFrom([]float64{0.1, 0.7, 1, 1.1, 4, 20, 333, 5000}).Draw(t, "limit")
		now := start
		var used []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			a := PermitRequest{Server: "s", PerSecond: perSecond, Patience: time.Duration(rapid.IntRange(0, 2000).Draw(t, "patience")) * time.Millisecond, Wants: rapid.IntRange(1, 100).Draw(t, "wants")}
			g := k.Take(now, a, 1)
			if g.Permits > 0 && g.Begin > a.Patience {
				t.Fatalf("a permit that begins after %s for a patience of %s", g.Begin, a.Patience)
			}
			late := time.Duration(rapid.IntRange(0, 249).Draw(t, "late")) * time.Millisecond
			for range g.Permits {
				used = append(used, now.Add(g.Begin+late))
			}
		}
		slices.SortFunc(used, time.Time.Compare)
		if most := maxInWindow(used, 4*time.Second); most > allowed(perSecond) {
			t.Fatalf("%d permits within 4 s at %g a second, want %d at most", most, perSecond, allowed(perSecond))
		}
	})
}

// A box takes a server over from another that does not know it yet, so both grant permits for two seconds.
func TestTakeoverStaysWithinLimit(t *testing.T) {
	for _, perSecond := range []float64{1, 4, 50, 2000} {
		var before, after Limiter
		var used []time.Time
		take := func(k *Limiter, now time.Time) {
			g := k.Take(now, PermitRequest{Server: "s", PerSecond: perSecond, Known: time.Minute, Wants: 100}, 1)
			for range g.Permits {
				used = append(used, now)
			}
		}
		for at := time.Duration(0); at < 14*time.Second; at += 5 * time.Millisecond {
			if at < 8*time.Second {
				take(&before, start.Add(at))
			}
			if at >= 6*time.Second {
				take(&after, start.Add(at))
			}
		}
		most := maxInWindow(used, 4*time.Second)
		t.Logf("%g a second: at most %d in 4 s, %d allowed", perSecond, most, allowed(perSecond))
		if most > allowed(perSecond) {
			t.Errorf("%d permits within 4 s at %g a second, want %d at most", most, perSecond, allowed(perSecond))
		}
	}
}

func TestLimiterGrantsItsPart(t *testing.T) {
	for _, c := range []struct {
		name     string
		part     float64
		standsIn bool
		want     float64
	}{{"all", 1, false, 1}, {"half reachable", 0.5, false, 0.5}, {"substitute", 1, true, takeoverPart}, {"none reachable", 0, false, 0}} {
		var k Limiter
		n := 0
		for at := time.Duration(0); at < 20*time.Second; at += 10 * time.Millisecond {
			n += k.Take(start.Add(at), PermitRequest{Server: "s", PerSecond: 10, Wants: 1, Substitute: c.standsIn}, c.part).Permits
		}
		if got := float64(n) / 200; got < c.want-0.05 || got > c.want+0.05 {
			t.Errorf("%s: %.2f of the limit granted, want %.2f", c.name, got, c.want)
		}
	}
}

// A changed limit applies at once, also to permits granted ahead; a new incarnation of the server starts
// afresh.
func TestChangedLimitAppliesAtOnce(t *testing.T) {
	var k Limiter
	for range 20 { // two seconds ahead
		k.Take(start, PermitRequest{Server: "s", PerSecond: 10, Patience: 2 * time.Second, Wants: 1}, 1)
	}
	if g := k.Take(start, PermitRequest{Server: "s", PerSecond: 10, Wants: 1}, 1); g.Next < 1500*time.Millisecond {
		t.Fatalf("the next permit is free after %s", g.Next)
	}
	if g := k.Take(start, PermitRequest{Server: "s", PerSecond: 100, Wants: 1}, 1); g.Next > 300*time.Millisecond {
		t.Errorf("at ten times the limit the next permit is free after %s", g.Next)
	}
	if g := k.Take(start, PermitRequest{Server: "s", Incarnation: 1, PerSecond: 10, Wants: 1}, 1); g.Permits != 1 {
		t.Error("a new incarnation of the server has no permit")
	}
}

// Boxes that get no permit get a later time to ask again, so that the load of a coordinator follows the limit.
func TestAsksPerSecondAreBounded(t *testing.T) {
	for _, boxes := range []int{6, 61, 985, 2000} {
		var k Limiter
		until := make([]time.Time, boxes)
		asked, got := 0, 0
		const seconds = 20
		for at := time.Duration(0); at < seconds*time.Second; at += 10 * time.Millisecond {
			for i := range until {
				if now := start.Add(at); !now.Before(until[i]) {
					g := k.Take(now, PermitRequest{Server: "s", PerSecond: 1, Wants: 1}, 1)
					asked++
					got += g.Permits
					until[i] = now.Add(max(g.Next, time.Millisecond))
				}
			}
		}
		t.Logf("%d boxes: %d questions a second, %d permits in %d s", boxes, asked/seconds, got, seconds)
		if most := 250; asked/seconds > most || got < seconds-2 {
			t.Errorf("%d boxes: %d questions a second, want %d at most; %d permits", boxes, asked/seconds, most, got)
		}
	}
}

func TestLimiterForgetsUnusedServers(t *testing.T) {
	var k Limiter
	for i := range 100 {
		k.Take(start, PermitRequest{Server: fmt.Sprint(i), PerSecond: 1, Wants: 1}, 1)
	}
	k.Sweep(start.Add(serverTTL / 2))
	if k.Size() != 100 {
		t.Errorf("%d servers are kept of 100", k.Size())
	}
	k.Sweep(start.Add(2 * serverTTL))
	if k.Size() != 0 {
		t.Errorf("%d servers are kept that nobody asks for", k.Size())
	}
}

// Boxes that are replaced one after the other coordinate a server each; each goes on for a second next to
// its successor.
func TestSuccessiveTakeoversStayWithinLimit(t *testing.T) {
	for _, perSecond := range []float64{4, 50, 2000} {
		var used []time.Time
		limiters := make([]Limiter, 10)
		for at := time.Duration(0); at < 10*time.Second; at += 5 * time.Millisecond {
			for i := range limiters {
				if from := time.Duration(i) * time.Second; at < from || at >= from+2*time.Second {
					continue
				}
				g := limiters[i].Take(start.Add(at), PermitRequest{Server: "s", PerSecond: perSecond, Known: time.Minute, Wants: 100}, 1)
				for range g.Permits {
					used = append(used, start.Add(at))
				}
			}
		}
		most := maxInWindow(used, 4*time.Second)
		t.Logf("%g a second: at most %d in 4 s, %d allowed", perSecond, most, allowed(perSecond))
		if most > allowed(perSecond) {
			t.Errorf("%d permits within 4 s at %g a second, want %d at most", most, perSecond, allowed(perSecond))
		}
	}
}
