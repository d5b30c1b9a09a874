package pushback

import "testing"

func TestParseLimit(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   float64
	}{
		{nil, 0},
		{[]string{"1"}, 1},
		{[]string{" 1.25 "}, 1.25},
		{[]string{"4", "2"}, 2},
		{[]string{"x", "2"}, 2},
		{[]string{"0"}, MinLimit},
		{[]string{"0.1"}, MinLimit},
		{[]string{"1e-300"}, MinLimit},
		{[]string{"1e9"}, MaxLimit},
		{[]string{"1e999"}, MaxLimit},
		{[]string{"+Inf"}, MaxLimit},
		{[]string{"-1"}, InvalidLimit},
		{[]string{"-Inf"}, InvalidLimit},
		{[]string{"NaN"}, InvalidLimit},
		{[]string{""}, InvalidLimit},
		{[]string{"2 a second"}, InvalidLimit},
	} {
		if got := ParseLimit(c.values); got != c.want {
			t.Errorf("%q: %g, want %g", c.values, got, c.want)
		}
	}
}
