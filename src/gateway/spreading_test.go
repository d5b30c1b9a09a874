package gateway

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// applyBound is the time within which an accepted configuration must be in force on every box.
const applyBound = 3 * time.Second

// spreadTable plays the whole table of docs/CAPACITY.md and not its first rows only.
var spreadTable = flag.Bool("spread.table", false, "play all sizes of fleets and configurations")

// wantedBound is the time within which a change is wanted on all boxes of a calm fleet of any size.
const wantedBound = 1500 * time.Millisecond

// How long a change of 1,400 routes takes to all boxes, by the size of the fleet and of the configuration.
func TestAChangeReachesAllBoxesOfFleetsOfAnySize(t *testing.T) {
	fleets, documents := []int{61}, []int{1400, 10000}
	if *spreadTable {
		fleets, documents = []int{61, 295, 420, 1000}, []int{1400, 5600, 10000}
	}
	for _, boxes := range fleets {
		for _, routes := range documents {
			t.Run(fmt.Sprintf("boxes=%d/routes=%d", boxes, routes), func(t *testing.T) { playSpread(t, boxes, routes) })
		}
	}
}

// playSpread has a fleet hold all but the last 1,400 routes and publishes those.
func playSpread(t *testing.T, boxes, routes int) {
	synctest.Test(t, func(t *testing.T) {
		const change = 1400
		f := newEmptyFleet(t)
		f.links = newLinks(func(box string) float64 {
			var i int
			if _, err := fmt.Sscanf(box, "box%d", &i); err != nil || i%16 != 5 {
				return 20
			}
			return 200
		})
		f.catalog = withRoutes(f.catalog, routes-change)
		for i := range boxes {
			f.start(fmt.Sprint("box", i))
		}
		first, missing := f.arrivals(f.catalog.Version, 30*time.Second)
		time.Sleep(6 * time.Second)
		before := f.links.received()
		next := withRoutes(f.catalog, change)
		f.publish(next)
		last, missingAfter := f.arrivals(next.Version, 12*time.Second)
		time.Sleep(2 * time.Second)
		t.Logf("start %v (%d missing); change %v (%d missing), %d bytes a box", first, missing, last, missingAfter, (f.links.received()-before)/boxes)
		if last > wantedBound {
			t.Errorf("the last of %d boxes after %v, want %v", boxes, last, wantedBound)
		}
	})
}

// bytesPerRoute is what one more route may cost each box on average: twice its size in a message.
const bytesPerRoute = 240

// A fleet of small boxes and a few large ones, as fleets are: one in ten has 200 Mbit/s, the others 10.
func mixedLinks() *links {
	return newLinks(func(box string) float64 {
		var i int
		if _, err := fmt.Sscanf(box, "box%d", &i); err != nil || i%10 != 5 {
			return 10
		}
		return 200
	})
}

// The configuration grows by 1,400 routes at a time. Each change is in force on all boxes in time, however
// large the document has become, and costs bytes in proportion to the change.
func TestAGrowingConfigurationReachesAllBoxesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const boxes, routes = 61, 1400
		f := newEmptyFleet(t)
		f.links = mixedLinks()
		for i := range boxes {
			f.start(fmt.Sprint("box", i))
		}
		time.Sleep(5 * time.Second)
		for range 4 {
			before := f.links.received()
			next := withRoutes(f.catalog, routes)
			f.publish(next)
			last, missing := f.arrivals(next.Version, 12*time.Second)
			time.Sleep(3 * time.Second) // transfers that are under way still load the links
			each := (f.links.received() - before) / boxes
			t.Logf("%d routes: the last of %d boxes after %v, %d without it, %d bytes a box", len(next.Pipelines), boxes, last, missing, each)
			if last > applyBound {
				t.Errorf("%d routes: the last of %d boxes took %v, want %v at most; %d were without it", len(next.Pipelines), boxes, last, applyBound, missing)
			}
			if each > bytesPerRoute*routes {
				t.Errorf("%d routes: a change of %d cost %d bytes a box, want %d at most", len(next.Pipelines), routes, each, bytesPerRoute*routes)
			}
			time.Sleep(3 * time.Second)
		}
	})
}

// A read of the store is limited by its progress and not by a time that a large document on a slow link
// does not meet.
func TestALargeConfigurationIsReadOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEmptyFleet(t)
		f.links = newLinks(func(string) float64 { return 2 }) // a fifth of the smallest link: beside other traffic
		f.catalog = withRoutes(f.catalog, 5600)
		f.start("box0")
		if took, missing := f.arrivals(f.catalog.Version, 9*time.Second); missing > 0 {
			t.Errorf("the only box had no configuration after %v", took)
		}
		next := withRoutes(f.catalog, 1)
		f.publish(next)
		if took, missing := f.arrivals(next.Version, 9*time.Second); missing > 0 {
			t.Errorf("the only box did not have the change after %v", took)
		}
	})
}

// While the store turns most boxes away, a third of the boxes are killed and return with nothing.
func TestAChangeGoesRoundThoughMostAreTurnedAwayAndAThirdIsKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const boxes = 61
		f := newEmptyFleet(t)
		f.links = mixedLinks()
		f.catalog = withRoutes(f.catalog, 4200)
		for i := range boxes {
			f.start(fmt.Sprint("box", i))
		}
		time.Sleep(8 * time.Second)
		f.mu.Lock()
		f.turnsAway = func(box string) bool { return catalog.Hash(box)%10 < 7 }
		f.mu.Unlock()
		for i := 0; i < boxes; i += 3 {
			f.kill(fmt.Sprint("box", i))
		}
		time.Sleep(2 * time.Second)
		next := withRoutes(f.catalog, 1400)
		f.publish(next)
		for i := 0; i < boxes; i += 3 {
			f.start(fmt.Sprint("box", i))
		}
		last, missing := f.arrivals(next.Version, 12*time.Second)
		t.Logf("the last of %d boxes after %v", boxes, last)
		if last > 2*applyBound { // the readers are lost, and 7 in 10 of those that follow are turned away
			t.Errorf("the last box after %v, %d without it", last, missing)
		}
	})
}

// Readers are boxes that can carry the document, in different failure domains; a few of all where none can.
func TestReadersCanCarryTheDocument(t *testing.T) {
	for fleet := range 20 {
		var all []schedulerCandidate
		large, domain := map[string]bool{}, map[string]string{}
		for i := range 40 {
			c := schedulerCandidate{name: fmt.Sprintf("fleet%d-box%d", fleet, i), domain: fmt.Sprint("d", i%4), capacity: core.Capacity{CPU: 192, Link: 10}}
			if i%5 == 0 {
				c.capacity = core.Capacity{CPU: 800, Link: 200}
				large[c.name] = true
			}
			domain[c.name] = c.domain
			all = append(all, c)
		}
		chosen, domains := readersOf(all), map[string]bool{}
		for _, name := range chosen {
			domains[domain[name]] = true
			if !large[name] {
				t.Errorf("fleet %d: %s reads over a small link", fleet, name)
			}
		}
		if len(chosen) != 3 || len(domains) != 3 {
			t.Errorf("fleet %d: %v read, in %d failure domains, want three in three", fleet, chosen, len(domains))
		}
		if got := readersOf(all[1:5]); len(got) != 3 {
			t.Errorf("%v read of four like boxes, want three", got)
		}
		if got := readersOf(all[1:3]); len(got) != 2 {
			t.Errorf("%v read of two, want both", got)
		}
	}
}

// A box that asks names what it holds and is given the difference.
func TestAChangeGoesAsADifference(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		f.publish(withRoutes(f.catalog, 5000))
		time.Sleep(3 * time.Second)
		g := f.box("box0")
		held := g.published.pullRequest(port.DocumentConfig)
		f.publish(withRoutes(f.catalog, 10))
		time.Sleep(3 * time.Second)
		part := g.answerPull(held).Part
		whole := g.answerPull(&port.PullPublished{Document: port.DocumentConfig, Held: []string{"unknown"}})
		if part == nil || part.Size > 2000 || whole.Base != "" || whole.Part.Size < 20*part.Size {
			t.Errorf("ten routes more are given as %d bytes, the whole as %d", part.Size, whole.Part.Size)
		}
	})
}

// All boxes are lost and start anew, and the store turns all but the seeds away: each gets a long list of
// servers and a large configuration from another.
func TestAFleetThatStartsAnewGetsItsDocumentsFromAFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const boxes = 120
		f := newEmptyFleet(t)
		f.links = newLinks(func(string) float64 { return 10 })
		f.catalog = withRoutes(f.catalog, 2800)
		for i := range 600 {
			f.servers = append(f.servers, catalog.Server{ID: fmt.Sprintf("i-%08x", catalog.Hash(fmt.Sprint(i))>>32), Pool: "model", Address: fmt.Sprintf("10.2.64.%d:8181", i), Domain: "d", Slots: 64})
		}
		f.turnsAway = func(box string) bool { return box != "box0" && box != "box1" }
		for i := range boxes {
			f.start(fmt.Sprint("box", i))
		}
		began := time.Now()
		for time.Since(began) < 20*time.Second {
			ready := 0
			for i := range boxes {
				if f.box(fmt.Sprint("box", i)).Ready() {
					ready++
				}
			}
			if ready == boxes {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		took := time.Since(began)
		t.Logf("all ready after %v, %d bytes a box, %d whole lists", took, f.links.received()/boxes, f.lists)
		if took > 2*applyBound {
			t.Errorf("all ready after %v", took)
		}
		if most := boxes + boxes/4; f.lists > most {
			t.Errorf("%d whole lists were given to %d boxes, want %d at most", f.lists, boxes, most)
		}
	})
}
