package catalog

import "slices"

// ServerChange is a server entry that was written, or the id of one that was removed.
type ServerChange struct {
	Server  Server
	Removed string
}

// PublishedChange is what the operator changed since a revision.
type PublishedChange struct {
	Catalog   *Catalog // newest configuration, without Evacuated; nil if unchanged
	Evacuated []string // failure domains to which nothing may be sent
	Restored  []string // failure domains whose evacuation ended
	// Unreadable is set if an unreadable configuration was written; the previous one stays in force.
	Unreadable *Unreadable
}

// Unreadable is a published document that can't be parsed.
type Unreadable struct {
	Revision Revision // at which it was written
	Cause    error
}

// Whole returns the catalog in force after a full read; before may be nil. Failure domains that the read does
// not list as evacuated are not.
func (c PublishedChange) Whole(before *Catalog) *Catalog {
	after := c.Catalog
	if after == nil {
		after = before
	}
	if after == nil {
		return nil
	}
	return after.WithEvacuated(c.Evacuated)
}

// Apply returns the catalog in force after a change of another; before may be nil.
func (c PublishedChange) Apply(before *Catalog) *Catalog {
	after := before
	var domains []string
	if before != nil {
		domains = slices.Clone(before.Evacuated)
	}
	if c.Catalog != nil {
		after = c.Catalog
	}
	if after == nil {
		return nil
	}
	domains = slices.DeleteFunc(append(domains, c.Evacuated...), func(d string) bool { return slices.Contains(c.Restored, d) })
	return after.WithEvacuated(domains)
}
