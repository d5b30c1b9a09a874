package gateway

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/candidates"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/port"
)

// The list sizes that are compared: a typical fleet, and twice the largest known one.
const (
	fewServers  = 600
	manyServers = 15_000
)

// allocated returns the mean number of bytes that a piece of work allocates at a gateway that knows so many
// model servers.
func allocated(t *testing.T, servers int, prepare func(g *Gateway) func(i int)) float64 {
	t.Helper()
	g := benchGateway(t, servers, 0)
	work := prepare(g)
	const times = 40
	work(0)
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range times {
		work(i + 1)
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / times
}

// The cost of a change of one server does not depend on the length of the list: at a box that gets the
// difference, at one whose list has changed since, at a reader of the store and at one that passes the change
// on. Copying lists allocated 9.9 MB among 10,000 servers, 16 times what it did among 600; differences
// allocate 1.1 to 5.6 kB at both sizes.
func TestServerChangeCostIsIndependentOfListSize(t *testing.T) {
	changed := func(i int) catalog.Server {
		return catalog.Server{ID: "i-00000007", Pool: "model", Address: "10.0.0.7:80", Domain: "d3", Slots: 65 + i}
	}
	for name, prepare := range map[string]func(g *Gateway) func(i int){
		"difference received": func(g *Gateway) func(int) {
			return func(i int) {
				l := g.published.list
				d := &catalog.Difference{Put: []catalog.Server{changed(i)}}
				g.applyDifference(&port.Published{AsOf: uint64(100 + i), Base: l.Digest(), Digest: l.DigestAfter(*d), Since: d}, "peer")
			}
		},
		"difference to an earlier list received": func(g *Gateway) func(int) {
			return func(i int) {
				base := g.published.list.Digest()
				for k, id := range []string{"i-00000008", "i-00000009"} {
					d := catalog.Difference{Put: []catalog.Server{{ID: id, Pool: "model", Domain: "d0", Slots: 64 + i}}}
					g.applyDifference(&port.Published{AsOf: uint64(100 + 4*i + k), Base: g.published.list.Digest(), Digest: g.published.list.DigestAfter(d), Since: &d}, "peer")
				}
				d := catalog.Difference{Put: []catalog.Server{changed(i)}}
				after, _ := g.published.list.Rebase(base, d)
				g.applyDifference(&port.Published{AsOf: uint64(100 + 4*i + 3), Base: base, Digest: g.published.list.DigestAfter(after), Since: &d}, "peer")
			}
		},
		"read from the store": func(g *Gateway) func(int) {
			l := &catalog.Listing{}
			l.Replace(g.published.list.Servers())
			l.Changes()
			return func(i int) {
				l.Put(changed(i))
				g.applyListing(l, catalog.State(100+i), time.Now())
			}
		},
		"difference passed on": func(g *Gateway) func(int) {
			return func(i int) {
				q := g.published.pullRequest(port.DocumentServers)
				d := catalog.Difference{Put: []catalog.Server{changed(i)}}
				g.applyDifference(&port.Published{AsOf: uint64(100 + i), Base: g.published.list.Digest(), Digest: g.published.list.DigestAfter(d), Since: &d}, "peer")
				if given := g.answerPull(q); given.Since == nil || len(given.Since.Put) != 1 {
					t.Errorf("passed on as %+v", given)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			few, many := allocated(t, fewServers, prepare), allocated(t, manyServers, prepare)
			t.Logf("%.0f and %.0f bytes", few, many)
			if many > 2*few {
				t.Errorf("a change allocates %.0f bytes with %d servers, %.0f with %d", few, fewServers, many, manyServers)
			}
		})
	}
}

// maxBytesPerServer bounds what a box keeps for each server that it knows: the shared entry and a place in
// each of four maps.
const maxBytesPerServer = 700

// What a box keeps of a list grows with the list and not with the number of its changes.
func TestListMemoryIsIndependentOfHistory(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	g := benchGateway(t, manyServers, 0)
	for i := range 2 * manyChanges {
		d := catalog.Difference{Put: []catalog.Server{{ID: fmt.Sprintf("i-%08x", i), Pool: "model", Domain: "d0", Slots: 65}}}
		g.applyDifference(&port.Published{AsOf: uint64(100 + i), Base: g.published.list.Digest(), Digest: g.published.list.DigestAfter(d), Since: &d}, "peer")
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	each := float64(after.HeapAlloc-before.HeapAlloc) / float64(g.published.list.Len())
	t.Logf("%.0f bytes a server", each)
	if each > maxBytesPerServer {
		t.Errorf("a box keeps %.0f bytes per server, want at most %d", each, maxBytesPerServer)
	}
	runtime.KeepAlive(g)
}

// manyChanges is more changes than a box remembers.
const manyChanges = 100

// A box with stable membership recomputes schedulers and readers a few times a minute and not with each tick;
// a membership change, and the end of a period that the choice depends on, take effect within a tenth of a
// second.
func TestRosterIsRebuiltOnlyOnChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 30)
		time.Sleep(candidates.SettledAfter + candidates.CohortSpread)
		g := f.box("box7")
		rebuilds := func(watch time.Duration) (times int) {
			var last *candidates.Box // a rebuild makes a new list
			for began := time.Now(); time.Since(began) < watch; time.Sleep(candidates.MinValidity / 4) {
				if first := &g.fleet.boxesToAsk(g.now())[0]; first != last {
					times, last = times+1, first
				}
			}
			return times
		}
		if n, most := rebuilds(time.Minute), 1+int(time.Minute/candidates.MaxValidity); n > most {
			t.Errorf("the roster was rebuilt %d times in a minute without a change, want at most %d", n, most)
		}
		f.kill("box20")
		for began := time.Now(); slices.Contains(g.fleet.usable(), "box20"); time.Sleep(candidates.MinValidity / 4) {
			if time.Since(began) > 10*time.Second {
				t.Fatal("a killed box still counts as usable")
			}
		}
		time.Sleep(2 * candidates.MinValidity)
		held := slices.Contains(candidates.Schedulers(g.fleet.boxesToAsk(g.now())), "box20")
		if held {
			t.Error("a box that is gone is still eligible as scheduler")
		}
		f.start("box30")
		time.Sleep(candidates.SettledAfter + time.Second)
		if !slices.Contains(candidates.Schedulers(g.fleet.boxesToAsk(g.now())), "box30") {
			t.Error("a settled box is not eligible as scheduler")
		}
	})
}

// A claim changes no member's state. It takes effect at all boxes soon all the same.
func TestClaimAppliesWithoutMembershipChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const boxes = 24
		f := newTestFleet(t, boxes)
		time.Sleep(candidates.SettledAfter + candidates.CohortSpread)
		claimant := "box3"
		if f.box("box0").schedulerOf("encode", nil) == claimant {
			claimant = "box4"
		}
		f.box(claimant).fleet.claim("encode")
		time.Sleep(3 * time.Second)
		for i := range boxes {
			if got := f.box(fmt.Sprint("box", i)).schedulerOf("encode", nil); got != claimant {
				t.Errorf("box%d takes %s for the scheduler, want %s", i, got, claimant)
			}
		}
	})
}
