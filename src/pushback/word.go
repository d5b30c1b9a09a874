// Package pushback decides what backend servers' own answers allow. A server that leaves says so in its answers, and one
// that turns a request away may say for how long it wants nothing more from this box. One in need names how many requests a
// second it takes from all boxes together.
package pushback

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

// Word is what one answer says of its server, beside the answer itself. The zero value says nothing.
type Word struct {
	Leaving bool          // the server takes no new work any more
	Rest    time.Duration // for which it wants nothing from this box, 0 for none
	Limit   float64       // requests a second that it takes from all boxes together, 0 for no limit named; see LimitOf
}

// The limits that are taken from answers, in requests a second. A lower one would take a server out for good, as no request would
// learn that it has ended.
const (
	LeastLimit = 0.1
	MostLimit  = 1e5
)

// NoSense is the limit of an answer that names one which can't be read. It neither sets a limit nor ends one.
const NoSense = -1

// LimitOf reads the limits that one answer names; of several the lowest counts. It gives 0 where the answer names none.
func LimitOf(values []string) float64 {
	if len(values) == 0 {
		return 0
	}
	least := float64(NoSense)
	for _, v := range values {
		n, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(n) || n < 0 {
			continue
		}
		n = min(max(n, LeastLimit), MostLimit)
		if least == NoSense || n < least {
			least = n
		}
	}
	return least
}

// Server is one life of a backend server. Of two incarnations the larger began later; 0 is a life that does not say when it
// began.
type Server struct {
	ID          string
	Incarnation int64
}
