package quota

import "time"

const (
	// burstFor is the time whose permits may be granted at once after a pause, beside one. Servers are overrun when they get half
	// as much again in four seconds, and a few requests; what a limiter before granted comes on top of it.
	burstFor = 250 * time.Millisecond
	// batchFor is the time whose permits one question may get: with it a limit of thousands costs some tens of questions a second.
	batchFor = 50 * time.Millisecond
	// takeoverFor is for how long a limiter may be followed by another and not know it: twice the time in which all boxes of a fleet of a
	// thousand hear of a change of members.
	takeoverFor = 2 * time.Second
	// takeoverPart is what a new limiter grants meanwhile, and one that stands in for another all the time. All of the other's and this
	// are what a server bears.
	takeoverPart = 0.5
	// keptFor is how long a server is remembered that nobody asks for. Shorter than takeoverFor it would not know that it was the
	// limiter all the time.
	keptFor = time.Minute

	asksBase   = 32               // questions a second that a limiter takes for one server
	asksFactor = 4                // and so many for each request a second of its limit
	mostPause  = 15 * time.Second // for which one that got nothing does not ask again, at the most
)
