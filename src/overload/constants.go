package overload

import "time"

// Measurement of the load.
const (
	minInterval = 100 * time.Millisecond // of one measurement
	maxInterval = 500 * time.Millisecond // of one measurement with few samples
	minSamples  = 3                      // probes in one measurement; a pause of the process affects one of them

	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)

// Loads beyond which a box is overloaded.
const (
	maxDelay = 40 * time.Millisecond // of a goroutine; a request needs several in turn
	maxLink  = 0.75                  // of the link; the rest is for messages between boxes and repeated packets
)
