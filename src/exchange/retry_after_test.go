package exchange

import (
	"math"
	"net/http"
	"testing"
	"time"
)

func TestRetryAfterFormats(t *testing.T) {
	const date = "Thu, 03 Dec 2026 12:00:00 GMT"
	for _, c := range []struct {
		fields []string
		date   string
		want   time.Duration
	}{
		{nil, "", 0},
		{[]string{"3"}, "", 3 * time.Second},
		{[]string{" 0.25 "}, "", 250 * time.Millisecond},
		{[]string{"0"}, "", 0},
		{[]string{"-1"}, "", 0},
		{[]string{"NaN"}, "", 0},
		{[]string{"soon"}, "", 0},
		{[]string{""}, "", 0},
		{[]string{"1", "3", "2"}, "", 3 * time.Second},
		{[]string{"-1", "2"}, "", 2 * time.Second},
		{[]string{"Inf"}, "", math.MaxInt64 / 2},
		{[]string{"1e300"}, "", math.MaxInt64 / 2},
		{[]string{"Thu, 03 Dec 2026 12:00:05 GMT"}, date, 5 * time.Second},
		{[]string{"Thu, 03 Dec 2026 11:00:00 GMT"}, date, 0},
		{[]string{"Thu, 03 Dec 2026 12:00:05 GMT"}, "", 0},
	} {
		h := http.Header{}
		for _, v := range c.fields {
			h.Add("Retry-After", v)
		}
		if c.date != "" {
			h.Set("Date", c.date)
		}
		if got := RetryAfter(h); got < 0 || got != c.want && (got-c.want).Abs() > 4096 {
			t.Errorf("Retry-After %q with Date %q gives %s, want %s", c.fields, c.date, got, c.want)
		}
	}
}
