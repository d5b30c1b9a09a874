package suspects

import "time"

// Tunables of finding out which contents crash servers.
const (
	probeTime      = 300 * time.Millisecond // that a connection may take which asks whether a server's process is there
	tellAfter      = 10 * time.Millisecond  // in which what is counted at one end is told together
	answerTime     = 400 * time.Millisecond // for an answer of a box that adds up the ends of servers
	silentMost     = 3                      // of these boxes that are passed over in turn: 1.6 s at worst, of the 3 s in which all must know
	silentTogether = time.Second            // within which servers that don't answer are not taken one by one
	linesOfOneEnd  = 8                      // of the log, for the suspects of one end; their number stands in each

	// A process that is ending may still take connections for a moment, so its address is tried again.
	probeTries = 2
	probeAgain = 250 * time.Millisecond
)
