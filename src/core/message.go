package core

import (
	"time"

	"github.com/stilemast/stilemast/src/code"
)

// Failure is how a dispatched call failed, as observed by the adapter.
type Failure uint8

// Kinds of failure. Only NotSent proves that nothing ran.
const (
	NotSent     Failure = iota + 1 // no byte of the call left this box
	Busy                           // the server answered that it takes no work at present
	Leaving                        // the server answered that it is leaving
	Broken                         // the connection or the answer failed after sending
	InvalidCall                    // the server answered that the call itself is invalid
	TimedOut                       // no answer within the timeout of the attempt
)

// String returns the name of the failure for logs and traces.
func (f Failure) String() string {
	switch f {
	case NotSent:
		return "not_sent"
	case Busy:
		return "busy"
	case Leaving:
		return "leaving"
	case Broken:
		return "broken"
	case InvalidCall:
		return "wrong"
	case TimedOut:
		return "timed_out"
	}
	return "none"
}

// Use is what one finished call consumed, as reported by the server.
type Use struct {
	ComputedTokens  int           `msgpack:"c" json:"computed_tokens"`
	CachedTokens    int           `msgpack:"h" json:"cached_tokens"`
	GeneratedTokens int           `msgpack:"g" json:"generated_tokens"`
	Engine          time.Duration `msgpack:"e" json:"engine_ns"`
}

// Event is an input of Request.Step.
type Event interface{ event() }

// Begin starts the request.
type Begin struct{}

// Granted means that the pool assigned an attempt to a server.
type Granted struct {
	Attempt Attempt
	Server  string
	Waited  time.Duration
	Trace   []Candidate
}

// Refused means that the pool will not place an attempt.
type Refused struct {
	Attempt Attempt
	Err     *code.Error
}

// Chunk is a part of a generate stage's output. Offset is its position in bytes.
type Chunk struct {
	Attempt Attempt
	Offset  int
	Data    []byte
}

// Done is the successful end of a call. Output is complete for calls that do not stream; for others Length
// is the length of the whole output.
type Done struct {
	Attempt Attempt
	Output  []byte
	Length  int
	Stream  bool
	Use     Use
}

// Failed is the failure of a call.
type Failed struct {
	Attempt Attempt
	Failure Failure
	Message string
}

// HedgeDue means that an attempt has run long enough to be hedged.
type HedgeDue struct{ Attempt Attempt }

// PauseEnded means that the pause before another attempt has ended.
type PauseEnded struct{}

// DeadlineReached means that the request's deadline has passed.
type DeadlineReached struct{}

// CancelRequested means that the caller asked to cancel the request.
type CancelRequested struct{}

func (Begin) event()           {}
func (Granted) event()         {}
func (Refused) event()         {}
func (Chunk) event()           {}
func (Done) event()            {}
func (Failed) event()          {}
func (HedgeDue) event()        {}
func (PauseEnded) event()      {}
func (DeadlineReached) event() {}
func (CancelRequested) event() {}

// Action is an output of Request.Step, to be carried out by the caller of Step.
type Action interface{ action() }

// Enqueue requests a place for a call in the stage's pool.
type Enqueue struct{ Call *Call }

// Withdraw removes a waiting attempt from its pool.
type Withdraw struct {
	Attempt Attempt
	Pool    string
}

// Release returns a place that will not be used.
type Release struct {
	Attempt Attempt
	Pool    string
	Server  string
}

// Send dispatches a call. Resume asks the same server to continue an interrupted stream.
type Send struct {
	Attempt  Attempt
	Pool     string
	Server   string
	Input    []byte
	Offset   int    // bytes of output already held
	Continue []byte // the output already held, for servers that have not seen it
	Resume   bool
	Once     bool
}

// Stop cancels a call at its server.
type Stop struct {
	Attempt Attempt
	Pool    string
	Server  string
}

// ArmHedge requests a HedgeDue event after a delay.
type ArmHedge struct {
	Attempt Attempt
	After   time.Duration
}

// Pause requests a PauseEnded event after a delay.
type Pause struct{ After time.Duration }

// Emit sends the caller a part of the answer.
type Emit struct {
	Offset int
	Data   []byte
}

// Settle reports the end of an attempt, for the pool's estimates and the cost account.
type Settle struct {
	Attempt Attempt
	Pool    string
	Server  string
	Failure Failure // 0 when it succeeded
	Use     Use
	Wasted  bool // its output was not used
}

// Finish ends the request; Err is nil when the answer is complete.
type Finish struct{ Err *code.Error }

// Amend replaces an unknown outcome with the one that a late answer showed.
type Amend struct{ Err *code.Error }

func (Enqueue) action()  {}
func (Withdraw) action() {}
func (Release) action()  {}
func (Send) action()     {}
func (Stop) action()     {}
func (ArmHedge) action() {}
func (Pause) action()    {}
func (Emit) action()     {}
func (Settle) action()   {}
func (Finish) action()   {}
func (Amend) action()    {}

// Candidate is one server that was considered for a call, for placement traces.
type Candidate struct {
	Server     string        `msgpack:"s"`
	PassedOver string        `msgpack:"p"` // reason for not choosing it; empty for the chosen one
	Expected   time.Duration `msgpack:"e"`
}

// Placement is one dispatch, for placement traces.
type Placement struct {
	Stage      string        `msgpack:"s"`
	N          int           `msgpack:"n"`
	Server     string        `msgpack:"b"`
	Waited     time.Duration `msgpack:"w"`
	Served     time.Duration `msgpack:"d"`
	Outcome    string        `msgpack:"o"`
	Candidates []Candidate   `msgpack:"c"`
}

// StageUse summarizes one stage of a request for its caller.
type StageUse struct {
	Stage    string        `msgpack:"s"`
	Server   string        `msgpack:"b"`
	Attempts int           `msgpack:"n"`
	Waited   time.Duration `msgpack:"w"`
	Served   time.Duration `msgpack:"d"`
	Use      Use           `msgpack:"u"`
}
