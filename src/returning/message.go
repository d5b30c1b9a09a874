package returning

import (
	"time"

	"github.com/stilemast/stilemast/src/crasher"
)

// Refusal reports a refused caller to the registrar of its content. Ages and remaining times are as of sending.
type Refusal struct {
	Content  crasher.Content `msgpack:"c"`
	Pipeline uint64          `msgpack:"p"`           // hash of its name
	Age      time.Duration   `msgpack:"a"`           // since the caller's first attempt
	Left     time.Duration   `msgpack:"l"`           // until the caller's deadline
	After    time.Duration   `msgpack:"t"`           // the retry-after that the caller was told
	Promised bool            `msgpack:"k,omitempty"` // the caller can be in time if it returns then
	Refusals int             `msgpack:"n"`           // of the caller so far, this one included
}

// valid reports whether the figures make sense; messages may be malformed or forged.
func (f Refusal) valid() bool {
	return f.Age >= 0 && f.Age <= maxTime && f.Left > 0 && f.After >= 0 && f.After <= min(f.Left, maxTime) && f.Refusals > 0 && f.Refusals <= MaxRefusals
}

// Query asks the registrar of a content whether its caller was refused before.
type Query struct {
	Content  crasher.Content `msgpack:"c"`
	Pipeline uint64          `msgpack:"p"`
	Left     time.Duration   `msgpack:"l"` // until the deadline that the caller states
}

// Record is what the registrar knows of a caller's earlier attempts. The zero value is that of a new caller.
type Record struct {
	Refusals int           `msgpack:"n,omitempty"` // 0 for a new caller
	Age      time.Duration `msgpack:"a,omitempty"` // since the first attempt
	Left     time.Duration `msgpack:"l,omitempty"` // until the deadline; 0 from boxes of earlier releases
	Early    time.Duration `msgpack:"e,omitempty"` // time by which the caller returned before it was told to; 0 if on time or later
	Promised bool          `msgpack:"k,omitempty"` // it was promised to be in time
}

// Known reports whether the caller was refused before.
func (r Record) Known() bool { return r.Refusals > 0 }

// OnTime reports whether a known caller returned no earlier than it was told to.
func (r Record) OnTime() bool { return r.Known() && r.Early == 0 }

// Bounded returns a record received from another box, or the zero value if it makes no sense for a query with this
// remaining time.
func (r Record) Bounded(left time.Duration) Record {
	if r.Refusals < 1 || r.Refusals > MaxRefusals || r.Age < 0 || r.Age > maxTime || !r.fits(left) || r.Early < 0 || r.Early > maxTime {
		return Record{}
	}
	return r
}

// fits reports whether the record can be that of a caller that states a remaining time.
func (r Record) fits(left time.Duration) bool {
	return r.Age <= left || (r.Left-left).Abs() <= deadlineTolerance
}
