package batch

import (
	"strings"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/crasher"
)

// Item is one piece of a job as it is sent in a call.
type Item struct {
	Request   string
	Content   crasher.Key
	Stage     int
	Piece     int
	Remaining time.Duration
	Key       string
	Inputs    []string
}

// ItemResult is the result of one item: a handle, or the reason for its failure.
type ItemResult struct {
	Handle string
	Reason ItemReason
}

// CountReasons counts the failed items by reason.
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

// Contents returns the distinct contents of the pieces of a call.
func (c *Call) Contents() []crasher.Key { return contentsOf(c.Items) }

// ContentsMade returns the distinct contents of which a call produced pieces.
func (c *Call) ContentsMade(results []ItemResult) []crasher.Key {
	var made []Item
	for i, r := range results[:min(len(results), len(c.Items))] {
		if r.Handle != "" {
			made = append(made, c.Items[i])
		}
	}
	return contentsOf(made)
}

func contentsOf(items []Item) []crasher.Key {
	var out []crasher.Key
	seen := map[crasher.Key]bool{}
	for _, it := range items {
		if !seen[it.Content] {
			seen[it.Content] = true
			out = append(out, it.Content)
		}
	}
	return out
}

// ItemReason is the reason why a server did not produce an item.
type ItemReason uint8

// CallOutcome is the outcome of a call.
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
	case CallUnreachable:
		return "unreachable"
	case CallAbsent:
		return "absent"
	}
	return "unknown"
}

// Call is a call to be made. The caller of the scheduler reports its end with CallEnded.
type Call struct {
	N       uint64
	Server  catalog.Server
	Items   []Item
	Free    []string // handles of results to free at the server before the call
	Timeout time.Duration
}

// Requests lists the requests with items in the call, separated by spaces, for logs.
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

// FreeCall asks a server to free results.
type FreeCall struct {
	Server  catalog.Server
	Handles []string
}

// Reply is a message to the box that owns a job.
type Reply struct {
	Box     string
	Message Message
}

// Actions are the calls and messages that the caller of the scheduler must send.
type Actions struct {
	Calls   []Call
	Frees   []FreeCall
	Replies []Reply
	Overdue []OverdueEvent // to be logged and counted
}

// add appends the actions of another step, which frees nothing.
func (a *Actions) add(b Actions) {
	a.Calls, a.Replies, a.Overdue = append(a.Calls, b.Calls...), append(a.Replies, b.Replies...), append(a.Overdue, b.Overdue...)
}

// Reasons of servers for not producing an item.
const (
	ItemLate ItemReason = iota + 1
	ItemGone
	ItemNoRoom
	ItemError
)

// Outcomes of a call.
const (
	CallDone        CallOutcome = iota + 1
	CallFull                    // the server accepted no items
	CallBroken                  // connection error, timeout or invalid response
	CallMoved                   // another server answers at the address
	CallWithheld                // not sent: the server no longer takes new work
	CallAbsent                  // not sent: no process listens at the address
	CallUnreachable             // not sent: no connection to the server could be opened
)
