package hedge

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// play is a request whose first server is silent for a time, and what its hedge does.
type play struct {
	hedge           Hedge[string]
	choose, answer  time.Duration // until the second server is chosen, and from the first byte until it answers
	rejects, absent bool          // the second server rejects the request; there is no second server
	tries           atomic.Int32
	givenUp         int
	abandoned       int // second attempts that ended before they were answered
	most            int32
}

func newPlay(t *testing.T) *play {
	p := &play{most: 1}
	p.hedge = Hedge[string]{
		Context: t.Context(),
		Try: func(ctx context.Context) (string, <-chan struct{}, bool) {
			if !sleep(ctx, p.choose) || p.absent {
				return "", nil, false
			}
			p.tries.Add(1)
			answered := make(chan struct{})
			go func() {
				defer close(answered)
				if !sleep(ctx, p.answer) {
					p.abandoned++
				}
			}()
			return "second", answered, true
		},
		Rejected: func(string) bool { return p.rejects || p.abandoned > 0 },
		GiveUp:   func() { p.givenUp++ },
		Again:    func() bool { return p.tries.Load() < p.most },
	}
	return p
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// Guards against a first attempt that is given up for a second one that its server rejects, or for none.
func TestFirstAttemptIsGivenUpOnlyForAnAcceptedOne(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(*play)
		silence time.Duration // of the first server
		second  bool
		took    time.Duration // until the decision, at most, after the silence that is allowed
	}{
		"accepted at once":                {func(p *play) {}, 3 * time.Second, true, 0},
		"accepted without an answer":      {func(p *play) { p.answer = time.Hour }, 3 * time.Second, true, AcceptWait},
		"accepted, chosen late":           {func(p *play) { p.choose = 500 * time.Millisecond }, 3 * time.Second, true, 500 * time.Millisecond},
		"rejected":                        {func(p *play) { p.rejects = true }, 3 * time.Second, false, 0},
		"rejected late":                   {func(p *play) { p.rejects, p.answer = true, AcceptWait-time.Millisecond }, 3 * time.Second, false, 0},
		"no second server":                {func(p *play) { p.absent = true }, 3 * time.Second, false, 0},
		"the first answers before":        {func(p *play) {}, 900 * time.Millisecond, false, 0},
		"the first answers at the choice": {func(p *play) { p.choose = time.Second }, 1500 * time.Millisecond, false, 0},
		"the first answers at the wait":   {func(p *play) { p.answer = time.Hour }, time.Second + AcceptWait/2, true, AcceptWait},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlay(t)
				c.change(p)
				began, given := time.Now(), make(chan struct{})
				giveUp := p.hedge.GiveUp
				p.hedge.GiveUp = func() {
					giveUp()
					close(given)
				}
				p.hedge.Arm(time.Second)
				select {
				case <-given:
				case <-time.After(c.silence):
				}
				a, ok := p.hedge.Hold()
				if ok != c.second || ok != (p.givenUp == 1) || ok && a != "second" {
					t.Errorf("second %q, %v; first given up %d times", a, ok, p.givenUp)
				}
				if took := time.Since(began); took > max(c.silence, time.Second+c.took) {
					t.Errorf("decided after %s", took)
				}
			})
		})
	}
}

// Guards against a second attempt that goes on beside the first one's whole answer.
func TestSecondAttemptEndsWithTheFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t)
		p.answer = time.Hour
		p.hedge.Arm(time.Second)
		time.Sleep(time.Second + AcceptWait/4)
		began := time.Now()
		if _, ok := p.hedge.Stop(); ok || p.abandoned != 1 || p.givenUp > 0 || time.Since(began) > 0 {
			t.Errorf("accepted %v, %d abandoned, first given up %d times, after %s", ok, p.abandoned, p.givenUp, time.Since(began))
		}
	})
}

// Guards against attempts without a bound at servers that reject a request, and against none after the first.
func TestRejectedAttemptsAreRepeatedAfterAFurtherSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t)
		p.rejects, p.most = true, 3
		p.hedge.Arm(time.Second)
		for i := range 6 {
			time.Sleep(1100 * time.Millisecond)
			synctest.Wait()
			if n, want := p.tries.Load(), int32(min(i+1, 3)); n != want {
				t.Errorf("%d attempts after %d silences, want %d", n, i+1, want)
			}
		}
		p.hedge.Hold()
		p.hedge.Arm(time.Second)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if n := p.tries.Load(); n != 3 || p.givenUp > 0 {
			t.Errorf("%d attempts, first given up %d times", n, p.givenUp)
		}
	})
}

func TestEventsPostponeTheSecondAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t)
		p.hedge.Arm(time.Second)
		for range 10 {
			time.Sleep(900 * time.Millisecond)
			p.hedge.Hold()
			p.hedge.Arm(time.Second)
		}
		if n := p.tries.Load(); n > 0 {
			t.Errorf("%d attempts", n)
		}
		p.hedge.Hold()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if p.tries.Load() > 0 {
			t.Error("an attempt while held")
		}
		p.hedge.Resume()
		synctest.Wait()
		if n := p.tries.Load(); n != 1 {
			t.Errorf("%d attempts after the time that was left", n)
		}
	})
}

// Guards against an attempt that starts while the request belongs to the goroutine that waits for the first server.
func TestNoAttemptStartsWhileHeld(t *testing.T) {
	for i := range 600 {
		synctest.Test(t, func(t *testing.T) {
			p := newPlay(t)
			p.rejects, p.most, p.answer = true, 1000, time.Millisecond
			p.hedge.Arm(time.Duration(i%2) * time.Millisecond) // at once, or in the moment of the answer
			time.Sleep(time.Duration(i%7) * time.Millisecond)
			p.hedge.Hold()
			n := p.tries.Load()
			time.Sleep(time.Second)
			synctest.Wait()
			if more := p.tries.Load() - n; more > 0 {
				t.Errorf("%d attempts while held", more)
			}
		})
	}
}

// Guards against an attempt before the silence has passed, since a timer that had fired was set anew.
func TestTimerThatHasFiredDoesNotCutTheNextSilenceShort(t *testing.T) {
	for range 300 {
		synctest.Test(t, func(t *testing.T) {
			p := newPlay(t)
			p.hedge.Arm(time.Millisecond)
			time.Sleep(time.Millisecond) // the timer fires at this moment
			p.hedge.Hold()
			n := p.tries.Load()
			p.hedge.Arm(time.Second)
			time.Sleep(time.Second / 2)
			synctest.Wait()
			if more := p.tries.Load() - n; more > 0 {
				t.Errorf("%d attempts before the silence has passed", more)
			}
		})
	}
}
