package core

import "time"

// Requests and attempts.
const (
	quickAttempts   = 4                     // dispatches of one stage without a pause between them
	maxAttempts     = 10                    // dispatches of one stage, must-finish work excepted
	maxMustAttempts = 50                    // dispatches of one stage of must-finish work
	retryPause      = 50 * time.Millisecond // first pause before a further attempt
	maxRetryPause   = 2 * time.Second       // its longest pause
	bytesPerToken   = 4                     // rough size of a token, to guess work before it is done
	BlockBytes      = 64                    // bytes of input under one prefix hash
	maxPrefixBlocks = 64                    // prefix hashes kept of one call
	traceCandidates = 8                     // candidates kept in an explanation
)

// Pools: windows, health and learning.
const (
	learnRate         = 0.15                   // weight of a new measurement in a moving mean
	decayAfter         = time.Second            // a measurement this fresh counts in full
	decayHalfLife          = 2 * time.Second        // time in which an older one loses half its excess
	failRate          = 0.2                    // weight of a new outcome in the share of failures
	minServerBackoff         = 250 * time.Millisecond // first rest of a failing server
	maxServerBackoff       = 10 * time.Second       // longest rest of a failing server
	failuresBeforeBackoff    = 2                      // failures in a row before a rest
	reportStale       = 5 * time.Second        // a report older than this counts for nothing
	peerLoadStale     = time.Second            // a peer's in-flight note older than this counts for nothing
	windowCut         = 0.7                    // what is left of a borrowed window when the server queues
	otherDomainCost   = 2 * time.Millisecond   // preference for the box's own failure domain
	otherRegionCost   = 20 * time.Millisecond  // preference for the box's own region
	spreadShare       = 0.05                   // jitter on scores that keeps boxes from choosing alike
	loadSlope         = 1.0                    // how much slower a full engine makes a token than an empty one
	leavingHold     = 30 * time.Second       // older news that a server stays does not undo it leaving
	retryEarned       = 0.1                    // retries earned by each first attempt
	retryBankMax      = 10.0                   // retries that can be saved up
	hedgeEarned       = 0.03                   // hedges earned by each first attempt
	hedgeBankMax      = 4.0                    // hedges that can be saved up
	hedgeFactor       = 3.0                    // a hedge goes out after this many typical runs
	hedgeFloor        = 20 * time.Millisecond  // and no earlier than this
	prefixEntries     = 32768                  // blocks remembered of all caches of a pool
	prefixLeast       = 128                    // and of one cache at least
	ratesFor          = 20 * time.Millisecond  // estimates of a server are used again this long
	traceAlways       = 64                     // servers up to which every placement is explained
	traceOneIn        = 16                     // with more servers, one placement in so many is
	defaultRun        = 50 * time.Millisecond  // guess of a stage's run before any measurement
	defaultTokenTime  = 10 * time.Millisecond  // guess of one generated token on an empty engine
	defaultPrefill    = 50 * time.Microsecond  // guess of one computed prompt token
	mayWaitRoom       = 0.25                   // part of a server's slots that may-wait work leaves free beyond its share
	minRunFraction      = 0.3                    // part of a call's expected run that must still fit its time
	promptQueueShare        = 0.5                    // part of a server's slots that prompt work may queue there
	promptWindow      = 10 * time.Second       // over which the demand of prompt work is measured
	paceWindow        = 8 * time.Second        // over which the pace of may-wait work is measured
	minMayWaitShare         = 0.02                   // part of a pool that may-wait work can always count on
	urgentSlack       = 0.05                   // may-wait work with less than this part of its time left is urgent
	mustFinishReserve = 0.8                    // must-finish work is accepted up to this part of what fits its deadline
	admissionMargin   = 1.1                    // safety on estimates before refusing
)

// Membership.
const (
	HeartbeatEvery   = 500 * time.Millisecond // pace of heartbeats
	NewsEvery        = 200 * time.Millisecond // pace at which boxes of a small fleet tell all others of their loads
	TellAgain        = 600 * time.Millisecond // after which unchanged loads are told again
	smallFleet       = 15                     // other boxes up to which they do; beyond, servers are hardly shared
	heartbeatFanout  = 3                      // boxes each beat goes to, whatever the fleet's size
	rumoursPerBeat   = 12                     // members told about in one beat
	rumourRepeats    = 3                      // times log2(fleet) that a fresh rumour is repeated
	entriesPerNote   = 32                     // members told about in one step of an exchange of tables: some 3 KB, so that a seed on a link of 20 Mbit/s answers 300 boxes within half a second
	formingFirst     = 2 * time.Second        // after its start, or the end of a partition, a box exchanges tables often: twice what 1,000 boxes took in virtual time
	formingAgain     = 400 * time.Millisecond // and so long after an exchange that brought many new entries
	formingSigns     = 4                      // new entries of one exchange that count as many
	healFor          = 3 * time.Second        // after a life believed dead was found to be there, others' word on the dead counts
	tellDeaths       = 10 * time.Second       // that a death is told in exchanges of tables; by then heartbeats have told it
	suspectAfter     = 2 * time.Second        // silence before a direct question is asked
	deadAfter        = 5 * time.Second        // silence before a member counts as gone
	forgetAfter      = 10 * time.Minute       // time a dead member is remembered
	LoadNotesPerBeat = 32                     // in-flight notes in one beat
)

// Configuration spread.
const (
	readersPerRegion = 2                       // boxes that read the service, however large the fleet
	ChunkBytes       = 16 << 10                // piece of a configuration pulled from a peer
	PullTimeout      = 2 * time.Second         // time a peer has to hand over a document
	selfReadAfter    = 6 * time.Second         // unconfirmed this long, any box reads by itself
	SettleWait       = 1500 * time.Millisecond // a fresh box asks peers this long before it serves
)

// At most once.
const (
	renounceAskAll = 16 // fleets up to this size are asked whole whether a key has a home
)

// Pauses of the process.
const (
	TickEvery  = 100 * time.Millisecond // pace of the pause watch
	PauseLimit = 1 * time.Second        // a longer gap between ticks counts as a pause
)

// Calls to backend servers.
const (
	StallLimit       = 3 * time.Second        // silence of a stream before it counts as broken
	AttemptFloor     = 500 * time.Millisecond // least time one repeatable call has
	maxDoublings     = 6                      // times the time of an attempt is doubled at most
	AttemptFactor    = 8                      // times its expected run that a repeatable call has
	OnceGrace        = 10 * time.Second       // time after the deadline to learn a once-call's outcome
	UnconfirmedAfter = 10 * time.Second       // a configuration unconfirmed this long may not be in force elsewhere
)
