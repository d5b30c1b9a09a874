package faults

import (
	"testing"
	"testing/synctest"
)

// TestPairs injects every pair of faults together, each pair at three steps.
func TestPairs(t *testing.T) {
	n := 0
	for i, x := range faultColumns {
		for _, y := range faultColumns[i+1:] {
			for range 3 {
				st := steps[n%len(steps)]
				n++
				if x.skip != nil && x.skip(st) != "" || y.skip != nil && y.skip(st) != "" {
					continue
				}
				t.Run(st.name+"/"+x.name+" and "+y.name, func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						if wrong, _ := playCell(t, st, x, y); wrong != "" {
							t.Error(wrong)
						}
					})
				})
			}
		}
	}
}
