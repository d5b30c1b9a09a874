package quota

import "time"

const (
	// burstFor is the time whose permits may be granted at once after a pause, in addition to one. Servers
	// are overloaded by half as much again as their limit in four seconds, plus a few requests; the permits
	// of a previous limiter come on top of the burst.
	burstFor = 250 * time.Millisecond
	// batchFor is the time whose permits one request for permits may get. It keeps a limit of thousands per
	// second at some tens of requests for permits per second.
	batchFor = 50 * time.Millisecond
	// takeoverFor is how long a replaced limiter may still grant permits because it does not know of its
	// successor: twice the time in which a membership change reaches all boxes of a fleet of a thousand.
	takeoverFor = 2 * time.Second
	// takeoverPart is the part of the limit that a new limiter grants during takeoverFor, and a substitute
	// limiter always. A server can take the full rate of the old limiter plus this part.
	takeoverPart = 0.5
	// serverTTL is how long an unused server is remembered. It must exceed takeoverFor, or a limiter would
	// forget that it was the limiter all along.
	serverTTL = time.Minute

	asksBase    = 32               // requests for permits per second that a limiter accepts for one server
	asksFactor  = 4                // and this many more for each request per second of its limit
	maxAskDelay = 15 * time.Second // longest time until a box that got no permit asks again
)

// Places at brittle servers.
const (
	rejectedPart = 0.8                    // part of the places that are left after a rejection
	reduceEvery  = 200 * time.Millisecond // minimum interval of reductions: a round of requests, whose rejections belong together
	risePart     = 0.2                    // places by which the limit rises with each round of requests
	spareSlots   = 0.05                   // places above the slots, as a share of these, at least one
	gapWeight    = 0.1                    // weight of a new sample in the mean time between releases
	minPlaceGap  = time.Millisecond       // minimum of that time
)
