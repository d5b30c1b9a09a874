package intake

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const room = 10 << 20 // bytes of the accounts in these tests

// slowBody is a body that arrives after a time, or never.
type slowBody struct {
	io.Reader
	after time.Duration // negative for never
	cut   chan struct{}
	once  sync.Once
}

func upload(size int64, after time.Duration) *Transfer {
	b := &slowBody{Reader: bytes.NewReader(make([]byte, size)), after: after, cut: make(chan struct{})}
	end := func() { b.once.Do(func() { close(b.cut) }) }
	var mu sync.Mutex
	var deadline *time.Timer
	return &Transfer{Body: b, Length: size, SetReadDeadline: func(t time.Time) error {
		mu.Lock()
		defer mu.Unlock()
		if deadline != nil {
			deadline.Stop()
		}
		if !t.IsZero() {
			deadline = time.AfterFunc(max(0, time.Until(t)), end)
		}
		return nil
	}}
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.after < 0 {
		<-b.cut
		return 0, os.ErrDeadlineExceeded
	}
	select {
	case <-b.cut:
		return 0, os.ErrDeadlineExceeded
	case <-time.After(b.after):
	}
	b.after = 0
	return b.Reader.Read(p)
}

// receive receives a body in the background and sends how it ended.
func receive(a *Account, u *Transfer) chan error {
	out := make(chan error, 1)
	go func() {
		_, err := a.Receive(context.Background(), u, room, time.Now().Add(20*time.Second))
		out <- err
	}()
	return out
}

// Guards against bodies that together hold more than a box has for them, whatever comes and in whatever order it ends.
func TestBodiesStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			a := &Account{Limit: room}
			var all sync.WaitGroup
			for range 60 {
				u := upload(r.Int64N(room/4)+1, time.Duration(r.IntN(4000)-500)*time.Millisecond)
				if r.IntN(4) == 0 {
					u.Length = -1
				}
				all.Go(func() {
					if _, err := a.Receive(context.Background(), u, room/4, time.Now().Add(5*time.Second)); err == nil {
						time.Sleep(300 * time.Millisecond)
					}
					u.Release()
				})
				time.Sleep(time.Duration(r.IntN(100)) * time.Millisecond)
				if s := a.Status(); s.Held > room {
					t.Errorf("%d bytes held, %d allowed", s.Held, room)
				}
			}
			all.Wait()
			if s := a.Status(); s.Held != 0 || s.Coming != 0 || s.Waiting != 0 || a.ending != 0 {
				t.Errorf("after all have ended: %+v, %d ending", s, a.ending)
			}
		})
	})
}

// Guards against small bodies that wait behind large ones that do not come.
func TestSmallBodiesAreNotKeptOutByLargeOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{Limit: room}
		var large []chan error
		for range 100 {
			large = append(large, receive(a, upload(1<<20, -1)))
		}
		synctest.Wait()
		began := time.Now()
		u := upload(smallBody, 0)
		if err := <-receive(a, u); err != nil || time.Since(began) > 0 {
			t.Errorf("a small body took %s: %v", time.Since(began), err)
		}
		u.Release()
		for _, c := range large {
			if err := <-c; err == nil {
				t.Error("a body that does not come was received")
			}
		}
	})
}

// Guards against the wrong choice of what gives way: what has held most for longest goes first; whole bodies and recent ones stay.
func TestBodyThatHeldMostForLongestGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{Limit: room}
		whole := upload(3<<20, 0)
		if err := <-receive(a, whole); err != nil {
			t.Fatal(err)
		}
		smaller, most := receive(a, upload(2<<20, -1)), receive(a, upload(3<<20, -1))
		time.Sleep(2 * evictAfter)
		recent := receive(a, upload(700<<10, evictAfter))
		synctest.Wait()
		next := receive(a, upload(3<<20, 0))
		if err := <-most; !errors.Is(err, ErrEvicted) {
			t.Errorf("the body that had held most for longest: %v", err)
		}
		if err := <-next; err != nil {
			t.Errorf("the body that needed the room: %v", err)
		}
		if err := <-recent; err != nil {
			t.Errorf("a recent body: %v", err)
		}
		if s := a.Status(); s.Evicted != 1 || !whole.Whole() || len(smaller) > 0 {
			t.Errorf("status %+v, whole %v, smaller ended %v", s, whole.Whole(), len(smaller) > 0)
		}
		<-smaller
	})
}

// Guards against room that is used twice, by a body that gave way and by the one it gave way to, and against further bodies that give way
// for what is about to be free.
func TestEvictedBodyKeepsItsRoomUntilItsReaderReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, returns := &Account{Limit: room}, make(chan struct{})
		slow := receive(a, &Transfer{Length: 6 << 20, Body: readerFunc(func([]byte) (int, error) {
			<-returns
			return 0, os.ErrDeadlineExceeded
		})})
		other := receive(a, upload(1<<20, -1))
		time.Sleep(2 * evictAfter)
		next := receive(a, upload(7<<20, 0))
		time.Sleep(maxWait / 2)
		if s := a.Status(); len(next) > 0 || s.Held != 7<<20 || s.Coming != 1 {
			t.Errorf("before the reader has returned: %+v, the next body ended %t", s, len(next) > 0)
		}
		close(returns)
		if err := fmt.Sprint(<-slow, <-next); err != fmt.Sprint(ErrEvicted, nil) {
			t.Error(err)
		}
		if s := a.Status(); s.Held != 8<<20 || len(other) > 0 {
			t.Errorf("%+v, the other body ended %t", s, len(other) > 0)
		}
		<-other
	})
}

// Guards against an ordinary body that is cut off as soon as another one wants its room.
func TestRecentBodiesDoNotGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{Limit: room}
		recent := receive(a, upload(8<<20, evictAfter-time.Millisecond))
		synctest.Wait()
		next := receive(a, upload(8<<20, 0))
		if err := <-next; !errors.Is(err, ErrNoRoom) {
			t.Errorf("the body that wanted the room: %v", err)
		}
		if err := <-recent; err != nil {
			t.Errorf("the recent body: %v", err)
		}
	})
}

// Guards against bodies that are cut off for one that has no room without them either.
func TestBodiesDoNotGiveWayInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{Limit: room}
		whole, slow := upload(5<<20, 0), receive(a, upload(1<<20, 3*evictAfter))
		if err := <-receive(a, whole); err != nil {
			t.Fatal(err)
		}
		time.Sleep(evictAfter)
		if err := <-receive(a, upload(5<<20, 0)); !errors.Is(err, ErrNoRoom) {
			t.Errorf("the body without room: %v", err)
		}
		if err := <-slow; err != nil {
			t.Errorf("the slow body: %v", err)
		}
		whole.Release()
	})
}

// Guards against bodies that wait longer than their callers do, and against room that goes to the largest first.
func TestWaitingBodiesAreServedSmallestFirstOrRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{Limit: room}
		full := upload(8<<20, 0)
		if err := <-receive(a, full); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		large, small := receive(a, upload(3<<20, 0)), receive(a, upload(2<<20, 0))
		synctest.Wait()
		if err := <-receive(a, upload(8<<20, 0)); !errors.Is(err, ErrNoRoom) || time.Since(began) != maxWait {
			t.Errorf("%v after %s", err, time.Since(began))
		}
		if err := fmt.Sprint(<-large, <-small); err != fmt.Sprint(ErrNoRoom, ErrNoRoom) {
			t.Error(err)
		}
		large, small = receive(a, upload(8<<20, 0)), receive(a, upload(2<<20, 0))
		time.Sleep(maxWait / 2)
		full.Release()
		if err := fmt.Sprint(<-large, <-small); err != fmt.Sprint(ErrNoRoom, nil) {
			t.Error(err)
		}
	})
}

// Guards against a body within the limits that is refused in calm because it is larger than the room.
func TestBodyLargerThanTheRoomIsReceivedAlone(t *testing.T) {
	a := &Account{Limit: 1 << 20}
	u := upload(4<<20, 0)
	if _, err := a.Receive(context.Background(), u, room, time.Now().Add(time.Hour)); err != nil {
		t.Error(err)
	}
	u.Release()
	if s := a.Status(); s.Held != 0 {
		t.Errorf("%+v", s)
	}
}

// Guards against shares that are more than the memory of a box.
func TestSharesStayWithinTheMemory(t *testing.T) {
	for _, mb := range []int64{16, 64, 144, 284, 536, 4096} {
		s := SharesOf(mb << 20)
		if sum := s.Bodies + s.Answers + s.Connections; sum <= 0 || sum > mb<<20 || mb > 40 && sum+processMemory > mb<<20 {
			t.Errorf("%d MB: %+v", mb, s)
		}
	}
	if s := SharesOf(0); s != (Shares{}) {
		t.Errorf("unknown memory: %+v", s)
	}
}

// Guards against answers that fail because each of them waits for the room of the others.
func TestFirmBodiesOfUnknownLengthAllComeToTheirEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{Limit: room, Firm: true}
		most := int64(0)
		var all sync.WaitGroup
		for range 50 {
			u := upload(1_000_000, 10*time.Millisecond)
			u.Length, u.SetReadDeadline = -1, nil
			all.Go(func() {
				if _, err := a.Receive(context.Background(), u, room, time.Now().Add(time.Minute)); err != nil {
					t.Error(err)
				}
				time.Sleep(20 * time.Millisecond)
				u.Release()
			})
		}
		for range 100 {
			time.Sleep(20 * time.Millisecond)
			most = max(most, a.Status().Held)
		}
		all.Wait()
		if s := a.Status(); s.Held != 0 || s.Evicted+s.Refused+s.Late > 0 || most > room+2<<20 {
			t.Errorf("at most %d bytes held, %+v", most, s)
		}
	})
}
