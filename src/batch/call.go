package batch

import (
	"strings"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/crasher"
)

// Item is one piece in a call.
type Item struct {
	Request   string
	Content   crasher.Key
	Stage     int
	Piece     int
	Remaining time.Duration
	Key       string
	Inputs    []string
}

// ItemResult is what a call gave for one item: a handle, or the reason why there is none.
type ItemResult struct {
	Handle string
	Reason ItemReason
}

// CountReasons counts the items that were not made, by reason.
func CountReasons(results []ItemResult) (late, gone, noRoom, failed int) {
	for _, r := range results {
		switch {
		case r.Handle != "":
		case r.Reason == ItemLate:
			late++
		case r.Reason == ItemGone:
			gone++
		case r.Reason == ItemNoRoom:
			noRoom++
		default:
			failed++
		}
	}
	return late, gone, noRoom, failed
}

// ItemReason says why a server did not make a piece.
type ItemReason uint8

// CallOutcome says how a call ended.
type CallOutcome uint8

// String names the outcome for logs.
func (o CallOutcome) String() string {
	switch o {
	case CallDone:
		return "done"
	case CallFull:
		return "full"
	case CallBroken:
		return "broken"
	case CallMoved:
		return "moved"
	case CallWithheld:
		return "withheld"
	case CallAbsent:
		return "absent"
	}
	return "unknown"
}

// Call is a call to be made; the shell reports its end by CallEnded.
type Call struct {
	N       uint64
	Server  catalog.Server
	Items   []Item
	Free    []string // results to give up at the server before the call
	Timeout time.Duration
}

// Requests names the requests whose pieces are in the call, each once, for logs.
func (c *Call) Requests() string {
	var b strings.Builder
	last := ""
	for _, i := range c.Items {
		if i.Request != last {
			last = i.Request
			b.WriteString(last + " ")
		}
	}
	return strings.TrimSpace(b.String())
}

// FreeCall gives up results at a server.
type FreeCall struct {
	Server  catalog.Server
	Handles []string
}

// Reply is a message to the owner of a job.
type Reply struct {
	Box     string
	Message Message
}

// Actions are what the shell must carry out.
type Actions struct {
	Calls   []Call
	Frees   []FreeCall
	Replies []Reply
}

// The reasons of servers.
const (
	ItemLate ItemReason = iota + 1
	ItemGone
	ItemNoRoom
	ItemError
)

// The ends of a call.
const (
	CallDone     CallOutcome = iota + 1
	CallFull                 // the server took nothing
	CallBroken               // connection, time-out or an answer that makes no sense
	CallMoved                // another server has the address
	CallWithheld             // nothing was sent: the server takes no new work any more
	CallAbsent               // nothing was sent: no process listens at the address
)
