package gateway

import (
	"time"

	"github.com/stilemast/stilemast/src/core"
)

// Admission and the retry-after times of refusals.
const (
	notReadyAfter      = 300 * time.Millisecond // retry-after while this box has no confirmed configuration
	otherBoxRetryAfter = 30 * time.Millisecond  // retry-after when another box can take the request at once
)

// Attempts at servers.
const (
	// maxUnsent and unsentFor together end a request to which no server could be connected: after maxUnsent
	// servers and unsentFor, this box itself is probably cut off. Within unsentFor a hundred servers that
	// refuse at once can be tried, or one that does not respond.
	maxUnsent         = 3
	unsentFor         = 300 * time.Millisecond
	maxAnswer         = 8 << 20                 // bytes of a non-streaming answer
	hedgeShare        = 1.0                     // share of the objective that the first attempt of a repeatable request gets
	minAttemptTime    = 100 * time.Millisecond  // minimum time of an attempt that may be repeated
	silentFactor      = 4.0                     // multiple of the expected time to the first event before a resumable stream moves
	minSilence        = 1200 * time.Millisecond // minimum of that time
	gapLimit          = 2 * time.Second         // silence within a resumable stream before it moves
	failureRetryAfter = 400 * time.Millisecond  // retry-after when servers failed
	priorityHigher    = 9                       // least urgent priority that servers accept
)

// Requests whose servers have all asked for rest.
const (
	// restWaitShare is the share of its time that a request may wait for a rest to end; the remainder lets its
	// caller retry. With 6 boxes and all servers resting, 2,437 of 2,500 callers are served; with 0.5 of the
	// time 1,612, with none 929. With all of it 2,470 are, but refusals then come up to 2.9 s later than
	// necessary.
	restWaitShare    = 0.75
	restPollInterval = 20 * time.Millisecond  // maximum polling interval of a waiting request; one answer of a fast service
	restPolls        = 16                     // polls in the remaining waiting time: requests near their end poll more often
	restStep         = time.Millisecond       // added to the polling interval for each step of lower urgency
	restSpread       = 500 * time.Millisecond // jitter of retry-after, about twenty tries of a server, so that refused callers don't return together
)

// Permits at servers with a request limit.
const (
	coordinatorPatience = 150 * time.Millisecond // timeout of a question: a round trip between regions and a busy box
	coordinatorPause    = 500 * time.Millisecond // before a coordinator that did not answer, or named another, is asked again
	coordinatorsAsked   = 3                      // boxes asked for one permit: the first, and the next after boxes without limit support
	unableFor           = time.Minute            // for which a box whose release has no limit support is not chosen as coordinator
	maxLimitedTries     = 2                      // servers without a free permit that a request tries before it prefers servers without a limit
	maxPermitRequests   = 4                      // questions for permits that one request may cause
	lateWaitShare       = 0.25                   // share of its remaining time that a late request waits for a permit
	urgencyStep         = 0.5                    // added to the divisor of the waiting time for each step of lower urgency
	limitsTogether      = 30 * time.Millisecond  // for which changes of limits are batched into one message
)

// Membership and load notes.
const (
	waitNoteValidity = 1500 * time.Millisecond // validity of a scheduler's note on its waiting times
	possiblyAliveFor = 60 * time.Second        // time for which a box counts as possibly alive in the shared retry budget after its last heartbeat
	notesPerBeat     = 64                      // load notes in one heartbeat
	readsPerBeat     = 48                      // notes on reads of prompt parts in one heartbeat, 18 bytes each
	namesPerLine     = 8                       // names in one log line
	serverLines      = 32                      // changed servers logged one by one: the largest failure domain, but not a first list

	membersLogEvery  = time.Second     // minimum interval between logs of membership changes
	announceTo       = 6               // boxes of a large fleet that an announcement goes to
	fleetUnknownFor  = 5 * time.Second // after its start, for which a box does not know the fleet's size
	assumedFleetSize = 40              // size of the fleet assumed meanwhile
)

// Periodic work and the waits of requests for it.
const (
	speedsInterval        = 500 * time.Millisecond // interval at which a pool is checked for uneven servers
	tickEvery             = 100 * time.Millisecond
	scheduleTick          = 40 * time.Millisecond
	pauseLimit            = time.Second            // a longer gap between ticks means that the process was paused
	wakeWait              = 800 * time.Millisecond // maximum wait of requests for a confirmation after a pause
	writeTime             = 10 * time.Second       // write deadline of one piece of an answer
	documentsWait         = 500 * time.Millisecond // maximum wait of requests for a new box's first documents: seeds start 0.3 s after the others
	documentsWaitShare    = 0.2                    // maximum of that wait as a share of the caller's time
	documentsPollInterval = 10 * time.Millisecond  // polling interval of that wait
	acceptsFor            = 3 * time.Second        // for which a stopping box accepts requests; the load balancer has noticed by then
)

// ReadSilence is the maximum time in which a read of the store may make no progress: four times the latency of a
// slow store (240 ms). A watch that stays silent is noticed after watchWait plus ReadSilence, two thirds of the 3 s
// in which a change must arrive; the other readers go on reading meanwhile.
const ReadSilence = time.Second

// Reads of the platform's store.
const (
	watchWait           = time.Second            // long-poll time of one watch
	readLimit           = 10 * time.Second       // total time of one read: the largest answer, 16 MB, needs 13 Mbit/s, one of 1.4 MB 1.1
	readBackoff         = 150 * time.Millisecond // after the first failed read, doubled with each further one
	maxBackoff          = time.Second            // for the boxes that read first
	overdueAfter        = 350 * time.Millisecond // a watch this much late is reported to others; exceeds a slow store's latency (240 ms)
	backoffBoxes        = 8                      // maxBackoff is added for each group of this many boxes ranked ahead: a fleet of any size makes 10 to 20 calls/s
	maxBackoffDoublings = 8                      // maximum doublings
	listPausePerServer  = 100 * time.Microsecond // pause of a reader after a change of the list, per server in it
	maxListPause        = 250 * time.Millisecond // maximum of that pause
	namedLists          = 6                      // base lists that a pull offers for a difference
	readCheckInterval   = 150 * time.Millisecond // interval at which a box checks whether it should read
	// trustFor is the age of a confirmation up to which a missing pipeline or token is reported as nonexistent.
	trustFor = 2500 * time.Millisecond
)

// Transfer of the configuration between boxes. A document goes in parts, so that no limit depends on its size.
const (
	partBytes        = 32 << 10               // of a packed document in one answer: 26 ms at 10 Mbit/s, the smallest supported link
	partTime         = 900 * time.Millisecond // timeout of one part; enough down to 36 kB/s
	maxPackedBytes   = 4 << 20                // maximum bytes of a packed document; 10,000 routes take 0.2 MB
	linkReserveAhead = 150 * time.Millisecond // link time that a box reserves in advance
	linkShare        = 0.5                    // share of a box's link used for transfers
	assumedLink      = 10                     // Mbit/s of a box with an unknown link
	maxPastBytes     = 2 << 20                // maximum bytes of earlier configurations kept as bases of differences
	maxPastCatalogs  = 6                      // maximum number of them
	maxPacks         = 4                      // packed documents cached for further pulls
	maxNamedHolders  = 4                      // other holders that a busy box names
)

// maxEvent is the maximum size of an event of a relayed stream, in bytes.
const maxEvent = 1 << 20

// Jobs and their schedulers.
const (
	ackPatience          = 250 * time.Millisecond // for a scheduler to accept a job; doubled with each one that does not,
	maxAckPatience       = time.Second            // up to this: if several are silent, the link of this box is congested
	askAgain             = 500 * time.Millisecond // interval at which an owner asks for an accepted job
	handoverWait         = 60 * time.Millisecond  // for which a scheduler new to a pool waits for the previous one's handover
	handoverAgain        = time.Second            // minimum interval between such waits
	minHoldAfterHandover = time.Second            // for which a scheduler keeps a pool handed over to it, whichever box it would choose
	maxSilentAsks        = 2                      // unanswered questions after which another box is asked
)

// Probes of servers to which no call could be sent.
const (
	probeInterval = 500 * time.Millisecond
	maxProbing    = time.Minute // the server is tried with a call then
)

// Choice of schedulers.
const (
	seedContactInterval = 50 * time.Millisecond   // interval at which a newly started box contacts seeds that it has not met
	seedContactPeriod   = 2 * time.Second         // after the start
	formingFor          = time.Second             // maximum wait of a new box to meet one that may schedule
	formingPollInterval = 10 * time.Millisecond   // polling interval of that wait
	recentContact       = 2 * core.LoadNotesEvery // a box heard of within this time is not silent, whatever others report
)

// resultsPerMessage is the maximum number of held results reported to a scheduler in one message.
const resultsPerMessage = 500

// handlesKept is how long handles are remembered: longer than a connection may be idle between two calls.
const handlesKept = 10 * time.Second

// maxPieces is the maximum number of pieces of one stage of a request.
const maxPieces = 4096

// stageMargin is the time that a stage takes beyond its server's: messages and waits for ticks.
const stageMargin = 15 * time.Millisecond

// typicalFill is the expected fill of calls, as a share of the batch size, in estimates of a stage's time.
const typicalFill = 0.5

// largeResults is the size in bytes from which a stage's results are produced in the failure domain of their reader.
const largeResults = 200_000

// Stages that wait for others whose results are read together with theirs.
const (
	partnerMargin = 60 * time.Millisecond // by which they start earlier than estimated
	partnerPace   = 40 * time.Millisecond // interval of new estimates; a scheduler's tick
)

// Time after which a request's inputs are freed; see inputs.go.
const (
	minFetch   = 60 * time.Millisecond // minimum; 25 ms brings no gain, and the fetch itself takes about 5 ms
	maxFetch   = 2 * time.Second       // maximum
	fetchDecay = 0.98                  // factor applied to the learned time with each request
)

// lifeMargin is subtracted from the lifetime of results for messages and the queueing of calls.
const lifeMargin = 90 * time.Millisecond
