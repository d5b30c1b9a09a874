package returning

import "time"

// Bounds of the retry-after times of refusals because of load.
const (
	// MinAfter is the shortest time: a round trip of a caller to another box. A longer minimum would use up the shortest
	// objectives: 0.3 s is half of 0.6 s.
	MinAfter = 30 * time.Millisecond
	// MaxAfter is the longest time. Callers that were told more did not return.
	MaxAfter = 3 * time.Second
	// maxLeftShare is the longest time as a share of what the caller has left to its deadline. Callers wait no longer than a
	// third of it, and the response to the second attempt needs the remainder.
	maxLeftShare = 1.0 / 3
	// MinWaitAfter is the shortest time where callers are not recorded.
	MinWaitAfter = 300 * time.Millisecond
)

// Bounds of the register.
const (
	maxEntries = 4096             // entries of all contents: 10 s of 400 refusals a second
	maxBytes   = 512 << 10        // of all entries
	entryBytes = 128              // bytes counted for one entry, its share of the map and of the order of arrival included
	maxTime    = 10 * time.Second // age of a first attempt up to which an entry is kept; callers that are refused in bursts return within 6 s
	maxSame    = 4                // entries of one content: callers that ask for the same at the same time
	// MaxRefusals is the number of refusals of one caller that are recorded. After more it is treated as new, so that a
	// content that is sent continually is not preferred.
	MaxRefusals = 3
	// earlyTolerance is the time before the promised one from which a caller is on time: ages in messages leave out
	// their time on the way, and callers round what they are told.
	earlyTolerance = 25 * time.Millisecond
	// deadlineTolerance is by how much the deadlines of two attempts of one caller differ at most: callers round what they
	// state, and the time on the way to each box differs.
	deadlineTolerance = 100 * time.Millisecond
)

// KnownFor is the time after a refusal for which boxes query registrars.
const KnownFor = maxTime

// Bounds of promises.
const (
	slotTime = 50 * time.Millisecond // duration of a slot
	slots    = int(MaxAfter/slotTime) + 1
	levels   = 10 // levels of urgency that are told apart, 0 the most urgent
)
