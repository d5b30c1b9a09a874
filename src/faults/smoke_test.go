package faults

import (
	"testing"
	"testing/synctest"

	"github.com/stilemast/stilemast/src/code"
)

// Without faults, every box must answer every pipeline in full.
func TestQuietFleetAnswersWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.shutdown()
		for i, name := range []string{"b1", "b2", "b3", "b4"} {
			for _, p := range []string{"draft", "review", "receipt"} {
				a := f.send(name, p, f.newKey(), []byte{byte('a' + i), p[0]})
				if a.code != code.OK || a.cut {
					t.Errorf("%s on %s: %s, cut %t", p, name, a.code, a.cut)
				}
				if why := f.violation(a); why != "" {
					t.Errorf("%s on %s: %s", p, name, why)
				}
			}
		}
	})
}
