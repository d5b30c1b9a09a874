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

// alone makes a tracker of the only box, whose probes answer as a table says.
func alone(presence map[string]Presence) *Tracker {
	return &Tracker{
		Self: "box", Now: time.Now, Log: slog.New(slog.DiscardHandler),
		Probe:    func(_ context.Context, s Server) Presence { return presence[s.ID] },
		Boxes:    func() []string { return []string{"box"} },
		Announce: func() {},
	}
}

// play lets the tracker work for a time.
func play(u *Tracker, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		u.Tick()
	}
}

func server(id string, life uint64) Server { return Server{ID: id, Life: crasher.Life(life)} }

var key = crasher.Key{1}

func TestAnEndCountsAsSoonAsItIsProven(t *testing.T) {
	for _, c := range []struct {
		presence Presence
		ends     int
	}{{Absent, 1}, {NoAnswer, 1}, {Present, 0}} {
		synctest.Test(t, func(t *testing.T) {
			u := alone(map[string]Presence{"a": c.presence})
			u.Broke(server("a", 1), key)
			play(u, time.Second)
			if v := u.Judge(key); v.Ends != c.ends {
				t.Errorf("presence %d: %+v, want %d ends", c.presence, v, c.ends)
			}
		})
	}
}

// Of several servers that don't answer at once it may be this box that is cut off.
func TestServersThatAreSilentTogetherHaveNotEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := alone(map[string]Presence{"a": NoAnswer, "b": NoAnswer, "c": NoAnswer})
		for i, id := range []string{"a", "b", "c"} {
			u.Broke(server(id, uint64(i)), key)
		}
		play(u, 2*time.Second)
		if v := u.Judge(key); v.Ends != 0 {
			t.Errorf("%+v", v)
		}
	})
}

func TestAServerIsAskedOnceForAllThatBrokeThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := alone(nil)
		var mu sync.Mutex
		asked := 0
		u.Probe = func(context.Context, Server) Presence {
			mu.Lock()
			defer mu.Unlock()
			asked++
			return Present
		}
		for i := range 50 {
			u.Broke(server("a", 1), crasher.Key{byte(i)})
		}
		play(u, 2*time.Second)
		if asked != probeTries {
			t.Errorf("asked %d times, want %d", asked, probeTries)
		}
	})
}

// The boxes that add an end up are told, one that does not answer is passed over, and what an answer tells is taken.
func TestWhoAddsEndsUpIsToldAndHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := alone(map[string]Presence{"a": Absent})
		u.Boxes = func() []string { return []string{"box", "b1", "b2", "b3", "b4", "b5"} }
		var mu sync.Mutex
		told := map[string]int{}
		u.Ask = func(_ context.Context, box string, notes []crasher.Note) ([]crasher.Note, error) {
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
		u.Broke(server("a", 1), key)
		play(u, time.Second)
		if len(told) < 2 {
			t.Errorf("told %v", told)
		}
		if v := u.Judge(key); v.Ends != 2 || announced.Load() == 0 {
			t.Errorf("%+v, announced %d times: want the end that another box knows of, told to all", v, announced.Load())
		}
	})
}

func TestPresences(t *testing.T) {
	if PresenceOf(nil) != Present || PresenceOf(syscall.ECONNREFUSED) != Absent || PresenceOf(context.DeadlineExceeded) != NoAnswer {
		t.Error("an error of opening a connection is taken for something else")
	}
}
