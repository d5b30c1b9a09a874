// Package observe defines the events that metrics are made from.
package observe

import (
	"time"

	"github.com/stilemast/stilemast/src/admission"
	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/pace"
)

// Gateway receives the events of a gateway. Nil fields are skipped.
type Gateway struct {
	Ended     func(pipeline, result string, took, first time.Duration)
	Exchanged func(pool, outcome string, took time.Duration)
	Batched   func(pool string, pieces int, outcome string, took time.Duration)
	StoreRead func(document string, ok bool)
	Restored  func()                                             // the store was restored from an older copy
	Pulled    func(document string, ok bool, took time.Duration) // from another box
	Retried   func(pool string, allowed bool)
	Unusable  func(document, reason string) // an unusable server entry or configuration was read
	Withheld  func(pool string)             // a chosen server stopped taking new work before the first byte was sent
	Suspected func(contents int)            // a server ended while it ran so many contents
	// Signalled: a server leaves, asks for rest or limits its requests, or another box reported that it leaves.
	Signalled func(pool, signal string)
	Permitted func(pool string, ok bool) // a permit of a server with a limit was requested
	CutOff    func()                     // a caller that reads slowly was cut off
	Malformed func(source string)        // a pool's server, or the store, sent something that is not a response
	// CallerRefused: a caller was refused because of load; promised is whether it was promised to be in time if it returns.
	CallerRefused func(pipeline string, promised bool)
	// CallerReturned: a request of a caller who was refused before ended.
	CallerReturned func(pipeline, result string, promised, inTime bool)
	// TakenUp: a caller took up a stream, with evidence of its origin (package resume).
	TakenUp func(pipeline, evidence string)
	// Tunnelled: a connection to a server was opened through another box or for one, or that failed.
	Tunnelled func(pool, result string)
	Yielded   func(pool, how string, jobs int) // queued jobs were ended or overtaken for a more urgent one
	// Compared: the first output of an admitted request came after a time, or it ended without (censored).
	Compared func(pipeline string, f admission.Forecasted, took time.Duration, censored bool)
	Overdue  func(pool string, e *batch.OverdueEvent)
	Paced    func(pool string, s pace.Status, changes int) // each speedsInterval while speeds are in force
}
