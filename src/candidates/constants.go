package candidates

import "time"

// Choice of boxes.
const (
	SettledAfter     = 20 * time.Second       // uptime before a box takes a pool over from another
	CohortSpread     = 3 * time.Second        // boxes that started within this time of the oldest may schedule at once
	FormedAfter      = 2 * time.Second        // uptime of the oldest box by which all know one another: twice the time of 1,000 boxes
	minCapacityShare = 0.5                    // minimum capacity of a scheduler as a share of the largest machine's
	MinValidity      = 100 * time.Millisecond // minimum validity of a choice while members change
	MaxValidity      = 5 * time.Second        // maximum validity while no member changes
)
