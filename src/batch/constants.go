package batch

import "time"

// Tunables of the scheduler.
const (
	priorityStep      = 250 * time.Millisecond // by which a less urgent job counts as due later
	foreignAfter      = 160 * time.Millisecond // wait after which a job may leave the domain of its inputs
	foreignSlack      = 500 * time.Millisecond // beyond a call's time; with so much left
	foreignAfterSlack = 900 * time.Millisecond // a job waits for its domain this long
	smallCross        = 200_000.0              // bytes from another domain that no job waits for
	splitAfter        = 200 * time.Millisecond // wait after which a job may be split between calls
	roomPart          = 0.97                   // part of a server's room that is used
	unknownLife       = time.Second            // over which an estimate of unknown results fades; the life of results (4 s) measured worse
	fullPause         = 60 * time.Millisecond  // after a server said that it is full
	failurePause      = 400 * time.Millisecond // after a failed call; doubled with each
	maxDoublings      = 4
	pieceFailures     = 4                      // failed calls that one job survives
	timeoutFactor     = 3.0                    // of a call's expected time
	timeoutFloor      = 500 * time.Millisecond // added to it
	serverLearning    = 0.3                    // weight of a new measurement of a server's pace
	paceLearning      = 0.1                    // of the pieces a second of one server while work waits
	classLearning     = 0.1                    // of a class's time for a piece
	slowRatio         = 1.8                    // a server this much slower than expected is used last
	slowProbe         = 1500 * time.Millisecond
	readTime          = 70 * time.Millisecond  // that a call which has begun may take to read its inputs
	hopelessFill      = 0.4                    // how full the call is in which a job could just be in time
	handoverSlack     = 300 * time.Millisecond // over twice the expected time of a call that was handed over
	limitedFrees      = 2 * time.Second        // pace at which results are given up at a server that limits its requests: half of their usual life
	limitedFreePart   = 4.0                    // requests that such a server takes for each time that it is told of them
	memory            = 5 * time.Second        // for which the end of a job is remembered
)
