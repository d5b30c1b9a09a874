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

// The forwarding of requests that may not be repeated.
const (
	forwardPause  = 100 * time.Millisecond // between tries after an answer broke off
	renounceWait  = time.Second            // for all promises that a key never ran
	comeBackAfter = 500 * time.Millisecond // when a home can't be reached
)

// runOnce brings a request that may not be repeated to the one incarnation that may run it.
func (b *Box) runOnce(ctx context.Context, q *asked, emit Emit) error {
	if e := b.entryOf(q.key); e != nil {
		if e.Renounced() && !q.key.Ticket() {
			return emit(b.unsettled(ctx, q, e.Err()))
		}
		return b.runHere(ctx, q, emit)
	}
	if q.key.Ticket() {
		return b.runTicket(ctx, q, emit)
	}
	h := b.docs.judge(q.key, q.workspace.Name())
	switch {
	case h.Me:
		return b.runHere(ctx, q, emit)
	case h.Err != nil:
		return emit(b.unsettled(ctx, q, h.Err))
	}
	return b.forwardHome(ctx, q, h.Box, core.BoxID{}, emit)
}

// known says whether the key is in this box's ledger, whoever ranks first now.
func (b *Box) known(k core.Key) bool { return b.entryOf(k) != nil }

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

// runTicket runs a ticket if this incarnation issued it, and otherwise takes it there.
func (b *Box) runTicket(ctx context.Context, q *asked, emit Emit) error {
	if age := b.wall().Sub(q.key.Minted()); age > time.Duration(b.Settings.AtMostOnce.LedgerKeep) {
		return emit(refusal(code.New(code.KeyExpired, "key", "issued %s ago, longer than outcomes are kept", age.Round(time.Second))))
	}
	if q.key.Issuer == b.ID {
		return b.runHere(ctx, q, emit)
	}
	if b.imported.has(q.key.Issuer) {
		return emit(b.neverSpent(q.key))
	}
	return b.forwardHome(ctx, q, q.key.Issuer.Name, q.key.Issuer, emit)
}

// neverSpent answers a ticket of a closed incarnation whose whole ledger is here and has no such
// ticket: it never ran, and now never will.
func (b *Box) neverSpent(k core.Key) port.ForwardEvent {
	s := b.shardOf(k)
	s.mu.Lock()
	promised := s.ledger.Renounce(b.now(), k)
	s.mu.Unlock()
	err := code.New(code.TicketHolderGone, "key", "box %s stopped as planned before the ticket was used", k.Issuer)
	if promised {
		err = err.WithRan(code.RanNo)
	}
	return refusal(err)
}

// forwardHome forwards a request to the box that may run it. The same key can be forwarded again
// after a broken answer, since that box runs it once.
func (b *Box) forwardHome(ctx context.Context, q *asked, name string, holder core.BoxID, emit Emit) error {
	f := port.Forward{
		From: b.ID, Key: q.key, Holder: holder, Workspace: q.workspace.Name(), Pipeline: q.pipeline.Name(),
		Input: q.input, MaxTokens: q.maxTokens, Offset: q.offset,
	}
	reached := false
	for {
		address, domain := b.fleet.find(name, holder)
		if address == "" {
			return emit(b.holderGone(q.key, name, holder))
		}
		if domain != "" && !config.MayEnter(q.workspace, q.conf.DomainIndex(domain)) {
			return emit(refusal(code.New(code.BoxOutsideBoundary, "workspace", "the key's home %s lies outside the boundary", name).WithRan(code.RanUnknown)))
		}
		f.TimeLeft = q.deadline.Sub(b.now())
		if f.TimeLeft <= 0 {
			return emit(refusal(code.New(code.OutcomeUnknown, "", "the deadline came while box %s could not be heard", name)))
		}
		end, err := b.forwardOnce(ctx, address, &f, emit)
		if end != nil {
			return emit(b.refuted(ctx, q, *end))
		}
		if err == nil || ctx.Err() != nil {
			return ctx.Err()
		}
		var never *port.NotConnected
		if errors.As(err, &never) && !reached {
			return emit(refusal(code.New(code.HomeUnreachable, "key", "box %s can't be reached from here", name).WithRetryAfter(comeBackAfter)))
		}
		reached = true
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(forwardPause):
		}
	}
}

// forwardOnce sends a forward and passes its events on, but for the end, which it gives back.
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
			gone = code.New(code.FrameInvalid, "frame", "a piece of the answer is out of place")
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

// holderGone answers when no member answers to the name, or its incarnation is another one.
func (b *Box) holderGone(k core.Key, name string, holder core.BoxID) port.ForwardEvent {
	if holder.Incarnation == 0 {
		return refusal(code.New(code.HomeUnreachable, "key", "box %s is not known here", name).WithRetryAfter(comeBackAfter))
	}
	return refusal(code.New(code.TicketHolderGone, "key", "box %s is gone", holder))
}

// refuted turns another box's "not settled" into "not run" where that can be proved.
func (b *Box) refuted(ctx context.Context, q *asked, end port.End) port.ForwardEvent {
	if end.Err == nil || end.Err.Code != code.HomeUnsettled || end.Err.DidRun() != code.RanUnknown {
		return port.ForwardEvent{End: &end}
	}
	return b.unsettled(ctx, q, end.Err)
}

// unsettled answers a key of which no box can prove to be the home. If every box that might think
// itself home promises that the key never ran and never will, the answer is "not run".
func (b *Box) unsettled(ctx context.Context, q *asked, err *code.Error) port.ForwardEvent {
	if err.Code != code.HomeUnsettled {
		return refusal(err)
	}
	names, ok := b.docs.witnesses(q.key, q.workspace.Name())
	if !ok || !b.allRenounce(ctx, q.key, names) {
		return refusal(err)
	}
	return refusal(err.WithRan(code.RanNo))
}

func (b *Box) allRenounce(ctx context.Context, k core.Key, names []string) bool {
	ctx, cancel := context.WithTimeout(ctx, renounceWait)
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
	address, _ := b.fleet.find(name, core.BoxID{})
	if address == "" {
		return false
	}
	a, err := b.Peers.Ask(ctx, address, port.Question{Renounce: &port.Renounce{Key: k}})
	return err == nil && a.Renounced
}

// renounce promises that a key never ran and never will here. A box that started after the key was
// made can't speak for the life before it, unless that life's ledger was handed over.
func (b *Box) renounce(r port.Renounce) bool {
	if r.Key.Minted().Before(b.startedAt().Add(time.Duration(b.Settings.AtMostOnce.ClockSkew))) && !b.imported.hasName(b.ID.Name) {
		return false
	}
	s := b.shardOf(r.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Renounce(b.now(), r.Key)
}

// startedAt is when this incarnation began.
func (b *Box) startedAt() time.Time { return time.Unix(0, int64(b.ID.Incarnation)) }

// takeForward serves a request that another box forwarded.
func (b *Box) takeForward(ctx context.Context, f port.Forward, emit Emit) error {
	if f.Attach {
		if !b.holds(f.Holder) {
			return emit(refusal(code.New(code.NotFound, "attach_token", "box %s is gone", f.Holder)))
		}
		return b.attachHere(ctx, f.Workspace, core.AttachToken{Key: f.Key, Holder: f.Holder}, f.Offset, emit)
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
	if b.known(q.key) {
		return b.runHere(ctx, q, emit)
	}
	if q.key.Ticket() {
		return b.takeTicket(ctx, q, emit)
	}
	if h := b.docs.judge(q.key, q.workspace.Name()); !h.Me {
		if h.Err == nil {
			h.Err = code.New(code.HomeUnsettled, "key", "box %s holds that box %s is the key's home", b.ID.Name, h.Box)
		}
		return emit(refusal(h.Err))
	}
	return b.runHere(ctx, q, emit)
}

func (b *Box) takeTicket(ctx context.Context, q *asked, emit Emit) error {
	switch {
	case q.key.Issuer == b.ID:
		return b.runTicket(ctx, q, emit)
	case b.imported.has(q.key.Issuer):
		return emit(b.neverSpent(q.key))
	}
	return emit(refusal(code.New(code.TicketHolderGone, "key", "box %s is gone", q.key.Issuer)))
}

// forwardTo forwards an attach to the incarnation that holds the request.
func (b *Box) forwardTo(ctx context.Context, holder core.BoxID, f port.Forward, emit Emit) error {
	address, domain := b.fleet.find(holder.Name, holder)
	if address == "" {
		return emit(refusal(code.New(code.NotFound, "attach_token", "box %s is gone", holder)))
	}
	c := b.Config()
	if w := c.Workspace(f.Workspace); w != nil && !config.MayEnter(w, c.DomainIndex(domain)) {
		return emit(refusal(code.New(code.BoxOutsideBoundary, "attach_token", "box %s lies outside the boundary", holder.Name).WithRan(code.RanUnknown)))
	}
	f.TimeLeft = config.LongestDeadline
	end, err := b.forwardOnce(ctx, address, &f, emit)
	if end != nil {
		return emit(port.ForwardEvent{End: end})
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	e := code.New(code.AnswerInterrupted, "attach_token", "box %s can't be heard", holder.Name).WithRan(code.RanUnknown).WithRetryAfter(comeBackAfter)
	if err == nil {
		return e
	}
	return emit(refusal(e))
}
