package core

import (
	"testing"
	"time"
)

const testPool = 7 // hash of a pool name

// claimants returns the boxes that the given box believes to claim the pool, with their terms.
func claimants(x *tableNet, at string) map[string]uint64 {
	out := map[string]uint64{}
	for _, r := range x.nodes[at].Running(x.now) {
		if t := r.Term(testPool); t > 0 {
			out[r.Name] = t
		}
	}
	return out
}

func TestClaimReachesAllBoxes(t *testing.T) {
	x := newTableNet(295, 0, 21)
	x.run(3 * time.Second)
	x.nodes["b0042"].Claim(testPool)
	x.run(2500 * time.Millisecond)
	for n := range x.nodes {
		if got := claimants(x, n); len(got) != 1 || got["b0042"] != 1 {
			t.Fatalf("%s knows the claims %v", n, got)
		}
	}
	x.nodes["b0042"].ReleaseClaim(testPool)
	x.run(2500 * time.Millisecond)
	for n := range x.nodes {
		if got := claimants(x, n); len(got) > 0 {
			t.Fatalf("%s still knows a withdrawn claim: %v", n, got)
		}
	}
}

// A later claim has a later term, also after the loss of the previous claimant; a new incarnation holds no
// claim.
func TestClaimTermsIncrease(t *testing.T) {
	x := newTableNet(20, 0, 22)
	x.run(3 * time.Second)
	x.nodes["b0005"].Claim(testPool)
	x.run(2 * time.Second)
	delete(x.nodes, "b0005")
	x.run(9 * time.Second)
	x.nodes["b0006"].Claim(testPool)
	x.nodes["b0006"].Claim(testPool) // no effect
	x.run(2 * time.Second)
	if got := claimants(x, "b0007"); len(got) != 1 || got["b0006"] != 2 {
		t.Errorf("after the loss of the first claimant: %v", got)
	}
	x.start("b0005")
	x.run(2 * time.Second)
	if got := claimants(x, "b0007"); len(got) != 1 || got["b0006"] != 2 {
		t.Errorf("after its restart: %v", got)
	}
	if got := claimants(x, "b0005"); len(got) != 1 || got["b0006"] != 2 {
		t.Errorf("the new incarnation knows %v", got)
	}
}
