package core

import (
	"time"

	"github.com/stilemast/stilemast/src/code"
)

// Failure says how a dispatched call went wrong, as far as the adapter can tell.
type Failure uint8

// The ways a call fails. Only NotSent is certain to have run nothing.
const (
	NotSent  Failure = iota + 1 // no byte of the call left this box
	Busy                        // the server answered that it takes no work now
	Leaving                     // the server answered that it is leaving
	Broken                      // the connection or the answer broke after sending
	Wrong                       // the server answered that the call itself is wrong
	TimedOut                    // nothing came in the time the attempt had
)

// String names the failure for logs and explanations.
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
	case Wrong:
		return "wrong"
	case TimedOut:
		return "timed_out"
	}
	return "none"
}

// Use is what one finished call consumed, as the server reported it.
type Use struct {
	ComputedTokens  int           `msgpack:"c" json:"computed_tokens"`
	CachedTokens    int           `msgpack:"h" json:"cached_tokens"`
	GeneratedTokens int           `msgpack:"g" json:"generated_tokens"`
	Engine          time.Duration `msgpack:"e" json:"engine_ns"`
}

// Event is something that happened to a request.
type Event interface{ event() }

// Begin starts the request.
type Begin struct{}

// Granted says the pool gave an attempt a place on a server.
type Granted struct {
	Attempt Attempt
	Server  string
	Waited  time.Duration
	Trace   []Candidate
}

// Refused says the pool will not place an attempt.
type Refused struct {
	Attempt Attempt
	Err     *code.Error
}

// Chunk is a piece of a generate stage's output; Offset counts bytes of that output.
type Chunk struct {
	Attempt Attempt
	Offset  int
	Data    []byte
}

// Done is the end of a call. Output is whole for calls that do not stream; Length is the length of
// the whole output of those that do.
type Done struct {
	Attempt Attempt
	Output  []byte
	Length  int
	Stream  bool
	Use     Use
}

// Failed is a call that went wrong.
type Failed struct {
	Attempt Attempt
	Failure Failure
	Message string
}

// HedgeDue says an attempt has run long enough to be hedged.
type HedgeDue struct{ Attempt Attempt }

// PauseOver says a pause before another attempt has ended.
type PauseOver struct{}

// DeadlineOver says the request's deadline has come.
type DeadlineOver struct{}

// CancelAsked says the caller wants the request stopped.
type CancelAsked struct{}

func (Begin) event()        {}
func (Granted) event()      {}
func (Refused) event()      {}
func (Chunk) event()        {}
func (Done) event()         {}
func (Failed) event()       {}
func (HedgeDue) event()     {}
func (PauseOver) event()    {}
func (DeadlineOver) event() {}
func (CancelAsked) event()  {}

// Action is something the shell must do for a request.
type Action interface{ action() }

// Enqueue asks the stage's pool for a place.
type Enqueue struct{ Call *Call }

// Withdraw takes a waiting attempt out of its pool.
type Withdraw struct {
	Attempt Attempt
	Pool    string
}

// Release gives back a place that will not be used.
type Release struct {
	Attempt Attempt
	Pool    string
	Server  string
}

// Send dispatches a call. Resume asks the same server to go on with an interrupted stream.
type Send struct {
	Attempt  Attempt
	Pool     string
	Server   string
	Input    []byte
	Offset   int    // bytes of output already held
	Continue []byte // the output already held, for a server that has not seen it
	Resume   bool
	Once     bool
}

// Stop cancels a call at its server.
type Stop struct {
	Attempt Attempt
	Pool    string
	Server  string
}

// ArmHedge asks for a HedgeDue after a while.
type ArmHedge struct {
	Attempt Attempt
	After   time.Duration
}

// Pause asks for a PauseOver after a while.
type Pause struct{ After time.Duration }

// Emit gives the caller a piece of the answer.
type Emit struct {
	Offset int
	Data   []byte
}

// Settle says how an attempt ended, for the pool's learning and the cost account.
type Settle struct {
	Attempt Attempt
	Pool    string
	Server  string
	Failure Failure // 0 when it succeeded
	Use     Use
	Wasted  bool // its output was not used
}

// Finish ends the request; Err is nil when the answer is whole.
type Finish struct{ Err *code.Error }

// Amend replaces an unknown outcome by what a late answer showed.
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

// Candidate is one server considered for a call, for explanations.
type Candidate struct {
	Server     string        `msgpack:"s"`
	PassedOver string        `msgpack:"p"` // empty for the chosen one
	Expected   time.Duration `msgpack:"e"`
}

// Placement is one dispatch, for explanations.
type Placement struct {
	Stage      string        `msgpack:"s"`
	N          int           `msgpack:"n"`
	Server     string        `msgpack:"b"`
	Waited     time.Duration `msgpack:"w"`
	Served     time.Duration `msgpack:"d"`
	Outcome    string        `msgpack:"o"`
	Candidates []Candidate   `msgpack:"c"`
}

// StageUse sums a stage of one request for its caller.
type StageUse struct {
	Stage    string        `msgpack:"s"`
	Server   string        `msgpack:"b"`
	Attempts int           `msgpack:"n"`
	Waited   time.Duration `msgpack:"w"`
	Served   time.Duration `msgpack:"d"`
	Use      Use           `msgpack:"u"`
}
