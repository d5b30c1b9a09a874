// Package hedge tries a second server for a request whose server is silent. The first attempt goes on until the second server has
// accepted the request, since a silent server may still answer and the second one may be full.
package hedge

import (
	"context"
	"sync"
	"time"
)

// AcceptWait is how long a server that rejects a request takes at most to say so; one that is silent for longer has accepted it. Two
// servers may work on a stream for twice as long: the rest is for the first to learn that it was given up.
const AcceptWait = 200 * time.Millisecond

// Hedge is the second attempt of a request, of type A. Set its fields before use; a nil Hedge makes none. The state of the request
// belongs to the goroutine that waits for the first server, and from the call of Try to the return of Hold or Stop to the functions of
// the Hedge.
type Hedge[A any] struct {
	// Context is the request's.
	Context context.Context
	// Try sends the request to a second server and returns once the first byte leaves. answered is closed when that server has
	// answered or failed. ok is false if nothing was sent. ctx ends when the second attempt is no longer wanted.
	Try func(ctx context.Context) (a A, answered <-chan struct{}, ok bool)
	// Rejected reports whether an attempt that was answered was rejected or failed, and records that.
	Rejected func(a A) bool
	// GiveUp ends the first attempt, as the second one was accepted.
	GiveUp func()
	// Again reports whether a further attempt may be made after one that failed.
	Again func() bool

	mu     sync.Mutex
	timer  *time.Timer
	limit  time.Duration
	at     time.Time // when the silence has passed
	state  state
	due    bool // the timer has fired while held
	over   bool // no further attempt may be made
	wanted bool // Hold waits for the second attempt
	second *second[A]
}

type state uint8

const (
	held  state = iota // the goroutine that waits for the first server owns the request
	armed              // a second attempt starts when the timer fires
	trying
)

// second is one second attempt.
type second[A any] struct {
	cancel  context.CancelFunc
	sent    chan struct{} // closed once its first byte leaves
	decided chan struct{} // closed once it was accepted or has failed
	attempt A
	ok      bool // accepted
}

// Arm starts a second attempt after a silence, unless Hold is called before.
func (h *Hedge[A]) Arm(silence time.Duration) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over {
		return
	}
	h.limit, h.state = silence, armed
	h.start(silence)
}

// start sets the timer. The caller holds the lock.
func (h *Hedge[A]) start(silence time.Duration) {
	h.at, h.due = time.Now().Add(silence), false
	if h.timer == nil {
		h.timer = time.AfterFunc(silence, h.run)
	} else {
		h.timer.Reset(silence)
	}
}

// Resume goes on after Hold with the time that was left.
func (h *Hedge[A]) Resume() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != held || h.timer == nil || h.over {
		return
	}
	h.state = armed
	if h.due {
		h.start(0)
	}
}

// Hold returns the request to the caller. If the request was sent to a second server meanwhile, it waits until that one has accepted
// it; ok then says that the first attempt was given up for it.
func (h *Hedge[A]) Hold() (a A, ok bool) {
	s := h.hold()
	if s == nil {
		return a, false
	}
	select {
	case <-s.sent:
	default:
		s.cancel()
	}
	<-s.decided
	return h.end(s)
}

// Stop is Hold after the first server's answer: the second attempt is not wanted any more, unless it was accepted.
func (h *Hedge[A]) Stop() (a A, ok bool) {
	s := h.hold()
	if s == nil {
		return a, false
	}
	s.cancel()
	<-s.decided
	return h.end(s)
}

// hold stops a second attempt from starting and returns the one that has started, or nil.
func (h *Hedge[A]) hold() *second[A] {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state == armed {
		h.state = held
	}
	h.wanted = h.second != nil
	return h.second
}

// Close stops the timer after Hold or Stop.
func (h *Hedge[A]) Close() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.timer != nil {
		h.timer.Stop()
	}
}

func (h *Hedge[A]) end(s *second[A]) (A, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state, h.second, h.wanted = held, nil, false
	return s.attempt, s.ok
}

// run makes a second attempt.
func (h *Hedge[A]) run() {
	h.mu.Lock()
	fired := !time.Now().Before(h.at) // otherwise it was set anew meanwhile
	if h.state != armed || !fired {
		h.due = fired && h.state == held
		h.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(h.Context)
	s := &second[A]{cancel: cancel, sent: make(chan struct{}), decided: make(chan struct{})}
	h.state, h.second = trying, s
	h.mu.Unlock()
	defer close(s.decided)
	if s.ok = h.accepted(ctx, s); s.ok {
		h.GiveUp()
		return
	}
	cancel()
	h.rearm()
}

// accepted sends the request and reports whether the second server has accepted it.
func (h *Hedge[A]) accepted(ctx context.Context, s *second[A]) bool {
	a, answered, ok := h.Try(ctx)
	if !ok {
		return false
	}
	s.attempt = a
	close(s.sent)
	timer := time.NewTimer(AcceptWait)
	defer timer.Stop()
	select {
	case <-answered:
		return !h.Rejected(a)
	case <-timer.C:
	}
	select {
	case <-answered:
		return !h.Rejected(a)
	default:
		return true
	}
}

// rearm waits for a further silence after an attempt that failed.
func (h *Hedge[A]) rearm() {
	again := h.Again()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state, h.second, h.over = held, nil, !again
	if !again {
		return
	}
	if !h.wanted {
		h.state = armed
	}
	h.start(h.limit)
}
