package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// net is a fleet of membership lists whose messages arrive immediately unless a link is cut.
type net struct {
	now   time.Time
	nodes map[string]*Members
	cut   func(from, to string) bool
	sent  int
}

func newNet(n int, seed uint64) *net {
	x := &net{now: time.Unix(1_000_000, 0), nodes: map[string]*Members{}, cut: func(string, string) bool { return false }}
	var list []ListedBox
	for i := range n {
		list = append(list, ListedBox{Name: fmt.Sprintf("b%02d", i), Address: fmt.Sprintf("b%02d", i), FailureDomain: "d"})
	}
	for i, b := range list {
		m := NewMembers(Rumour{ID: BoxID{Name: b.Name, Incarnation: 1}, Address: b.Address, Domain: "d"}, rand.New(rand.NewPCG(seed, uint64(i))))
		m.SetList(x.now, list)
		x.nodes[b.Name] = m
	}
	return x
}

func (x *net) deliver(from string, out []OutgoingBeat) {
	for _, o := range out {
		x.sent++
		if to := x.nodes[o.Address]; to != nil && !x.cut(from, o.Address) {
			x.deliver(o.Address, to.Receive(x.now, o.Beat).Reply)
		}
	}
}

func (x *net) run(d time.Duration) {
	for end := x.now.Add(d); x.now.Before(end); x.now = x.now.Add(HeartbeatEvery) {
		for _, n := range x.order() {
			m := x.nodes[n]
			x.deliver(n, append(m.Tick(x.now), m.IndirectProbes(x.now)...))
		}
	}
}

func (x *net) order() []string {
	var out []string
	for i := range 100 {
		if n := fmt.Sprintf("b%02d", i); x.nodes[n] != nil {
			out = append(out, n)
		}
	}
	return out
}

func (x *net) states(of string) map[MemberState]int {
	out := map[MemberState]int{}
	for n, m := range x.nodes {
		if n != of {
			out[m.Find(of).State()]++
		}
	}
	return out
}

func TestMembersDetectLossAndRestart(t *testing.T) {
	for _, n := range []int{7, 60} {
		x := newNet(n, 5)
		x.run(10 * time.Second)
		if s := x.states("b03"); s[MemberAlive] != n-1 {
			t.Fatalf("%d boxes: at first %v", n, s)
		}
		lost := x.nodes["b03"]
		delete(x.nodes, "b03")
		x.run(25 * time.Second)
		if s := x.states("b03"); s[MemberDead] != n-1 {
			t.Errorf("%d boxes: 25 s after the loss %v", n, s)
		}
		next := NewMembers(Rumour{ID: BoxID{Name: "b03", Incarnation: 2}, Address: "b03", Domain: "d"}, rand.New(rand.NewPCG(9, 9)))
		next.SetList(x.now, []ListedBox{{Name: "b00", Address: "b00"}})
		x.nodes["b03"] = next
		x.run(15 * time.Second)
		if s := x.states("b03"); s[MemberAlive] != n-1 || x.nodes["b01"].Find("b03").ID().Incarnation != 2 {
			t.Errorf("%d boxes: the new incarnation is seen as %v", n, s)
		}
		if lost.Self.ID.Incarnation != 1 {
			t.Error("unreachable")
		}
	}
}

func TestOneWayLinkFailureKillsNoMember(t *testing.T) {
	x := newNet(7, 6)
	x.run(10 * time.Second)
	x.cut = func(from, to string) bool { return from == "b01" && to == "b02" }
	for range 60 {
		x.run(time.Second)
		if s := x.states("b02"); s[MemberDead] > 0 {
			t.Fatalf("one failed link makes others consider a live box dead: %v", s)
		}
	}
}

func TestHealedPartitionMerges(t *testing.T) {
	x := newNet(8, 7)
	x.run(10 * time.Second)
	side := func(n string) bool { return n < "b04" }
	x.cut = func(from, to string) bool { return side(from) != side(to) }
	x.run(40 * time.Second)
	if s := x.states("b06"); s[MemberDead] != 4 {
		t.Fatalf("the other side sees %v", s)
	}
	x.cut = func(string, string) bool { return false }
	x.run(40 * time.Second)
	for n := range x.nodes {
		if s := x.states(n); s[MemberAlive] != 7 {
			t.Errorf("after healing %s is seen as %v", n, s)
		}
	}
}

func TestMessagesPerBoxAreIndependentOfFleetSize(t *testing.T) {
	per := map[int]float64{}
	for _, n := range []int{7, 90} {
		x := newNet(n, 8)
		x.run(20 * time.Second)
		x.sent = 0
		x.run(20 * time.Second)
		per[n] = float64(x.sent) / float64(n) / 20
	}
	t.Logf("messages a second and box: %.1f at 7, %.1f at 90", per[7], per[90])
	if per[90] > 1.3*per[7] {
		t.Errorf("messages a second and box grow from %.1f to %.1f", per[7], per[90])
	}
}
