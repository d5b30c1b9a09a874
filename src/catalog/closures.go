package catalog

import (
	"slices"
	"strings"
	"time"
)

const (
	// liftTold is how long the end of an evacuation is told, and told again once a box holds it from an earlier era.
	liftTold = time.Minute
	// closuresMost bounds what other boxes can have this one remember; a deployment has tens of failure domains.
	closuresMost = 1000
)

// Closures are the failure domains that the operator evacuated, as one box knows them.
//
// Idea. Within an era of the store the configuration says it all: what it does not name is not evacuated. After a restore the
// store lacks what was written last, and an evacuation that it does not name stays, until the operator takes it back in the new era.
// Such evacuations, and their ends, are told from box to box, since no document has them.
//
// Pure: time comes in. Not safe for concurrent use.
type Closures struct {
	words map[string]closure
	named []string // by the configuration that is held
}

// closure is the last word on a failure domain.
type closure struct {
	closed bool
	at     Revision  // as of which it was given
	lifted time.Time // when its end was news, zero where it has none
}

// ClosureNote tells another box the last word on a failure domain that no document has.
type ClosureNote struct {
	Domain string
	Closed bool
	At     Revision
}

// Closed says whether a failure domain is evacuated.
func (c *Closures) Closed(domain string) bool { return c.words[domain].closed }

// Names lists the evacuated failure domains in order.
func (c *Closures) Names() []string {
	var out []string
	for d, w := range c.words {
		if w.closed {
			out = append(out, d)
		}
	}
	slices.Sort(out)
	return out
}

// Kept lists those that are evacuated though the configuration does not name them.
func (c *Closures) Kept() []string {
	return slices.DeleteFunc(c.Names(), func(d string) bool { return slices.Contains(c.named, d) })
}

// Take takes what the configuration of a revision evacuates; held is the era of the one before. It says whether anything changed.
func (c *Closures) Take(now time.Time, evacuated []string, at Revision, held Era) (changed bool) {
	before := c.Names()
	if c.words == nil {
		c.words = map[string]closure{}
	}
	for d, w := range c.words {
		if !w.closed || slices.Contains(evacuated, d) {
			continue
		}
		if w.at.Era() == at.Era() || held == at.Era() && slices.Contains(c.named, d) {
			c.lift(now, d, at)
		}
	}
	for _, d := range evacuated {
		if w, ok := c.words[d]; !ok || w.at <= at {
			c.words[d] = closure{closed: true, at: at}
		}
	}
	c.named = slices.Clone(evacuated)
	return !slices.Equal(before, c.Names())
}

// Lift takes the operator's word that failure domains are not evacuated any more. It says whether anything changed.
func (c *Closures) Lift(now time.Time, domains []string, at Revision) (changed bool) {
	for _, d := range domains {
		if w, ok := c.words[d]; ok && w.closed && w.at <= at {
			c.lift(now, d, at)
			changed = true
		}
	}
	return changed
}

func (c *Closures) lift(now time.Time, domain string, at Revision) {
	c.words[domain] = closure{at: at, lifted: now}
}

// Notes tells what the configuration of an era does not say: evacuations of an earlier one, and ends of evacuations that another
// box may hold; so many at most.
func (c *Closures) Notes(now time.Time, era Era, most int) []ClosureNote {
	if era == 0 {
		return nil
	}
	var out []ClosureNote
	for d, w := range c.words {
		if w.closed && w.at.Era() < era || !w.closed && now.Sub(w.lifted) < liftTold {
			out = append(out, ClosureNote{Domain: d, Closed: w.closed, At: w.at})
		}
	}
	slices.SortFunc(out, func(a, b ClosureNote) int { return strings.Compare(a.Domain, b.Domain) })
	return out[:min(len(out), most)]
}

// Hear takes another box's word while the configuration is of an era: the later word counts. It says whether anything changed.
func (c *Closures) Hear(now time.Time, n ClosureNote, era Era) (changed bool) {
	w, ok := c.words[n.Domain]
	switch {
	case ok && n.At <= w.at:
		if n.Closed && !w.closed {
			w.lifted = now
			c.words[n.Domain] = w
		}
		return false
	case !ok && (!n.Closed || len(c.words) >= closuresMost):
		return false
	case n.Closed && n.At.Era() >= era:
		return false // the configuration of that era says so, or does not
	}
	if c.words == nil {
		c.words = map[string]closure{}
	}
	if n.Closed {
		c.words[n.Domain] = closure{closed: true, at: n.At}
	} else {
		c.lift(now, n.Domain, n.At)
	}
	return w.closed != n.Closed
}
