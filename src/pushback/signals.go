// Package pushback applies the flow control that backend servers send in their responses. A server can announce that it
// takes no new work, ask a box to send nothing for a time (a rest), and limit the requests per second from all boxes
// together.
package pushback

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

// Signals is the flow control information in one response. The zero value contains none.
type Signals struct {
	Leaving bool          // the server takes no new work
	Rest    time.Duration // time for which it wants no requests from this box, 0 for none
	Limit   float64       // requests per second from all boxes together, 0 if none is given; see ParseLimit
	Brittle int           // requests per second that the server can turn away without failing, 0 if it does not say so
}

// Range of limits accepted from responses, in requests per second. With a lower one too few requests would be sent to
// learn that the limit has ended.
const (
	MinLimit = 0.1
	MaxLimit = 1e5
)

// MaxBrittle is the largest number of rejected requests per second that counts.
const MaxBrittle = 10_000

// InvalidLimit stands for a limit that can't be parsed. It neither sets a limit nor ends one.
const InvalidLimit = -1

// ParseLimit parses the limits given in one response and returns the lowest, 0 if there is none, or InvalidLimit.
func ParseLimit(values []string) float64 {
	if len(values) == 0 {
		return 0
	}
	least := float64(InvalidLimit)
	for _, v := range values {
		n, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(n) || n < 0 {
			continue
		}
		n = min(max(n, MinLimit), MaxLimit)
		if least == InvalidLimit || n < least {
			least = n
		}
	}
	return least
}

// ParseBrittle parses the numbers in which a response says how many requests per second its server can turn away, and returns
// the lowest. A server that names none that can be read can turn away none; without values the result is 0.
func ParseBrittle(values []string) int {
	if len(values) == 0 {
		return 0
	}
	least := MaxBrittle
	for _, v := range values {
		n, err := strconv.Atoi(strings.TrimSpace(v))
		if err != nil && !errors.Is(err, strconv.ErrRange) {
			n = 1
		}
		least = min(least, max(n, 1))
	}
	return least
}

// Server is one incarnation of a backend server. A larger number is a later incarnation; 0 is an unknown one.
type Server struct {
	ID          string
	Incarnation int64
}
