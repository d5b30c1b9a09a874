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
	"github.com/stilemast/stilemast/src/exchange"
	"github.com/stilemast/stilemast/src/port"
)

// These tests guard against requests to servers that have left, which arrived up to 0.9 s later than allowed.
// A box whose store read failed took a missing entry for one that had lapsed in a store outage, and kept the
// server for two seconds. It numbered this list with the store's newest revision, so boxes that had already
// dropped the server took it back; each further refused read restarted the two seconds. Requests that were
// waiting for a connection were sent without another check. So a list that a box keeps without confirmation
// by the store must not be passed on as the store's, and a server is checked again before the first byte.

// boxesUsing lists the boxes that would still use a server.
func (f *testFleet) boxesUsing(id string, boxes int) []string {
	var out []string
	for i := range boxes {
		name := fmt.Sprint("box", i)
		if f.box(name).mayUse(id) {
			out = append(out, name)
		}
	}
	return out
}

// lastUse returns when, during a period from now on, any box would last have used a server.
func (f *testFleet) lastUse(id string, boxes int, watch time.Duration) time.Duration {
	last := time.Duration(0)
	for began := time.Now(); time.Since(began) < watch; time.Sleep(10 * time.Millisecond) {
		if len(f.boxesUsing(id, boxes)) > 0 {
			last = time.Since(began)
		}
	}
	return last
}

// refuseReads sets which boxes the store refuses; nil refuses none.
func (f *testFleet) refuseReads(refused func(box string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeRefuses = refused
}

// storeReaders returns the boxes that read the store on behalf of the others.
func (f *testFleet) storeReaders() []string { return f.box("box0").fleet.readers(time.Now()) }

// heldRevision returns the store revision of the list that a box holds.
func (f *testFleet) heldRevision(box string) uint64 {
	_, _, held := f.box(box).published.behind(port.DocumentServers)
	return held.Number()
}

// dropBound is how long after a server's removal the last box may use it where some box can read the store.
// The tightest bound for requests to a leaving server is 2 s, of which connecting takes up to 0.7 s.
const dropBound = time.Second

func TestRemovedServerIsDroppedWhileStoreRefusesReads(t *testing.T) {
	everyone := func(string) bool { return true }
	cases := []struct {
		name    string
		boxes   int
		refused func(f *testFleet) func(string) bool
		before  time.Duration // how long they are refused before the removal
		after   time.Duration // and after it
		again   int           // how often they are refused again, a second apart
	}{
		{"readers, until the removal", 6, nil, 500 * time.Millisecond, 0, 0},
		{"readers, until the removal", 61, nil, 500 * time.Millisecond, 0, 0},
		{"readers, a moment longer", 6, nil, 500 * time.Millisecond, 300 * time.Millisecond, 0},
		{"all, a moment longer", 6, func(*testFleet) func(string) bool { return everyone }, 500 * time.Millisecond, 300 * time.Millisecond, 0},
		{"all, a moment longer", 61, func(*testFleet) func(string) bool { return everyone }, 500 * time.Millisecond, 300 * time.Millisecond, 0},
		{"all, again and again", 6, func(*testFleet) func(string) bool { return everyone }, 500 * time.Millisecond, 300 * time.Millisecond, 6},
		{"all, again and again", 61, func(*testFleet) func(string) bool { return everyone }, 500 * time.Millisecond, 300 * time.Millisecond, 6},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.boxes, " boxes: ", c.name), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, c.boxes)
				time.Sleep(5 * time.Second)
				readers := f.storeReaders()
				refused := func(box string) bool { return slices.Contains(readers, box) }
				if c.refused != nil {
					refused = c.refused(f)
				}
				f.refuseReads(refused)
				time.Sleep(c.before)
				f.remove("model1")
				go func() {
					for range c.again + 1 {
						time.Sleep(c.after)
						f.refuseReads(nil)
						time.Sleep(time.Second)
						if c.again > 0 {
							f.refuseReads(refused)
							time.Sleep(c.before)
						}
					}
					f.refuseReads(nil)
				}()
				if last := f.lastUse("model1", c.boxes, 14*time.Second); last > dropBound {
					t.Errorf("a box used the server for %s after its removal, want %s at most", last, dropBound)
				}
			})
		})
	}
}

// A box that was cut off comes back with an old list. What the others know of removed servers stays.
func TestReturningBoxDoesNotReviveRemovedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 6)
		time.Sleep(5 * time.Second)
		cutOff := f.storeReaders()[0]
		others := slices.DeleteFunc([]string{"box0", "box1", "box2", "box3", "box4", "box5"}, func(b string) bool { return b == cutOff })
		f.setLost(cutOff, true)
		f.refuseReads(func(box string) bool { return box == cutOff })
		time.Sleep(time.Second)
		f.remove("model1")
		leaving := slices.Clone(f.servers)
		leaving[slices.IndexFunc(leaving, func(s catalog.Server) bool { return s.ID == "model2" })].Draining = true
		f.setStore(true, leaving)
		time.Sleep(5 * time.Second)
		f.remove("model2")
		time.Sleep(time.Second)
		f.refuseReads(func(string) bool { return true })
		time.Sleep(1100 * time.Millisecond) // until open watches have ended
		f.remove("piece2")
		f.refuseReads(func(box string) bool { return box != cutOff }) // only the returning box reads this change
		for f.heldRevision(cutOff) < f.rev {
			time.Sleep(10 * time.Millisecond)
		}
		f.setLost(cutOff, false)
		for i := range 400 {
			if i == 100 {
				f.refuseReads(nil)
			}
			time.Sleep(10 * time.Millisecond)
			for _, id := range []string{"model1", "model2"} {
				for _, box := range others {
					if f.box(box).mayUse(id) {
						t.Fatalf("%s uses %s, which had left long before %s returned", box, id, cutOff)
					}
				}
			}
		}
	})
}

// A server leaves while a request that selected it waits for its connection. The server is checked again
// before the first byte, and another one gets the request.
func TestServerRemovedAfterSelectionGetsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4)
		var mu sync.Mutex
		got, first := map[string]bool{}, ""
		f.send = func(ctx context.Context, _ string, c *Call) (*Reply, error) {
			mu.Lock()
			if first == "" {
				first = c.Server.ID
			}
			mu.Unlock()
			wait(ctx, 600*time.Millisecond) // until the connection is open
			if err := c.Start(); err != nil {
				return nil, &exchange.NotSent{Cause: err}
			}
			mu.Lock()
			got[c.Server.ID] = true
			mu.Unlock()
			return textReply(http.StatusOK, "ok"), nil
		}
		settle()
		go func() {
			time.Sleep(200 * time.Millisecond)
			mu.Lock()
			id := first
			mu.Unlock()
			f.remove(id)
		}()
		a := f.ask("box2", "/stamp/x", "r", func(r *Request) { r.Pieces = nil })
		if a.status != http.StatusOK {
			t.Errorf("the caller got %d %v, want the answer of another server", a.status, a.refused)
		}
		if got[first] || len(got) != 1 {
			t.Errorf("servers %v got the request; %s was selected first and had left", got, first)
		}
	})
}
