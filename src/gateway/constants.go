package gateway

import (
	"time"

	"github.com/stilemast/stilemast/src/core"
)

// Tunables of admission.
const (
	lateFactor     = 1.1                    // of the objective that the expected time may take
	leastReturn    = 300 * time.Millisecond // shortest time after which a caller is asked back
	mostReturn     = 3 * time.Second
	returnPart     = 1.0 // of the expected excess that is waited for
	notReadyAfter  = 300 * time.Millisecond
	elsewhereAfter = 30 * time.Millisecond // when another box can take the request at once
)

// Tunables of attempts.
const (
	maxUnsent      = 3                       // servers to which nothing could be sent, when that took unsentFor: a box that is cut off itself
	unsentFor      = 300 * time.Millisecond  // within which further servers are tried: a hundred that refuse at once, and one that is silent
	maxAnswer      = 8 << 20                 // bytes of an answer that is no stream
	hedgeShare     = 1.0                     // of the objective that a repeatable request's first attempt has
	leastAttempt   = 100 * time.Millisecond  // least time of an attempt that may be repeated
	silentFactor   = 4.0                     // of the expected time to the first event, before a resumable stream moves
	silentFloor    = 1200 * time.Millisecond // least such time
	gapLimit       = 2 * time.Second         // silence inside a resumable stream before it moves
	failureReturn  = 400 * time.Millisecond  // after which a caller is asked back when servers failed
	priorityHigher = 9                       // least urgent priority at a server
)

// Tunables of requests whose servers all want rest.
const (
	// restPart is the part of its time that a request may wait for a rest to end; in what is left its caller can come back. Of 2,500
	// callers while all servers rest 2,437 are served, with 0.5 of the time 1,612, with none 929; with all of it 2,470, but refusals
	// then come up to 2.9 s after they could be known (TestAServerThatAsksForRestHasIt, 6 boxes).
	restPart   = 0.75
	restPace   = 20 * time.Millisecond  // at which a request that waits looks again, at the least; one answer of a quick service
	restLooks  = 16                     // looks in the time for which it may still wait: the nearer its end, the sooner its turn
	restStep   = time.Millisecond       // by which a less urgent request looks later
	restSpread = 500 * time.Millisecond // over which refused callers come back: some twenty tries of a server
)

// Tunables of permits at servers with a limit.
const (
	coordinatorPatience = 150 * time.Millisecond // for the coordinator's answer: some region's way there and back, and a busy box
	coordinatorPause    = 500 * time.Millisecond // before a coordinator that did not answer, or names another, is asked again
	coordinatorsAsked   = 3                      // boxes that one question goes to: the first, and those that follow one that knows no limits
	unableFor           = time.Minute            // that a box of an earlier release is passed over as a coordinator
	limitsTried         = 2                      // servers without a permit, after which one without a limit is taken
	permitsAsked        = 4                      // questions for permits that one request may cause
	lateWaitPart        = 0.25                   // of a request's time, that it waits for a permit when it can't be in time
	urgencyStep         = 0.5                    // by which a less urgent request waits for less
	limitsTogether      = 30 * time.Millisecond  // changes of limits that go to other boxes in one message
)

// Tunables of the fleet.
const (
	waitLife     = 1500 * time.Millisecond // a scheduler's note on its wait counts this long
	seenLately   = 60 * time.Second        // a box heard of this lately may be alive, for the shared budget
	notesPerBeat = 64
	readsPerBeat = 48 // 18 bytes each
	namesPerLine = 8
	serverLines  = 32 // changes of the list of servers at once that have a line each: the largest failure domain's leaving, not a first list

	membersLogEvery = time.Second     // pace at which changes of the members are logged together
	announceTo      = 6               // boxes of a large fleet that hear of a change at once
	unsureFor       = 5 * time.Second // after its start a box does not know how many there are
	unsureBoxes     = 40              // and counts on so many
)

// Paces of the background work.
const (
	tickEvery    = 100 * time.Millisecond
	scheduleTick = 40 * time.Millisecond
	pauseLimit   = time.Second            // a longer gap between ticks is a pause of the process
	wakeWait     = 800 * time.Millisecond // that requests wait for a confirmation after a pause
	writeTime    = 10 * time.Second       // that a caller may leave a piece of its answer unread
	knownWait    = 500 * time.Millisecond // that requests wait for a fresh box's first documents: seeds start 0.3 s after the others
	knownPart    = 0.2                    // of the time that their callers wait, at most
	knownPace    = 10 * time.Millisecond  // at which a waiting request looks
	takesFor     = 3 * time.Second        // that a stopping box still takes requests; the balancer knows by then
)

const (
	estimateLearning = 0.1
	firstGuess       = 250 * time.Millisecond
)

// ReadSilence is the longest time in which a read of the store may bring nothing: four times what a slow
// store took (240 ms). A watch that is silent for good is noticed after watchWait and this, two thirds of a bound
// of 3 s for a change, during which the other readers read.
const ReadSilence = time.Second

// Tunables of reading the platform.
const (
	watchWait    = time.Second            // that one watch waits at the store
	readLimit    = 10 * time.Second       // for one read, however it comes on: the longest answer taken, 16 MB, needs 13 Mbit/s, one of 1.4 MB 1.1
	readBackoff  = 150 * time.Millisecond // after a failed read, doubled with each
	maxBackoff   = time.Second            // of the boxes that read first
	overdueAfter = 350 * time.Millisecond // by which a watch is late when others are told; longer than a slow store took (240 ms)
	backoffBoxes = 8                      // boxes ahead that add as much to it, so that a fleet of any size makes some 10 to 20 calls a second
	mostBackoffs = 8                      // doublings
	listPace     = 100 * time.Microsecond // that a reader waits after a change of the list, for each server in it
	mostListPace = 250 * time.Millisecond
	namedLists   = 6                       // lists of servers that a box names, for differences to them
	notReading   = 150 * time.Millisecond  // pace at which a box asks itself whether to read
	trustFor     = 2500 * time.Millisecond // age of a confirmation up to which "there is none" is said
)

// Tunables of handing the configuration on. A document goes in parts, so that no limit here depends on its size.
const (
	partBytes   = 32 << 10               // of a packed document in one answer: 26 ms of 10 Mbit/s, the smallest link seen
	partTime    = 900 * time.Millisecond // for one part; holds down to 36 kB/s
	mostPacked  = 4 << 20                // a packed document that is taken; 10,000 routes have 0.2 MB
	giveAhead   = 150 * time.Millisecond // of its link's time that a box promises ahead
	giveShare   = 0.5                    // of its link that a box takes for it
	assumedLink = 10                     // Mbit/s of a box that does not know its link
	pastBytes   = 2 << 20                // of earlier configurations that a box keeps to tell differences to
	pastMost    = 6                      // and how many
	packsKept   = 4                      // packed documents that are kept, for those that come next
	namedMost   = 4                      // boxes that a busy box names
)

const (
	relayBuffer = 4 << 10
	maxEvent    = 1 << 20 // bytes of one event
)

// Tunables of talking with a scheduler.
const (
	ackPatience   = 250 * time.Millisecond // for a scheduler to accept a job
	askAgain      = 500 * time.Millisecond // pace at which an owner asks for an accepted job
	handoverWait  = 60 * time.Millisecond  // that a scheduler which has just got a pool waits for news of it
	handoverAgain = time.Second            // before it waits so again
	handoverKeeps = time.Second            // that a scheduler keeps a pool it was given, whoever it takes for the first
	silentAsks    = 2                      // unanswered questions after which another box is asked
)

// Tunables of the choice of schedulers.
const (
	introduceEvery = 50 * time.Millisecond // pace at which a box that has just started asks seeds that it has not met
	introduceFor   = 2 * time.Second
	settledAfter   = 20 * time.Second // that a box runs before it takes a pool over from another
	cohortSpread   = 3 * time.Second  // boxes that started within this time of the oldest may schedule at once
	formedAfter    = 2 * time.Second  // that the oldest box runs until all know one another: twice what 1,000 boxes took in virtual time
	capablePart    = 0.5              // of the most that a box's machine can do, from which on a box may schedule
	complaintsFrom = 16               // boxes from which on a scheduler is silent on the complaints of two; fewer hear of it themselves
	complaintLife  = time.Second      // for which the first complaint counts
	formingFor     = time.Second      // after its start a box waits so long to meet a box that may schedule
	formingPace    = 10 * time.Millisecond
	heardLately    = 2 * core.LoadNotesEvery // a box heard of within this time is not taken for silent on another's word
	hintLife       = 1500 * time.Millisecond // that the word of a scheduler on who follows it counts
	shunFor        = 3 * time.Second         // that a box which did not answer is passed over
	rosterLife     = 100 * time.Millisecond  // for which the schedulers once chosen are kept though members change
	mostRosterLife = 5 * time.Second         // and while none does
)

// resultsPerMessage bounds the results of which one message tells a scheduler.
const resultsPerMessage = 500

// maxPieces bounds the pieces of one stage of one request.
const maxPieces = 4096

// stageMargin is what one stage takes beyond its server's own times: messages and waits for ticks.
const stageMargin = 15 * time.Millisecond

// typicalFill is how full calls are when it matters whether a request is in time.
const typicalFill = 0.5

// largeResults is the size of a stage's results from which on they are made where they will be read.
const largeResults = 200_000

// Tunables of stages that wait for the others whose results are read with theirs.
const (
	partnerMargin = 60 * time.Millisecond // by which they begin sooner than it is estimated to be needed
	partnerPace   = 40 * time.Millisecond // at which that is estimated anew; a scheduler's tick
)

// Tunables of when a request's inputs are given up; see inputs.go.
const (
	leastFetch = 60 * time.Millisecond // 25 ms measured no better; the fetch itself takes some 5 ms
	mostFetch  = 2 * time.Second
	fetchDecay = 0.98 // of the time learned that is left after one more request
)

// lifeMargin is kept from the life of results for messages and for a call to come to its turn.
const lifeMargin = 90 * time.Millisecond

// Limits of what callers may send where the configuration sets none.
const (
	defaultBody   = 4 << 20
	defaultHeader = 16 << 10
)
