package registrar

import "time"

// Limits of messages to other boxes.
const (
	queryTimeout   = 25 * time.Millisecond  // of all queries for one request, which waits for them
	firstShare     = 0.6                    // share of it that the first box gets; the backup gets the remainder
	reportTimeout  = 150 * time.Millisecond // of a report to one box: a round trip between regions and a busy box
	boxesAsked     = 2                      // the registrar and its backup; boxes of earlier releases are skipped
	maxUnsupported = 3                      // boxes of earlier releases skipped for one message
	silentFor      = 500 * time.Millisecond // for which a box that did not answer is not asked
	unsupportedFor = time.Minute            // for which a box of an earlier release is not asked
	maxReports     = 256                    // reports under way; further ones are dropped, and their callers count as new
)
