// Package batch batches the pieces of stages into calls to backend servers. One box schedules all pieces of a pool,
// whichever box they come from: a server takes one call at a time and a call has a long fixed time, which the pieces
// of many requests must share.
//
// The box that owns a request sends Submit to the pool's scheduler: the running box whose claim to the pool has the
// latest term, or if no box claims it, the first eligible box by rendezvous hashing, which also decides between equal
// terms.
// The scheduler answers Accept, forms a call whenever a server is free, sends Reading once every piece is in a call,
// and ends the job with Done, which carries the handles of the results, or Failed. The owner repeats Submit while it
// waits, and the scheduler answers repeats from memory, so a lost message or a lost scheduler delays a request but
// doesn't fail it. Two schedulers during a network partition are safe: a full server rejects calls, and a piece may be
// produced twice.
package batch

import (
	"time"

	"github.com/stilemast/stilemast/src/backlog"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/crasher"
)

// JobID identifies a job by the box that owns it, that box's incarnation and a sequence number.
type JobID struct {
	Box  string `msgpack:"b"`
	Life uint64 `msgpack:"l"`
	N    uint64 `msgpack:"n"`
}

// Job is one stage of one request. Its times are on the local clock.
type Job struct {
	ID          JobID
	Pool        string
	Request     string      // identifies the caller's attempt
	Content     crasher.Key // identifies the request's content, the same for every attempt
	Class       string      // pipeline and stage; the time per piece is learned for each class
	Stage       int
	Pieces      int
	Inputs      []string  // handles of the results that every piece reads
	InputDomain string    // failure domain that holds most of the inputs; "" for none
	CrossBytes  float64   // bytes read across domains if the pieces run outside InputDomain
	Key         string    // caller's key, for pieces without inputs
	ResultBytes float64   // expected size of one piece's result
	Priority    int       // a higher number is less urgent
	Due         time.Time // the stage must end by then for the request to be in time
	Deadline    time.Time // a result is useless after this

	Within *catalog.Confines // failure domains that its pieces may run in; nil for any
	Fresh  bool              // nothing of its request ran, and nothing else of it can begin before this job is done
}

// Reason is the reason why a job failed.
type Reason uint8

// Reasons why a job failed. After Gone the owner must have the inputs produced again.
const (
	Late        Reason = iota + 1 // can't be completed by its deadline
	Gone                          // an input is no longer available
	Errors                        // its pieces failed too often
	NoPool                        // the scheduler doesn't know the pool
	Withdrawn                     // withdrawn by the owner
	Moved                         // another box schedules the pool now
	Barred                        // its content crashes the pool's servers
	Unreachable                   // the scheduler refused the connection; set by the owner's box
	Nowhere                       // no server is in a failure domain that it is confined to
	Yielded                       // it made room for a more urgent job, and nothing of it ran
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
	case Withdrawn:
		return "withdrawn"
	case Moved:
		return "moved"
	case Barred:
		return "barred"
	case Unreachable:
		return "unreachable"
	case Nowhere:
		return "nowhere"
	case Yielded:
		return "yielded"
	}
	return "unknown"
}

// Message is a message between boxes about jobs. From and Address identify the sender, to which answers go; of the
// other fields only one is set, or Accept together with Wait and Waits.
type Message struct {
	From    string        `msgpack:"f"`
	Address string        `msgpack:"a"`
	Submit  *Submit       `msgpack:"s,omitempty"`
	Accept  *JobID        `msgpack:"c,omitempty"`
	Wait    time.Duration `msgpack:"t,omitempty"` // expected wait of a new piece in the pool; set with Accept

	Waits    []time.Duration `msgpack:"k,omitempty"` // the same by due time (see backlog.Waits); set with Accept
	Levels   []backlog.Level `msgpack:"l,omitempty"` // the same by priority; set with Accept
	Reading  *JobID          `msgpack:"g,omitempty"` // every piece of this job is in a call that has read its inputs
	Done     *Done           `msgpack:"d,omitempty"`
	Failed   *Failed         `msgpack:"x,omitempty"`
	Withdraw *Withdraw       `msgpack:"w,omitempty"`
	Free     *Free           `msgpack:"r,omitempty"`
	Handover *Handover       `msgpack:"h,omitempty"`
	Held     *Held           `msgpack:"e,omitempty"`

	// Confined is a Submit of a job that is confined to certain failure domains. It is a field of its own because older
	// releases, which would ignore Submit.Within, must not accept such a job; they ignore this field.
	Confined *Submit `msgpack:"b,omitempty"`
}

// Submit asks the scheduler to run a job. Its times are relative to the time of sending.
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
	Silent      string        `msgpack:"z,omitempty"` // box that should have scheduled the job and did not answer

	Within *catalog.Confines `msgpack:"w,omitempty"`
	Fresh  bool              `msgpack:"f,omitempty"` // see Job; earlier releases don't send it and are never told Yielded
}

// Done completes a job with one result handle for each piece, in order.
type Done struct {
	ID      JobID    `msgpack:"i"`
	Handles []string `msgpack:"h"`
	Servers []string `msgpack:"s"` // server that holds each result
	Domain  string   `msgpack:"d"` // failure domain that holds most of the results
}

// Failed ends a job without results.
type Failed struct {
	ID     JobID  `msgpack:"i"`
	Reason Reason `msgpack:"r"`
	To     string `msgpack:"t,omitempty"` // box that schedules the pool now; set with Moved
	For    string `msgpack:"f,omitempty"` // request that it made room for; set with Yielded
}

// Withdraw cancels a job that its owner no longer needs and frees its results.
type Withdraw struct {
	ID   JobID  `msgpack:"i"`
	Pool string `msgpack:"p"`
}

// Free frees results that have been read. It includes their servers for schedulers that don't know the handles.
type Free struct {
	Pool    string       `msgpack:"p"`
	Results []HeldResult `msgpack:"r"`
}

// Held lists the results that an owner uses, for a scheduler that is new to the owner. The previous scheduler, which
// accounted for their memory, may be lost.
type Held struct {
	Pool    string       `msgpack:"p"`
	Results []HeldResult `msgpack:"r"`
}

// Handover gives the next scheduler of a pool the state that it can't observe: results in the servers' memory and
// running calls. Without it two schedulers would fill the same servers.
type Handover struct {
	Pool string       `msgpack:"p"`
	Held []HeldResult `msgpack:"h,omitempty"`
	Busy []BusyServer `msgpack:"b,omitempty"`
	Idle []string     `msgpack:"i,omitempty"` // servers whose calls, listed as Busy before, have ended

	Ratios []ServerRatio `msgpack:"v,omitempty"` // of the servers that are not as fast as expected
}

// ServerRatio is the learned ratio of measured over expected call time at a server.
type ServerRatio struct {
	Server      string              `msgpack:"s"`
	Incarnation catalog.Incarnation `msgpack:"n"`
	Ratio       float64             `msgpack:"r"`
}

// HeldResult is a result stored at a server; it expires after Left.
type HeldResult struct {
	Server string        `msgpack:"s"`
	Handle string        `msgpack:"h"`
	Bytes  float64       `msgpack:"b"`
	Left   time.Duration `msgpack:"l"`
}

// BusyServer is a server with a running call, expected to end after Left.
type BusyServer struct {
	Server string        `msgpack:"s"`
	Left   time.Duration `msgpack:"l"`
	Bytes  float64       `msgpack:"b"` // expected size of the call's results

	Overdue bool `msgpack:"o,omitempty"` // the call is overdue; Left is half the time until its timeout, since receivers double it
}

// ToSubmit converts a job to a message sent at now.
func (j *Job) ToSubmit(now time.Time) *Submit {
	return &Submit{
		ID: j.ID, Pool: j.Pool, Request: j.Request, Content: j.Content, Class: j.Class, Stage: j.Stage, Pieces: j.Pieces,
		Inputs: j.Inputs, InputDomain: j.InputDomain, CrossBytes: j.CrossBytes, Key: j.Key, ResultBytes: j.ResultBytes,
		Priority: j.Priority, DueIn: j.Due.Sub(now), DeadlineIn: j.Deadline.Sub(now), Within: j.Within, Fresh: j.Fresh,
	}
}

// Job converts a message received at now to a job on the receiver's clock.
func (s *Submit) Job(now time.Time) *Job {
	return &Job{
		ID: s.ID, Pool: s.Pool, Request: s.Request, Content: s.Content, Class: s.Class, Stage: s.Stage, Pieces: s.Pieces,
		Inputs: s.Inputs, InputDomain: s.InputDomain, CrossBytes: s.CrossBytes, Key: s.Key, ResultBytes: s.ResultBytes,
		Priority: s.Priority, Due: now.Add(s.DueIn), Deadline: now.Add(s.DeadlineIn), Within: s.Within, Fresh: s.Fresh,
	}
}
