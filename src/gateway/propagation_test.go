package gateway

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// propagationBound is one of the users' bounds on how soon all boxes act on a change.
type propagationBound struct {
	name   string
	bySize map[int]time.Duration // by number of boxes, as users of sites of about that size ask; a size twice as large has the same bound
	change func(f *testFleet)
	// stale reports whether a box still acts as before the change.
	stale func(g *Gateway) bool
}

// propagationBounds returns the bounds that depend on how soon all boxes know of a change. Propagation may
// use two thirds of each; the rest is left to connections, slow machines and slow links, which virtual time
// does not model.
func propagationBounds() []propagationBound {
	uses := func(g *Gateway) bool { return g.mayUse("model1") }
	soon := map[int]time.Duration{6: 2 * time.Second, 61: 3 * time.Second, 295: 4 * time.Second, 985: 5 * time.Second}
	later := map[int]time.Duration{6: 5 * time.Second, 61: 5 * time.Second, 295: 5 * time.Second, 985: 5 * time.Second}
	return []propagationBound{
		{"a server leaves, its entry is marked as draining", soon, func(f *testFleet) {
			list := slices.Clone(f.servers)
			list[slices.IndexFunc(list, func(s catalog.Server) bool { return s.ID == "model1" })].Draining = true
			f.setServers(list)
		}, uses},
		{"a server leaves, its entry is removed", soon, func(f *testFleet) { f.remove("model1") }, uses},
		{"a configuration is accepted", soon, func(f *testFleet) { f.publish(testCatalog(2)) }, func(g *Gateway) bool { return g.Version() < 2 }},
		{"a token is revoked", later, func(f *testFleet) {
			c := testCatalog(2)
			c.Workspaces[0].Tokens = []string{"another"}
			f.publish(c)
		}, func(g *Gateway) bool { return g.index.Load().Workspace("token") != nil }},
		{"a failure domain is evacuated", later, func(f *testFleet) {
			c := testCatalog(1)
			c.Evacuated = []string{"d"}
			f.publish(c)
		}, uses},
	}
}

// setServers replaces the store's list of servers and leaves its availability as it is.
func (f *testFleet) setServers(list []catalog.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listLocked(list)
}

// disturbance is a fault that occurs together with a change.
type disturbance struct {
	name  string
	apply func(f *testFleet, readers []string)
}

var (
	noDisturbance  = disturbance{"quiet", func(*testFleet, []string) {}}
	readerDies     = disturbance{"a reader dies", func(f *testFleet, readers []string) { f.kill(readers[0]) }}
	readersRefused = disturbance{"the store refuses the readers", func(f *testFleet, readers []string) {
		f.refuseReads(func(box string) bool { return slices.Contains(readers, box) })
		time.Sleep(500 * time.Millisecond)
	}}
	readersUnanswered = disturbance{"the store does not answer the readers", func(f *testFleet, readers []string) {
		f.silence(func(box string) bool { return slices.Contains(readers, box) })
		time.Sleep(500 * time.Millisecond)
	}}
	mostRefused = disturbance{"the store refuses the readers and half of all others", func(f *testFleet, readers []string) {
		f.refuseReads(func(box string) bool { return slices.Contains(readers, box) || catalog.Hash(box)%2 == 0 })
		time.Sleep(3 * time.Second)
	}}
)

// silence makes the store leave reads of some boxes unanswered.
func (f *testFleet) silence(unheard func(box string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeSilent = unheard
}

// The last box knows within two thirds of each bound: without a fault, when a reader dies at the moment of
// the change and, in a small fleet, when the store has refused the three readers since half a second before
// the change.
func TestChangePropagationBounds(t *testing.T) {
	for _, b := range propagationBounds() {
		for _, trouble := range []disturbance{noDisturbance, readerDies} {
			b.run(t, trouble, 6)
			b.run(t, trouble, 61)
		}
		b.run(t, readersRefused, 6)
	}
	for _, b := range propagationBounds()[:3] {
		b.run(t, readerDies, 295)
	}
}

// The same in larger fleets while the three readers are refused or unanswered, and also while half of the
// other boxes are refused.
func TestChangePropagationWithoutReaders(t *testing.T) {
	for _, b := range propagationBounds() {
		b.run(t, readersRefused, 61)
		b.run(t, readersRefused, 295)
		b.run(t, readersUnanswered, 61)
		b.run(t, mostRefused, 61)
		if *spreadTable {
			b.run(t, readersUnanswered, 295)
			b.run(t, mostRefused, 295)
			b.run(t, readersRefused, 985)
			b.run(t, readersUnanswered, 985)
		}
	}
}

func (b *propagationBound) run(t *testing.T, trouble disturbance, boxes int) {
	bound := b.bySize[boxes]
	t.Run(fmt.Sprintf("%s, %s, %d boxes", b.name, trouble.name, boxes), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, boxes)
			time.Sleep(6 * time.Second)
			readers := f.storeReaders()
			trouble.apply(f, readers)
			b.change(f)
			last := f.lastStale(boxes, b.stale, bound+time.Second)
			t.Logf("the last box knew after %s of %s", last, bound)
			if most := bound * 2 / 3; last > most {
				t.Errorf("the last box knew after %s, want %s at most", last, most)
			}
		})
	})
}

// lastStale returns when, during a period, a box last acted as before a change. Boxes that were killed don't
// count.
func (f *testFleet) lastStale(boxes int, stale func(*Gateway) bool, watch time.Duration) time.Duration {
	last := time.Duration(0)
	for began := time.Now(); time.Since(began) < watch; time.Sleep(50 * time.Millisecond) {
		for i := range boxes {
			name := fmt.Sprint("box", i)
			if f.isLost(name) || !stale(f.box(name)) {
				continue
			}
			last = time.Since(began)
			break
		}
	}
	return last
}

func (f *testFleet) isLost(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost[addressOf(name)]
}
