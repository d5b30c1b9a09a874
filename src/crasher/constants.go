package crasher

import "time"

// Parameters of when a content is refused.
const (
	// barThreshold is the number of crashes from which a content is refused: one crash has many suspects, two may be
	// coincidence, and the users' limit on crashes by one content counts from the third.
	barThreshold = 3
	// IsolationThreshold is the number of crashes from which a content is run separately from others and not retried by this box:
	// except by coincidence, two crashes have only the guilty content in common.
	IsolationThreshold = 2
	// firstBarTime is how long a content is refused after the third crash, doubled with each further one, up to maxBarTime: longer
	// than callers retry by themselves, shorter than it takes to fix and deploy a server. A content that is sent continually
	// is tried at most three times in the first three and a half hours.
	firstBarTime = 30 * time.Minute
	maxBarTime   = 24 * time.Hour
	// suspectRetention is how long fewer crashes are remembered: enough to detect a caller that retries once a minute.
	suspectRetention = 10 * time.Minute
	// goodPeriod: crashes before a good response to a content, or up to this long after it, don't count against the content.
	// A content that crashes every server never gets a good response. A popular content gets one within seconds, so that it
	// isn't refused anywhere when half of a pool is lost (2,500 of 2,500 requests were answered with 6 and with 61 boxes).
	goodPeriod = 10 * time.Second
	// proofWindow is the time after a broken exchange in which the crash of the server must be proven: three heartbeats of
	// 1.2 s until its entry is removed, and the time to propagate that.
	proofWindow = 6 * time.Second
)

// Limits of what is stored and reported.
const (
	maxEnds            = 16                   // latest crashes kept for one content
	maxEntries         = 4096                 // contents kept: those running in two full failure domains of the largest fleet seen; 0.8 MB
	maxBroken          = 1024                 // incarnations kept with broken exchanges but without proof of a crash
	keysPerIncarnation = 512                  // contents and prompt parts with broken exchanges kept for one incarnation: 64 requests with eight keys
	maxGood            = 8192                 // contents with recent good responses in each of two generations; 0.5 MB each
	generationTime     = suspectRetention / 2 // duration of a generation: a good response between two crashes is still known at the second

	counterBoxes     = 2                      // counter boxes of a content
	newsPeriod       = 600 * time.Millisecond // time for which a change is in every message: three gossip rounds of a small fleet, one heartbeat
	maxNews          = 24                     // changes in one message, about 60 bytes each
	maxRepeatedNotes = 4                      // further notes in a heartbeat, in rotation, for boxes that missed a change
	MaxNotes         = 64                     // notes accepted in one message
)
