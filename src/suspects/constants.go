package suspects

import "time"

// Parameters of finding the contents that crash servers.
const (
	probeTimeout       = 300 * time.Millisecond // timeout of a connection that checks whether a server's process exists
	reportDelay        = 10 * time.Millisecond  // delay in which the contents counted at one crash are collected into one report
	reportTimeout      = 400 * time.Millisecond // timeout of a report to a counter box
	maxSkippedCounters = 3                      // unresponsive counter boxes to skip: at worst 1.6 s of the 3 s in which all boxes must know
	silentTogether     = time.Second            // servers that are unresponsive within this time of each other don't count as crashed
	maxStatus          = 16                     // suspects shown in the status
	maxLogLines        = 8                      // log lines for the suspects of one crash; each contains their number

	// soundSilence is the longest silence of a server that is running.
	soundSilence = 1500 * time.Millisecond

	// A terminating process may still accept connections for a moment, so its address is probed again.
	probeTries    = 2
	probeInterval = 250 * time.Millisecond
)
