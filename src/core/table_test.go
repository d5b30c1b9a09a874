package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// tablePace is the interval at which the boxes of a tableNet act, bytesOfEntry the approximate size of an
// entry in a message.
const (
	tablePace    = 50 * time.Millisecond
	bytesOfEntry = 85
)

// tableNet simulates a fleet in virtual time whose boxes start at different times and know only three
// seeds.
type tableNet struct {
	now             time.Time
	step            int
	nodes           map[string]*Members
	starts          map[string]time.Time
	order           []string
	seeds           []string
	cut             func(from, to string) bool
	lastIncarnation uint64
	sent            int // messages
	entries         int // sent in table exchanges
	seed            uint64
}

func newTableNet(n int, spread time.Duration, seed uint64) *tableNet {
	x := &tableNet{now: time.Unix(1_000_000, 0), nodes: map[string]*Members{}, starts: map[string]time.Time{}, cut: func(string, string) bool { return false }, seed: seed}
	r := rand.New(rand.NewPCG(seed, 77))
	for i := range n {
		name := fmt.Sprintf("b%04d", i)
		x.order = append(x.order, name)
		x.starts[name] = x.now.Add(time.Duration(r.Int64N(int64(spread) + 1)))
	}
	x.seeds = x.order[:3]
	return x
}

func (x *tableNet) start(name string) *Members {
	x.lastIncarnation++
	m := NewMembers(Rumour{ID: BoxID{Name: name, Incarnation: x.lastIncarnation}, Address: name, Domain: "d"}, rand.New(rand.NewPCG(x.seed, x.lastIncarnation)))
	m.Start = x.now
	x.nodes[name] = m
	return m
}

func (x *tableNet) deliver(from string, out []OutgoingBeat) {
	for _, o := range out {
		x.sent++
		if o.Beat.Table != nil {
			x.entries += len(o.Beat.Table.Entries)
		}
		if to := x.nodes[o.Address]; to != nil && !x.cut(from, o.Address) {
			x.deliver(o.Address, to.Receive(x.now, o.Beat).Reply)
		}
	}
}

// run simulates the fleet for the given time.
func (x *tableNet) run(d time.Duration) {
	for end := x.now.Add(d); x.now.Before(end); x.now = x.now.Add(tablePace) {
		for i, n := range x.order {
			m := x.nodes[n]
			if m == nil && !x.starts[n].IsZero() && !x.now.Before(x.starts[n]) {
				x.starts[n] = time.Time{}
				m = x.start(n)
			}
			if m == nil {
				continue
			}
			x.deliver(n, m.FormingProbe(x.now))
			x.deliver(n, x.introductions(m))
			if (x.step+i)%int(HeartbeatEvery/tablePace) == 0 {
				x.deliver(n, append(m.Tick(x.now), m.IndirectProbes(x.now)...))
			}
		}
		x.step++
	}
}

// introductions returns heartbeats to the seeds that a box does not know yet, as gateways send them.
func (x *tableNet) introductions(m *Members) []OutgoingBeat {
	var out []OutgoingBeat
	if !m.Forming(x.now) {
		return nil
	}
	for _, s := range x.seeds {
		if s != m.Self.ID.Name && m.Find(s) == nil {
			out = append(out, m.Introduce(x.now, s))
		}
	}
	return out
}

// countConverged counts the boxes that consider exactly the living boxes usable.
func (x *tableNet) countConverged() int {
	var living []string
	for _, n := range x.order {
		if m := x.nodes[n]; m != nil && m.Self.State == MemberAlive {
			living = append(living, n)
		}
	}
	know := 0
	for _, n := range living {
		if slices.Equal(x.nodes[n].Usable(), living) {
			know++
		}
	}
	return know
}

// runUntilConverged runs until every living box knows every other, at most for the given time, and returns how
// long that took.
func (x *tableNet) runUntilConverged(most time.Duration) time.Duration {
	began := x.now
	for x.now.Sub(began) < most && x.countConverged() < len(x.nodes) {
		x.run(tablePace)
	}
	return x.now.Sub(began)
}

// Boxes that start together know each other within a fixed time, whatever the fleet size, and no single box
// sends the tables of the others.
func TestFleetForms(t *testing.T) {
	for _, c := range []struct {
		boxes int
		most  time.Duration
	}{{6, 500 * time.Millisecond}, {295, 1500 * time.Millisecond}, {420, 1500 * time.Millisecond}, {1000, 1500 * time.Millisecond}} {
		if c.boxes > 420 && testing.Short() {
			continue
		}
		x := newTableNet(c.boxes, 300*time.Millisecond, 11)
		x.run(300*time.Millisecond + tablePace) // all boxes have started
		took := x.runUntilConverged(10 * time.Second)
		t.Logf("%d boxes: all know all %s after the last start; a box sent %d messages and %d KB of entries", c.boxes, took, x.sent/c.boxes, x.entries*bytesOfEntry/1000/c.boxes)
		if took > c.most {
			t.Errorf("%d boxes took %s to know one another, want at most %s", c.boxes, took, c.most)
		}
	}
}

// After the loss of all boxes the fleet forms like the first time, and no earlier incarnation reappears.
func TestFleetRecoversFromTotalLoss(t *testing.T) {
	x := newTableNet(120, 0, 12)
	x.run(3 * time.Second)
	clear(x.nodes)
	for i, n := range x.order {
		x.starts[n] = x.now.Add(time.Second + time.Duration(i)*2*time.Millisecond)
	}
	x.run(1300 * time.Millisecond)
	if took := x.runUntilConverged(10 * time.Second); took > 1500*time.Millisecond {
		t.Errorf("after the loss of all it took %s", took)
	}
	for n, m := range x.nodes {
		for _, e := range m.All() {
			if e.ID().Incarnation <= 120 {
				t.Fatalf("%s knows an incarnation from before the loss: %v", n, e.ID())
			}
		}
	}
}

// Both sides of a partition consider the other dead; after it heals they must merge quickly.
func TestPartitionHeals(t *testing.T) {
	for _, c := range []struct {
		boxes, side int
	}{{12, 4}, {295, 98}, {295, 1}} {
		for _, length := range []time.Duration{3500 * time.Millisecond, 9 * time.Second, 30 * time.Second} {
			x := newTableNet(c.boxes, 0, 13)
			x.run(4 * time.Second)
			side := x.order[c.side]
			x.cut = func(from, to string) bool { return (from < side) != (to < side) }
			x.run(length)
			x.cut = func(string, string) bool { return false }
			took := x.runUntilConverged(20 * time.Second)
			t.Logf("%d and %d boxes, apart for %s: healed after %s", c.side, c.boxes-c.side, length, took)
			if took > 1500*time.Millisecond {
				t.Errorf("%d boxes, %d of them apart for %s: merged after %s", c.boxes, c.side, length, took)
			}
			x.run(8 * time.Second)
			if n := x.countConverged(); n != c.boxes {
				t.Errorf("%d boxes, %d of them apart for %s: 8 s later only %d know all", c.boxes, c.side, length, n)
			}
		}
	}
}

// Equal tables are not exchanged, and a single change causes no exchange of whole tables.
func TestEqualTablesExchangeNothing(t *testing.T) {
	x := newTableNet(295, 0, 14)
	x.run(6 * time.Second)
	x.entries, x.sent = 0, 0
	x.run(5 * time.Second)
	if x.entries > 0 {
		t.Errorf("%d entries exchanged without a change", x.entries)
	}
	x.nodes["b0100"].Leave("")
	x.run(5 * time.Second)
	for n, m := range x.nodes {
		if e := m.Find("b0100"); e != nil && e.State() != MemberLeaving {
			t.Fatalf("%s considers a leaving box %s", n, e.State())
		}
	}
	if per := float64(x.entries) / 295; per > 20 {
		t.Errorf("one change moved %.1f entries a box", per)
	}
}

// A box that is leaving stays so when it is suspected and answers again.
func TestSuspectedLeavingBoxStaysLeaving(t *testing.T) {
	x := newTableNet(5, 0, 15)
	x.run(3 * time.Second)
	x.nodes["b0004"].Leave("")
	x.run(time.Second)
	x.cut = func(from, _ string) bool { return from == "b0004" }
	x.run(4 * time.Second)
	if s := x.nodes["b0000"].Find("b0004").State(); s < MemberSuspect {
		t.Fatalf("a silent box is considered %s", s)
	}
	x.cut = func(string, string) bool { return false }
	x.run(3 * time.Second)
	for _, n := range x.order[:4] {
		if s := x.nodes[n].Find("b0004").State(); s != MemberLeaving {
			t.Errorf("%s considers it %s", n, s)
		}
	}
}

// An answer from a suspected box proves that its incarnation is alive, not that it takes work.
func TestLateAnswerOfLeavingBoxKeepsItLeaving(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	m := NewMembers(Rumour{ID: BoxID{Name: "a", Incarnation: 1}, Address: "a"}, rand.New(rand.NewPCG(1, 1)))
	leaving := Rumour{ID: BoxID{Name: "b", Incarnation: 1}, Address: "b", State: MemberLeaving, Round: 1}
	m.Receive(now, Beat{From: leaving, News: true})
	question := m.ask(now, "b")
	now = now.Add(suspectAfter + time.Millisecond)
	m.Tick(now)
	if s := m.Find("b").State(); s != MemberSuspect {
		t.Fatalf("a silent box is considered %s", s)
	}
	m.Receive(now, Beat{From: leaving, Seq: question.Beat.Seq, Answer: true})
	if s := m.Find("b").State(); s != MemberLeaving {
		t.Errorf("a leaving box that answers late is considered %s", s)
	}
}

// A box that was paused longer than deadAfter learns that it is considered dead, refutes it, and is used
// again.
func TestPausedBoxRejoins(t *testing.T) {
	x := newTableNet(40, 0, 16)
	x.run(3 * time.Second)
	paused := x.nodes["b0020"]
	delete(x.nodes, "b0020")
	x.run(9 * time.Second)
	x.nodes["b0020"] = paused
	if took := x.runUntilConverged(10 * time.Second); took > 1500*time.Millisecond {
		t.Errorf("a box that was paused is known again after %s", took)
	}
}

// The views converge after any history of losses, restarts, partitions and planned departures: in the end
// no box uses an incarnation that ended or left.
func TestMembershipConverges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(4, 24).Draw(r, "boxes")
		x := newTableNet(n, 200*time.Millisecond, rapid.Uint64().Draw(r, "seed"))
		x.run(time.Second)
		left := map[BoxID]bool{}
		for range rapid.IntRange(1, 8).Draw(r, "events") {
			name := x.order[rapid.IntRange(0, n-1).Draw(r, "box")]
			switch rapid.SampledFrom([]string{"kill", "restart", "leave", "cut", "heal", "wait"}).Draw(r, "event") {
			case "kill":
				if len(x.nodes) > 1 {
					delete(x.nodes, name)
				}
			case "restart":
				x.start(name)
			case "leave":
				if m := x.nodes[name]; m != nil {
					m.Leave("")
					left[m.Self.ID] = true
				}
			case "cut":
				x.cut = func(from, to string) bool { return (from < name) != (to < name) }
			case "heal":
				x.cut = func(string, string) bool { return false }
			}
			x.run(time.Duration(rapid.IntRange(0, 7000).Draw(r, "ms")) * time.Millisecond)
		}
		x.cut = func(string, string) bool { return false }
		x.run(25 * time.Second)
		x.check(r, left)
	})
}

func (x *tableNet) check(r *rapid.T, left map[BoxID]bool) {
	var living []string
	for _, n := range x.order {
		if m := x.nodes[n]; m != nil && m.Self.State == MemberAlive {
			living = append(living, n)
		}
	}
	for n, m := range x.nodes {
		for _, e := range m.All() {
			if left[e.ID()] && e.Usable() {
				r.Fatalf("%s would use %v, which left", n, e.ID())
			}
			if now := x.nodes[e.ID().Name]; e.Usable() && (now == nil || now.Self.ID != e.ID()) {
				r.Fatalf("%s would use %v, an incarnation that ended", n, e.ID())
			}
		}
		if m.Self.State != MemberAlive || !x.canMeetOthers(n) {
			continue
		}
		if got := m.Usable(); !slices.Equal(got, living) {
			r.Fatalf("%s uses %v, want %v", n, got, living)
		}
	}
}

// canMeetOthers reports whether a box can have met the others: at the start it knows only the seeds.
func (x *tableNet) canMeetOthers(string) bool {
	for _, s := range x.seeds {
		if x.nodes[s] != nil {
			return true
		}
	}
	return false
}
