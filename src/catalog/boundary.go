package catalog

import "slices"

// Boundary lists the regions in which requests may run and their data may be stored.
type Boundary struct {
	Regions []string `msgpack:"r"` // an empty list allows no region
}

// Regions maps failure domains to their regions.
type Regions map[string]string

// Confines lists the failure domains in which a request may run and its data may be stored; nil allows all.
type Confines struct {
	Domains []string `msgpack:"d"` // sorted
}

// Allow reports whether a failure domain is allowed.
func (c *Confines) Allow(domain string) bool {
	return c == nil || slices.Contains(c.Domains, domain)
}

// Confine returns the failure domains inside all given boundaries, where a nil boundary allows everything. A
// failure domain of unknown region is inside none.
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
