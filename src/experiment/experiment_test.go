package experiment

import (
	"testing"
	"time"

	"github.com/stilemast/stilemast/src/config"
)

// runCase simulates 20 s of the example workload on 6 boxes.
func runCase(t testing.TB, p Policy, load float64, fault Fault, seed uint64) Figures {
	t.Helper()
	f, err := Run(Case{
		Workload: "pageworks", Document: config.ExamplePageworks(), Boxes: 6, Load: load,
		Duration: 20 * time.Second, Fault: fault, Seed: seed, Policy: p,
	})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// Guards against iteration over maps and other sources of randomness that do not depend on the seed.
func TestRunsAreDeterministic(t *testing.T) {
	p := Policies()[0]
	a, b := runCase(t, p, 1, Faults()[0], 7), runCase(t, p, 1, Faults()[0], 7)
	if a.Requests != b.Requests || a.Weighted != b.Weighted || a.Wasted != b.Wasted || a.First95 != b.First95 {
		t.Errorf("two runs of one case differ: %+v, %+v", a, b)
	}
}

func TestAcceptedMustFinishRequestsFinish(t *testing.T) {
	for _, f := range Faults() {
		if got := runCase(t, Policies()[0], 1.5, f, 3); got.MustFinished != 1 {
			t.Errorf("%s: %.3f of the accepted must-finish requests finished", f.Name, got.MustFinished)
		}
	}
}

func TestGoodputHoldsUnderOverload(t *testing.T) {
	at100, at200 := runCase(t, Policies()[0], 1, Faults()[0], 5), runCase(t, Policies()[0], 2, Faults()[0], 5)
	if at200.Goodput < 0.95*at100.Goodput {
		t.Errorf("goodput %.1f/s at 200%%, %.1f/s at 100%%", at200.Goodput, at100.Goodput)
	}
}

func BenchmarkPlay(b *testing.B) {
	for b.Loop() {
		runCase(b, Policies()[0], 1.3, Faults()[0], 1)
	}
}
