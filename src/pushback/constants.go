package pushback

import "time"

const (
	// maxRest is the longest rest that a server can ask for. It is longer than an overload lasts, and keeps an absurd
	// value from removing a server for good.
	maxRest = 10 * time.Minute
	// trialTimeout is how long to wait for a response to the requests that try a server after its rest before sending more:
	// four times as long as a busy engine takes to send a response header.
	trialTimeout = time.Second
	// returnRecheckDelay is the delay before a returning server is checked again: a quick service has responded by then.
	returnRecheckDelay = 20 * time.Millisecond
	// maxReturnWindow is the number of concurrent requests above which a returning server is no longer limited: the slots
	// of the largest engines seen. Without the gradual increase a box would send all waiting requests when the rest ends.
	maxReturnWindow = 64
	// restRetention is how long a rest is kept after its end if nothing is sent to the server.
	restRetention = time.Minute
	// departureRetention is how long a departure is kept after the server was last listed: leaving servers were seen to serve
	// for many more seconds, and the lists of other boxes lag by a second or two.
	departureRetention = time.Minute
	// permitLifetime is how long a permit is valid. It covers a new connection and a scheduling delay. A permit used later
	// would add to those of the following window.
	permitLifetime = 250 * time.Millisecond
	// limitRampPeriod is how long a limit still applies after its end, doubled with each limitRampStep.
	limitRampPeriod = 6 * time.Second
	limitRampStep   = time.Second
	// permitCountWindow is the window in which used permits are counted, to decide how many to request at once.
	permitCountWindow = 50 * time.Millisecond
	// urgentDecrease is the fraction of a limit below which a new one is reported at once rather than with the next heartbeat.
	urgentDecrease = 0.8
	// maxEntries bounds the departures, rests and limits that are kept, about 100 bytes each: seven times the servers of the
	// largest supported fleet.
	maxEntries = 4096
	// MaxNotes is the largest number of leaving servers, and of servers with limits, in one message, 20 to 40 bytes each:
	// a tenth of the servers of the largest fleet.
	MaxNotes = 64
)
