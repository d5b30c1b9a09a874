package gateway

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/observe"
)

// restoreTable enables runs in large fleets.
var restoreTable = flag.Bool("restore.table", false, "run restores of the store in fleets of 295 and 985 boxes too")

// restoreFleetSizes returns the fleet sizes in which restores are run.
func restoreFleetSizes() []int {
	if *restoreTable {
		return []int{6, 61, 295, 985}
	}
	return []int{6, 61}
}

// storeSnapshot is the store's content at one moment.
type storeSnapshot struct {
	rev     uint64
	catalog *catalog.Catalog
	servers []catalog.Server
	removed map[string]uint64
}

func (f *testFleet) snapshotStore() storeSnapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return storeSnapshot{f.rev, f.catalog, slices.Clone(f.servers), f.removed}
}

// restore makes the store unavailable for a moment and then restores it from a snapshot.
func (f *testFleet) restore(c storeSnapshot, away time.Duration) {
	f.mu.Lock()
	f.storeOK = false
	f.era++
	f.mu.Unlock()
	time.Sleep(away)
	f.mu.Lock()
	f.rev, f.catalog, f.servers, f.removed, f.storeOK = c.rev, c.catalog, slices.Clone(c.servers), c.removed, true
	f.mu.Unlock()
}

// skipRevisions advances the store's revision by changes without effect.
func (f *testFleet) skipRevisions(n uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rev += n
}

// rewrite changes the list of servers.
func (f *testFleet) rewrite(change func(list []catalog.Server, at catalog.Revision) []catalog.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rev++
	f.servers = change(slices.Clone(f.servers), f.revision())
}

// drain marks a server as leaving.
func (f *testFleet) drain(id string) {
	f.rewrite(func(list []catalog.Server, at catalog.Revision) []catalog.Server {
		i := slices.IndexFunc(list, func(s catalog.Server) bool { return s.ID == id })
		list[i].Draining, list[i].Revision = true, at
		return list
	})
}

// deleteEntry removes a server's entry.
func (f *testFleet) deleteEntry(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rev++
	f.servers = slices.DeleteFunc(slices.Clone(f.servers), func(s catalog.Server) bool { return s.ID == id })
	removed := map[string]uint64{id: f.rev}
	for other, at := range f.removed {
		removed[other] = at
	}
	f.removed = removed
}

// join adds a server to a pool.
func (f *testFleet) join(id, pool string) {
	f.rewrite(func(list []catalog.Server, at catalog.Revision) []catalog.Server {
		return append(list, catalog.Server{ID: id, Pool: pool, Domain: "d", Slots: 1, Revision: at})
	})
}

// forEachFleetSize runs a test in fleets of all sizes.
func forEachFleetSize(t *testing.T, run func(t *testing.T, f *testFleet, boxes int)) {
	for _, boxes := range restoreFleetSizes() {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, boxes)
				settle()
				run(t, f, boxes)
			})
		})
	}
}

func TestServerLeavingAfterRestoreIsDropped(t *testing.T) {
	leave := map[string]func(f *testFleet){
		"says that it leaves":  func(f *testFleet) { f.drain("model1") },
		"its entry is removed": func(f *testFleet) { f.deleteEntry("model1") },
	}
	for what, leave := range leave {
		for _, lost := range []uint64{3, 40} {
			t.Run(fmt.Sprint(what, ", ", lost, " changes lost"), func(t *testing.T) {
				forEachFleetSize(t, func(t *testing.T, f *testFleet, boxes int) {
					c := f.snapshotStore()
					f.skipRevisions(lost)
					f.publish(testCatalog(2))
					time.Sleep(3 * time.Second)
					f.restore(c, 500*time.Millisecond)
					f.publish(testCatalog(2))
					time.Sleep(3 * time.Second)
					leave(f)
					if last := f.lastUse("model1", boxes, 8*time.Second); last > dropBound {
						t.Errorf("a box used the server for %s after it had left, want %s at most", last, dropBound)
					}
				})
			})
		}
	}
}

func TestReaderAcceptsPreviouslySkippedList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		settle()
		g := f.box("box0")
		ahead := catalog.ListAt(catalog.RevisionFromWire(f.rev+2, f.era))
		g.applyServers(catalog.ByID(f.servers[1:]), ahead, time.Time{}, "a box with a revision of another history")
		time.Sleep(3 * time.Second)
		if !g.mayUse("piece0") {
			t.Error("a list that was skipped while a later one was held is not applied once it is the newest")
		}
	})
}

func TestRestoreIsCountedOncePerBox(t *testing.T) {
	for _, boxes := range []int{6, 61} {
		synctest.Test(t, func(t *testing.T) {
			f := newEmptyFleet(t)
			counted := make([]atomic.Int32, boxes)
			f.watcher = func(box string) observe.Gateway {
				i, _ := strconv.Atoi(strings.TrimPrefix(box, "box"))
				return observe.Gateway{Restored: func() { counted[i].Add(1) }}
			}
			for i := range boxes {
				f.start(fmt.Sprint("box", i))
			}
			settle()
			for n := int32(1); n <= 2; n++ {
				c := f.snapshotStore()
				f.skipRevisions(40)
				time.Sleep(2 * time.Second)
				f.restore(c, 500*time.Millisecond)
				time.Sleep(4 * time.Second)
				for i := range counted {
					if got := counted[i].Load(); got != n {
						t.Errorf("box%d of %d counts %d restores, want %d", i, boxes, got, n)
					}
				}
			}
		})
	}
}

// leavingBound is the time within which all boxes know of a leaving server while the store's readers fail:
// two thirds of the time in which such a server may still get requests, which is longer in larger fleets.
func leavingBound(boxes int) time.Duration {
	bound := 2 * time.Second
	for _, size := range []int{60, 200, 600} {
		if boxes >= size {
			bound += time.Second
		}
	}
	return bound * 2 / 3
}

// leaveAfterRestore restores the store, has a server leave 4 s later, and checks when the last reachable box
// uses it.
func (f *testFleet) leaveAfterRestore(boxes int, trouble func()) {
	f.t.Helper()
	before := f.snapshotStore()
	f.skipRevisions(40)
	time.Sleep(2 * time.Second)
	trouble()
	var lost []string
	f.mu.Lock()
	for address, gone := range f.lost {
		if gone {
			lost = append(lost, address)
		}
	}
	f.mu.Unlock()
	f.restore(before, 500*time.Millisecond)
	time.Sleep(4 * time.Second)
	f.drain("model1")
	last := time.Duration(0)
	for began := time.Now(); time.Since(began) < 8*time.Second; time.Sleep(10 * time.Millisecond) {
		users := slices.DeleteFunc(f.boxesUsing("model1", boxes), func(box string) bool { return slices.Contains(lost, addressOf(box)) })
		if len(users) > 0 {
			last = time.Since(began)
		}
	}
	f.t.Logf("%d boxes: last use after %s", boxes, last)
	if want := leavingBound(boxes); last > want {
		f.t.Errorf("a box used the server for %s after it had left, want %s at most", last, want)
	}
}

func TestServerLeavingAfterRestoreIsDroppedWithoutReaders(t *testing.T) {
	troubles := map[string]func(f *testFleet, readers []string){
		"the store refuses them": func(f *testFleet, readers []string) {
			f.refuseReads(func(box string) bool { return slices.Contains(readers, box) })
		},
		"the store does not answer them": func(f *testFleet, readers []string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.storeSilent = func(box string) bool { return slices.Contains(readers, box) }
		},
		"they are lost": func(f *testFleet, readers []string) {
			for _, box := range readers {
				f.setLost(box, true)
			}
		},
		"the store refuses seven boxes of ten": func(f *testFleet, _ []string) {
			f.refuseReads(func(box string) bool { return catalog.Hash("turned away", box)%10 < 7 })
		},
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			forEachFleetSize(t, func(t *testing.T, f *testFleet, boxes int) {
				f.t = t
				f.leaveAfterRestore(boxes, func() { trouble(f, f.storeReaders()) })
			})
		})
	}
}

func TestServerLeavingAfterRestoreIsDroppedWithOneReader(t *testing.T) {
	forEachFleetSize(t, func(t *testing.T, f *testFleet, boxes int) {
		last := fmt.Sprint("box", boxes-1)
		f.leaveAfterRestore(boxes, func() { f.refuseReads(func(box string) bool { return box != last }) })
	})
}
