package gateway

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// newMixedFleet returns a fleet in which some boxes behave as those of a release without eras: newer fields
// are dropped on the way to and from them, and they read the store's plain revision numbers.
func newMixedFleet(t *testing.T, boxes int, earlier func(box string) bool) *testFleet {
	f := newEmptyFleet(t)
	f.oldRelease = earlier
	boxAt := func(address string) string { return strings.TrimSuffix(address, ":1") }
	f.alterBeat = func(to string, b *core.Beat) {
		if earlier(boxAt(to)) || earlier(b.From.ID.Name) {
			b.Era, b.Settled, b.Closures, b.Doubts, b.Config.Content, b.List.Content = 0, false, nil, nil, 0, 0
			b.Config.Reader, b.List.Reader = 0, 0
		}
	}
	for i := range boxes {
		box := fmt.Sprint("box", i)
		f.onAnswer[addressOf(box)] = func(to string, _ port.Question, a *port.Answer) error {
			if a.Publish != nil && (earlier(box) || earlier(boxAt(to))) {
				a.Publish.Era = 0
			}
			return nil
		}
	}
	for i := range boxes {
		f.start(fmt.Sprint("box", i))
	}
	settle()
	return f
}

// withoutEras wraps the store as a release without eras reads it.
func (f *testFleet) withoutEras(s Store) Store {
	number := func(r catalog.Revision) catalog.Revision { return catalog.RevisionFromWire(r.Number(), 0) }
	after := func(r catalog.Revision) catalog.Revision {
		f.mu.Lock()
		defer f.mu.Unlock()
		out, _ := catalog.RevisionAt(f.era, r.Number())
		return out
	}
	entry := func(s catalog.Server) catalog.Server {
		s.Revision = number(s.Revision)
		return s
	}
	return Store{
		Catalog: func(ctx context.Context) (catalog.PublishedChange, catalog.Revision, error) {
			c, at, err := s.Catalog(ctx)
			return c, number(at), err
		},
		Servers: func(ctx context.Context) ([]catalog.Server, catalog.Revision, error) {
			list, at, err := s.Servers(ctx)
			for i := range list {
				list[i] = entry(list[i])
			}
			return list, number(at), err
		},
		WatchCatalog: func(ctx context.Context, from catalog.Revision, wait time.Duration) (catalog.PublishedChange, catalog.Revision, error) {
			c, at, err := s.WatchCatalog(ctx, after(from), wait)
			return c, number(at), err
		},
		WatchServers: func(ctx context.Context, from catalog.Revision, wait time.Duration) ([]catalog.ServerChange, catalog.Revision, error) {
			changes, at, err := s.WatchServers(ctx, after(from), wait)
			for i := range changes {
				changes[i].Server = entry(changes[i].Server)
			}
			return changes, number(at), err
		},
	}
}

// runMixedReleases has a server leave in a fleet of which some boxes are of an earlier release, before or
// after a restore.
func runMixedReleases(t *testing.T, boxes int, restored bool, earlier func(i int) bool) {
	synctest.Test(t, func(t *testing.T) {
		f := newMixedFleet(t, boxes, func(box string) bool {
			i, err := strconv.Atoi(strings.TrimPrefix(box, "box"))
			return err == nil && earlier(i)
		})
		c := f.snapshotStore()
		f.skipRevisions(40)
		f.publish(testCatalog(2))
		time.Sleep(2 * time.Second)
		if restored {
			f.restore(c, 500*time.Millisecond)
			time.Sleep(4 * time.Second)
		}
		f.drain("model1")
		last := f.lastUse("model1", boxes, 8*time.Second)
		t.Logf("%d boxes: last use after %s", boxes, last)
		if want := leavingBound(boxes); last > want {
			t.Errorf("a box used the server for %s after it had left, want %s at most", last, want)
		}
	})
}

func TestLeavingServerIsDroppedDuringUpgrade(t *testing.T) {
	mixes := map[string]func(i int) bool{
		"one box of five is of an earlier release": func(i int) bool { return i%5 == 4 },
		"one box of five is of this release":       func(i int) bool { return i%5 != 4 },
	}
	for name, earlier := range mixes {
		for _, restored := range []bool{false, true} {
			for _, boxes := range restoreFleetSizes() {
				t.Run(fmt.Sprint(name, ", restored: ", restored, ", ", boxes, " boxes"), func(t *testing.T) { runMixedReleases(t, boxes, restored, earlier) })
			}
		}
	}
}

func TestLeavingServerIsDroppedWithOneEraAwareBox(t *testing.T) {
	for _, restored := range []bool{false, true} {
		for _, boxes := range restoreFleetSizes() {
			t.Run(fmt.Sprint("restored: ", restored, ", ", boxes, " boxes"), func(t *testing.T) {
				runMixedReleases(t, boxes, restored, func(i int) bool { return i < boxes-1 })
			})
		}
	}
}

// Guards against a box that first hears of an era after a restore and takes the higher numbers of boxes that send none for
// newer ones.
func TestEarlierNumbersAreNotAssignedToTheEraOfARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const aware = "box5"
		f := newMixedFleet(t, 6, func(box string) bool { return box != aware })
		c := f.snapshotStore()
		f.skipRevisions(40)
		f.publish(testCatalog(2))
		time.Sleep(2 * time.Second)
		f.restore(c, 500*time.Millisecond)
		p := &f.box(aware).published
		known := false
		for began := time.Now(); time.Since(began) < 6*time.Second; time.Sleep(5 * time.Millisecond) {
			for _, document := range []string{port.DocumentConfig, port.DocumentServers} {
				p.mu.Lock()
				held := p.heldRevision(document)
				p.mu.Unlock()
				known = known || held.Era() == f.era
				if held.Era() == f.era && held.Number() > 40 {
					t.Fatalf("%s at revision %s, which the store has not reached", document, held)
				}
			}
		}
		if !known {
			t.Error("the box did not hear of the era")
		}
	})
}
