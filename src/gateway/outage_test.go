package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// setStore sets whether the store answers, and the servers that it lists.
func (f *testFleet) setStore(ok bool, servers []catalog.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeOK = ok
	f.listLocked(servers)
}

// listLocked sets the servers that the store lists. f.mu is held.
func (f *testFleet) listLocked(servers []catalog.Server) {
	f.rev++
	if f.removed == nil {
		f.removed = map[string]uint64{}
	}
	for _, s := range f.servers {
		f.removed[s.ID] = f.rev
	}
	for _, s := range servers {
		delete(f.removed, s.ID)
	}
	f.servers = servers
}

// remove removes one server's entry; the store's availability stays.
func (f *testFleet) remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listLocked(slices.DeleteFunc(slices.Clone(f.servers), func(s catalog.Server) bool { return s.ID == id }))
}

// outage makes the store unavailable for a while, after which it lists only the first servers. It returns all
// of them.
func (f *testFleet) outage(left int) []catalog.Server {
	time.Sleep(3 * time.Second)
	all := f.servers
	f.setStore(false, all)
	time.Sleep(6 * time.Second)
	f.setStore(true, all[:left])
	return all
}

// Entries lapse while the store is unavailable; a running server writes its entry again within about two
// seconds of the store's return. Until then such servers are used, after that they are dropped.
func TestServersWithLapsedEntriesStayUsableAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4)
		all := f.outage(1)
		time.Sleep(1500 * time.Millisecond)
		for _, box := range []string{"box0", "box1", "box2", "box3"} {
			if !f.box(box).mayUse(all[1].ID) {
				t.Errorf("%s dropped a server whose entry had only lapsed", box)
			}
		}
		f.setStore(true, all[:2])
		time.Sleep(3 * time.Second)
		for _, box := range []string{"box0", "box1", "box2", "box3"} {
			if !f.box(box).mayUse(all[1].ID) {
				t.Errorf("%s dropped a server that is listed again", box)
			}
			if f.box(box).mayUse(all[2].ID) {
				t.Errorf("%s uses a server that never came back", box)
			}
		}
	})
}

// The end of the grace period changes the list while the store's revision stays: the boxes that do not read
// the store must learn of it all the same.
func TestNonReadersDropLapsedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 6)
		all := f.outage(2)
		time.Sleep(5 * time.Second)
		for i := range 6 {
			if box := f.box(fmt.Sprint("box", i)); box.mayUse(all[2].ID) {
				t.Errorf("box%d uses a server that never came back", i)
			}
		}
	})
}

// A box that has read that a server is leaving sends it nothing more, also while the store is unavailable,
// and no box brings the server back with an older list.
func TestLeavingServerGetsNothingDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4)
		var mu sync.Mutex
		arrived := map[string]int{}
		f.send = func(_ context.Context, _ string, c *Call) (*Reply, error) {
			mu.Lock()
			defer mu.Unlock()
			arrived[c.Server.ID]++
			return textReply(http.StatusOK, "ok"), nil
		}
		settle()
		leaving := append([]catalog.Server(nil), f.servers...)
		leaving[1].Draining = true
		f.setStore(true, leaving)
		time.Sleep(500 * time.Millisecond)
		f.setStore(false, leaving)
		f.kill("box3")
		f.start("box3") // gets the list from the other boxes only
		for i := range 60 {
			time.Sleep(200 * time.Millisecond)
			f.ask(fmt.Sprint("box", i%4), "/look/x", fmt.Sprint("r", i), func(r *Request) { r.Pieces = nil })
		}
		if n := arrived[leaving[1].ID]; n > 0 {
			t.Errorf("the leaving server got %d requests during the store outage", n)
		}
		if len(arrived) != 2 {
			t.Errorf("requests went to %v, want both other servers", arrived)
		}
	})
}

// A store outage fails no request that needs no token, whether it may be repeated or not.
func TestPublicRequestsAreServedDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4)
		c := testCatalog(2)
		for i := range c.Pipelines {
			c.Pipelines[i].Public = true
		}
		f.publish(c)
		settle()
		f.setStore(false, f.servers)
		for i := range 80 {
			time.Sleep(500 * time.Millisecond)
			path := []string{"/look/x", "/stamp/x"}[i%2]
			a := f.ask(fmt.Sprint("box", i%4), path, fmt.Sprint("r", i), func(r *Request) { r.Pieces, r.Token = nil, "" })
			if a.status != http.StatusOK {
				t.Errorf("%s after %d ms of the outage: %d %v", path, 500*i, a.status, a.refused)
			}
		}
	})
}
