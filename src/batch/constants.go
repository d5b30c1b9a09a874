package batch

import "time"

// Parameters of the scheduler.
const (
	priorityStep          = 250 * time.Millisecond  // added to a job's due time for each step of its priority number
	leaveDomainAfter      = 160 * time.Millisecond  // wait after which a job may run outside the domain of its inputs
	leaveDomainSlack      = 500 * time.Millisecond  // time until due, beyond that of a call, from which leaveDomainAfterSlack applies instead
	leaveDomainAfterSlack = 900 * time.Millisecond  // leaveDomainAfter of jobs with more slack than leaveDomainSlack
	smallCrossBytes       = 200_000.0               // a job that reads fewer bytes from another domain doesn't wait for its own
	splitAfter            = 200 * time.Millisecond  // wait after which a job may be split across calls
	usableRoomFraction    = 0.97                    // fraction of a server's result memory that is used
	untrackedDecay        = time.Second             // decay time of the estimate of unknown results; the lifetime of results (4 s) gave worse results
	fullPause             = 60 * time.Millisecond   // after a server reported that it is full
	failurePause          = 400 * time.Millisecond  // after a failed call; doubled with each further one
	maxDoublings          = 4                       // of failurePause
	maxJobFailures        = 4                       // failed calls after which a job fails
	timeoutFactor         = 3.0                     // a call's timeout is this times its expected time,
	timeoutFloor          = 500 * time.Millisecond  // plus this
	ratioWeight           = 0.3                     // weight of a new sample in the moving average of a server's relative call time
	paceWeight            = 0.1                     // the same for the throughput of one server while work waits
	classWeight           = 0.1                     // the same for the time per piece of a class
	slowRatio             = 1.8                     // relative call time from which a server is used last
	slowProbe             = 1500 * time.Millisecond // interval at which a slow server is tried again
	readTime              = 70 * time.Millisecond   // time for a call to read its inputs
	minCallFill           = 0.4                     // fill of the smallest call assumed when estimating whether a job can still be in time
	handoverSlack         = 300 * time.Millisecond  // added to twice the remaining time of a call that was handed over
	limitedFreeInterval   = 2 * time.Second         // shortest interval between freeing results at a rate-limited server: half of their usual lifetime
	requestsPerFree       = 4.0                     // requests allowed by such a server's limit for each request that frees results
	troubleRetention      = 10 * time.Second        // time after an overdue call for which inputs are kept until calls end
	urgentFor             = time.Second             // for which a server is kept free after more urgent work came
	maxPriorities         = 64                      // of recently accepted jobs that are told apart
	backlogSpareShare     = 0.15                    // of an urgent job's spare time that patient pieces in its call may take while work piles up
	outcomeRetention      = 5 * time.Second         // time for which the outcome of a job is kept
)
