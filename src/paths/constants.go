package paths

import "time"

const (
	// lostServers is the number of servers of a pool to which connections must fail before the pool counts as lost: one may
	// have crashed.
	lostServers = 2
	// failureRetention is how long a failed server counts.
	failureRetention = 10 * time.Second
)
