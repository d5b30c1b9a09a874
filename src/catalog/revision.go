package catalog

import (
	"fmt"
	"log/slog"
)

// Era numbers the histories of the platform's store: it increases each time the store is restored from an
// older copy and assigns revisions again that it assigned before. 0 if the store does not report it.
type Era uint64

// Revision is a point in the history of the platform's store: the era in the high bits and the store's own
// revision number in the low bits. Later points are greater even after a restore.
type Revision uint64

// State is the sequence number of a document's content, derived from a revision at which it was the newest.
// Later states are greater.
type State uint64

// numberBits allows for nine trillion changes per era and half a million eras.
const numberBits = 43

// RevisionAt combines an era and the store's own number; false if one of them is out of range.
func RevisionAt(era Era, number uint64) (Revision, bool) {
	return Revision(uint64(era)<<numberBits | number), number>>numberBits == 0 && era>>(62-numberBits) == 0
}

// Era returns the era of the store.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// Number returns the store's own number.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// String includes the era if there is one, since the number alone may be ambiguous.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Number())
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Number())
}

// LogValue implements slog.LogValuer.
func (r Revision) LogValue() slog.Value { return slog.StringValue(r.String()) }

// ToWire encodes the revision for messages between boxes, relative to a base era. Boxes of earlier releases,
// which don't know eras, see the store's own numbers until the era increases, and order everything after that
// as newer.
func (r Revision) ToWire(from Era) uint64 { return toWire(uint64(r), numberBits, from) }

// RevisionFromWire decodes a revision that was encoded relative to a base era.
func RevisionFromWire(n uint64, from Era) Revision { return Revision(fromWire(n, numberBits, from)) }

// Width of the number within an era: a configuration has one state per revision, a list two.
const (
	configBits = numberBits
	listBits   = numberBits + 1
)

// statesPerRevision is the number of list states per revision. Boxes of an earlier release use two, and all
// boxes must order states the same way during a rolling upgrade.
const statesPerRevision = 1 << (listBits - configBits)

// ConfigAt returns the state of the configuration at a revision.
func ConfigAt(r Revision) State { return State(r) }

// ListAt returns the state of the list of servers at a revision, the later of the two.
func ListAt(r Revision) State { return State(r)*statesPerRevision + statesPerRevision - 1 }

// ConfigRevision returns the revision of a configuration's state.
func ConfigRevision(s State) Revision { return Revision(s) }

// ListRevision returns the revision of a list's state.
func ListRevision(s State) Revision { return Revision(s / statesPerRevision) }

// ConfigToWire encodes a configuration's state for messages between boxes, relative to a base era.
func ConfigToWire(s State, from Era) uint64 { return toWire(uint64(s), configBits, from) }

// ListToWire encodes a list's state for messages between boxes, relative to a base era.
func ListToWire(s State, from Era) uint64 { return toWire(uint64(s), listBits, from) }

// ConfigFromWire decodes a configuration's state from another box.
func ConfigFromWire(n uint64, from Era) State { return State(fromWire(n, configBits, from)) }

// ListFromWire decodes a list's state from another box.
func ListFromWire(n uint64, from Era) State { return State(fromWire(n, listBits, from)) }

// toWire encodes a number relative to a base era.
func toWire(n uint64, bits int, from Era) uint64 {
	if n>>bits < uint64(from) {
		return n & (1<<bits - 1) // from before any era was known
	}
	return n - uint64(from)<<bits
}

// fromWire reverses toWire. 0 stands for no content and stays 0.
func fromWire(n uint64, bits int, from Era) uint64 {
	if n == 0 {
		return 0
	}
	return n + uint64(from)<<bits
}
