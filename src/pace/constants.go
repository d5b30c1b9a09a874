package pace

import "time"

// Bounds of what is believed of a server or a pool. They limit the effect of a wrong report or note.
const (
	minSpeed, maxSpeed               = 0.25, 8.0
	minTokensPerMs, maxTokensPerMs   = 10.0, 500.0
	minPerRunningMs, maxPerRunningMs = 0.1, 30.0
	minEventMs, maxEventMs           = 0.5, 1000.0
)

// Rates of a pool.
const (
	priorTokensPerMs  = 50.0  // as balance assumes without learned rates
	priorPerRunningMs = 3.0   // the same
	minRateSamples    = 30    // responses before a learned rate applies
	rateForgetting    = 0.997 // weight of the past with each response: a memory of some 330 responses
	rateOutlier       = 6.0   // multiple of the expected time to which an observation is clipped
	centerStep        = 0.02  // by which one observation moves a median, as a logarithm
)

// Samples of a server. Differences of speeds are of logarithms.
const (
	difference    = 0.14                    // 15%: a smaller difference is none
	validity      = 30 * time.Second        // lifetime of samples and notes
	sampleSpacing = 250 * time.Millisecond  // within which equal samples are one, and at most two different ones are kept
	samplesKept   = 24                      // of each kind and server: at sampleSpacing at least 3 s, three times the longest burst
	burstLimit    = 1200 * time.Millisecond // longer than any burst; samples from a shorter time may all be from one
)

// Estimates from reported figures.
const (
	reportedQuantile = 0.4                    // under a half because the bursts of a server are towards slow
	maxHold          = 600 * time.Millisecond // for which a figure holds without a further one: a usual burst
	maxSettledHold   = 3 * time.Second        // the same for one that agrees with the known level
	settledTrust     = 0.7                    // weight of a level from three reports, from which it counts as known
	reportedTurn     = 4                      // reports that can replace the earlier ones; of four, three are from bursts in 0.4% of cases
)

// Replacement of the earlier samples of a server by the latest.
const (
	turnWindow       = 3 * time.Second  // age of the latest samples
	sparseTurnWindow = 12 * time.Second // the same for a server that responds seldom
)

// Estimates from measured times.
const (
	minTimed         = 4    // samples before a server counts as different
	timedTurn        = 6    // samples that can replace the earlier ones
	turnSignificance = 3.0  // standard errors by which those must differ from all
	significance     = 2.0  // standard errors by which a speed must differ from the median
	minSpread        = 0.1  // least assumed standard deviation of a speed
	initialSpread    = 0.4  // standard deviation before any sample
	spreadLearning   = 0.02 // weight of a new sample
)

// Age of a reported figure up to which it describes the present. Two reports of one server are equal in 0.99 of all pairs
// within 50 ms and in 0.82 from 0.8 s on, which is what chance gives.
const (
	fullWeightAge = 100 * time.Millisecond
	noWeightAge   = 800 * time.Millisecond
)

// Reports against measurements: a server's reports are disregarded once they were off by distrustFactor for
// distrustResponses responses in a row.
const (
	distrustFactor    = 2.0
	distrustResponses = 8
)

// Size of the notes to other boxes.
const (
	notesPerBeat   = 32  // 13 bytes each; a box sends 12 messages with notes a second, so 5 KB
	ratesPerBeat   = 2   // 40 bytes each
	ratesOrigins   = 8   // boxes whose rates are kept
	maxPending     = 256 // notes that wait to be sent
	noteRepeats    = 6   // messages that carry a new note: leaves one of 400 boxes without it
	settledRepeats = 4   // the same for a note that agrees with the known level
	orderStep      = 16  // ms between two orders, so that they wrap after 17 minutes
)

// What is sent to other boxes.
const (
	noteSpacing       = 300 * time.Millisecond // between two equal reports of a server whose level is in doubt
	settledSpacing    = time.Second            // the same where the level is known
	timedSpacing      = time.Second            // between two measured speeds of a server
	turnFor           = 4 * time.Second        // for which a new lasting speed is sent again, for boxes that missed some notes
	refreshAfter      = 4 * time.Second        // until the speed of a server that differs is sent again
	refreshSpread     = 2 * time.Second        // jitter of refreshAfter, so that one box refreshes and the others learn of it
	watchFor          = 4 * time.Second        // for which all measured speeds of a server are sent after an outlier
	timedDeviation    = 0.4                    // least difference of an outlier: 50%
	timedOutlier      = 2.5                    // standard deviations by which an outlier differs
	reportedPerSecond = 6                      // reports of one server that all boxes send while they have not heard of each other's
	timedPerSecond    = 1                      // the same for measured speeds
	rateWindow        = 10 * time.Second       // over which the observations of this box are counted
	ratesAfter        = 10 * time.Second       // until the rates of a pool are sent again
	changedRatesAfter = 2 * time.Second        // the same for rates that have changed, for boxes that missed the first notes
)

// unevenFor is how long a pool counts as uneven after a report of speed.
const unevenFor = time.Minute

// Changes to log, and the age of what is computed from samples.
const (
	materialChange  = 0.22 // 25%
	changeInterval  = 5 * time.Second
	maxChanges      = 16                     // reported in one call
	referenceMaxAge = 500 * time.Millisecond // of the medians of the pool and of what is relative to them
	levelMaxAge     = 2 * time.Second        // of the level of a server without new samples
	gapsKept        = 63                     // times between events of a stream whose median is taken
)
