package gateway

import (
	"context"
	"errors"
	"io"

	"github.com/stilemast/stilemast/src/balance"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/events"
	"github.com/stilemast/stilemast/src/pace"
	"github.com/stilemast/stilemast/src/port"
	"github.com/stilemast/stilemast/src/resume"
)

// relay passes a stream on to the caller, event by event.
func (v *requestRun) relay(a *attempt) (nextStep, *code.Error, bool) {
	g, e, s, reply := v.gateway, a.pool, a.call.Server, a.reply
	var split events.Splitter
	var gaps pace.Gaps
	room := g.answers.Room() // of an event that is not complete
	defer room.Release()
	resumed := v.begun
	a.hedge.Resume()
	for {
		n, err := 0, room.Resize(a.ctx, int64(split.Size()))
		if err == nil {
			n, err = reply.Read(split.Space())
		}
		whole := split.Add(n)
		if err == nil && split.Held() >= maxEvent {
			err = code.New(code.MessageTooLarge, "event", "over %d bytes", maxEvent)
		}
		switch complete := err == io.EOF && split.Held() == 0 && (v.begun || len(whole) > 0); {
		case complete:
			v.discardSecond(a)
		case (len(whole) > 0 || err != nil) && v.givenUp(a):
			whole, err = nil, errSilent
		}
		if len(whole) > 0 {
			gaps.Arrived(g.now(), events.Count(whole))
			if resumed {
				whole = events.After(whole, v.lastEvent)
			}
			if v.sendEvents(whole, a) != nil {
				reply.Close(false)
				v.recordOutcome(a, balance.Dropped, "caller gone")
				v.ended("cancelled", "cause", "the caller left during the stream", "server", s.ID)
				v.caller.Cut()
				return stepDone, nil, true
			}
			gaps.Passed(g.now())
			a.hedge.Arm(gapLimit)
		}
		if err == io.EOF && split.Held() == 0 && v.begun {
			reply.Close(true)
			g.lengths.Learn(v.pipeline.Name, v.events)
			v.recordOutcome(a, balance.Good, "stream ended")
			e.speeds.RecordStream(g.now(), paceServer(&s), pace.Response{Told: reply.Told, Gap: gaps.Median()})
			v.recordSuccess(reply)
			g.streams.Ended(v.streamNames()...)
			v.ended("answered", "status", reply.Status, "server", s.ID, "last_event", v.lastEvent)
			v.caller.End()
			return stepDone, nil, true
		}
		if err == nil {
			continue
		}
		reply.Close(false)
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if cause := context.Cause(a.ctx); errors.Is(cause, errSilent) {
			err = cause
		}
		v.recordBreak(a, err, "stream interrupted: ")
		return v.afterBreak(), code.New(code.AnswerInterrupted, "", "the stream of %s was interrupted after event %q: %v", s.ID, v.lastEvent, err), true
	}
}

// sendEvents sends whole events to the caller; the first of them also frees the stage results.
func (v *requestRun) sendEvents(whole []byte, a *attempt) error {
	if len(whole) == 0 {
		return nil
	}
	g, e, s, reply := v.gateway, a.pool, a.call.Server, a.reply
	if !v.begun {
		v.begun = true
		v.firstOut = g.now()
		v.pinBuild(s)
		v.compareForecast(v.firstOut, false)
		v.caller.Begin(reply.Status, reply.Header)
		took := v.firstOut.Sub(a.began)
		g.estimates.Learn(v.pipeline.Name, took)
		if a.unread >= 0 {
			e.speeds.RecordFirst(v.firstOut, paceServer(&s), pace.Response{Told: reply.Told, Took: took, Uncached: a.unread})
		}
		e.mu.Lock()
		if e.picker.Current(s) {
			e.picker.RecordRead(g.now(), s.ID, &v.wish)
		}
		e.mu.Unlock()
	}
	v.stageResults.freeAll()
	v.events += events.Count(whole)
	if id := events.LastID(whole); id != "" {
		v.lastEvent = id
	}
	return v.caller.Event(whole)
}

// initStreams connects the tracker of streams' origins to this box.
func (g *Gateway) initStreams() {
	t := &g.streams
	t.Self, t.Now, t.Log = g.ID.Name, g.now, g.Log
	t.Boxes = func() []resume.Box {
		g.fleet.mu.Lock()
		defer g.fleet.mu.Unlock()
		return g.fleet.holders
	}
	t.Ask = func(ctx context.Context, box string, q resume.Question) (resume.Answer, error) {
		a, err := g.Peers.Ask(ctx, g.fleet.addressOf(box), port.Question{Streams: &q})
		if err == nil && a.Streams == nil {
			err = resume.ErrUnsupported
		}
		if err != nil {
			return resume.Answer{}, err
		}
		return *a.Streams, nil
	}
}

// streamNames returns the names under which boxes know the stream.
func (v *requestRun) streamNames() []resume.Stream {
	r := v.request
	return resume.Names(v.workspace, r.ID, r.Resumes, r.LastEvent != "", v.content)
}

// takeUp finds out where a stream began that the caller takes up, and refuses it at once if it can't go on.
func (v *requestRun) takeUp(ctx context.Context) *code.Error {
	p, g := v.pipeline, v.gateway
	if p.Kind != catalog.Stream || v.request.LastEvent == "" {
		return nil
	}
	pool, build, evidence, err := g.streams.TakeUp(ctx, resume.Taken{Stream: v.streamNames()[0], Pools: p.Pools(), Window: p.Timeout, Request: v.request.ID})
	if g.Observer.TakenUp != nil {
		g.Observer.TakenUp(p.Name, string(evidence))
	}
	if err != nil {
		return err
	}
	v.setPool(pool)
	v.build = &build
	v.bound.Store(true)
	if !v.canGoOn() {
		return v.noBuildLeft()
	}
	return nil
}

// pinBuild binds a stream to the build of the server that sent its first event, and reports its origin to other boxes.
func (v *requestRun) pinBuild(s catalog.Server) {
	if v.build == nil {
		v.build = &s.Build
		v.wish.Build = v.build
		v.bound.Store(true)
	}
	if v.pipeline.Resumable {
		v.gateway.streams.Began(resume.OriginAt(v.pool, *v.build), v.deadline.Sub(v.gateway.now()), v.streamNames()...)
	}
}

// canGoOn reports whether a stream that has begun has a server left to go on at.
func (v *requestRun) canGoOn() bool {
	e := v.gateway.pools.get(v.pool)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.picker.AnyLeft(&balance.Request{Build: v.build, Within: v.confines, Exclude: v.wish.Exclude})
}

// noBuildLeft returns the refusal of a stream without a server of its build.
func (v *requestRun) noBuildLeft() *code.Error {
	return refusal(code.CannotResume, "pool", 0, "no server of %s is left of the build that began the stream", v.pool)
}
