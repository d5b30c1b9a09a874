package overload

import "time"

// Measurement of the load.
const (
	minInterval   = 100 * time.Millisecond // of one measurement
	linkSmoothing = 400 * time.Millisecond // time constant of the link's share: a few large bodies may arrive together

	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)

// Loads beyond which a box is overloaded.
const (
	maxDelay  = 110 * time.Millisecond // of a goroutine; a process that has used up its machine's quota waits for a tenth of a second
	minBusy   = 250 * time.Millisecond // of longer delays without a break
	maxBodies = 250 * time.Millisecond // of the link for bodies that are expected
	minLink   = 0.4                    // of the link; below it, bodies are late because of their callers' own links
	maxLink   = 0.75                   // of the link; the rest is for messages between boxes and repeated packets

	maxDescriptors       = 0.75 // of the descriptors; the rest is for other boxes, probes and idle connections to servers
	descriptorsPerCaller = 2    // a caller's connection and one to a server

	headMemory       = 16 << 10                  // bytes that a connection takes with the head of a request
	connectionMemory = headMemory + unreadMemory // bytes

	maxSilence = time.Second // of a new connection that has sent nothing, before it is closed for another one
)

// Bytes of a body that are expected.
const (
	stalledAfter    = 250 * time.Millisecond // without a byte
	firstExpected   = 64 << 10               // bytes of a body of which nothing has arrived
	expectedPerRead = 8                      // for each byte that has arrived
)

// Heads of requests that are read.
const (
	headsPerLimit = 2                      // times the limit, so that callers who exceed it get a response
	headSlack     = 8 << 10                // bytes beyond that, which are read ahead
	refusalTime   = 100 * time.Millisecond // for the response to a head that is longer
)

// Changes of the share of new connections that are accepted, in each minInterval.
const (
	minDecrease = 0.9  // factor after little overload
	maxDecrease = 0.5  // factor after much
	increase    = 0.2  // of the share, without overload
	maxIncrease = 0.05 // at most
	minShare    = 0.01 // from which it rises again within seconds
)

// maxPause is the time after which a box accepts a connection however busy it is: one that accepts none does not see when it
// can again, and is not ready.
const maxPause = 250 * time.Millisecond
