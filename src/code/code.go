// Package code holds the numbered result codes that callers, operators and boxes share.
//
// Each code says whether anything of the request ran and whether coming back can help;
// docs/CODES.md is the same table for readers and a test keeps the two alike.
package code

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
)

// Ran says whether anything of a request ran.
type Ran uint8

// The three answers to "did it run?".
const (
	RanNo      Ran = iota + 1 // nothing ran under this key and nothing will
	RanUnknown                // it may have run
	RanYes                    // it ran, at least in part
)

// String gives the answer as the docs write it.
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

// Code is a numbered result.
type Code uint32

// Numbers are grouped: 1xxx input, 2xxx identity, 3xxx boundaries, 4xxx load and time,
// 5xxx backend servers, 6xxx at most once, 7xxx configuration, 8xxx the box itself.
const (
	OK Code = 0

	BadKey            Code = 1001
	BadDeadline       Code = 1002
	MessageTooLarge   Code = 1003
	UnknownPipeline   Code = 1004
	BadOffset         Code = 1005
	BadAttachToken    Code = 1006
	BadField          Code = 1007
	KeyReusedOtherway Code = 1008
	HeaderTooLarge    Code = 1009

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

	BackendFailed     Code = 5001
	BackendsDown      Code = 5002
	BackendRefused    Code = 5003
	AnswerInterrupted Code = 5004
	CrashesServers    Code = 5005
	BackendsResting   Code = 5006

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
	Ran     Ran        // what the code means unless an Error overrides it
	SameKey bool       // whether coming back with the same key can help
	GRPC    codes.Code // how the code shows to gRPC clients
	Meaning string
}

// Table lists every code, in order.
var Table = []Entry{
	{OK, "OK", RanYes, false, codes.OK, "The whole answer was delivered."},
	{BadKey, "BAD_KEY", RanNo, false, codes.InvalidArgument, "The key is neither a UUID version 7 nor a ticket, or a pipeline that may not be repeated came without one."},
	{BadDeadline, "BAD_DEADLINE", RanNo, false, codes.InvalidArgument, "The deadline is negative or longer than the pipeline allows."},
	{MessageTooLarge, "MESSAGE_TOO_LARGE", RanNo, false, codes.ResourceExhausted, "The input is longer than the pipeline or the box takes."},
	{UnknownPipeline, "UNKNOWN_PIPELINE", RanNo, false, codes.NotFound, "The configuration in force has no such pipeline, or the workspace may not use it."},
	{BadOffset, "BAD_OFFSET", RanYes, false, codes.OutOfRange, "The offset to attach at lies past the end of the answer."},
	{BadAttachToken, "BAD_ATTACH_TOKEN", RanUnknown, false, codes.InvalidArgument, "The attach token can't be read."},
	{BadField, "BAD_FIELD", RanNo, false, codes.InvalidArgument, "A field of the call is missing or out of range."},
	{KeyReusedOtherway, "KEY_REUSED", RanUnknown, false, codes.AlreadyExists, "The key was used before for another workspace, pipeline or input."},
	{HeaderTooLarge, "HEADER_TOO_LARGE", RanNo, false, codes.ResourceExhausted, "The header is longer than the configuration allows."},
	{Unauthenticated, "UNAUTHENTICATED", RanNo, false, codes.Unauthenticated, "No valid certificate or token came with the call."},
	{NotYourWorkspace, "NOT_YOUR_WORKSPACE", RanNo, false, codes.PermissionDenied, "The caller's credentials are bound to another workspace."},
	{UnknownWorkspace, "UNKNOWN_WORKSPACE", RanNo, false, codes.NotFound, "The configuration in force has no such workspace."},
	{NotAnOperator, "NOT_AN_OPERATOR", RanNo, false, codes.PermissionDenied, "The call needs an operator's credentials."},
	{BoxOutsideBoundary, "BOX_OUTSIDE_BOUNDARY", RanNo, false, codes.FailedPrecondition, "The workspace may not be entered in this box's failure domain."},
	{NowhereToRun, "NOWHERE_TO_RUN", RanNo, false, codes.FailedPrecondition, "No backend server inside the boundary serves a stage of the pipeline."},
	{BoundaryUnproven, "BOUNDARY_UNPROVEN", RanNo, true, codes.Unavailable, "The box can't confirm its configuration and the workspace asks to wait in that case."},
	{QueueFull, "QUEUE_FULL", RanNo, false, codes.ResourceExhausted, "The waiting room of the first stage is full."},
	{WorkspaceLimit, "WORKSPACE_LIMIT", RanNo, false, codes.ResourceExhausted, "The workspace is over its limit of requests."},
	{CannotFinish, "CANNOT_FINISH", RanNo, false, codes.ResourceExhausted, "The request could not finish by its deadline, so it was not begun."},
	{DeadlinePassed, "DEADLINE_PASSED", RanYes, false, codes.DeadlineExceeded, "The deadline passed, or could no longer be met, after part of the request had run."},
	{RetryBudgetSpent, "RETRY_BUDGET_SPENT", RanYes, false, codes.Unavailable, "A stage failed and its retry budget is spent."},
	{BackendFailed, "BACKEND_FAILED", RanYes, false, codes.Unavailable, "A stage failed on every backend server that was tried."},
	{BackendsDown, "BACKENDS_DOWN", RanNo, false, codes.Unavailable, "Every backend server inside the boundary is down or leaving."},
	{BackendRefused, "BACKEND_REFUSED", RanYes, false, codes.FailedPrecondition, "A backend server refused the call as wrong."},
	{AnswerInterrupted, "ANSWER_INTERRUPTED", RanYes, true, codes.Unavailable, "The answer stopped midway; attach again for the rest."},
	{CrashesServers, "CRASHES_SERVERS", RanNo, false, codes.FailedPrecondition, "Backend servers ended while they ran this content, one after another; it is not sent to a further one until the time given."},
	{BackendsResting, "BACKENDS_RESTING", RanNo, false, codes.Unavailable, "Every backend server that is left asked for rest, or takes no more requests, for longer than the request can wait."},
	{OutcomeUnknown, "OUTCOME_UNKNOWN", RanUnknown, false, codes.Aborted, "A call that may not be repeated was sent and its outcome is not known."},
	{HomeUnreachable, "HOME_UNREACHABLE", RanUnknown, true, codes.Unavailable, "The key's home could not be reached from this box; another copy may have reached it."},
	{HomeUnsettled, "HOME_UNSETTLED", RanUnknown, true, codes.Unavailable, "No box can prove to be the key's only home; take a ticket for new work."},
	{KeyExpired, "KEY_EXPIRED", RanUnknown, false, codes.OutOfRange, "The key is older than the ledger keeps."},
	{TicketHolderGone, "TICKET_HOLDER_GONE", RanUnknown, false, codes.Aborted, "The incarnation that issued the ticket is gone."},
	{KeyFromFuture, "KEY_FROM_FUTURE", RanUnknown, true, codes.InvalidArgument, "The key's time lies ahead of this box's clock by more than the allowed skew."},
	{NotFound, "NOT_FOUND", RanUnknown, false, codes.NotFound, "The box named by the attach token knows no such request any more."},
	{ConfigMalformed, "CONFIG_MALFORMED", RanNo, false, codes.InvalidArgument, "The configuration or settings are not TOML."},
	{ConfigUnknownKey, "CONFIG_UNKNOWN_KEY", RanNo, false, codes.InvalidArgument, "A key is unknown, misspelt perhaps."},
	{ConfigBadValue, "CONFIG_BAD_VALUE", RanNo, false, codes.InvalidArgument, "A value is missing or out of range."},
	{ConfigDangling, "CONFIG_DANGLING", RanNo, false, codes.InvalidArgument, "A name refers to nothing."},
	{ConfigNowhere, "CONFIG_NOWHERE", RanNo, false, codes.InvalidArgument, "A stage has no backend server inside a boundary that uses it."},
	{ConfigConflict, "CONFIG_CONFLICT", RanNo, false, codes.FailedPrecondition, "The version in force was published again with other content."},
	{ConfigOlder, "CONFIG_OLDER", RanNo, false, codes.FailedPrecondition, "The version is older than the one in force."},
	{ConfigTooLarge, "CONFIG_TOO_LARGE", RanNo, false, codes.ResourceExhausted, "The configuration is larger than a megabyte."},
	{Draining, "DRAINING", RanNo, false, codes.Unavailable, "The box is stopping as planned; come back at once and reach another."},
	{NotReady, "NOT_READY", RanNo, false, codes.Unavailable, "The box has no configuration in force yet."},
	{Cancelled, "CANCELLED", RanUnknown, false, codes.Canceled, "The caller cancelled the request."},
	{FrameInvalid, "FRAME_INVALID", RanUnknown, false, codes.Internal, "A message between boxes could not be read."},
	{PlatformFailed, "PLATFORM_FAILED", RanNo, false, codes.Unavailable, "The platform's service did not answer as published."},
	{Internal, "INTERNAL", RanUnknown, false, codes.Internal, "A defect; the log has the cause."},
}

var byCode = indexTable()

func indexTable() map[Code]Entry {
	m := make(map[Code]Entry, len(Table))
	for _, e := range Table {
		m[e.Code] = e
	}
	return m
}

// Entry gives the table's row; unknown numbers read as Internal.
func (c Code) Entry() Entry {
	if e, ok := byCode[c]; ok {
		return e
	}
	return byCode[Internal]
}

// String gives the code's name.
func (c Code) String() string { return c.Entry().Name }

// Error is a numbered result with its particulars.
type Error struct {
	Code       Code
	Ran        Ran // overrides the table when set
	Field      string
	Message    string
	RetryAfter time.Duration
}

// New makes an Error with a formatted message.
func New(c Code, field, format string, args ...any) *Error {
	return &Error{Code: c, Field: field, Message: fmt.Sprintf(format, args...)}
}

// After returns a copy that tells the caller when to come back.
func (e *Error) After(d time.Duration) *Error {
	n := *e
	n.RetryAfter = d
	return &n
}

// WithRan returns a copy that overrides what the table says about running.
func (e *Error) WithRan(r Ran) *Error {
	n := *e
	n.Ran = r
	return &n
}

// DidRun is the override or, without one, the table's answer.
func (e *Error) DidRun() Ran {
	if e.Ran != 0 {
		return e.Ran
	}
	return e.Code.Entry().Ran
}

// SameKey says whether the same key may help: an unknown outcome is asked again only so.
func (e *Error) SameKey() bool { return e.Code.Entry().SameKey }

// Error implements error without any request content.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%d %s: %s", e.Code, e.Code, e.Message)
	}
	return fmt.Sprintf("%d %s: %s: %s", e.Code, e.Code, e.Field, e.Message)
}

// Of finds the Error in a chain, or wraps a foreign error as Internal.
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
