package resume

import "time"

// Bounds of reports.
const (
	maxLeft       = 10 * time.Minute
	maxBuildBytes = 128
	maxReport     = 256  // origins in one report
	maxEntries    = 8192 // origins kept for other boxes: 20 s of 400 streams a second; 1 MB
	maxLive       = 8192 // own streams
)

// Parameters of reports and queries.
const (
	holders       = 2                      // boxes that are told of a stream, besides the one that carries it
	asked         = 3                      // boxes that are asked, one of which may have carried the stream
	reportDelay   = 5 * time.Millisecond   // in which the streams that begin are collected into one report
	reportTimeout = 400 * time.Millisecond // of one report
	queryTimeout  = 300 * time.Millisecond // of a query; the caller waits for it
	silentFor     = time.Second            // for which a box that did not answer is not chosen

	unsupportedFor   = 30 * time.Second      // for which a box of an earlier release is not chosen
	silentRetryAfter = 30 * time.Millisecond // for callers refused since a box that may know did not answer

	// historyMargin is for how much longer than a stream can run a pool must have had a single build: until all boxes
	// have learned of a server that started or left.
	historyMargin = 10 * time.Second
)

// ListTrust is the age of the list of servers up to which a box knows all builds of a pool.
const ListTrust = 3 * time.Second
