package overload

import "time"

// controller decides which share of new connections a box accepts: it lowers the share while the box is overloaded, the more
// the further the load exceeds its limit, and raises it otherwise. It is not safe for concurrent use.
type controller struct {
	closing  bool
	share    float64 // of new connections that are accepted while closing
	credit   float64 // of connections to accept, below 1
	accepted time.Time
}

// update takes a measured load.
func (c *controller) update(l Load) {
	if !c.closing {
		c.share = 1
	}
	if excess := l.excess(); excess > 1 {
		c.share = max(minShare, c.share*max(maxDecrease, min(minDecrease, 1/excess)))
	} else {
		for left := l.Took; left >= minInterval && c.share < 1; left -= minInterval {
			c.share += min(maxIncrease, c.share*increase)
		}
	}
	c.closing = c.share < 1
}

// accept decides on one connection. Of consecutive connections the share is accepted at even distances, none of them while the
// box is full, but one in each maxPause at least.
func (c *controller) accept(now time.Time, full bool) bool {
	if (c.closing || full) && now.Sub(c.accepted) < maxPause {
		if c.credit += c.accepting(); full || c.credit < 1 {
			c.credit = min(c.credit, 1)
			return false
		}
		c.credit--
	}
	c.accepted = now
	return true
}

// accepting returns the share of new connections that are accepted.
func (c *controller) accepting() float64 {
	if c.closing {
		return c.share
	}
	return 1
}
