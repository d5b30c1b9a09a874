// Package batch forms the calls to backend servers that make the pieces of stages. One box schedules
// all pieces of a pool, whichever box they come from, since a server takes one call at a time and a
// call's fixed time is long: pieces of many requests must share it.
//
// Flow. An owner sends Submit to the pool's scheduler, the first living box by rendezvous hash; the
// scheduler answers Accept, says Reading when the last piece went out, forms calls whenever a server is free, and answers Done with the handles
// of the results, or Failed. The owner repeats Submit while it waits, which the scheduler answers from
// memory, so that a lost message or a scheduler that is gone costs a moment and no request. Two
// schedulers in a partition are harmless: a full server says so, and a piece may be made again.
package batch

import (
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/crasher"
)

// JobID names one job: the box that owns it, that box's life, and a number of its own.
type JobID struct {
	Box  string `msgpack:"b"`
	Life uint64 `msgpack:"l"`
	N    uint64 `msgpack:"n"`
}

// Job is one stage of one request. Times are measured on the clock of whoever holds it.
type Job struct {
	ID          JobID
	Pool        string
	Request     string      // the caller's attempt
	Content     crasher.Key // what it asks, whatever the attempt
	Class       string      // pipeline and stage, for what is learned of their pieces
	Stage       int
	Pieces      int
	Inputs      []string // handles of results that each piece needs
	InputDomain string   // failure domain where most of them lie; "" for none
	CrossBytes  float64  // that cross between domains if the pieces are made elsewhere
	Key         string   // the caller's key for pieces without inputs
	ResultBytes float64
	Priority    int
	Due         time.Time // end of this stage by which the request is still in time
	Deadline    time.Time // end of this stage after which it is of no use

	Within *catalog.Confines // where its pieces may be made; nil for anywhere
}

// Reason says why a job failed.
type Reason uint8

// The reasons. Gone asks the owner to make the inputs again.
const (
	Late        Reason = iota + 1 // can't be done by its deadline
	Gone                          // an input is gone
	Errors                        // its pieces failed too often
	NoPool                        // the scheduler knows no such pool
	Stopped                       // the owner withdrew it
	Moved                         // another box schedules the pool now; ask there
	Barred                        // its content crashes the pool's servers
	Unreachable                   // no process listens where the scheduler was; said by the owner's own box
	Nowhere                       // no server stands where its pieces may be made
)

// String names the reason for logs.
func (r Reason) String() string {
	switch r {
	case Late:
		return "late"
	case Gone:
		return "input_gone"
	case Errors:
		return "errors"
	case NoPool:
		return "no_pool"
	case Stopped:
		return "withdrawn"
	case Moved:
		return "moved"
	case Barred:
		return "barred"
	case Unreachable:
		return "unreachable"
	case Nowhere:
		return "nowhere"
	}
	return "unknown"
}

// Message is what boxes say to one another of jobs; exactly one field is set. From and Address name
// the sender, to which answers go.
type Message struct {
	From    string        `msgpack:"f"`
	Address string        `msgpack:"a"`
	Submit  *Submit       `msgpack:"s,omitempty"`
	Accept  *JobID        `msgpack:"c,omitempty"`
	Wait    time.Duration `msgpack:"t,omitempty"` // of a new piece in the pool, with Accept

	Waits    []time.Duration `msgpack:"k,omitempty"` // and by its place (backlog.Waits)
	Reading  *JobID          `msgpack:"g,omitempty"` // every piece is in a call, which reads its inputs as it begins
	Done     *Done           `msgpack:"d,omitempty"`
	Failed   *Failed         `msgpack:"x,omitempty"`
	Withdraw *Withdraw       `msgpack:"w,omitempty"`
	Free     *Free           `msgpack:"r,omitempty"`
	Handover *Handover       `msgpack:"h,omitempty"`
	Held     *Held           `msgpack:"e,omitempty"`

	// Confined is a Submit of a job with confines. A scheduler of a release that knows none must not take it, and passes it over.
	Confined *Submit `msgpack:"b,omitempty"`
}

// Submit asks for a job; its times are durations from the sending.
type Submit struct {
	ID          JobID         `msgpack:"i"`
	Pool        string        `msgpack:"p"`
	Request     string        `msgpack:"q"`
	Content     crasher.Key   `msgpack:"o"`
	Class       string        `msgpack:"c"`
	Stage       int           `msgpack:"s"`
	Pieces      int           `msgpack:"n"`
	Inputs      []string      `msgpack:"u,omitempty"`
	InputDomain string        `msgpack:"d,omitempty"`
	CrossBytes  float64       `msgpack:"x,omitempty"`
	Key         string        `msgpack:"k,omitempty"`
	ResultBytes float64       `msgpack:"b"`
	Priority    int           `msgpack:"y"`
	DueIn       time.Duration `msgpack:"t"`
	DeadlineIn  time.Duration `msgpack:"l"`
	Silent      string        `msgpack:"z,omitempty"` // a box that should have scheduled it and did not answer

	Within *catalog.Confines `msgpack:"w,omitempty"`
}

// Done gives the results of a job, a handle for each piece in order.
type Done struct {
	ID      JobID    `msgpack:"i"`
	Handles []string `msgpack:"h"`
	Servers []string `msgpack:"s"` // where each of them lies
	Domain  string   `msgpack:"d"` // where most of them lie
}

// Failed ends a job without results.
type Failed struct {
	ID     JobID  `msgpack:"i"`
	Reason Reason `msgpack:"r"`
	To     string `msgpack:"t,omitempty"` // the box that schedules the pool now, with Moved
}

// Withdraw ends a job that its owner needs no more; results made of it are freed.
type Withdraw struct {
	ID   JobID  `msgpack:"i"`
	Pool string `msgpack:"p"`
}

// Free gives up results that have been read. It names where they lie, for a scheduler that never heard
// of them.
type Free struct {
	Pool    string       `msgpack:"p"`
	Results []HeldResult `msgpack:"r"`
}

// Held tells a scheduler that is new to an owner of the results that the owner holds. The scheduler
// before may be gone, and with it all knowledge of what takes up room.
type Held struct {
	Pool    string       `msgpack:"p"`
	Results []HeldResult `msgpack:"r"`
}

// Handover gives the next scheduler of a pool what it can't see: results that take up room and calls
// that are still at work. Without it two schedulers would fill the same servers.
type Handover struct {
	Pool string       `msgpack:"p"`
	Held []HeldResult `msgpack:"h,omitempty"`
	Busy []BusyServer `msgpack:"b,omitempty"`
	Idle []string     `msgpack:"i,omitempty"` // servers whose calls, told of before, have ended
}

// HeldResult is a result that lies at a server.
type HeldResult struct {
	Server string        `msgpack:"s"`
	Handle string        `msgpack:"h"`
	Bytes  float64       `msgpack:"b"`
	Left   time.Duration `msgpack:"l"`
}

// BusyServer has a call at work.
type BusyServer struct {
	Server string        `msgpack:"s"`
	Left   time.Duration `msgpack:"l"`
	Bytes  float64       `msgpack:"b"` // that its results will take up
}

// Submission makes the message of a job at a moment.
func (j *Job) Submission(now time.Time) *Submit {
	return &Submit{
		ID: j.ID, Pool: j.Pool, Request: j.Request, Content: j.Content, Class: j.Class, Stage: j.Stage, Pieces: j.Pieces,
		Inputs: j.Inputs, InputDomain: j.InputDomain, CrossBytes: j.CrossBytes, Key: j.Key, ResultBytes: j.ResultBytes,
		Priority: j.Priority, DueIn: j.Due.Sub(now), DeadlineIn: j.Deadline.Sub(now), Within: j.Within,
	}
}

// Job turns a submission into a job on the receiver's clock.
func (s *Submit) Job(now time.Time) *Job {
	return &Job{
		ID: s.ID, Pool: s.Pool, Request: s.Request, Content: s.Content, Class: s.Class, Stage: s.Stage, Pieces: s.Pieces,
		Inputs: s.Inputs, InputDomain: s.InputDomain, CrossBytes: s.CrossBytes, Key: s.Key, ResultBytes: s.ResultBytes,
		Priority: s.Priority, Due: now.Add(s.DueIn), Deadline: now.Add(s.DeadlineIn), Within: s.Within,
	}
}
