package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/code"
)

// settle waits until the boxes of a new fleet know each other.
func settle() { time.Sleep(3 * time.Second) }

func TestAllPeersAreKnownAndThreeReadStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 9)
		settle()
		f.mu.Lock()
		before := map[string]int{}
		for b, n := range f.reads {
			before[b] = n
		}
		f.mu.Unlock()
		time.Sleep(10 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		reading := 0
		for b, n := range f.reads {
			if n-before[b] > 2 {
				reading++
			}
		}
		if reading != 3 {
			t.Errorf("%d of 9 boxes read the store, want 3", reading)
		}
		for a, g := range f.boxes {
			if n := g.Members(); n != 9 {
				t.Errorf("%s knows %d members", a, n)
			}
			if age := g.ConfirmedAge(); age > trustFor {
				t.Errorf("%s was confirmed %s ago", a, age)
			}
		}
	})
}

func TestChangeAppliesEverywhereWithinOneSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 9)
		settle()
		f.publish(testCatalog(7))
		time.Sleep(time.Second)
		for a, g := range f.boxes {
			if g.Version() != 7 {
				t.Errorf("%s has version %d", a, g.Version())
			}
		}
	})
}

// In a fleet too large for one box to notify all others, a change still spreads within a few hops.
func TestChangeReachesLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 40)
		time.Sleep(8 * time.Second)
		f.publish(testCatalog(7))
		time.Sleep(1500 * time.Millisecond)
		behind := 0
		for _, g := range f.boxes {
			if g.Version() != 7 {
				behind++
			}
		}
		if behind > 0 {
			t.Errorf("%d of 40 boxes have the old version after 1.5 s", behind)
		}
	})
}

func TestNewBoxWithoutStoreServesWhatPeersKnow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		settle()
		f.mu.Lock()
		f.storeOK = false
		f.mu.Unlock()
		f.kill("box1")
		time.Sleep(200 * time.Millisecond)
		fresh := f.start("box1")
		time.Sleep(1500 * time.Millisecond)
		if !fresh.Ready() {
			t.Error("a new box is not ready though its peers know the configuration")
		}
		for _, b := range []string{"box0", "box1", "box2"} {
			f.kill(b)
		}
		alone := f.start("box0")
		time.Sleep(2 * time.Second)
		if a := f.ask("box0", "/look/x", "r", nil); a.refused == nil || a.refused.Code != code.NotReady || a.refused.RetryAfter == 0 {
			t.Errorf("a box that knows nothing answered %+v", a)
		}
		f.mu.Lock()
		f.storeOK = true
		f.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		if !alone.Ready() {
			t.Error("not ready 1.5 s after the store's return")
		}
	})
}

// A process that was paused confirms its state before it serves: a token may have been revoked meanwhile.
func TestPausedBoxConfirmsStateBeforeServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		settle()
		g := f.box("box0")
		g.lastTick.Store(time.Now().Add(-5 * time.Second).UnixNano()) // as after a pause of five seconds
		next := testCatalog(9)
		next.Workspaces[0].Tokens = []string{"other"}
		f.publish(next)
		a := f.ask("box0", "/look/x", "r", nil)
		if a.refused == nil || a.refused.Code != code.Unauthenticated {
			t.Errorf("a token that was revoked during the pause: %+v", a)
		}
	})
}
