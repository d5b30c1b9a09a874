package core

import "time"

// Limits on the attempts of a request.
const (
	immediateAttempts = 4                     // attempts of one stage that are made without a pause
	maxAttempts       = 10                    // attempts of one stage, except for must-finish work
	maxMustAttempts   = 50                    // attempts of one stage of must-finish work
	retryPause        = 50 * time.Millisecond // first pause before a further attempt
	maxRetryPause     = 2 * time.Second       // longest pause
	bytesPerToken     = 4                     // rough size of a token, to estimate work in advance
	BlockBytes        = 64                    // bytes of input per prefix hash
	maxPrefixBlocks   = 64                    // prefix hashes kept per call
	traceCandidates   = 8                     // candidates kept per placement trace
)

// Pools: windows, health and estimates.
const (
	learnRate             = 0.15                   // weight of a new measurement in a moving average
	decayAfter            = time.Second            // age up to which a measurement counts in full
	decayHalfLife         = 2 * time.Second        // half-life of an older measurement's difference from the default
	failRate              = 0.2                    // weight of a new outcome in the failure rate
	minServerBackoff      = 250 * time.Millisecond // first backoff of a failing server
	maxServerBackoff      = 10 * time.Second       // longest backoff of a failing server
	failuresBeforeBackoff = 2                      // consecutive failures before a backoff
	reportStale           = 5 * time.Second        // age at which a report is ignored
	peerLoadStale         = time.Second            // age at which a peer's in-flight count is ignored
	windowCut             = 0.7                    // factor on the window when the server queues
	otherDomainCost       = 2 * time.Millisecond   // penalty for leaving the failure domain of the box
	otherRegionCost       = 20 * time.Millisecond  // penalty for leaving the region of the box
	scoreJitter           = 0.05                   // jitter on scores, so that boxes do not all choose the same server
	loadSlope             = 1.0                    // relative slowdown of a token on a full engine compared with an empty one
	leavingHold           = 30 * time.Second       // time for which reports of the same incarnation do not revert a "leaving" answer
	retryEarned           = 0.1                    // retry tokens earned by each first attempt
	retryBankMax          = 10.0                   // retry tokens that can be saved
	hedgeEarned           = 0.03                   // hedge tokens earned by each first attempt
	hedgeBankMax          = 4.0                    // hedge tokens that can be saved
	hedgeFactor           = 3.0                    // a hedge is sent after this many expected run times
	minHedgeDelay         = 20 * time.Millisecond  // but no earlier than this
	prefixEntries         = 32768                  // prefix blocks remembered per pool
	prefixLeast           = 128                    // least number of prefix blocks remembered per server
	ratesTTL              = 20 * time.Millisecond  // time for which the estimates of a server are cached
	traceAlways           = 64                     // number of servers up to which every placement is traced
	traceSampleEvery      = 16                     // with more servers, one placement in this many is traced
	defaultRun            = 50 * time.Millisecond  // estimated run time of a stage before any measurement
	defaultTokenTime      = 10 * time.Millisecond  // estimated time per generated token on an empty engine
	defaultPrefill        = 50 * time.Microsecond  // estimated time per computed prompt token
	mayWaitHeadroom       = 0.25                   // part of a server's slots that may-wait calls leave free beyond the box's share
	minRunFraction        = 0.3                    // a call is dropped when not even this part of its expected run time is left
	promptQueueShare      = 0.5                    // part of a server's slots that prompt calls may queue there
	promptWindow          = 10 * time.Second       // averaging window of the prompt demand
	paceWindow            = 8 * time.Second        // averaging window of the may-wait throughput
	minMayWaitShare       = 0.02                   // part of a pool that may-wait calls can always count on
	urgentSlack           = 0.05                   // may-wait work with less than this part of its time left is urgent
	mustFinishReserve     = 0.8                    // part of the time to the deadline that must-finish work may plan to use
	admissionMargin       = 1.1                    // safety factor on the estimates of admission
)

// Membership.
const (
	HeartbeatEvery    = 500 * time.Millisecond // heartbeat interval
	LoadNotesEvery    = 200 * time.Millisecond // interval at which the boxes of a small fleet exchange their loads
	LoadRepeatEvery   = 600 * time.Millisecond // interval at which unchanged loads are sent again
	smallFleet        = 15                     // largest number of other boxes that counts as a small fleet; in larger ones few boxes share a server
	heartbeatFanout   = 3                      // members that each heartbeat goes to, whatever the fleet size
	rumoursPerBeat    = 12                     // rumours in one heartbeat
	rumourRepeats     = 3                      // a rumour is sent this many times log2(fleet size)
	entriesPerNote    = 32                     // entries in one step of a table exchange, about 3 KB: a seed on a 20 Mbit/s link answers 300 boxes within half a second
	formingPeriod     = 2 * time.Second        // after its start or the end of a partition, a box exchanges tables often for this long: twice what 1,000 boxes took in virtual time
	formingExtension  = 400 * time.Millisecond // and for this long after an exchange that brought many new entries
	formingThreshold  = 4                      // number of new entries in one exchange that counts as many
	healingPeriod     = 3 * time.Second        // time after the return of a member believed dead for which reports that members are alive override deaths
	deathGossipPeriod = 10 * time.Second       // time for which a death is sent in table exchanges; by then heartbeats have spread it
	suspectAfter      = 2 * time.Second        // silence after a heartbeat before a member is suspected and probed through others
	deadAfter         = 5 * time.Second        // silence before a member counts as dead
	forgetAfter       = 10 * time.Minute       // time for which a dead member is remembered
	LoadNotesPerBeat  = 32                     // load notes in one heartbeat
)

// Distribution of the configuration and the box list.
const (
	readersPerRegion = 2                       // boxes that read the platform's service, whatever the fleet size
	ChunkBytes       = 16 << 10                // size of the parts in which a document is pulled from a peer
	PullTimeout      = 2 * time.Second         // time a peer has to send a document
	selfReadAfter    = 6 * time.Second         // time without a confirmation after which any box reads the service itself
	SettleWait       = 1500 * time.Millisecond // time for which a new box asks its peers before it serves
)

// Requests that must run at most once.
const (
	maxRenounceFleet = 16 // largest fleet in which all boxes are asked to renounce a key
)

// Detection of process pauses.
const (
	TickEvery  = 100 * time.Millisecond // tick interval of the pause detector
	PauseLimit = 1 * time.Second        // a longer gap between ticks counts as a pause
)

// Calls to backend servers.
const (
	StallLimit       = 3 * time.Second        // silence after which a stream counts as broken
	AttemptFloor     = 500 * time.Millisecond // least timeout of a call that may be repeated
	maxDoublings     = 6                      // upper bound on the doublings of the timeout of an attempt
	AttemptFactor    = 8                      // timeout of a call that may be repeated, in expected run times
	OnceGrace        = 10 * time.Second       // time after the deadline to learn the outcome of a call that must not be repeated
	UnconfirmedAfter = 10 * time.Second       // age of the last confirmation beyond which other boxes may use another configuration
)
