package box

import (
	"context"
	"io"
	"time"

	"github.com/google/uuid"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// Request is a caller's request.
type Request struct {
	Workspace string
	Pipeline  string
	Key       string
	Input     []byte
	Deadline  time.Duration // relative; 0 for the pipeline's default
	MaxTokens int
}

// Emit receives the events of an answer; it returns an error if the caller has disconnected.
type Emit func(port.ForwardEvent) error

// checkedRequest is a request that was validated.
type checkedRequest struct {
	conf      *config.Config
	workspace *config.Workspace
	pipeline  *config.Pipeline
	key       core.Key
	input     []byte
	deadline  time.Time
	maxTokens int
	offset    int // bytes of the answer that the caller already has
}

// Serve runs a caller's request and emits its answer; the last event is an End. It returns an error if the
// caller has disconnected, which does not stop the request.
func (b *Box) Serve(ctx context.Context, r Request, emit Emit) error {
	q, err := b.check(r)
	if err != nil {
		return emit(refusal(err))
	}
	if q.pipeline.Once() {
		return b.runOnce(ctx, q, emit)
	}
	if b.draining.Load() && !b.inLedger(q.key) {
		return emit(refusal(code.New(code.Draining, "", "box %s is stopping", b.ID.Name)))
	}
	return b.runLocally(ctx, q, emit)
}

// refusal returns the end event of a request that was refused.
func refusal(err *code.Error) port.ForwardEvent {
	return port.ForwardEvent{End: &port.End{Err: err, MayRepeat: err.DidRun() == code.RanNo}}
}

// check validates a request as far as possible without running it.
func (b *Box) check(r Request) (*checkedRequest, *code.Error) {
	c := b.Config()
	if c == nil || !b.ready.Load() {
		err := code.New(code.NotReady, "", "box %s has no configuration in force yet", b.ID.Name).WithRetryAfter(time.Second)
		if r.Key != "" {
			err = err.WithRan(code.RanUnknown) // it may be a copy of a request that runs on another box
		}
		return nil, err
	}
	q := &checkedRequest{conf: c, input: r.Input, maxTokens: r.MaxTokens}
	if q.workspace = c.Workspace(r.Workspace); q.workspace == nil {
		return nil, b.withConfigAge(code.New(code.UnknownWorkspace, "workspace", "no workspace %q in version %d", r.Workspace, c.Version()))
	}
	if q.pipeline = c.Pipeline(r.Pipeline); q.pipeline == nil || !q.workspace.MayUse(r.Pipeline) {
		return nil, b.withConfigAge(code.New(code.UnknownPipeline, "pipeline", "no pipeline %q for the workspace in version %d", r.Pipeline, c.Version()))
	}
	if err := b.checkKey(q, r.Key); err != nil {
		return nil, err
	}
	if len(r.Input) > q.pipeline.MaxInputBytes() {
		return nil, code.New(code.MessageTooLarge, "input", "%d bytes, at most %d", len(r.Input), q.pipeline.MaxInputBytes())
	}
	if r.MaxTokens < 0 {
		return nil, code.New(code.BadField, "max_tokens", "must not be negative")
	}
	if r.Deadline < 0 || r.Deadline > q.pipeline.MaxDeadline() {
		return nil, code.New(code.BadDeadline, "deadline", "must be above 0 and at most %s", q.pipeline.MaxDeadline())
	}
	if r.Deadline == 0 {
		r.Deadline = q.pipeline.Deadline()
	}
	q.deadline = b.now().Add(r.Deadline)
	if err := b.checkBoundary(q); err != nil {
		if q.pipeline.Once() {
			err = err.WithRan(code.RanUnknown) // another box may have accepted another copy
		}
		return nil, err
	}
	return q, nil
}

// checkBoundary returns an error if this box must not hold the request's data.
func (b *Box) checkBoundary(q *checkedRequest) *code.Error {
	if !config.MayEnter(q.workspace, b.domainOf(q.conf)) {
		return b.withConfigAge(code.New(code.BoxOutsideBoundary, "workspace", "workspace %q does not allow boxes in failure domain %q", q.workspace.Name(), b.Settings.FailureDomain))
	}
	if q.workspace.RefuseUnconfirmed() && b.now().Sub(b.docs.confirmed()) > core.UnconfirmedAfter {
		return b.withConfigAge(code.New(code.BoundaryUnproven, "workspace", "the configuration was last confirmed too long ago").WithRetryAfter(time.Second))
	}
	return nil
}

// withConfigAge adjusts a refusal that depends on the configuration: if the configuration is not confirmed, a
// box with a newer one may have run another copy of the request, so it is unknown whether it ran.
func (b *Box) withConfigAge(err *code.Error) *code.Error {
	if b.now().Sub(b.docs.confirmed()) > core.UnconfirmedAfter {
		return err.WithRan(code.RanUnknown)
	}
	return err
}

// checkKey sets the key of a request: the caller's, or a new one if the request may be repeated.
func (b *Box) checkKey(q *checkedRequest, key string) *code.Error {
	if key == "" {
		if q.pipeline.Once() {
			return code.New(code.BadKey, "key", "pipeline %q may not be repeated, so its requests need a key", q.pipeline.Name())
		}
		q.key = core.Key{ID: b.newID()}
		return nil
	}
	k, err := core.ParseKey(key)
	q.key = k
	return err
}

func (b *Box) newID() uuid.UUID {
	var random [16]byte
	if _, err := io.ReadFull(b.Entropy, random[:]); err != nil {
		panic(err) // no entropy source
	}
	return core.NewKeyID(b.wall(), random)
}

// runLocally runs a request on this box, or attaches to the one that runs or ran under the same key.
func (b *Box) runLocally(ctx context.Context, q *checkedRequest, emit Emit) error {
	f, entry, err := b.openEntry(q)
	if err != nil {
		return emit(refusal(err))
	}
	token := core.AttachToken{Key: q.key, Holder: b.ID}
	if err := emit(port.ForwardEvent{Accepted: &port.Accepted{Token: token, ConfigVersion: q.conf.Version()}}); err != nil {
		return err
	}
	if f != nil {
		return f.follow(ctx, q.offset, emit)
	}
	return replay(entry, q.offset, emit)
}

// open adds the key to the ledger and starts the request if it is the first copy. Otherwise it returns the
// running request, or a copy of the entry of an ended one.
func (b *Box) openEntry(q *checkedRequest) (*flight, core.Entry, *code.Error) {
	s := b.shardOf(q.key)
	fingerprint := core.Fingerprint(q.workspace.Name(), q.pipeline.Name(), q.input)
	s.mu.Lock()
	entry, fresh, err := s.ledger.Open(q.key, q.pipeline.Once(), q.workspace.Name(), q.pipeline.Name(), fingerprint)
	if err != nil {
		s.mu.Unlock()
		return nil, core.Entry{}, err
	}
	if !fresh {
		defer s.mu.Unlock()
		return s.flights[q.key.ID], *entry, nil // copied, since it may still be amended
	}
	req := core.NewRequest(q.key, q.workspace, q.pipeline, q.input, q.deadline, q.maxTokens, b.estimates)
	f := newFlight(b, req, q.conf)
	f.content = contentOf(q.workspace.Name(), q.pipeline.Name(), q.input)
	s.flights[q.key.ID] = f
	s.mu.Unlock()
	err = f.barredAnywhere()
	if err == nil {
		err = b.admit(q)
	}
	if err != nil {
		f.finish(err)
		return f, core.Entry{}, nil
	}
	f.start()
	return f, core.Entry{}, nil
}

// admit applies admission control.
func (b *Box) admit(q *checkedRequest) *code.Error {
	if b.draining.Load() {
		return code.New(code.Draining, "", "box %s is stopping", b.ID.Name).WithRan(code.RanNo)
	}
	b.admission.mu.Lock()
	defer b.admission.mu.Unlock()
	err := b.admission.core.Admit(b.now(), q.workspace, q.pipeline, q.deadline, b.estimates, b.pools.waitFor)
	if err != nil {
		return err.WithRan(code.RanNo)
	}
	return nil
}

// recordOutcome records the end of a request in admission control, service levels, history and metrics.
func (b *Box) recordOutcome(f *flight, err *code.Error, admitted bool) {
	now := b.now()
	if admitted {
		b.admission.mu.Lock()
		b.admission.core.Leave(f.req.Workspace().Name())
		b.admission.mu.Unlock()
	}
	p := f.req.Pipeline()
	sample := core.Sample{Class: p.Class(), Attained: err == nil && !now.After(f.req.Deadline())}
	f.mu.Lock()
	first := time.Duration(0)
	if !f.firstOut.IsZero() {
		first = f.firstOut.Sub(f.startedAt)
	}
	if tokens := len(f.answer) / approxTokenBytes; tokens > 1 && f.lastOut.After(f.firstOut) {
		sample.FirstToken = first
		sample.BetweenTokens = f.lastOut.Sub(f.firstOut) / time.Duration(tokens-1)
	}
	f.mu.Unlock()
	b.burn.Add(now, sample)
	b.history.add(f, err)
	if b.Observer.RequestEnded != nil {
		b.Observer.RequestEnded(p, err, now.Sub(f.startedAt), first)
	}
}

// replay emits the kept answer of an ended request.
func replay(e core.Entry, offset int, emit Emit) error {
	if e.State() == core.EntryRefused {
		return emit(port.ForwardEvent{End: &port.End{Err: e.Err(), MayRepeat: e.MayRepeat(), Uses: e.Uses()}})
	}
	answer, ok := e.Answer()
	if !ok {
		err := code.New(code.NotFound, "key", "the request finished and its answer is no longer kept").WithRan(code.RanYes)
		return emit(port.ForwardEvent{End: &port.End{Err: err, Uses: e.Uses()}})
	}
	if offset > len(answer) {
		return emit(refusal(code.New(code.BadOffset, "offset", "offset %d is beyond the end of the answer at %d", offset, len(answer))))
	}
	if offset < len(answer) {
		if err := emit(port.ForwardEvent{Chunk: &port.Chunk{Offset: offset, Data: answer[offset:]}}); err != nil {
			return err
		}
	}
	return emit(port.ForwardEvent{End: &port.End{Length: len(answer), Uses: e.Uses()}})
}

// Attach emits the answer of a request from an offset on, wherever the request runs or ran.
func (b *Box) Attach(ctx context.Context, workspace, token string, offset int, emit Emit) error {
	t, err := core.ParseAttachToken(token)
	if err != nil {
		return emit(refusal(err))
	}
	if b.Config() == nil {
		return emit(refusal(code.New(code.NotReady, "", "box %s has no configuration in force yet", b.ID.Name).WithRan(code.RanUnknown).WithRetryAfter(time.Second)))
	}
	if b.answersFor(t.Holder) {
		return b.attachLocally(ctx, workspace, t, offset, emit)
	}
	f := port.Forward{From: b.ID, Attach: true, Key: t.Key, Holder: t.Holder, Workspace: workspace, Offset: offset}
	return b.forwardTo(ctx, t.Holder, f, emit)
}

// answersFor reports whether this box answers for a box incarnation: itself, or one whose ledger it took over.
func (b *Box) answersFor(id core.BoxID) bool { return id == b.ID || b.importedLedgers.has(id) }

func (b *Box) attachLocally(ctx context.Context, workspace string, t core.AttachToken, offset int, emit Emit) error {
	s := b.shardOf(t.Key)
	s.mu.Lock()
	f, found := s.flights[t.Key.ID], s.ledger.Find(t.Key)
	var entry core.Entry
	if found != nil {
		entry = *found
	}
	s.mu.Unlock()
	if found == nil || entry.Workspace() != workspace {
		return emit(refusal(code.New(code.NotFound, "attach_token", "box %s knows no such request", b.ID.Name)))
	}
	if err := emit(port.ForwardEvent{Accepted: &port.Accepted{Token: t}}); err != nil {
		return err
	}
	if f != nil {
		return f.follow(ctx, offset, emit)
	}
	return replay(entry, offset, emit)
}

// Cancel stops a request, wherever it runs. It reports whether it was running.
func (b *Box) Cancel(ctx context.Context, workspace, token string) (bool, *code.Error) {
	t, err := core.ParseAttachToken(token)
	if err != nil {
		return false, err
	}
	c := port.Cancel{Key: t.Key, Holder: t.Holder, Workspace: workspace}
	if b.answersFor(t.Holder) {
		return b.cancelLocally(c), nil
	}
	address := b.fleet.addressOf(t.Holder)
	if address == "" {
		return false, code.New(code.NotFound, "attach_token", "box %s is gone", t.Holder)
	}
	a, aerr := b.Peers.Ask(ctx, address, port.Question{Cancel: &c})
	if aerr != nil {
		return false, code.New(code.NotFound, "attach_token", "box %s can't be reached", t.Holder.Name)
	}
	return a.Cancelled, nil
}

func (b *Box) cancelLocally(c port.Cancel) bool {
	s := b.shardOf(c.Key)
	s.mu.Lock()
	f, entry := s.flights[c.Key.ID], s.ledger.Find(c.Key)
	s.mu.Unlock()
	if f == nil || entry == nil || entry.Workspace() != c.Workspace {
		return false
	}
	f.post(core.CancelRequested{})
	return true
}

// maxTickets is the maximum number of tickets per call.
const maxTickets = 1000

// IssueTickets returns new tickets that are bound to this incarnation of the box.
func (b *Box) IssueTickets(workspace string, count int) ([]string, *code.Error) {
	c := b.Config()
	if c == nil || !b.ready.Load() {
		return nil, code.New(code.NotReady, "", "box %s has no configuration in force yet", b.ID.Name).WithRetryAfter(time.Second)
	}
	w := c.Workspace(workspace)
	if w == nil {
		return nil, code.New(code.UnknownWorkspace, "workspace", "no workspace %q", workspace)
	}
	if b.draining.Load() {
		return nil, code.New(code.Draining, "", "box %s is stopping", b.ID.Name)
	}
	if !config.MayEnter(w, b.domainOf(c)) {
		return nil, code.New(code.BoxOutsideBoundary, "workspace", "workspace %q does not allow boxes in failure domain %q", workspace, b.Settings.FailureDomain)
	}
	if count < 1 || count > maxTickets {
		return nil, code.New(code.BadField, "count", "must be 1 to %d", maxTickets)
	}
	out := make([]string, count)
	for i := range out {
		out[i] = core.Key{ID: b.newID(), Issuer: b.ID}.String()
	}
	return out, nil
}
