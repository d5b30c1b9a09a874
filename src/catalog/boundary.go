package catalog

import "slices"

// Boundary is the regions in which an operator lets requests run and their data rest.
type Boundary struct {
	Regions []string `msgpack:"r"` // none allows nothing
}

// Regions is the region of each failure domain.
type Regions map[string]string

// Confines are the failure domains in which a request may run and its data rest; nil stands for all of them.
type Confines struct {
	Domains []string `msgpack:"d"` // sorted
}

// Allow says whether a failure domain is inside.
func (c *Confines) Allow(domain string) bool {
	return c == nil || slices.Contains(c.Domains, domain)
}

// Confine gives the failure domains inside all boundaries, of which nil ones bind nothing. A failure domain whose region
// is not known is inside none.
func (r Regions) Confine(boundaries ...*Boundary) *Confines {
	boundaries = slices.DeleteFunc(slices.Clone(boundaries), func(b *Boundary) bool { return b == nil })
	if len(boundaries) == 0 {
		return nil
	}
	c := &Confines{}
	for domain, region := range r {
		outside := func(b *Boundary) bool { return !slices.Contains(b.Regions, region) }
		if region != "" && !slices.ContainsFunc(boundaries, outside) {
			c.Domains = append(c.Domains, domain)
		}
	}
	slices.Sort(c.Domains)
	return c
}
