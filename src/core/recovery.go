package core

import (
	"time"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
)

// Handling of attempts that fail, are superseded by another, or take long.

// settle ends an attempt and reports its result to the pool.
func (r *Request) settle(now time.Time, a *liveAttempt, f Failure, use Use, wasted bool) Action {
	delete(r.live, a.id.N)
	outcome := "done"
	if f != 0 {
		outcome = f.String()
	}
	if wasted && f == 0 {
		outcome = "unused"
	}
	if a.trace >= 0 {
		r.trace[a.trace].Served = now.Sub(a.sent)
		r.trace[a.trace].Outcome = outcome
	}
	return Settle{Attempt: a.id, Pool: r.pipeline.Stages()[a.id.Stage].Pool(), Server: a.server, Failure: f, Use: use, Wasted: wasted}
}

// dropOthers ends all live attempts: waiting ones are withdrawn, running ones stopped.
func (r *Request) dropOthers(now time.Time) []Action {
	var out []Action
	for n := 0; n < r.next; n++ {
		a := r.live[n]
		if a == nil {
			continue
		}
		pool := r.pipeline.Stages()[a.id.Stage].Pool()
		if a.server == "" {
			delete(r.live, n)
			out = append(out, Withdraw{Attempt: a.id, Pool: pool})
			continue
		}
		out = append(out, Stop{Attempt: a.id, Pool: pool, Server: a.server}, r.settle(now, a, 0, Use{}, true))
	}
	return out
}

func (r *Request) failure(now time.Time, e Failed) []Action {
	a := r.liveOf(e.Attempt)
	if a == nil {
		return nil
	}
	if r.finished {
		return []Action{r.settle(now, a, e.Failure, Use{}, true)}
	}
	return r.handleAttemptFailure(now, a, e.Failure)
}

// handleAttemptFailure decides what follows a failed attempt: resuming the stream, another attempt, or the
// end of the request.
func (r *Request) handleAttemptFailure(now time.Time, a *liveAttempt, f Failure) []Action {
	s := r.current()
	if f == Broken && s.Kind() == config.Generate && len(r.output) > 0 && !a.resumed {
		a.resumed = true
		return []Action{Send{Attempt: a.id, Pool: s.Pool(), Server: a.server, Input: r.input, Offset: len(r.output), Continue: r.output, Resume: true}}
	}
	if f == NotSent || f == Busy || f == Leaving {
		r.unconfirmed--
	}
	out := []Action{r.settle(now, a, f, Use{}, true)}
	if f == TimedOut && !s.Once() {
		out = append([]Action{Stop{Attempt: a.id, Pool: s.Pool(), Server: a.server}}, out...)
	}
	if s.Once() {
		return append(out, r.handleOnceFailure(now, a, f)...)
	}
	if f == InvalidCall {
		return append(out, r.finish(now, code.New(code.BackendRefused, "", "stage %s: the server rejected the call as invalid", s.Name()))...)
	}
	r.failed = append(r.failed, a.server)
	if len(r.live) > 0 {
		return out
	}
	return append(out, r.retry(now)...)
}

// handleOnceFailure decides what follows a failed call that must not be repeated: it is sent again only if
// it never left this box.
func (r *Request) handleOnceFailure(now time.Time, a *liveAttempt, f Failure) []Action {
	s := r.current()
	switch f {
	case NotSent:
		r.onceSent = false
		r.failed = append(r.failed, a.server)
		return r.retry(now)
	case InvalidCall:
		return r.finish(now, code.New(code.BackendRefused, "", "stage %s: the server rejected the call as invalid", s.Name()))
	case Busy, Leaving:
		// By the protocol nothing ran, but a call that was sent is still not moved to another server.
		r.onceSent = false
		return r.finish(now, code.New(code.BackendRefused, "", "stage %s: server %s answered that it accepts no work (%s)", s.Name(), a.server, f))
	}
	return r.finish(now, code.New(code.OutcomeUnknown, "", "stage %s: the call was sent and its outcome is unknown (%s)", s.Name(), f))
}

// retry requests another attempt while attempts and time are left, the first few at once and later ones
// after pauses.
func (r *Request) retry(now time.Time) []Action {
	must := r.pipeline.MustFinish()
	if !must && !now.Before(r.deadline) {
		return r.finish(now, code.New(code.DeadlinePassed, "", "no time is left for another attempt"))
	}
	most := maxAttempts
	if must {
		most = maxMustAttempts
	}
	switch {
	case r.next < immediateAttempts:
		return []Action{r.enqueue(now, false)}
	case r.next < most:
		return r.pauseThenRetry()
	}
	return r.finish(now, code.New(code.BackendFailed, "", "stage %s failed %d times", r.current().Name(), r.next))
}

func (r *Request) hedge(now time.Time, e HedgeDue) []Action {
	if r.finished || e.Attempt.Stage != r.stage || len(r.live) != 1 || r.current().Once() {
		return nil
	}
	a := r.live[e.Attempt.N]
	if a == nil || a.server == "" {
		return nil
	}
	saved := r.failed
	r.failed = append(append([]string{}, saved...), a.server)
	act := r.enqueue(now, true)
	r.failed = saved
	return []Action{act}
}
