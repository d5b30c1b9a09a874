package catalog

import (
	"slices"
	"strings"
	"time"
)

const (
	// liftNotifyTime is for how long other boxes are notified of the end of an evacuation. It starts again
	// when a box turns out to still hold the evacuation.
	liftNotifyTime = time.Minute
	// maxEvacuations bounds what notes of other boxes can add; a deployment has tens of failure domains.
	maxEvacuations = 1000
)

// Closures tracks the failure domains that the operator evacuated, as known to one box.
//
// Within an era of the store the configuration is complete: a domain that it does not list is not evacuated.
// A restored store lacks the last writes, so an evacuation that it does not list stays in force until the
// operator ends it in the new era. Boxes exchange such evacuations, and their ends, as notes, since no
// document contains them.
//
// Callers pass the time in. Not safe for concurrent use.
type Closures struct {
	states map[string]evacuation
	named  []string // evacuated domains of the held configuration
}

// evacuation is the newest known state of a failure domain.
type evacuation struct {
	closed bool
	at     Revision  // at which the state was written
	lifted time.Time // when this box last learned that the end needs to be announced, zero if it has not ended
}

// ClosureNote tells another box the newest state of a failure domain that no document contains.
type ClosureNote struct {
	Domain string
	Closed bool
	At     Revision
}

// Closed reports whether a failure domain is evacuated.
func (c *Closures) Closed(domain string) bool { return c.states[domain].closed }

// Names returns the evacuated failure domains, sorted.
func (c *Closures) Names() []string {
	var out []string
	for d, w := range c.states {
		if w.closed {
			out = append(out, d)
		}
	}
	slices.Sort(out)
	return out
}

// Kept returns the domains that are evacuated though the configuration does not list them.
func (c *Closures) Kept() []string {
	return slices.DeleteFunc(c.Names(), func(d string) bool { return slices.Contains(c.named, d) })
}

// Take applies the evacuated domains of the configuration at a revision; held is the era of the previous
// configuration. It reports whether anything changed.
func (c *Closures) Take(now time.Time, evacuated []string, at Revision, held Era) (changed bool) {
	before := c.Names()
	if c.states == nil {
		c.states = map[string]evacuation{}
	}
	for d, w := range c.states {
		if !w.closed || slices.Contains(evacuated, d) {
			continue
		}
		if w.at.Era() == at.Era() || held == at.Era() && slices.Contains(c.named, d) {
			c.lift(now, d, at)
		}
	}
	for _, d := range evacuated {
		if w, ok := c.states[d]; !ok || w.at <= at {
			c.states[d] = evacuation{closed: true, at: at}
		}
	}
	c.named = slices.Clone(evacuated)
	return !slices.Equal(before, c.Names())
}

// Lift ends evacuations by order of the operator. It reports whether anything changed.
func (c *Closures) Lift(now time.Time, domains []string, at Revision) (changed bool) {
	for _, d := range domains {
		if w, ok := c.states[d]; ok && w.closed && w.at <= at {
			c.lift(now, d, at)
			changed = true
		}
	}
	return changed
}

func (c *Closures) lift(now time.Time, domain string, at Revision) {
	c.states[domain] = evacuation{at: at, lifted: now}
}

// Notes returns what the configuration of an era does not contain: evacuations of an earlier era, and recent
// ends of evacuations that other boxes may still hold. It returns at most so many.
func (c *Closures) Notes(now time.Time, era Era, most int) []ClosureNote {
	if era == 0 {
		return nil
	}
	var out []ClosureNote
	for d, w := range c.states {
		if w.closed && w.at.Era() < era || !w.closed && now.Sub(w.lifted) < liftNotifyTime {
			out = append(out, ClosureNote{Domain: d, Closed: w.closed, At: w.at})
		}
	}
	slices.SortFunc(out, func(a, b ClosureNote) int { return strings.Compare(a.Domain, b.Domain) })
	return out[:min(len(out), most)]
}

// Hear applies another box's note while the held configuration is of an era; the state with the later
// revision wins. It reports whether anything changed.
func (c *Closures) Hear(now time.Time, n ClosureNote, era Era) (changed bool) {
	w, ok := c.states[n.Domain]
	switch {
	case ok && n.At <= w.at:
		if n.Closed && !w.closed {
			w.lifted = now
			c.states[n.Domain] = w
		}
		return false
	case !ok && (!n.Closed || len(c.states) >= maxEvacuations):
		return false
	case n.Closed && n.At.Era() >= era:
		return false // the configuration of that era decides
	}
	if c.states == nil {
		c.states = map[string]evacuation{}
	}
	if n.Closed {
		c.states[n.Domain] = evacuation{closed: true, at: n.At}
	} else {
		c.lift(now, n.Domain, n.At)
	}
	return w.closed != n.Closed
}
