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

// Evacuations tracks the failure domains that the operator evacuated, as known to one box.
//
// Within an era of the store the configuration is complete: a domain that it does not list is not evacuated.
// A restored store lacks the last writes, so an evacuation that it does not list stays in force until the
// operator ends it in the new era. Boxes exchange such evacuations, and their ends, as notes, since no
// document contains them.
//
// Callers pass the time in. Not safe for concurrent use.
type Evacuations struct {
	states map[string]evacuation
	named  []string // evacuated domains of the held configuration
}

// evacuation is the newest known state of a failure domain.
type evacuation struct {
	active  bool
	at      Revision  // at which the state was written
	endedAt time.Time // when this box last learned that the end needs to be announced, zero if it has not ended
}

// EvacuationNote reports to another box the newest evacuation state of a failure domain that no document contains.
type EvacuationNote struct {
	Domain    string
	Evacuated bool
	At        Revision
}

// IsEvacuated reports whether a failure domain is evacuated.
func (c *Evacuations) IsEvacuated(domain string) bool { return c.states[domain].active }

// Names returns the evacuated failure domains, sorted.
func (c *Evacuations) Names() []string {
	var out []string
	for d, s := range c.states {
		if s.active {
			out = append(out, d)
		}
	}
	slices.Sort(out)
	return out
}

// Unlisted returns the domains that are evacuated though the configuration does not list them.
func (c *Evacuations) Unlisted() []string {
	return slices.DeleteFunc(c.Names(), func(d string) bool { return slices.Contains(c.named, d) })
}

// ApplyConfig applies the evacuated domains of the configuration at a revision; held is the era of the previous
// configuration. It reports whether anything changed.
func (c *Evacuations) ApplyConfig(now time.Time, evacuated []string, at Revision, held Era) (changed bool) {
	before := c.Names()
	if c.states == nil {
		c.states = map[string]evacuation{}
	}
	for d, s := range c.states {
		if !s.active || slices.Contains(evacuated, d) {
			continue
		}
		if s.at.Era() == at.Era() || held == at.Era() && slices.Contains(c.named, d) {
			c.end(now, d, at)
		}
	}
	for _, d := range evacuated {
		if s, ok := c.states[d]; !ok || s.at <= at {
			c.states[d] = evacuation{active: true, at: at}
		}
	}
	c.named = slices.Clone(evacuated)
	return !slices.Equal(before, c.Names())
}

// End ends evacuations by order of the operator. It reports whether anything changed.
func (c *Evacuations) End(now time.Time, domains []string, at Revision) (changed bool) {
	for _, d := range domains {
		if s, ok := c.states[d]; ok && s.active && s.at <= at {
			c.end(now, d, at)
			changed = true
		}
	}
	return changed
}

func (c *Evacuations) end(now time.Time, domain string, at Revision) {
	c.states[domain] = evacuation{at: at, endedAt: now}
}

// Notes returns what the configuration of an era does not contain: evacuations of an earlier era, and recent
// ends of evacuations that other boxes may still hold. It returns at most so many.
func (c *Evacuations) Notes(now time.Time, era Era, most int) []EvacuationNote {
	if era == 0 {
		return nil
	}
	var out []EvacuationNote
	for d, s := range c.states {
		if s.active && s.at.Era() < era || !s.active && now.Sub(s.endedAt) < liftNotifyTime {
			out = append(out, EvacuationNote{Domain: d, Evacuated: s.active, At: s.at})
		}
	}
	slices.SortFunc(out, func(a, b EvacuationNote) int { return strings.Compare(a.Domain, b.Domain) })
	return out[:min(len(out), most)]
}

// ApplyNote applies another box's note while the held configuration is of an era; the state with the later
// revision wins. It reports whether anything changed.
func (c *Evacuations) ApplyNote(now time.Time, n EvacuationNote, era Era) (changed bool) {
	s, ok := c.states[n.Domain]
	switch {
	case ok && n.At <= s.at:
		if n.Evacuated && !s.active {
			s.endedAt = now
			c.states[n.Domain] = s
		}
		return false
	case !ok && (!n.Evacuated || len(c.states) >= maxEvacuations):
		return false
	case n.Evacuated && n.At.Era() >= era:
		return false // the configuration of that era decides
	}
	if c.states == nil {
		c.states = map[string]evacuation{}
	}
	if n.Evacuated {
		c.states[n.Domain] = evacuation{active: true, at: n.At}
	} else {
		c.end(now, n.Domain, n.At)
	}
	return s.active != n.Evacuated
}
