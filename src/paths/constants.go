package paths

import "time"

// Opening connections.
const (
	// stagger is the time that a way has before the next ones are tried beside it. It exceeds a connection between regions, and
	// leaves time to the most urgent requests.
	stagger     = 100 * time.Millisecond
	dialTimeout = 700 * time.Millisecond // of a server, over all ways
	maxCarriers = 4                      // boxes asked for one connection
	silentWays  = 2                      // carriers asked at once where the ways so far are silent
	maxLenders  = 3                      // boxes asked for one connection of theirs
	// borrowTimeout is how long boxes are asked for a connection of theirs; meanwhile one of this box's own may be released.
	borrowTimeout = 60 * time.Millisecond
	draws         = 8 // random boxes looked at before all are
	// avoidCarrier is how long a box that could not carry a connection is not asked. Within it, the box announces that it has no
	// path.
	avoidCarrier = time.Second
)

// Knowing which pools are lost.
const (
	// lostServers is the number of servers of a pool that only other boxes reach before the pool counts as lost.
	lostServers = 2
	// lostAfter is the time after which a single one suffices: a pool may have no other.
	lostAfter = 500 * time.Millisecond
	// evidenceTTL is how long a server that only other boxes reach is remembered without a new connection to it.
	evidenceTTL = 30 * time.Second
	probeEvery  = time.Second // interval at which one server of a pool is tried directly
	// holdFor is how long a pool is still announced as lost after its path is back, so that a flapping link does not move its
	// scheduler each time.
	holdFor = 2 * time.Second
)

// maxTunnels is the number of connections that a box carries for others at once; each takes two descriptors and buffers of
// about 16 kB.
const maxTunnels = 512
