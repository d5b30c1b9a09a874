package faults

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// The fake ports: calls to stand-ins and messages between boxes, over links that can be cut.

func (f *fleet) call(ctx context.Context, b *fakeBox, s *config.BackendServer, r port.CallRequest, emit func(int, []byte)) (port.CallResult, *port.CallError) {
	f.step("dispatch "+r.Kind, b, s.Name(), r)
	b.gate()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(b.ctx, cancel)()
	if b.ctx.Err() != nil {
		return port.CallResult{}, &port.CallError{Failure: core.NotSent, Message: "killed"}
	}
	if f.isCut(b.name, s.Name()) {
		time.Sleep(dialTimeout)
		return port.CallResult{}, &port.CallError{Failure: core.NotSent, Message: "no route"}
	}
	if f.turnsAway != nil {
		if err := f.turnsAway(b.name, s.Name()); err != nil {
			return port.CallResult{}, err
		}
	}
	if f.crashes != nil {
		life := f.crashes.begin(s.Name(), r)
		if life == nil {
			return port.CallResult{}, &port.CallError{Failure: core.NotSent, Message: "connection refused", ConnectionRefused: true}
		}
		go func() {
			select {
			case <-life:
				cancel()
			case <-ctx.Done():
			}
		}()
	}
	first := true
	out := func(offset int, data []byte) {
		b.gate()
		if f.through(ctx, s.Name(), b.name) != nil {
			return
		}
		emit(offset, data)
		if first {
			first = false
			f.step("stream", b, s.Name(), r)
		}
	}
	res, err := f.serve(ctx, s, r, out)
	f.step("answered "+r.Kind, b, s.Name(), r)
	b.gate()
	if f.through(ctx, s.Name(), b.name) != nil && err == nil {
		return port.CallResult{}, &port.CallError{Failure: core.Broken, Message: "answer lost"}
	}
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) && err.Failure == core.Broken {
		err = &port.CallError{Failure: core.TimedOut, Message: err.Message}
	}
	return res, err
}

// serve runs a call at its stand-in; like a real client it doesn't wait past the context.
func (f *fleet) serve(ctx context.Context, s *config.BackendServer, r port.CallRequest, out func(int, []byte)) (port.CallResult, *port.CallError) {
	type ended struct {
		res port.CallResult
		err *port.CallError
	}
	done := make(chan ended, 1)
	go func() {
		var e ended
		if v := f.services[s.Name()]; v != nil {
			e.res, e.err = v.Call(ctx, r, out)
		} else {
			e.res, e.err = f.engines[s.Name()].Call(ctx, r, out)
		}
		done <- e
	}()
	select {
	case e := <-done:
		return e.res, e.err
	case <-ctx.Done():
		return port.CallResult{}, &port.CallError{Failure: core.Broken, Message: "given up"}
	}
}

func (f *fleet) load(b *fakeBox, s *config.BackendServer) (core.Report, error) {
	b.gate()
	if !f.joined(b, s.Name()) {
		return core.Report{}, errLost
	}
	report := core.Report{}
	if v := f.services[s.Name()]; v != nil {
		report = v.Report()
	} else {
		report = f.engines[s.Name()].Report()
	}
	if f.crashes == nil {
		return report, nil
	}
	report, up := f.crashes.report(s.Name(), report)
	if !up {
		return core.Report{}, syscall.ECONNREFUSED
	}
	return report, nil
}

func (f *fleet) order(b *fakeBox, s *config.BackendServer, o core.Order) error {
	b.gate()
	if o.Void(time.Now()) || !f.joined(b, s.Name()) || !f.engines[s.Name()].Take(o) {
		return errLost
	}
	return nil
}

func (f *fleet) beat(b *fakeBox, to string, m core.Beat) {
	go func() {
		time.Sleep(linkDelay)
		if t := f.target(to); t != nil && b.ctx.Err() == nil && !f.isCut(b.name, to) {
			t.gate()
			t.TakeBeat(m)
		}
	}()
}

// reach connects to a box; the error says that no byte left.
func (f *fleet) reach(b *fakeBox, to string) (*fakeBox, error) {
	time.Sleep(linkDelay)
	t := f.target(to)
	if t == nil || b.ctx.Err() != nil {
		return nil, &port.NotConnectedError{Cause: errLost}
	}
	if f.isCut(b.name, to) || f.isCut(to, b.name) {
		time.Sleep(dialTimeout)
		return nil, &port.NotConnectedError{Cause: errLost}
	}
	return t, nil
}

func (f *fleet) ask(ctx context.Context, b *fakeBox, to string, q port.Question) (port.Answer, error) {
	t, err := f.reach(b, to)
	if err != nil {
		return port.Answer{}, err
	}
	t.gate()
	a := t.TakeQuestion(ctx, q)
	if err := f.through(ctx, to, b.name); err != nil {
		return port.Answer{}, err
	}
	b.gate()
	return a, nil
}

func (f *fleet) forward(ctx context.Context, b *fakeBox, to string, q port.Forward, emit func(port.ForwardEvent)) error {
	t, err := f.reach(b, to)
	if err != nil {
		return err
	}
	f.step("forward", t, to, port.CallRequest{Attempt: q.Key.ID.String()})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(t.ctx, cancel)()
	defer context.AfterFunc(b.ctx, cancel)()
	if f.through(ctx, b.name, to) != nil {
		return errLost
	}
	t.gate()
	ended := false
	t.TakeForward(ctx, q, func(e port.ForwardEvent) error {
		t.gate()
		if f.through(ctx, to, b.name) != nil {
			return errLost
		}
		b.gate()
		emit(e)
		ended = ended || e.End != nil
		return nil
	})
	if !ended {
		return errLost
	}
	return nil
}
