package brittle

import "time"

const (
	placeTimeout  = 150 * time.Millisecond // timeout of a question beside the patience of the request: a round trip and a busy box
	maxHold       = 15 * time.Second       // time after which a place is free again if its request has no deadline
	holdMargin    = 500 * time.Millisecond // added to a request's remaining time
	coordinators  = 2                      // boxes asked for one place: a box may know of another coordinator
	retryAfter    = 100 * time.Millisecond // before a coordinator that did not answer is asked again
	endsAfter     = 5 * time.Second        // for which a server still counts as brittle after it ceased to say so
	forgetAfter   = 30 * time.Second       // without a word of it
	maxServers    = 4096                   // that are kept
	MaxNotes      = 64                     // servers in one message
	maxLoggedEach = 8                      // servers named in the lines of one message
)
