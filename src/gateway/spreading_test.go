package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// applyBound is the time within which an accepted configuration must be in force on every box.
const applyBound = 3 * time.Second

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
