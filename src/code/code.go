// Package code defines the numbered result codes shared by callers, operators and boxes.
//
// Each code tells whether any part of the request ran and whether a retry can help. docs/CODES.md has the
// same table; a test keeps both in step.
package code

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
)

// Ran tells whether any part of a request ran.
type Ran uint8

// Values of Ran.
const (
	RanNo      Ran = iota + 1 // nothing ran or will run under this key
	RanUnknown                // some of it may have run
	RanYes                    // at least part of it ran
)

// String returns the value as documented.
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanUnknown:
		return "unknown"
	case RanYes:
		return "yes"
	}
	return "unspecified"
}

// Code is the number of a result.
type Code uint32

// Result codes by group: 1xxx input, 2xxx identity, 3xxx boundaries, 4xxx load and time, 5xxx backend
// servers, 6xxx at-most-once, 7xxx configuration, 8xxx the box itself.
const (
	OK Code = 0

	BadKey          Code = 1001
	BadDeadline     Code = 1002
	MessageTooLarge Code = 1003
	UnknownPipeline Code = 1004
	BadOffset       Code = 1005
	BadAttachToken  Code = 1006
	BadField        Code = 1007
	KeyReused       Code = 1008
	HeaderTooLarge  Code = 1009
	BodyTimeout     Code = 1010

	Unauthenticated  Code = 2001
	NotYourWorkspace Code = 2002
	UnknownWorkspace Code = 2003
	NotAnOperator    Code = 2004

	BoxOutsideBoundary Code = 3001
	NowhereToRun       Code = 3002
	BoundaryUnproven   Code = 3003

	QueueFull        Code = 4001
	WorkspaceLimit   Code = 4002
	CannotFinish     Code = 4003
	DeadlinePassed   Code = 4004
	RetryBudgetSpent Code = 4005
	MemoryFull       Code = 4006

	BackendFailed     Code = 5001
	BackendsDown      Code = 5002
	BackendRefused    Code = 5003
	AnswerInterrupted Code = 5004
	CrashesServers    Code = 5005
	BackendsResting   Code = 5006
	CannotResume      Code = 5007

	OutcomeUnknown   Code = 6001
	HomeUnreachable  Code = 6002
	HomeUnsettled    Code = 6003
	KeyExpired       Code = 6004
	TicketHolderGone Code = 6005
	KeyFromFuture    Code = 6006
	NotFound         Code = 6007

	ConfigMalformed  Code = 7001
	ConfigUnknownKey Code = 7002
	ConfigBadValue   Code = 7003
	ConfigDangling   Code = 7004
	ConfigNowhere    Code = 7005
	ConfigConflict   Code = 7006
	ConfigOlder      Code = 7007
	ConfigTooLarge   Code = 7008

	Draining       Code = 8001
	NotReady       Code = 8002
	Cancelled      Code = 8003
	FrameInvalid   Code = 8004
	PlatformFailed Code = 8005
	Internal       Code = 8099
)

// Entry is one row of the table.
type Entry struct {
	Code    Code
	Name    string
	Ran     Ran        // default, an Error may override it
	SameKey bool       // whether a retry with the same key can help
	GRPC    codes.Code // status for gRPC clients
	Meaning string
}

// Table lists all codes in ascending order.
var Table = []Entry{
	{OK, "OK", RanYes, false, codes.OK, "The whole answer was delivered."},
	{BadKey, "BAD_KEY", RanNo, false, codes.InvalidArgument, "The key is neither a UUID version 7 nor a ticket, or it is missing for a pipeline that must not be repeated."},
	{BadDeadline, "BAD_DEADLINE", RanNo, false, codes.InvalidArgument, "The deadline is negative or longer than the pipeline allows."},
	{MessageTooLarge, "MESSAGE_TOO_LARGE", RanNo, false, codes.ResourceExhausted, "The input exceeds the limit of the pipeline or the box."},
	{UnknownPipeline, "UNKNOWN_PIPELINE", RanNo, false, codes.NotFound, "The configuration in force has no such pipeline, or the workspace may not use it."},
	{BadOffset, "BAD_OFFSET", RanYes, false, codes.OutOfRange, "The offset to attach at is beyond the end of the answer."},
	{BadAttachToken, "BAD_ATTACH_TOKEN", RanUnknown, false, codes.InvalidArgument, "The attach token is malformed."},
	{BadField, "BAD_FIELD", RanNo, false, codes.InvalidArgument, "A field of the request is missing or out of range."},
	{KeyReused, "KEY_REUSED", RanUnknown, false, codes.AlreadyExists, "The key was used before for another workspace, pipeline or input."},
	{HeaderTooLarge, "HEADER_TOO_LARGE", RanNo, false, codes.ResourceExhausted, "The header is longer than the configuration allows."},
	{BodyTimeout, "BODY_TIMEOUT", RanNo, false, codes.DeadlineExceeded, "The body of the request did not arrive within the time that the request has."},
	{Unauthenticated, "UNAUTHENTICATED", RanNo, false, codes.Unauthenticated, "The call has no valid certificate or token."},
	{NotYourWorkspace, "NOT_YOUR_WORKSPACE", RanNo, false, codes.PermissionDenied, "The caller's credentials are bound to another workspace."},
	{UnknownWorkspace, "UNKNOWN_WORKSPACE", RanNo, false, codes.NotFound, "The configuration in force has no such workspace."},
	{NotAnOperator, "NOT_AN_OPERATOR", RanNo, false, codes.PermissionDenied, "The call needs an operator's credentials."},
	{BoxOutsideBoundary, "BOX_OUTSIDE_BOUNDARY", RanNo, false, codes.FailedPrecondition, "The workspace does not admit requests in this box's failure domain."},
	{NowhereToRun, "NOWHERE_TO_RUN", RanNo, false, codes.FailedPrecondition, "No backend server inside the boundary serves a stage of the pipeline."},
	{BoundaryUnproven, "BOUNDARY_UNPROVEN", RanNo, true, codes.Unavailable, "The box can't confirm its configuration and the workspace requires a confirmed one."},
	{QueueFull, "QUEUE_FULL", RanNo, false, codes.ResourceExhausted, "The queue of the first stage is full."},
	{WorkspaceLimit, "WORKSPACE_LIMIT", RanNo, false, codes.ResourceExhausted, "The workspace has reached its limit of concurrent requests."},
	{CannotFinish, "CANNOT_FINISH", RanNo, false, codes.ResourceExhausted, "The request could not finish by its deadline, so it was not started."},
	{DeadlinePassed, "DEADLINE_PASSED", RanYes, false, codes.DeadlineExceeded, "The deadline passed, or could no longer be met, after part of the request had run."},
	{RetryBudgetSpent, "RETRY_BUDGET_SPENT", RanYes, false, codes.Unavailable, "A stage failed and its retry budget is exhausted."},
	{MemoryFull, "MEMORY_FULL", RanNo, false, codes.ResourceExhausted, "The box has no memory for the body of the request."},
	{BackendFailed, "BACKEND_FAILED", RanYes, false, codes.Unavailable, "A stage failed on every backend server that was tried."},
	{BackendsDown, "BACKENDS_DOWN", RanNo, false, codes.Unavailable, "Every backend server inside the boundary is down or leaving."},
	{BackendRefused, "BACKEND_REFUSED", RanYes, false, codes.FailedPrecondition, "A backend server rejected the call as invalid."},
	{AnswerInterrupted, "ANSWER_INTERRUPTED", RanYes, true, codes.Unavailable, "The answer stopped midway; attach again for the rest."},
	{CrashesServers, "CRASHES_SERVERS", RanNo, false, codes.FailedPrecondition, "Several backend servers in a row crashed while running this content; it is not sent to another one before retry_after."},
	{BackendsResting, "BACKENDS_RESTING", RanNo, false, codes.Unavailable, "Every available backend server is in its Retry-After period or at its rate limit for longer than the request can wait."},
	{CannotResume, "CANNOT_RESUME", RanNo, false, codes.FailedPrecondition, "The stream can't go on: no backend server of the build that began it is left, or no box knows which that was. Begin it anew."},
	{OutcomeUnknown, "OUTCOME_UNKNOWN", RanUnknown, false, codes.Aborted, "A call that must not be repeated was sent and its outcome is unknown."},
	{HomeUnreachable, "HOME_UNREACHABLE", RanUnknown, true, codes.Unavailable, "The key's home could not be reached from this box; another copy may have reached it."},
	{HomeUnsettled, "HOME_UNSETTLED", RanUnknown, true, codes.Unavailable, "No box can prove that it is the only home of the key; use a ticket for new requests."},
	{KeyExpired, "KEY_EXPIRED", RanUnknown, false, codes.OutOfRange, "The key is older than the retention time of the ledger."},
	{TicketHolderGone, "TICKET_HOLDER_GONE", RanUnknown, false, codes.Aborted, "The box incarnation that issued the ticket no longer exists."},
	{KeyFromFuture, "KEY_FROM_FUTURE", RanUnknown, true, codes.InvalidArgument, "The timestamp in the key is ahead of this box's clock by more than the allowed skew."},
	{NotFound, "NOT_FOUND", RanUnknown, false, codes.NotFound, "The box named in the attach token no longer has the request."},
	{ConfigMalformed, "CONFIG_MALFORMED", RanNo, false, codes.InvalidArgument, "The configuration or settings are not valid TOML."},
	{ConfigUnknownKey, "CONFIG_UNKNOWN_KEY", RanNo, false, codes.InvalidArgument, "A key is unknown, perhaps misspelled."},
	{ConfigBadValue, "CONFIG_BAD_VALUE", RanNo, false, codes.InvalidArgument, "A value is missing or out of range."},
	{ConfigDangling, "CONFIG_DANGLING", RanNo, false, codes.InvalidArgument, "A name refers to something that is not defined."},
	{ConfigNowhere, "CONFIG_NOWHERE", RanNo, false, codes.InvalidArgument, "A stage has no backend server within the boundary of a workspace that uses it."},
	{ConfigConflict, "CONFIG_CONFLICT", RanNo, false, codes.FailedPrecondition, "The version in force was published again with different content."},
	{ConfigOlder, "CONFIG_OLDER", RanNo, false, codes.FailedPrecondition, "The version is older than the one in force."},
	{ConfigTooLarge, "CONFIG_TOO_LARGE", RanNo, false, codes.ResourceExhausted, "The configuration is larger than a megabyte."},
	{Draining, "DRAINING", RanNo, false, codes.Unavailable, "The box is shutting down gracefully; retry at once to reach another."},
	{NotReady, "NOT_READY", RanNo, false, codes.Unavailable, "The box has no configuration in force yet."},
	{Cancelled, "CANCELLED", RanUnknown, false, codes.Canceled, "The caller cancelled the request."},
	{FrameInvalid, "FRAME_INVALID", RanUnknown, false, codes.Internal, "A message between boxes could not be decoded."},
	{PlatformFailed, "PLATFORM_FAILED", RanNo, false, codes.Unavailable, "The platform's service did not answer as specified."},
	{Internal, "INTERNAL", RanUnknown, false, codes.Internal, "An internal error; the log has the cause."},
}

// byCode indexes Table.
var byCode = indexTable()

func indexTable() map[Code]Entry {
	m := make(map[Code]Entry, len(Table))
	for _, e := range Table {
		m[e.Code] = e
	}
	return m
}

// Entry returns the row of the table. Unknown codes are treated as Internal.
func (c Code) Entry() Entry {
	if e, ok := byCode[c]; ok {
		return e
	}
	return byCode[Internal]
}

// String returns the name of the code.
func (c Code) String() string { return c.Entry().Name }

// Error is a result code with details.
type Error struct {
	Code       Code
	Ran        Ran    // overrides the table if not 0
	Field      string // the invalid field, if any
	Message    string
	RetryAfter time.Duration // 0 if unknown
}

// New returns an Error with a formatted message.
func New(c Code, field, format string, args ...any) *Error {
	return &Error{Code: c, Field: field, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy with the time after which the caller may retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	n := *e
	n.RetryAfter = d
	return &n
}

// WithRan returns a copy that overrides the table's value of Ran.
func (e *Error) WithRan(r Ran) *Error {
	n := *e
	n.Ran = r
	return &n
}

// DidRun returns whether the request ran: the override if set, otherwise the value in the table.
func (e *Error) DidRun() Ran {
	if e.Ran != 0 {
		return e.Ran
	}
	return e.Code.Entry().Ran
}

// SameKey reports whether a retry with the same key can help. An unknown outcome can be queried only with the
// same key.
func (e *Error) SameKey() bool { return e.Code.Entry().SameKey }

// Error formats the code, field and message. It never contains request content.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%d %s: %s", e.Code, e.Code, e.Message)
	}
	return fmt.Sprintf("%d %s: %s: %s", e.Code, e.Code, e.Field, e.Message)
}

// Of returns the first Error in the chain of err, or wraps err as Internal.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "", "%v", err)
}
