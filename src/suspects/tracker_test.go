package suspects

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/crasher"
)

// singleBox returns the tracker of the only box, with probe results from a table.
func singleBox(presence map[string]Presence) *Tracker {
	return &Tracker{
		Self: "box", Now: time.Now, Log: slog.New(slog.DiscardHandler),
		Probe:    func(_ context.Context, s Server) Presence { return presence[s.ID] },
		Boxes:    func() []string { return []string{"box"} },
		Announce: func() {},
	}
}

// runFor runs the tracker for d.
func runFor(u *Tracker, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		u.Tick()
	}
}

func server(id string, incarnation uint64) Server {
	return Server{ID: id, Incarnation: crasher.Incarnation(incarnation)}
}

var key = crasher.Key{1}

func TestCrashCountsOnceProven(t *testing.T) {
	for _, c := range []struct {
		presence Presence
		ends     int
	}{{Absent, 1}, {NoAnswer, 1}, {Present, 0}} {
		synctest.Test(t, func(t *testing.T) {
			u := singleBox(map[string]Presence{"a": c.presence})
			u.RecordBroken(server("a", 1), key)
			runFor(u, time.Second)
			if v := u.Check(key); v.Ends != c.ends {
				t.Errorf("presence %d: %+v, want %d ends", c.presence, v, c.ends)
			}
		})
	}
}

// If several servers are unresponsive at once this box may be disconnected.
func TestServersSilentTogetherAreNotCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := singleBox(map[string]Presence{"a": NoAnswer, "b": NoAnswer, "c": NoAnswer})
		for i, id := range []string{"a", "b", "c"} {
			u.RecordBroken(server(id, uint64(i)), key)
		}
		runFor(u, 2*time.Second)
		if v := u.Check(key); v.Ends != 0 {
			t.Errorf("%+v", v)
		}
	})
}

func TestRunningServerThatIsSilentForASecondIsNotCrashed(t *testing.T) {
	for _, c := range []struct {
		silent time.Duration
		ends   int
	}{{time.Second, 0}, {1400 * time.Millisecond, 0}, {time.Minute, 1}} {
		synctest.Test(t, func(t *testing.T) {
			u := singleBox(nil)
			began := time.Now()
			u.Probe = func(ctx context.Context, _ Server) Presence {
				if time.Since(began) >= c.silent {
					return Present
				}
				<-ctx.Done()
				return NoAnswer
			}
			u.RecordBroken(server("a", 1), key)
			runFor(u, 2500*time.Millisecond)
			if v := u.Check(key); v.Ends != c.ends {
				t.Errorf("silent for %s: %+v, want %d ends", c.silent, v, c.ends)
			}
			time.Sleep(time.Second) // until the last probe has ended
		})
	}
}

func TestServerIsProbedOnceForManyBrokenExchanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := singleBox(nil)
		var mu sync.Mutex
		asked := 0
		u.Probe = func(context.Context, Server) Presence {
			mu.Lock()
			defer mu.Unlock()
			asked++
			return Present
		}
		for i := range 50 {
			u.RecordBroken(server("a", 1), crasher.Key{byte(i)})
		}
		runFor(u, 2*time.Second)
		if asked != probeTries {
			t.Errorf("probed %d times, want %d", asked, probeTries)
		}
	})
}

// A crash is reported to the counter boxes, one that doesn't respond is replaced, and the notes in a response are merged.
func TestCounterBoxesExchangeNotes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := singleBox(map[string]Presence{"a": Absent})
		u.Boxes = func() []string { return []string{"box", "b1", "b2", "b3", "b4", "b5"} }
		var mu sync.Mutex
		told := map[string]int{}
		u.Exchange = func(_ context.Context, box string, notes []crasher.Note) ([]crasher.Note, error) {
			mu.Lock()
			defer mu.Unlock()
			told[box] += len(notes)
			if len(told) == 1 {
				return nil, errors.New("no way there")
			}
			notes[0].Ends = append(notes[0].Ends, crasher.EndNote{Life: 77, Age: time.Second})
			return notes, nil
		}
		var announced atomic.Int64
		u.Announce = func() { announced.Add(1) }
		u.RecordBroken(server("a", 1), key)
		runFor(u, time.Second)
		if len(told) < 2 {
			t.Errorf("reported to %v", told)
		}
		if v := u.Check(key); v.Ends != 2 || announced.Load() == 0 {
			t.Errorf("%+v, announced %d times: want the crash known to another box, announced to all", v, announced.Load())
		}
	})
}

func TestPresenceOf(t *testing.T) {
	if PresenceOf(nil) != Present || PresenceOf(syscall.ECONNREFUSED) != Absent || PresenceOf(context.DeadlineExceeded) != NoAnswer {
		t.Error("a connection error has the wrong presence")
	}
}
