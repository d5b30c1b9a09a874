package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// A server may announce in its answers how many requests a second it accepts from all boxes together. This
// test guards against each box enforcing the limit on its own: none exceeds it, but six boxes together send
// up to six times as much (TestWaysToShareALimit of quota; 13 requests in 4 s reached engines where 11 were
// allowed). Boxes exchange only what currently runs at a server and not what was sent, so no box sees the
// sum.
func TestServerLimitHoldsAcrossBoxes(t *testing.T) {
	for _, c := range limitCases {
		for _, boxes := range []int{6, 61} {
			t.Run(fmt.Sprint(boxes, " boxes: ", c.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runLimitCase(t, c, boxes) })
			})
		}
	}
}

// limitCase is a run in which some servers of a pool announce a limit while callers send requests.
type limitCase struct {
	name, path, pool string
	limiting         int
	perSecond        float64
	between          time.Duration
}

var limitCases = []limitCase{
	{"repeatable, 1 of 5", "/look/x", "model", 1, 1, 8 * time.Millisecond},
	{"at most once, 1 of 5", "/stamp/x", "model", 1, 1, 8 * time.Millisecond},
	{"stream, 1 of 5", "/draft/x", "model", 1, 1.1, 60 * time.Millisecond},
	{"calls of a stage, 1 of 5", "/draft/x", "piece", 1, 1, 60 * time.Millisecond},
	{"repeatable, 3 of 5", "/look/x", "model", 3, 20, 8 * time.Millisecond},
	{"repeatable, all", "/look/x", "model", 5, 4, 8 * time.Millisecond},
	{"at most once, all", "/stamp/x", "model", 5, 4, 8 * time.Millisecond},
	{"stream, all", "/draft/x", "model", 5, 1, 60 * time.Millisecond},
	{"calls of a stage, all", "/draft/x", "piece", 5, 1, 60 * time.Millisecond},
}

const limitRunTime = 12 * time.Second

func runLimitCase(t *testing.T, c limitCase, boxes int) {
	s := newPushbackSite(t, boxes)
	s.nameLimit(c.pool, c.limiting, c.perSecond)
	h := s.run(c.path, boxes, c.between, limitRunTime)
	s.checkLimits(t, c.perSecond, time.Now())
	all := h.answered + h.refused + h.unserved
	t.Logf("of %d callers %d answered, %d refused (%d again when they retried), %d of them late, the slowest after %s, %d without an answer", all, h.answered, h.refused, h.refusedTwice, h.slow, h.slowest, h.unserved)
	if most := all / 100; c.limiting < 5 && h.refused > most || h.unserved > 0 {
		t.Errorf("%d refused and %d without an answer of %d, want at most %d and none", h.refused, h.unserved, all, most)
	}
	if h.noRetryTime > 0 {
		t.Errorf("%d refused without a retry time", h.noRetryTime)
	}
	if c.path != "/draft/x" && h.slowest > 100*time.Millisecond {
		t.Errorf("a refusal took %s", h.slowest)
	}
}

func (s *pushbackSite) nameLimit(pool string, n int, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range n {
		s.limits.set(time.Now(), perSecond, fmt.Sprint(pool, i))
	}
}

// checkLimits compares the requests that reached servers with their limit.
func (s *pushbackSite) checkLimits(t *testing.T, perSecond float64, until time.Time) {
	t.Helper()
	s.mu.Lock()
	fromInformed, all, used := s.limits.most(false), s.limits.most(true), s.limits.used(until)
	s.mu.Unlock()
	t.Logf("at most %d requests in %s, %d from boxes that had received the limit in answers of their own, %d allowed; %.2f used", all, limitWindow, fromInformed, maxRequests(perSecond), used)
	if most := max(fromInformed, all); most > maxRequests(perSecond) {
		t.Errorf("%d requests in %s reached a server that accepts %g a second from all boxes together, want at most %d", most, limitWindow, perSecond, maxRequests(perSecond))
	}
	if used < minLimitUse {
		t.Errorf("%.2f of a server's limit was used while callers wanted more, want at least %.2f", used, minLimitUse)
	}
}
