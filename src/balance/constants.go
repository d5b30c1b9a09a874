package balance

import "time"

// Parameters of the choice.
const (
	reportLifetime           = 1500 * time.Millisecond // lifetime of another box's load report
	cacheLifetime            = 10 * time.Second        // time for which a processed prompt part is assumed to be cached
	maxCachedParts           = 4096                    // prompt parts remembered for one pool
	tokensPerMs              = 50.0                    // prompt tokens that an engine processes per millisecond, roughly
	runningPenalty           = 3.0                     // ms for each running request, at a server of 64 slots
	overPenalty              = 50.0                    // ms for each request that waits for a slot
	jitterMs                 = 1.0                     // largest random ms added to the cost
	otherDomainPenalty       = 8.0                     // ms for a server in another failure domain than the box
	reprocessPenalty         = 0.12                    // ms for processing a shared token again, in addition to the time it takes
	bytesPerMs               = 27000.0                 // input bytes from another domain that cost one ms
	minCopyTokens            = 512                     // fewest shared tokens that are worth copying from another server
	reportReadsFor           = 450 * time.Millisecond  // time for which a read is reported to other boxes: two gossip rounds
	minProducerWeight        = 0.05                    // minimum weight of a domain without producers, so that it can have homes if it is the only one
	homesFactor              = 2.0                     // share of the servers that hold a popular prompt part, as a multiple of its share of all tokens
	popularityDecay          = 5 * time.Second         // decay time of the token counts
	popularityReportLifetime = 10 * time.Second        // lifetime of another box's token counts; in a fleet of 300 a box hears from half of the others in that time
	popularityReportParts    = 16                      // prompt parts in one message; a box of such a fleet gets requests for about ten in popularityDecay
	failurePause             = 600 * time.Millisecond  // after repeated failures; doubled with each further pause
	maxDoublings             = 4                       // of failurePause
	replacedPause            = 10 * time.Second        // for a server whose address another server has taken: longer than the list of servers lags
	doubtPeriod              = 3 * time.Second         // time for which unused servers are doubted after one was found absent; the list drops a silent server after three heartbeats
	doubtPenalty             = 150.0                   // ms for a doubted server: the time to process 7,500 prompt tokens
	maxConsecutiveBroken     = 2                       // consecutive broken exchanges after which a server is paused
	failureRateWeight        = 0.15                    // weight of a new outcome in the failure rate
	excessFailureRate        = 0.3                     // failure rate above the pool's at which a server is paused

	leastLoadedPenalty = 30.0 // further ms for each running request if the least loaded server is wanted: the time to process 1,500 tokens
	loneBuildPenalty   = 30.0 // ms for the only server of its build, where no stream could go on after its end: ten running requests
	limitedPenalty     = 1e4  // ms for a rate-limited server for requests without a permit there: more than any other cost
	maxSourceSpeed     = 2.5  // lasting speed above which a server is not copied from: a source that slow delays the copy by more than reading takes
)

// Parameters of the load that servers report.
const (
	toldFresh    = 50 * time.Millisecond // age up to which a reported load is better than the sum of the boxes' reports
	toldLifetime = time.Second           // age at which it says nothing: as long as a usual stream
	maxTold      = 1 << 16               // largest number of requests believed
)

// Parameters of the speeds.
const (
	minSpeed  = 0.25 // bounds of a speed, as learned by package pace
	maxSpeed  = 8.0
	evenSpeed = 1.15 // speeds up to this ratio from the usual count as usual: noise must not move cached prompt parts

	demandDecay   = 5 * time.Second // decay time of the sums of recent requests
	usualEvent    = 25.0            // ms between two events of a stream until that is learned
	minSlotWait   = 5.0             // ms per request that waits for a slot
	minPause      = 2.0             // ms, lower bound of the mean pause
	maxUse        = 0.9             // upper bound of the share of time spent on reading prompts: above it the mean pause has no finite value
	missedPenalty = 1000.0          // ms for a missed objective

	// Of the pairs of speeds that a server reported with 0.8 s or more between them 0.82 were equal, so a tenth of its time
	// is in bursts, each of 2.5 times the lasting speed.
	burstShare  = 0.1
	burstFactor = 2.5

	lengthWeight = 0.1  // weight of a completed stream in the expected number of events
	maxLengths   = 1024 // pipelines whose streams are counted

	// Steps of the lasting speed by which homes are weighted.
	stepRatio = 1.5
	keepStep  = 1.35 // largest ratio to the middle of a step at which it is kept; a step is entered up to sqrt(1.5) = 1.22
	minStep   = -4
	maxStep   = 6
)
