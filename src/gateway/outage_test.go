package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// setStore has the store answer or fail, with these servers listed from now on.
func (f *testFleet) setStore(ok bool, servers []catalog.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeOK, f.servers = ok, servers
	f.rev++
}

// outage takes the store away for a while, after which it lists only so many of the servers. It gives all.
func (f *testFleet) outage(left int) []catalog.Server {
	time.Sleep(3 * time.Second)
	all := f.servers
	f.setStore(false, all)
	time.Sleep(6 * time.Second)
	f.setStore(true, all[:left])
	return all
}

// Entries lapse while the store is away; whoever lives writes its entry again within about two
// seconds of the store's return. Until then its servers are used, after that they are gone.
func TestServersWhoseEntriesLapsedInAnOutageAreUsedUntilTheyCouldBeBack(t *testing.T) {
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
				t.Errorf("%s lost a server that is listed again", box)
			}
			if f.box(box).mayUse(all[2].ID) {
				t.Errorf("%s uses a server that never came back", box)
			}
		}
	})
}

// The end of the grace changes the list while the store's revision stays: the boxes that do not read
// must hear of it all the same.
func TestBoxesThatDoNotReadDropLapsedServersToo(t *testing.T) {
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
