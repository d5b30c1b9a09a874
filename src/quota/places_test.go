package quota

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func place(owner string, patience time.Duration) PlaceRequest {
	return PlaceRequest{Server: "s", Owner: owner, Slots: 2, Rejections: 6, Hold: 10 * time.Second, Patience: patience}
}

func TestPlacesAreLimitedToSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Places{Now: time.Now}
		take := func(owner string) bool {
			_, ok := p.Take(t.Context(), place(owner, 0))
			return ok
		}
		if !take("a") || !take("b") || take("c") {
			t.Error("two places, no third one")
		}
		p.Release("s", "a", PlaceUsed)
		if !take("c") {
			t.Error("a place that was given back is not free")
		}
		time.Sleep(11 * time.Second)
		p.Sweep()
		if !take("d") || !take("e") {
			t.Error("places whose releases were lost are not free after their hold")
		}
	})
}

func TestUrgentRequestsGetPlacesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Places{Now: time.Now}
		for _, o := range []string{"a", "b"} {
			if _, ok := p.Take(t.Context(), place(o, 0)); !ok {
				t.Fatal("no place")
			}
		}
		var mu sync.Mutex
		var order []int
		for _, priority := range []int{2, 0, 1} {
			go func() {
				a := place(fmt.Sprint(priority), time.Second)
				a.Priority = priority
				if _, ok := p.Take(t.Context(), a); ok {
					mu.Lock()
					order = append(order, priority)
					mu.Unlock()
				}
			}()
			time.Sleep(time.Millisecond)
		}
		for _, o := range []string{"a", "b", "0"} {
			p.Release("s", o, PlaceUsed)
			time.Sleep(time.Millisecond)
		}
		mu.Lock()
		defer mu.Unlock()
		if !slices.Equal(order, []int{0, 1, 2}) {
			t.Errorf("served in the order %v", order)
		}
	})
}

// Who can't be served in time is told at once.
func TestPlaceBeyondPatienceIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Places{Now: time.Now}
		n := 0
		serve := func(patience time.Duration) (time.Duration, bool) {
			n++
			owner := fmt.Sprint(n)
			began := time.Now()
			_, ok := p.Take(t.Context(), place(owner, patience))
			if ok {
				go func() {
					time.Sleep(100 * time.Millisecond)
					p.Release("s", owner, PlaceUsed)
				}()
			}
			return time.Since(began), ok
		}
		var waiting sync.WaitGroup
		for range 40 { // 20 a second are served
			waiting.Go(func() { serve(3 * time.Second) })
			time.Sleep(20 * time.Millisecond)
		}
		if took, ok := serve(200 * time.Millisecond); ok || took > 10*time.Millisecond {
			t.Errorf("granted %v after %s; the line is a second long", ok, took)
		}
		waiting.Wait()
		if took, ok := serve(200 * time.Millisecond); !ok {
			t.Errorf("not granted after %s; the line is empty", took)
		}
		time.Sleep(time.Second)
	})
}

func TestCancelledRequestLeavesLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Places{Now: time.Now}
		for _, o := range []string{"a", "b"} {
			_, _ = p.Take(t.Context(), place(o, 0))
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			if _, ok := p.Take(ctx, place("c", time.Minute)); ok {
				t.Error("a request that was cancelled got a place")
			}
		}()
		time.Sleep(time.Millisecond)
		cancel()
		time.Sleep(time.Millisecond)
		p.Release("s", "a", PlaceUsed)
		if _, ok := p.Take(t.Context(), place("d", 0)); !ok {
			t.Error("the place is still kept for it")
		}
	})
}

func TestPlacesFollowRejectionsAndFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Places{Now: time.Now}
		free := func(slots int) (n int) {
			for ; n < 100; n++ {
				a := place(fmt.Sprint("probe", n), 0)
				a.Slots = slots
				if _, ok := p.Take(t.Context(), a); !ok {
					break
				}
			}
			for i := range n {
				delete(p.servers["s"].taken, fmt.Sprint("probe", i))
			}
			return n
		}
		if n := free(20); n != 20 {
			t.Errorf("%d places at first, want the slots", n)
		}
		p.Release("s", "x", PlaceRejected)
		if n := free(20); n >= 20 {
			t.Errorf("%d places after a rejection", n)
		}
		p.Release("s", "x", PlaceFailed)
		if n := free(20); n != 1 {
			t.Errorf("%d places after a failure, want 1", n)
		}
		before := 1
		for round := range 4 {
			for i := range before {
				owner := fmt.Sprint(round, "-", i)
				p.servers["s"].taken[owner] = time.Now().Add(time.Second)
				p.Release("s", owner, PlaceUsed)
			}
			n := free(20)
			if n != 2*before {
				t.Errorf("%d places after round %d, want %d", n, round, 2*before)
			}
			before = n
		}
		next := &Places{Now: time.Now}
		a := place("a", 0)
		a.Slots, a.Known = 20, time.Minute
		p = next
		if _, ok := p.Take(t.Context(), a); !ok || int(p.servers["s"].limit) != 10 {
			t.Errorf("a box that takes over grants %v places, want half of the slots", p.servers["s"].limit)
		}
	})
}
