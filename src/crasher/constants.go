package crasher

import "time"

// Tunables of when a content is refused.
const (
	// barFrom is how many lives of servers end under a content before it is refused: one end has many suspects, two may
	// be chance, and the users' bound counts from the third.
	barFrom = 3
	// AloneFrom is from which end on a content is run apart from others and not repeated by this box itself: the two
	// ends have, but for chance, only the guilty content in common.
	AloneFrom = 2
	// barFirst is for how long a content is refused after the third end, doubled with each further one: longer than callers
	// come again by themselves, shorter than it takes to mend a server and put it into service. A content that comes without
	// end is tried at most three times in the first three and a half hours.
	barFirst = 30 * time.Minute
	barMost  = 24 * time.Hour
	// suspectLife is how long fewer ends are remembered: a caller that comes again once a minute is found out.
	suspectLife = 10 * time.Minute
	// goodHolds is for how long before and for ever after a good answer the ends of servers don't speak against a content.
	// What crashes each server that runs it gets no good answer; a popular content has one within seconds, so that the loss of
	// half a pool shuts it out nowhere (2,500 of 2,500 answered at 6 and 61 boxes, crashing_test.go of the gateway).
	goodHolds = 10 * time.Second
	// proofWindow is within which time of a broken exchange its server must be found to have ended: three heartbeats of 1.2 s
	// after which its entry goes, and what that takes to go round.
	proofWindow = 6 * time.Second
)

// Limits of what is kept and told.
const (
	endsKept    = 16              // of one content, the newest
	entriesMost = 4096            // contents: two failure domains of the largest fleet seen, each server full; 0.8 MB
	brokenMost  = 1024            // lives with broken exchanges whose end is not known
	keysPerLife = 256             // broken exchanges of one life at this box
	goodsMost   = 8192            // contents answered lately, in each of two halves; 0.5 MB each
	goodsFor    = suspectLife / 2 // that a half is begun for: a good answer between two ends of servers is known when the second comes

	counters  = 2                      // boxes that add up what others saw of a content
	freshFor  = 600 * time.Millisecond // that news are in every message: three rounds of a small fleet, one of heartbeats
	newsMost  = 24                     // in one message, some 60 bytes each
	repairs   = 4                      // further notes in a heartbeat, by turns, for boxes that missed the news
	NotesMost = 64                     // that a message may have
)
