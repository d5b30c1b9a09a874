package box

import (
	"context"
	"errors"
	"time"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// Parameters of forwarding requests that must run at most once.
const (
	forwardRetryDelay = 100 * time.Millisecond // delay before retrying after a connection broke
	renounceTimeout   = time.Second            // timeout for the confirmations of all boxes that a key never ran
	homeRetryAfter    = 500 * time.Millisecond // retry-after time for callers if the home box can't be reached
)

// runOnce runs a request that must run at most once, or forwards it to the one box incarnation that may run it.
func (b *Box) runOnce(ctx context.Context, q *checkedRequest, emit Emit) error {
	if e := b.entryOf(q.key); e != nil {
		if e.Renounced() && !q.key.IsTicket() {
			return emit(b.homeUnsettled(ctx, q, e.Err()))
		}
		return b.runLocally(ctx, q, emit)
	}
	if q.key.IsTicket() {
		return b.runTicket(ctx, q, emit)
	}
	h := b.docs.homeOf(q.key, q.workspace.Name())
	switch {
	case h.Me:
		return b.runLocally(ctx, q, emit)
	case h.Err != nil:
		return emit(b.homeUnsettled(ctx, q, h.Err))
	}
	return b.forwardHome(ctx, q, h.Box, core.BoxID{}, emit)
}

// inLedger reports whether the key is in this box's ledger, whichever box is its home now.
func (b *Box) inLedger(k core.Key) bool { return b.entryOf(k) != nil }

// entryOf returns a copy of the ledger entry of a key, or nil.
func (b *Box) entryOf(k core.Key) *core.Entry {
	s := b.shardOf(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.ledger.Find(k); e != nil && e.Key() == k {
		found := *e
		return &found
	}
	return nil
}

// runTicket runs a request with a ticket if this incarnation issued the ticket, and otherwise forwards it to
// the issuer.
func (b *Box) runTicket(ctx context.Context, q *checkedRequest, emit Emit) error {
	if age := b.wall().Sub(q.key.CreatedAt()); age > time.Duration(b.Settings.AtMostOnce.LedgerKeep) {
		return emit(refusal(code.New(code.KeyExpired, "key", "issued %s ago, longer than outcomes are kept", age.Round(time.Second))))
	}
	if q.key.Issuer == b.ID {
		return b.runLocally(ctx, q, emit)
	}
	if b.importedLedgers.has(q.key.Issuer) {
		return emit(b.unusedTicket(q.key))
	}
	return b.forwardHome(ctx, q, q.key.Issuer.Name, q.key.Issuer, emit)
}

// unusedTicket answers a request with a ticket of a stopped incarnation whose complete ledger this box took
// over and which does not contain the ticket: the request never ran and never will.
func (b *Box) unusedTicket(k core.Key) port.ForwardEvent {
	s := b.shardOf(k)
	s.mu.Lock()
	promised := s.ledger.Renounce(b.now(), k)
	s.mu.Unlock()
	err := code.New(code.TicketHolderGone, "key", "box %s was shut down before the ticket was used", k.Issuer)
	if promised {
		err = err.WithRan(code.RanNo)
	}
	return refusal(err)
}

// forwardHome forwards a request to the box that may run it. After a broken connection it forwards the same
// key again, which is safe since that box runs the key at most once.
func (b *Box) forwardHome(ctx context.Context, q *checkedRequest, name string, holder core.BoxID, emit Emit) error {
	f := port.Forward{
		From: b.ID, Key: q.key, Holder: holder, Workspace: q.workspace.Name(), Pipeline: q.pipeline.Name(),
		Input: q.input, MaxTokens: q.maxTokens, Offset: q.offset,
	}
	reached := false
	for {
		address, domain := b.fleet.locate(name, holder)
		if address == "" {
			return emit(b.holderGone(q.key, name, holder))
		}
		if domain != "" && !config.MayEnter(q.workspace, q.conf.DomainIndex(domain)) {
			return emit(refusal(code.New(code.BoxOutsideBoundary, "workspace", "home box %s is outside the boundary of the workspace", name).WithRan(code.RanUnknown)))
		}
		f.TimeLeft = q.deadline.Sub(b.now())
		if f.TimeLeft <= 0 {
			return emit(refusal(code.New(code.OutcomeUnknown, "", "deadline exceeded while box %s was unreachable", name)))
		}
		end, err := b.forwardOnce(ctx, address, &f, emit)
		if end != nil {
			return emit(b.proveNotRun(ctx, q, *end))
		}
		if err == nil || ctx.Err() != nil {
			return ctx.Err()
		}
		var never *port.NotConnectedError
		if errors.As(err, &never) && !reached {
			return emit(refusal(code.New(code.HomeUnreachable, "key", "box %s can't be reached from here", name).WithRetryAfter(homeRetryAfter)))
		}
		reached = true
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(forwardRetryDelay):
		}
	}
}

// forwardOnce forwards a request once and emits its events, except the end event, which it returns.
func (b *Box) forwardOnce(ctx context.Context, address string, f *port.Forward, emit Emit) (*port.End, error) {
	ctx, cancel := context.WithTimeout(ctx, f.TimeLeft+core.OnceGrace)
	defer cancel()
	var end *port.End
	var gone error
	err := b.Peers.Forward(ctx, address, *f, func(e port.ForwardEvent) {
		switch {
		case gone != nil:
		case e.End != nil:
			end = e.End
		case e.Chunk != nil && e.Chunk.Offset != f.Offset:
			gone = code.New(code.FrameInvalid, "frame", "unexpected offset of an answer chunk")
			cancel()
		default:
			if e.Chunk != nil {
				f.Offset += len(e.Chunk.Data)
			}
			if gone = emit(e); gone != nil {
				cancel()
			}
		}
	})
	return end, err
}

// holderGone answers a request whose box is not a member, or has another incarnation now.
func (b *Box) holderGone(k core.Key, name string, holder core.BoxID) port.ForwardEvent {
	if holder.Incarnation == 0 {
		return refusal(code.New(code.HomeUnreachable, "key", "box %s is unknown", name).WithRetryAfter(homeRetryAfter))
	}
	return refusal(code.New(code.TicketHolderGone, "key", "box %s is gone", holder))
}

// proveNotRun turns another box's HOME_UNSETTLED into "not run" if that can be proved.
func (b *Box) proveNotRun(ctx context.Context, q *checkedRequest, end port.End) port.ForwardEvent {
	if end.Err == nil || end.Err.Code != code.HomeUnsettled || end.Err.DidRun() != code.RanUnknown {
		return port.ForwardEvent{End: &end}
	}
	return b.homeUnsettled(ctx, q, end.Err)
}

// homeUnsettled answers a request for which no box can prove to be the home. If all boxes that might consider
// themselves the home promise that the key never ran and never will, the answer is "not run".
func (b *Box) homeUnsettled(ctx context.Context, q *checkedRequest, err *code.Error) port.ForwardEvent {
	if err.Code != code.HomeUnsettled {
		return refusal(err)
	}
	names, ok := b.docs.possibleHomes(q.key, q.workspace.Name())
	if !ok || !b.allRenounce(ctx, q.key, names) {
		return refusal(err)
	}
	return refusal(err.WithRan(code.RanNo))
}

// allRenounce reports whether all named boxes promise that a key never ran and never will.
func (b *Box) allRenounce(ctx context.Context, k core.Key, names []string) bool {
	ctx, cancel := context.WithTimeout(ctx, renounceTimeout)
	defer cancel()
	answers := make(chan bool, len(names))
	for _, n := range names {
		go func() { answers <- b.askRenounce(ctx, k, n) }()
	}
	all := true
	for range names {
		if !<-answers {
			all = false
		}
	}
	return all
}

func (b *Box) askRenounce(ctx context.Context, k core.Key, name string) bool {
	if name == b.ID.Name {
		return b.renounce(port.Renounce{Key: k})
	}
	address, _ := b.fleet.locate(name, core.BoxID{})
	if address == "" {
		return false
	}
	a, err := b.Peers.Ask(ctx, address, port.Question{Renounce: &port.Renounce{Key: k}})
	return err == nil && a.Renounced
}

// renounce records that a key never ran on this box and ensures that it never will. A box that started after the key was
// made can't vouch for its previous incarnation, unless it took over that one's ledger.
func (b *Box) renounce(r port.Renounce) bool {
	if r.Key.CreatedAt().Before(b.startedAt().Add(time.Duration(b.Settings.AtMostOnce.ClockSkew))) && !b.importedLedgers.hasName(b.ID.Name) {
		return false
	}
	s := b.shardOf(r.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Renounce(b.now(), r.Key)
}

// startedAt returns when this incarnation started.
func (b *Box) startedAt() time.Time { return time.Unix(0, int64(b.ID.Incarnation)) }

// serveForward serves a request or an attach that another box forwarded.
func (b *Box) serveForward(ctx context.Context, f port.Forward, emit Emit) error {
	if f.Attach {
		if !b.answersFor(f.Holder) {
			return emit(refusal(code.New(code.NotFound, "attach_token", "box %s is gone", f.Holder)))
		}
		return b.attachLocally(ctx, f.Workspace, core.AttachToken{Key: f.Key, Holder: f.Holder}, f.Offset, emit)
	}
	q, err := b.check(Request{Workspace: f.Workspace, Pipeline: f.Pipeline, Key: f.Key.String(), Input: f.Input, MaxTokens: f.MaxTokens})
	if err != nil {
		if err.DidRun() == code.RanNo && !b.renounce(port.Renounce{Key: f.Key}) {
			err = err.WithRan(code.RanUnknown)
		}
		return emit(refusal(err))
	}
	q.deadline = b.now().Add(f.TimeLeft)
	q.offset = f.Offset
	if b.inLedger(q.key) {
		return b.runLocally(ctx, q, emit)
	}
	if q.key.IsTicket() {
		return b.serveTicket(ctx, q, emit)
	}
	if h := b.docs.homeOf(q.key, q.workspace.Name()); !h.Me {
		if h.Err == nil {
			h.Err = code.New(code.HomeUnsettled, "key", "according to box %s the home of the key is box %s", b.ID.Name, h.Box)
		}
		return emit(refusal(h.Err))
	}
	return b.runLocally(ctx, q, emit)
}

// serveTicket serves a forwarded request with a ticket.
func (b *Box) serveTicket(ctx context.Context, q *checkedRequest, emit Emit) error {
	switch {
	case q.key.Issuer == b.ID:
		return b.runTicket(ctx, q, emit)
	case b.importedLedgers.has(q.key.Issuer):
		return emit(b.unusedTicket(q.key))
	}
	return emit(refusal(code.New(code.TicketHolderGone, "key", "box %s is gone", q.key.Issuer)))
}

// forwardTo forwards an attach to the box incarnation that holds the request.
func (b *Box) forwardTo(ctx context.Context, holder core.BoxID, f port.Forward, emit Emit) error {
	address, domain := b.fleet.locate(holder.Name, holder)
	if address == "" {
		return emit(refusal(code.New(code.NotFound, "attach_token", "box %s is gone", holder)))
	}
	c := b.Config()
	if w := c.Workspace(f.Workspace); w != nil && !config.MayEnter(w, c.DomainIndex(domain)) {
		return emit(refusal(code.New(code.BoxOutsideBoundary, "attach_token", "box %s is outside the boundary of the workspace", holder.Name).WithRan(code.RanUnknown)))
	}
	f.TimeLeft = config.LongestDeadline
	end, err := b.forwardOnce(ctx, address, &f, emit)
	if end != nil {
		return emit(port.ForwardEvent{End: end})
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	e := code.New(code.AnswerInterrupted, "attach_token", "connection to box %s was lost", holder.Name).WithRan(code.RanUnknown).WithRetryAfter(homeRetryAfter)
	if err == nil {
		return e
	}
	return emit(refusal(e))
}
