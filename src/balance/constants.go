package balance

import "time"

// Tunables of the choice.
const (
	noteLife        = 1500 * time.Millisecond // a peer's note on its load counts this long
	keptLife        = 10 * time.Second        // a prompt part read this long ago may be kept still
	keptMost        = 4096                    // prompt parts remembered of one pool
	tokensPerMs     = 50.0                    // prompt tokens that an engine reads in a millisecond, about
	runningPenalty  = 3.0                     // ms that each running request adds
	jitterMs        = 1.0                     // by which servers of the same cost are told apart
	farPenalty      = 8.0                     // ms for a server in another failure domain than the box
	againPerToken   = 0.12                    // ms that reading a shared token again weighs, beside the time that it takes
	bytesPerMs      = 27000.0                 // bytes of results from another domain that weigh as much as a ms
	leastCopied     = 512                     // shared tokens for which a copy from another server is worth its set-up
	tellReads       = 450 * time.Millisecond  // for which a read is told to other boxes: two rounds of news
	leastMakers     = 0.05                    // that a domain without makers counts as, so that it has homes where it is the only one
	popularitySpare = 2.0                     // servers for a popular prompt part, over its share of all tokens
	popularityLife  = 5 * time.Second         // over which that share is measured
	askLife         = 10 * time.Second        // that another box's counts of what is asked for are used: a box of a fleet of 300 hears of half of the others in that time
	askNotes        = 16                      // parts that one message tells of; a box of such a fleet is asked for some ten in popularityLife
	failurePause    = 600 * time.Millisecond  // after repeated failures; doubled with each further one
	maxDoublings    = 4
	replacedPause   = 10 * time.Second // of a server whose address another has: longer than the list of servers lags
	goneDoubt       = 3 * time.Second  // that servers without a sign of life are doubted after one was found gone: the list drops a silent server after three of its heartbeats
	doubtPenalty    = 150.0            // ms that a doubted server costs: as much as reading a prompt of 7,500 tokens
	hardFailures    = 2                // broken exchanges in a row before a server rests
	failureLearning = 0.15             // weight of a new outcome in a server's share of failures
	greyShare       = 0.3              // share of failures above the pool's at which a server rests
	paceLearning    = 0.2

	leastLoadedPenalty = 30.0 // ms that each request costs beyond that where few are to be at risk: a prompt of 1,500 tokens weighs as much
	limitedPenalty     = 1e4  // ms that a server which limits its requests costs a request that got no permit there: any other is taken before
	slowRatio          = 2.5
)
