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

// This file holds the fake ports: calls to backend servers and messages between boxes, over links that can be
// cut.

// call sends a call from a box to a backend server and returns the server's reply.
func (f *fleet) call(ctx context.Context, b *fakeBox, s *config.BackendServer, r port.CallRequest, emit func(int, []byte)) (port.CallResult, *port.CallError) {
	f.reached("dispatch "+r.Kind, b, s.Name(), r)
	b.waitWhilePaused()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(b.ctx, cancel)()
	if b.ctx.Err() != nil {
		return port.CallResult{}, &port.CallError{Failure: core.NotSent, Message: "box was killed"}
	}
	if f.isCut(b.name, s.Name()) {
		time.Sleep(dialTimeout)
		return port.CallResult{}, &port.CallError{Failure: core.NotSent, Message: "no route to host"}
	}
	if f.rejectCall != nil {
		if err := f.rejectCall(b.name, s.Name()); err != nil {
			return port.CallResult{}, err
		}
	}
	if f.crashing != nil {
		exited := f.crashing.begin(s.Name(), r)
		if exited == nil {
			return port.CallResult{}, &port.CallError{Failure: core.NotSent, Message: "connection refused", ConnectionRefused: true}
		}
		go func() {
			select {
			case <-exited:
				cancel()
			case <-ctx.Done():
			}
		}()
	}
	first := true
	out := func(offset int, data []byte) {
		b.waitWhilePaused()
		if f.waitForLink(ctx, s.Name(), b.name) != nil {
			return
		}
		emit(offset, data)
		if first {
			first = false
			f.reached("stream", b, s.Name(), r)
		}
	}
	res, err := f.runCall(ctx, s, r, out)
	f.reached("answered "+r.Kind, b, s.Name(), r)
	b.waitWhilePaused()
	if f.waitForLink(ctx, s.Name(), b.name) != nil && err == nil {
		return port.CallResult{}, &port.CallError{Failure: core.Broken, Message: "reply lost"}
	}
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) && err.Failure == core.Broken {
		err = &port.CallError{Failure: core.TimedOut, Message: err.Message}
	}
	return res, err
}

// runCall runs a call at its backend server. Like a real client, it does not wait after ctx is done.
func (f *fleet) runCall(ctx context.Context, s *config.BackendServer, r port.CallRequest, out func(int, []byte)) (port.CallResult, *port.CallError) {
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
		return port.CallResult{}, &port.CallError{Failure: core.Broken, Message: "context done"}
	}
}

// report reads a server's load report.
func (f *fleet) report(b *fakeBox, s *config.BackendServer) (core.Report, error) {
	b.waitWhilePaused()
	if !f.connected(b, s.Name()) {
		return core.Report{}, errConnectionLost
	}
	report := core.Report{}
	if v := f.services[s.Name()]; v != nil {
		report = v.Report()
	} else {
		report = f.engines[s.Name()].Report()
	}
	if f.crashing == nil {
		return report, nil
	}
	report, up := f.crashing.report(s.Name(), report)
	if !up {
		return core.Report{}, syscall.ECONNREFUSED
	}
	return report, nil
}

// order sends an order to an engine.
func (f *fleet) order(b *fakeBox, s *config.BackendServer, o core.Order) error {
	b.waitWhilePaused()
	if o.Expired(time.Now()) || !f.connected(b, s.Name()) || !f.engines[s.Name()].AcceptOrder(o) {
		return errConnectionLost
	}
	return nil
}

// beat sends a heartbeat to another box without waiting; it is lost if the link is cut.
func (f *fleet) beat(b *fakeBox, to string, m core.Beat) {
	go func() {
		time.Sleep(linkDelay)
		if t := f.liveBox(to); t != nil && b.ctx.Err() == nil && !f.isCut(b.name, to) {
			t.waitWhilePaused()
			t.HandleBeat(m)
		}
	}()
}

// dial connects to a box. Its errors are of type port.NotConnectedError: nothing was sent.
func (f *fleet) dial(b *fakeBox, to string) (*fakeBox, error) {
	time.Sleep(linkDelay)
	t := f.liveBox(to)
	if t == nil || b.ctx.Err() != nil {
		return nil, &port.NotConnectedError{Cause: errConnectionLost}
	}
	if f.isCut(b.name, to) || f.isCut(to, b.name) {
		time.Sleep(dialTimeout)
		return nil, &port.NotConnectedError{Cause: errConnectionLost}
	}
	return t, nil
}

// ask sends a question to another box and returns its answer.
func (f *fleet) ask(ctx context.Context, b *fakeBox, to string, q port.Question) (port.Answer, error) {
	t, err := f.dial(b, to)
	if err != nil {
		return port.Answer{}, err
	}
	t.waitWhilePaused()
	a := t.HandleQuestion(ctx, q)
	if err := f.waitForLink(ctx, to, b.name); err != nil {
		return port.Answer{}, err
	}
	b.waitWhilePaused()
	return a, nil
}

// forward forwards a request to another box and emits its events until the last one.
func (f *fleet) forward(ctx context.Context, b *fakeBox, to string, q port.Forward, emit func(port.ForwardEvent)) error {
	t, err := f.dial(b, to)
	if err != nil {
		return err
	}
	f.reached("forward", t, to, port.CallRequest{Attempt: q.Key.ID.String()})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(t.ctx, cancel)()
	defer context.AfterFunc(b.ctx, cancel)()
	if f.waitForLink(ctx, b.name, to) != nil {
		return errConnectionLost
	}
	t.waitWhilePaused()
	ended := false
	t.HandleForward(ctx, q, func(e port.ForwardEvent) error {
		t.waitWhilePaused()
		if f.waitForLink(ctx, to, b.name) != nil {
			return errConnectionLost
		}
		b.waitWhilePaused()
		emit(e)
		ended = ended || e.End != nil
		return nil
	})
	if !ended {
		return errConnectionLost
	}
	return nil
}
