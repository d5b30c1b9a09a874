package exchange

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// RetryAfter returns the longest time of the Retry-After fields of a response: in seconds, including
// fractions, or as a date (RFC 9110, section 10.2.3), which is compared with the response's own Date since
// the clocks of machines differ. Invalid values and values not above zero count as 0.
func RetryAfter(h http.Header) time.Duration {
	longest := time.Duration(0)
	for _, v := range h.Values("Retry-After") {
		longest = max(longest, retryAfter(strings.TrimSpace(v), h.Get("Date")))
	}
	return longest
}

// retryAfter parses one Retry-After value.
func retryAfter(v, date string) time.Duration {
	seconds, err := strconv.ParseFloat(v, 64)
	if err == nil {
		if math.IsNaN(seconds) || seconds <= 0 {
			return 0
		}
		return time.Duration(min(seconds*float64(time.Second), math.MaxInt64/2))
	}
	end, err := http.ParseTime(v)
	if err != nil {
		return 0
	}
	sent, err := http.ParseTime(date)
	if err != nil {
		return 0
	}
	return max(0, end.Sub(sent))
}
