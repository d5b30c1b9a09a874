package overdue

import "time"

const (
	samples      = 128                   // calls from which the spread is learned; 2 s of a pool of 19 servers
	enough       = 20                    // samples from which the spread is used
	quantile     = 0.98                  // share of healthy calls that are not overdue
	margin       = 1.05                  // over that quantile
	priorFactor  = 1.6                   // factor until enough samples were seen
	minFactor    = 1.1                   // a lower one would make calls overdue for the time of a message
	maxFactor    = 2.5                   // under timeouts, which are three times the expected time and more
	maxRatio     = 1.8                   // ratio of a server from which it counts as slow (package batch)
	grace        = 20 * time.Millisecond // added for messages and timers, which do not grow with the call
	repeatedTime = 2                     // a call that ran for some time is expected to run as long again
)
