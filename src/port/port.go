// Package port defines the interfaces and messages between a box and the outside: calls to backend servers, reads of
// the platform and messages between boxes. Adapters and stand-ins implement them.
package port

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/crasher"
	"github.com/stilemast/stilemast/src/resume"
	"github.com/stilemast/stilemast/src/retry"
	"github.com/stilemast/stilemast/src/returning"
)

// CallRequest is one attempt of a stage, as sent to a backend server. It is the public HTTP interface of engines and
// services.
type CallRequest struct {
	Attempt   string   `json:"attempt"` // ID of the attempt
	Kind      string   `json:"kind"`    // of the stage, such as "generate"
	Input     []byte   `json:"input"`
	Continue  []byte   `json:"continue,omitempty"` // output that the caller already has
	Offset    int      `json:"offset,omitempty"`   // with Resume: byte offset in the output to resume from
	MaxTokens int      `json:"max_tokens,omitempty"`
	Priority  int      `json:"priority,omitempty"` // lower values are more urgent
	Salt      string   `json:"salt,omitempty"`     // isolates the caches of workspaces from each other
	Prefix    []uint64 `json:"prefix,omitempty"`
	Model     string   `json:"model,omitempty"`
	Adapter   string   `json:"adapter,omitempty"`
	Once      bool     `json:"once,omitempty"`   // the call must not be run twice
	Resume    bool     `json:"resume,omitempty"` // reattach to the output of an attempt that already runs
}

// CallResult is the result of a successful call.
type CallResult struct {
	Output []byte   `json:"output,omitempty"`
	Length int      `json:"length"` // bytes of the complete output
	Stream bool     `json:"stream"` // the output was streamed and Output is empty
	Use    core.Use `json:"use"`
}

// CallError describes a failed call.
type CallError struct {
	Failure           core.Failure
	Message           string
	ConnectionRefused bool // no process listens at the server's address
	// RetryAfter is for how long the server wants no calls from this box, 0 if it named no time. It is set with the
	// failure Busy only.
	RetryAfter time.Duration
}

// Error implements error.
func (e *CallError) Error() string { return e.Failure.String() + ": " + e.Message }

// BoxList is the platform's list of boxes. Revision increases with each change.
type BoxList struct {
	Revision uint64           `json:"revision" msgpack:"r"`
	Boxes    []core.ListedBox `json:"boxes" msgpack:"b"`
}

// Backends are the calls that a box makes to backend servers.
type Backends struct {
	// Call runs one attempt; emit receives the pieces of a streamed output in order.
	Call func(ctx context.Context, b *config.BackendServer, r CallRequest, emit func(offset int, data []byte)) (CallResult, *CallError)
	// Stop cancels an attempt, which may have ended already.
	Stop func(ctx context.Context, b *config.BackendServer, attempt string)
	// Load fetches the server's load report.
	Load func(ctx context.Context, b *config.BackendServer) (core.Report, error)
	// Events fetches the cache events after a sequence number.
	Events func(ctx context.Context, b *config.BackendServer, after uint64) ([]core.CacheEvent, error)
	// Order sends an order with a fencing token, for example to load a model.
	Order func(ctx context.Context, b *config.BackendServer, o core.Order) error
}

// Platform reads what the platform publishes.
type Platform struct {
	// Config reads the published configuration.
	Config func(ctx context.Context) ([]byte, error)
	// Boxes reads the box list.
	Boxes func(ctx context.Context) (BoxList, error)
}

// Peers are the messages that a box sends to other boxes.
type Peers struct {
	// Beat sends a heartbeat without waiting; it may be lost.
	Beat func(address string, b core.Beat)
	// Batch sends a message about batched work without waiting; it may be lost.
	Batch func(address string, m batch.Message)
	// Ask sends a question and waits for its answer. The error is a NotConnectedError if no byte was sent.
	Ask func(ctx context.Context, address string, q Question) (Answer, error)
	// Forward sends a request to the box that must run it; emit receives the events of its answer.
	Forward func(ctx context.Context, address string, f Forward, emit func(ForwardEvent)) error
	// Tunnel opens a connection to a backend server that the box at an address carries. The error is a TunnelError if that
	// box answered that it does not.
	Tunnel func(ctx context.Context, address string, t Tunnel) (net.Conn, error)
}

// NotConnectedError is the error of a message of which no byte was sent, so that the other box cannot have acted on it.
type NotConnectedError struct{ Cause error }

// Error implements error.
func (e *NotConnectedError) Error() string { return "not connected: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotConnectedError) Unwrap() error { return e.Cause }

// Forward passes a request on to the box that must run it or, if Attach is set, reattaches to the answer of a request
// at the box that holds it.
type Forward struct {
	From      core.BoxID    `msgpack:"f"`
	Attach    bool          `msgpack:"t"`
	Key       core.Key      `msgpack:"k"`
	Holder    core.BoxID    `msgpack:"h"` // the intended incarnation; zero for a key made by the caller
	Workspace string        `msgpack:"w"`
	Pipeline  string        `msgpack:"p"`
	Input     []byte        `msgpack:"i"`
	Offset    int           `msgpack:"o"`
	TimeLeft  time.Duration `msgpack:"d"`
	MaxTokens int           `msgpack:"m"`
}

// ForwardEvent is one event in the answer to a Forward; exactly one field is set.
type ForwardEvent struct {
	Accepted *Accepted `msgpack:"a"`
	Chunk    *Chunk    `msgpack:"c"`
	End      *End      `msgpack:"e"`
}

// Accepted reports that a request runs, how to reattach to it, and the version of the configuration it runs under.
type Accepted struct {
	Token         core.AttachToken `msgpack:"t"`
	ConfigVersion uint64           `msgpack:"v"`
}

// Chunk is a piece of the answer at a byte offset.
type Chunk struct {
	Offset int    `msgpack:"o"`
	Data   []byte `msgpack:"d"`
}

// End completes the answer. If Err is nil, the answer is complete and has Length bytes.
type End struct {
	Err       *code.Error     `msgpack:"e"`
	MayRepeat bool            `msgpack:"m"`
	Length    int             `msgpack:"l"`
	Uses      []core.StageUse `msgpack:"u"`
}

// InterruptedError is the error of an answer from another box that was only received in part.
type InterruptedError struct {
	Got, Want int // in bytes
	Cause     error
}

// Error implements error.
func (e *InterruptedError) Error() string {
	return fmt.Sprintf("received %d of %d bytes: %v", e.Got, e.Want, e.Cause)
}

// Unwrap returns the cause.
func (e *InterruptedError) Unwrap() error { return e.Cause }

// Question is a request from one box to another; exactly one field is set.
type Question struct {
	Pull     *Pull          `msgpack:"p"`
	Renounce *Renounce      `msgpack:"r"`
	Cancel   *Cancel        `msgpack:"c"`
	Handover *Handover      `msgpack:"h"`
	Versions *Versions      `msgpack:"v"`
	Publish  *PullPublished `msgpack:"b"`
	Suspects *Suspects      `msgpack:"s,omitempty"`
	Permits  *AskPermits    `msgpack:"l,omitempty"`

	Refusal   *returning.Refusal `msgpack:"rf,omitempty"`
	Returning *returning.Query   `msgpack:"rq,omitempty"`
	Place     *AskPlace          `msgpack:"pl,omitempty"`
	Streams   *resume.Question   `msgpack:"st,omitempty"`
	Retry     *retry.Request     `msgpack:"ry,omitempty"`
}

// Answer is the response to a Question: the field that belongs to the question's is set, or Err.
type Answer struct {
	Pull      *Pulled     `msgpack:"p"`
	Renounced bool        `msgpack:"r"`
	Cancelled bool        `msgpack:"c"`
	Taken     bool        `msgpack:"h"`
	Versions  *Versions   `msgpack:"v"`
	Publish   *Published  `msgpack:"b"`
	Suspects  *Suspects   `msgpack:"s,omitempty"`
	Permits   *Permits    `msgpack:"l,omitempty"`
	Err       *code.Error `msgpack:"e"`

	Refusal   *Receipt          `msgpack:"rf,omitempty"`
	Returning *returning.Record `msgpack:"rq,omitempty"`
	Place     *Place            `msgpack:"pl,omitempty"`
	Streams   *resume.Answer    `msgpack:"st,omitempty"`
	Retry     *retry.Loan       `msgpack:"ry,omitempty"`
}

// Receipt is a registrar's answer to the report of a refusal.
type Receipt struct {
	Recorded bool `msgpack:"r"`
}

// Names of the documents that boxes pull from each other.
const (
	DocumentConfig = "config"
	DocumentList   = "list"
)

// Pull asks for a version of a document. HaveDigest is the digest of the version that the asker has, to which the
// answer may be a difference.
type Pull struct {
	Document   string `msgpack:"o"`
	Version    uint64 `msgpack:"v"`
	Digest     string `msgpack:"d"`
	HaveDigest string `msgpack:"h"`
}

// Pulled is a compressed document (package pack). If Base is not "", it is the difference to the document with that
// digest.
type Pulled struct {
	Version uint64 `msgpack:"v"`
	Digest  string `msgpack:"d"`
	Base    string `msgpack:"b"`
	Packed  []byte `msgpack:"p"`
}

// Renounce asks a box to confirm that a request key never ran there and never will.
type Renounce struct {
	Key core.Key `msgpack:"k"`
	// For is the stopped incarnation on whose behalf its successor is asked.
	For core.BoxID `msgpack:"f"`
}

// Cancel asks the box that runs a request to stop it.
type Cancel struct {
	Key       core.Key   `msgpack:"k"`
	Holder    core.BoxID `msgpack:"h"`
	Workspace string     `msgpack:"w"`
}

// Handover transfers the records of completed requests from a stopping box to its successor. Last marks the final
// message.
type Handover struct {
	From    core.BoxID    `msgpack:"f"`
	Records []core.Record `msgpack:"r"`
	Last    bool          `msgpack:"l"`
}

// Suspects reports request contents during which servers ended to the box that counts them. The answer contains what
// that box knows of these contents.
type Suspects struct {
	From  string         `msgpack:"f"`
	Notes []crasher.Note `msgpack:"n"`
}

// AskPermits asks the coordinator of a rate-limited server for permits to send requests to it (package quota).
type AskPermits struct {
	From     string         `msgpack:"f"`
	Pool     string         `msgpack:"p"`
	Limit    core.LimitNote `msgpack:"l"`           // as known to the asker
	Known    time.Duration  `msgpack:"k"`           // for how long the asker has known the limit
	Patience time.Duration  `msgpack:"w"`           // within which the first permit must become valid
	Wants    int            `msgpack:"n"`           // number of permits
	Passed   []string       `msgpack:"o,omitempty"` // boxes that come before the coordinator but do not support limits
	Silent   string         `msgpack:"s,omitempty"` // the regular coordinator, if it did not answer
}

// Permits are the permits granted by a coordinator.
type Permits struct {
	Coordinator string         `msgpack:"k,omitempty"` // the box that coordinates the server, if it is another one
	N           int            `msgpack:"n"`
	Begin       time.Duration  `msgpack:"b"` // until they become valid
	Next        time.Duration  `msgpack:"x"` // until the asker has to ask again
	Limit       core.LimitNote `msgpack:"l"` // as known to the coordinator
}

// Versions are the versions of the configuration and the box list that a box has.
type Versions struct {
	Config core.Statement `msgpack:"c"`
	List   core.Statement `msgpack:"l"`
}

// PullPublished asks for a document that the platform publishes for gateways: DocumentConfig for the catalog,
// DocumentServers for the list of backend servers.
type PullPublished struct {
	Document string   `msgpack:"o"`
	From     string   `msgpack:"f,omitempty"` // the asker, for logs
	Held     []string `msgpack:"h,omitempty"` // digests of versions that the asker has or had, newest first
	// Offset is how many bytes of the compressed document with checksum Sum the asker already has.
	Offset int    `msgpack:"n,omitempty"`
	Sum    uint64 `msgpack:"u,omitempty"`
}

// DocumentServers is the name of the list of backend servers.
const DocumentServers = "servers"

// Published answers a PullPublished: a document as of a revision of the platform's store, a part of it, or Busy.
type Published struct {
	AsOf    uint64           `msgpack:"a"`
	Digest  string           `msgpack:"d"`
	Servers []catalog.Server `msgpack:"s"`
	// Since is set if the answer is only the difference to a list that the asker has or had.
	Since *catalog.Difference `msgpack:"i"`
	Base  string              `msgpack:"b"` // digest that a difference applies to, "" for a complete document
	Part  *Part               `msgpack:"p,omitempty"`
	Busy  *Busy               `msgpack:"y,omitempty"`
	Era   uint64              `msgpack:"e,omitempty"` // era of the store that AsOf and the servers' revisions belong to, 0 if unknown to the sender
	Built bool                `msgpack:"w,omitempty"` // the sender's release knows servers' builds; older releases omit them
}

// EachServer calls do for each server entry of the document.
func (d *Published) EachServer(do func(s *catalog.Server)) {
	for i := range d.Servers {
		do(&d.Servers[i])
	}
	if d.Since == nil {
		return
	}
	for i := range d.Since.Put {
		do(&d.Since.Put[i])
	}
}

// Part is a range of a compressed catalog (package pack).
type Part struct {
	Bytes  []byte `msgpack:"b"`
	Offset int    `msgpack:"n"`
	Size   int    `msgpack:"z"` // of the complete compressed document, in bytes
	Sum    uint64 `msgpack:"u"` // checksum of the complete compressed document
}

// Busy says that a box cannot send a document now because other transfers use up its link.
type Busy struct {
	For     time.Duration `msgpack:"f"` // until it accepts further requests
	Holders []string      `msgpack:"h"` // boxes that recently got the same document from it
}
