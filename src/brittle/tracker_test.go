package brittle

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
	"github.com/stilemast/stilemast/src/quota"
)

func newTracker(self string) *Tracker {
	return &Tracker{
		Self: self, Now: time.Now, Log: slog.New(slog.DiscardHandler), Announce: func() {},
		Coordinator: func(string, string) string { return self },
		Ask: func(context.Context, string, port.AskPlace) (*port.Place, error) {
			return nil, errors.New("unreachable")
		},
	}
}

var testServer = &catalog.Server{ID: "s", Pool: "model", Slots: 2, Incarnation: 5}

func TestServersAreBrittleAsTheySay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newTracker("a")
		acquire := func(owner string) bool { return x.Acquire(t.Context(), testServer, owner, 0, 0) }
		sent := time.Now()
		x.Record(testServer, 0, sent)
		if x.Any() || !acquire("1") || !acquire("2") || !acquire("3") {
			t.Error("a server that does not say so needs places")
		}
		time.Sleep(time.Millisecond)
		x.Record(testServer, 6, time.Now())
		if !acquire("1") || !acquire("2") || acquire("3") || x.FullUntil("s").IsZero() {
			t.Error("a brittle server has as many places as slots")
		}
		x.Record(testServer, 0, sent)
		if acquire("4") {
			t.Error("a response to an earlier request ended it")
		}
		x.Release(testServer, "1", quota.PlaceUsed)
		time.Sleep(retryAfter)
		if !acquire("5") {
			t.Error("a place that was given back is not free")
		}
		x.Record(testServer, 0, time.Now())
		if acquire("6") {
			t.Error("the end does not take effect step by step")
		}
		x.Release(testServer, "2", quota.PlaceUsed)
		x.Release(testServer, "5", quota.PlaceUsed)
		time.Sleep(endsAfter)
		if x.Tick(); !acquire("7") || !acquire("8") || !acquire("9") || x.Any() {
			t.Error("a server that is not brittle any more needs places")
		}
	})
}

func TestNotesAreOrderedBySequence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		note := func(incarnation, sequence uint64, n uint16, ended bool) core.BrittleNote {
			return core.BrittleNote{Server: "s", Incarnation: incarnation, Sequence: sequence, Rejections: n, Ended: ended}
		}
		x := newTracker("a")
		x.Merge([]core.BrittleNote{note(5, 0, 4, false), note(5, 1, 0, false), note(5, 3, 9, true)}, "b")
		if x.Any() {
			t.Error("notes without sense or of what has ended are believed")
		}
		x.Merge([]core.BrittleNote{note(5, 3, 9, false)}, "b")
		x.Merge([]core.BrittleNote{note(5, 2, 1, true), note(4, 9, 1, true)}, "c")
		if n := x.Notes(); len(n) != 1 || n[0] != note(5, 3, 9, false) {
			t.Errorf("told %+v", n)
		}
		x.Merge([]core.BrittleNote{note(6, 1, 2, false)}, "b")
		if n := x.Notes(); len(n) != 1 || n[0] != note(6, 1, 2, false) {
			t.Errorf("a later incarnation: told %+v", n)
		}
		time.Sleep(forgetAfter)
		if x.Tick(); x.Any() || len(x.Notes()) > 0 {
			t.Error("a server of which nobody spoke for long is still brittle")
		}
	})
}

func TestPlaceIsAskedOfCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		boxes := map[string]*Tracker{"a": newTracker("a"), "b": newTracker("b"), "c": newTracker("c")}
		for _, x := range boxes {
			x.Coordinator = func(string, string) string { return "c" }
			x.Ask = func(ctx context.Context, box string, q port.AskPlace) (*port.Place, error) {
				return boxes[box].Answer(ctx, q), nil
			}
			x.Record(testServer, 6, time.Now())
		}
		boxes["a"].Coordinator = func(string, string) string { return "b" } // knows of another one, who names c
		got := 0
		for name, x := range boxes {
			for _, owner := range []string{"1", "2"} {
				if x.Acquire(t.Context(), testServer, name+owner, 0, 0) {
					got++
				}
			}
		}
		if got != testServer.Slots {
			t.Errorf("%d places at %d slots", got, testServer.Slots)
		}
		x := newTracker("d")
		x.Coordinator = func(string, string) string { return "lost" }
		x.Record(testServer, 6, time.Now())
		if x.Acquire(t.Context(), testServer, "1", 0, 0) || x.FullUntil("s").IsZero() {
			t.Error("a place without an answer of the coordinator")
		}
	})
}

func TestPlacesAreGrantedWhereCoordinatorIsOfAnEarlierRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newTracker("a")
		x.Coordinator = func(string, string) string { return "old" }
		x.Ask = func(context.Context, string, port.AskPlace) (*port.Place, error) { return nil, nil }
		x.Record(testServer, 6, time.Now())
		for _, owner := range []string{"1", "2", "3"} {
			if got := x.Acquire(t.Context(), testServer, owner, 0, 0); got != (owner != "3") {
				t.Errorf("place %s: %v", owner, got)
			}
		}
		x.Release(testServer, "1", quota.PlaceUsed)
		time.Sleep(retryAfter)
		if !x.Acquire(t.Context(), testServer, "4", 0, 0) {
			t.Error("a place that was given back is not free")
		}
		time.Sleep(placeTimeout)
	})
}

func FuzzMerge(f *testing.F) {
	f.Add("s", uint64(5), uint64(1), uint16(6), false)
	f.Fuzz(func(t *testing.T, server string, incarnation, sequence uint64, n uint16, ended bool) {
		x := newTracker("a")
		x.Record(testServer, 6, time.Now())
		for range 2 {
			x.Merge([]core.BrittleNote{{Server: server, Incarnation: incarnation, Sequence: sequence, Rejections: n, Ended: ended}}, "b")
		}
		for _, n := range x.Notes() {
			if n.Rejections == 0 || n.Sequence == 0 {
				t.Errorf("told %+v", n)
			}
		}
		x.Tick()
	})
}
