package catalog

import (
	"slices"
	"testing"
	"time"
)

func idsOf(list []Server) []string {
	var out []string
	for _, s := range list {
		out = append(out, s.ID)
	}
	return out
}

func expectListed(t *testing.T, l *Listing, now time.Time, want ...string) {
	t.Helper()
	list, _ := l.Servers(now)
	if got := idsOf(list); !slices.Equal(got, want) {
		t.Errorf("listed %v, want %v", got, want)
	}
}

func TestLapsedServersStayForAWhileAfterAnOutageOnly(t *testing.T) {
	held := []Server{{ID: "a"}, {ID: "b"}, {ID: "leaving", Draining: true}}
	l := &Listing{}
	l.Replace(start, []Server{{ID: "a"}}, held, false)
	expectListed(t, l, start, "a")

	l.Replace(start, []Server{{ID: "a"}}, held, true)
	expectListed(t, l, start, "a", "b")
	if _, lapsed := l.Servers(start); lapsed != 1 {
		t.Errorf("%d servers count as lapsed, want 1", lapsed)
	}
	expectListed(t, l, start.Add(lapseGrace-time.Millisecond), "a", "b")
	expectListed(t, l, start.Add(lapseGrace), "a")
}

func TestALapsedServerThatComesBackStaysAndOneThatIsRemovedGoes(t *testing.T) {
	held := []Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	l := &Listing{}
	l.Replace(start, nil, held, true)
	l.Put(Server{ID: "b", Slots: 2})
	l.Remove("c")
	expectListed(t, l, start, "a", "b")
	expectListed(t, l, start.Add(lapseGrace), "b")
}

func TestAWholeReadWithoutAnOutageDoesNotEndTheGrace(t *testing.T) {
	l := &Listing{}
	l.Replace(start, nil, []Server{{ID: "a"}, {ID: "b"}}, true)
	l.Replace(start.Add(time.Second), []Server{{ID: "b"}}, nil, false)
	expectListed(t, l, start.Add(time.Second), "a", "b")
	if w := l.Wait(start.Add(1500*time.Millisecond), time.Second); w != 500*time.Millisecond {
		t.Errorf("waits %s for changes, want until the grace ends", w)
	}
	expectListed(t, l, start.Add(lapseGrace), "b")
}

func TestAListingSaysOnceThatItChanged(t *testing.T) {
	l := &Listing{}
	l.Replace(start, nil, []Server{{ID: "a"}}, true)
	for _, at := range []time.Time{start, start.Add(lapseGrace)} {
		if !l.Changed(at) {
			t.Errorf("no change %s after the outage", at.Sub(start))
		}
		l.Servers(at)
		if l.Changed(at) {
			t.Errorf("changed still %s after the outage", at.Sub(start))
		}
	}
}

// Peers take a list only if its state is later. When lapsed servers are dropped the platform's revision
// need not have changed.
func TestAListWithoutLapsedServersIsALaterState(t *testing.T) {
	l := &Listing{}
	l.Replace(start, nil, []Server{{ID: "a"}}, true)
	with := l.State(7)
	l.Servers(start.Add(lapseGrace))
	if without := l.State(7); without <= with || without >= l.State(8) || RevisionOf(with) != 7 || RevisionOf(without) != 7 {
		t.Errorf("states %d and %d of revision 7", with, without)
	}
}
