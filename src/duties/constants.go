package duties

import "time"

const (
	TwoReportsFrom   = 16                      // in fleets larger than this, two boxes must report a scheduler as silent
	ReportValidity   = time.Second             // validity of the first report
	RedirectValidity = 1500 * time.Millisecond // validity of a scheduler's redirect to its successor
	avoidFor         = 3 * time.Second         // for which a box that did not answer is not chosen
)
