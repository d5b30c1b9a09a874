package admission

import "time"

// LateFactor is the share of the time left to the objective that a forecast may take while nothing was learned.
const LateFactor = 1.1

// Bounds of what is learned.
const (
	decay        = 3 * time.Second // time constant: a burst of 6 s has a beginning, a middle and an end
	minRatio     = 0.4             // of observed over expected
	maxRatio     = 2.5             // the same
	maxWeight    = 12.0            // of one box in one cell, so that no box outweighs the others
	priorWeight  = 2.0             // observations that the ratio 1 counts as
	priorSpread  = 0.2             // spread of the ratio before it was observed
	minSpread    = 0.05            // a smaller one would make each decision certain
	minKnown     = 2.0             // decayed observations from which a cell is used
	wideShare    = 0.25            // of the observations of other classes of pieces that count as known
	negligible   = 0.05            // decayed observations below which an entry is dropped
	maxPipelines = 64              // pipelines of which a box keeps observations of its own
	maxHeard     = 2048            // observations of other boxes that a box keeps: 80 bytes each
)

// Exchange of observations with heartbeats. With 8 notes of up to 55 bytes in each of the 12 heartbeats and answers a
// second a box sends 5.3 KB/s at most.
const (
	notesPerBeat  = 8
	ownPerBeat    = 4 // places for the box's own observations; the others forward what it heard
	forwards      = 2 // heartbeats in which a note of another box is forwarded
	maxBeatsNotes = 4 * notesPerBeat
	noteAgain     = 500 * time.Millisecond // after an observation its class is in each heartbeat, which go to three boxes
)

// Trend of arrivals.
const (
	trendWindow   = time.Second
	trendPrior    = 20.0 // pieces added to both windows: with fewer arrivals the trend is noise
	minTrend      = 0.7
	maxTrend      = 1.4
	maxTrendPools = 64
)

// saturated is the waits over full calls from which a late request delays those that arrive after it: without this, the least
// urgent requests, behind which nobody waits, were all admitted and waited until their deadlines.
const saturated = 1.0

// hopeless is the probability of being in time below which a request is refused for those that arrive after it. They are not
// known yet, so their gain is less certain than that of those that wait.
const hopeless = 0.02

// unlikely is the probability of being in time below which a request may be refused: it will more probably be late.
// At 0.5, of the callers refused needlessly by the forecast alone 0.56 still are, at 0.45 0.41, at 0.4 0.31, at 0.3 with
// a smaller share in time (bursts of TestLearnedAdmission, 8 seeds).
const unlikely = 0.45

// Estimates of the time to the first output.
const (
	estimateLearning = 0.1                    // weight of a new observation
	firstGuess       = 250 * time.Millisecond // before any observation
)
