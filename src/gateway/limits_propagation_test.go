package gateway

import (
	"context"
	"flag"
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
	"github.com/stilemast/stilemast/src/pushback"
)

var limitTable = flag.Bool("limits.table", false, "run servers' limits in fleets of 985 boxes too")

// limitFleetSizes returns the fleet sizes of the users; the largest is run on demand only, as it takes a
// minute.
func limitFleetSizes() []int {
	if *limitTable {
		return []int{6, 61, 295, 985}
	}
	return []int{6, 61, 295}
}

// In a fleet of any size one server of five, or all of them, announce a limit: the server is neither overrun,
// by boxes that know of the limit or not, nor left idle, and the questions to its coordinator stay in
// proportion to the requests.
func TestServerLimitsInFleetsOfAnySize(t *testing.T) {
	for _, c := range []limitCase{limitCases[0], limitCases[3], limitCases[5], limitCases[8]} {
		for _, boxes := range limitFleetSizes() {
			t.Run(fmt.Sprint(boxes, " boxes: ", c.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newPushbackSite(t, boxes)
					asked := s.countQuestions()
					s.nameLimit(c.pool, c.limiting, c.perSecond)
					h := s.run(c.path, boxes, c.between, limitRunTime)
					s.checkLimits(t, c.perSecond, time.Now())
					perRequest := float64(asked()) / float64(h.answered+2*h.refused)
					t.Logf("%d answered, %d refused, %d refused twice, %d late, %.2f questions per request", h.answered, h.refused, h.refusedTwice, h.slow, perRequest)
					if perRequest > maxPermitRequests {
						t.Errorf("%.2f questions per request, want at most %d", perRequest, maxPermitRequests)
					}
				})
			})
		}
	}
}

// countQuestions counts the permit questions between boxes from now on.
func (s *pushbackSite) countQuestions() func() int {
	n := 0
	for _, box := range s.f.names() {
		s.f.onAnswer[addressOf(box)] = func(_ string, q port.Question, _ *port.Answer) error {
			if q.Permits != nil {
				s.mu.Lock()
				n++
				s.mu.Unlock()
			}
			return nil
		}
	}
	return func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return n
	}
}

func (f *testFleet) names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for a := range f.boxes {
		out = append(out, strings.TrimSuffix(a, ":1"))
	}
	return out
}

// When one box learns of a limit, of its decrease and of its end, all boxes know within twice the time after
// which a box that got it itself is held to it.
func TestLimitChangeReachesAllBoxes(t *testing.T) {
	for _, boxes := range limitFleetSizes() {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPushbackSite(t, boxes)
				server := s.f.servers[1] // model0
				for _, step := range []struct {
					name   string
					says   float64
					within time.Duration
				}{{"named", 4, 2 * limitKnownAfter}, {"falls", 1, 2 * limitKnownAfter}, {"ends", 0, 2 * limitKnownAfter}} {
					time.Sleep(2 * time.Second)
					began := time.Now()
					s.f.box("box0").recordSignals(server, pushback.Signals{Limit: step.says}, "a request", began)
					last := time.Duration(0)
					for time.Since(began) < 4*time.Second && last == 0 {
						time.Sleep(5 * time.Millisecond)
						know := 0
						for _, box := range s.f.names() {
							l, ok := s.f.box(box).limitAt(server)
							if ok && (step.says > 0 && l.PerSecond == step.says || step.says == 0 && l.Ended) || !ok && step.says == 0 {
								know++
							}
						}
						if know == boxes {
							last = time.Since(began)
						}
					}
					t.Logf("%s: the last box knew after %s", step.name, last)
					if last == 0 || last > step.within {
						t.Errorf("%s: the last box knew after %s, want at most %s", step.name, last, step.within)
					}
				}
			})
		})
	}
}

// Boxes of an earlier release ignore limits and grant no permits. The others skip them as coordinators and
// report such a server to them as full, so that they use servers with free capacity.
func TestServerLimitsInMixedReleases(t *testing.T) {
	for _, boxes := range []int{6, 61} {
		for _, c := range []limitCase{limitCases[0], limitCases[1]} {
			t.Run(fmt.Sprint(boxes, " boxes: ", c.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newPushbackSite(t, boxes)
					first := s.coordinator(c.pool) // of the server with the limit, if it were of this release
					old := func(box string) bool {
						return box == first || strings.HasSuffix(box, "1") || strings.HasSuffix(box, "3")
					}
					s.ignoreLimits(old)
					s.nameLimit(c.pool, c.limiting, c.perSecond)
					h := s.run(c.path, boxes, c.between, limitRunTime)
					s.checkLimits(t, c.perSecond, time.Now())
					if h.answered < 1500 {
						t.Errorf("%d of 1,500 answered", h.answered)
					}
				})
			})
		}
	}
}

// ignoreLimits makes some boxes behave as those of an earlier release.
func (s *pushbackSite) ignoreLimits(old func(box string) bool) {
	s.f.alterBeat = func(to string, b *core.Beat) {
		if !old(strings.TrimSuffix(to, ":1")) {
			return
		}
		b.Limits = nil
		notes := append([]core.BackendNote(nil), b.Backends...)
		for i := range notes {
			notes[i].Limited, notes[i].Held = false, 0
		}
		b.Backends = notes
	}
	send := s.f.send
	s.f.send = func(ctx context.Context, box string, c *Call) (*Reply, error) {
		r, err := send(ctx, box, c)
		if r != nil && old(box) {
			r.Signals.Limit = 0
		}
		return r, err
	}
	for _, box := range s.f.names() {
		s.f.onAnswer[addressOf(box)] = func(to string, q port.Question, a *port.Answer) error {
			if q.Permits != nil && old(strings.TrimSuffix(to, ":1")) {
				a.Permits = nil
			}
			return nil
		}
	}
}

// Servers that end their limit get their load back in steps, twice as much with each second, up to all of it.
func TestLoadRampsUpWhenLimitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPushbackSite(t, 6)
		s.nameLimit("model", 5, 4)
		go func() {
			time.Sleep(4 * time.Second)
			s.mu.Lock()
			s.limits.set(time.Now(), 0, "model0", "model1", "model2", "model3", "model4")
			s.mu.Unlock()
		}()
		arrived := make([]int, 13)
		began := time.Now()
		send := s.f.send
		s.f.send = func(ctx context.Context, box string, c *Call) (*Reply, error) {
			s.mu.Lock()
			if i := int(time.Since(began).Seconds()); i < len(arrived) {
				arrived[i]++
			}
			s.mu.Unlock()
			return send(ctx, box, c)
		}
		h := s.run("/look/x", 6, 8*time.Millisecond, limitRunTime)
		t.Logf("arrivals by second: %v; %d answered, %d refused", arrived, h.answered, h.refused)
		const all = 5 * 4 // requests a second by the limit
		for i := 4; i < 10; i++ {
			if most := all<<(i-4) + 5*limitSlack; arrived[i] > most {
				t.Errorf("%d requests in second %d, want at most %d", arrived[i], i, most)
			}
		}
		if arrived[11] < 120 {
			t.Errorf("%d requests in the last second, of 125 that callers send", arrived[11])
		}
	})
}

// A limit that changes with each answer, or is invalid, takes no server out of use.
func TestErraticServerLimits(t *testing.T) {
	for _, c := range []struct {
		name  string
		says  func(i int) float64
		least float64 // the fraction of requests that is answered at the first try
	}{
		{"is there in every other answer", func(i int) float64 { return float64(i%2) * 20 }, 0},
		{"rises and falls", func(i int) float64 { return []float64{40, 20, 80, 30}[i%4] }, 0},
		{"is invalid", func(int) float64 { return pushback.InvalidLimit }, 0.99},
		{"is huge", func(int) float64 { return pushback.MaxLimit }, 0.99},
		{"is near nothing at one of five", func(int) float64 { return math.Inf(1) }, 0.99},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPushbackSite(t, 6)
				n := 0
				send := s.f.send
				s.f.send = func(ctx context.Context, box string, call *Call) (*Reply, error) {
					r, err := send(ctx, box, call)
					if r == nil {
						return r, err
					}
					s.mu.Lock()
					defer s.mu.Unlock()
					n++
					if r.Signals.Limit = c.says(n); math.IsInf(r.Signals.Limit, 1) {
						r.Signals.Limit = 0
						if call.Server.ID == "model0" {
							r.Signals.Limit = pushback.MinLimit
						}
					}
					return r, err
				}
				h := s.run("/look/x", 6, 8*time.Millisecond, 6*time.Second)
				t.Logf("%d answered, %d refused, %d refused twice, the slowest after %s", h.answered, h.refused, h.refusedTwice, h.slowest)
				if h.unserved > 0 || float64(h.answered) < c.least*float64(h.answered+h.refused) {
					t.Errorf("%d answered, %d refused, %d without an answer", h.answered, h.refused, h.unserved)
				}
				if h.slowest > 100*time.Millisecond {
					t.Errorf("a refusal took %s", h.slowest)
				}
			})
		})
	}
}
