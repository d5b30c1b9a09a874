package gateway

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/clock"
)

var pathsTable = flag.Bool("paths.table", false, "play boxes without a path, and brittle servers, at 295 and 985 boxes too")

// Boxes lose their path to all servers, while callers, the other boxes and the store reach them. From contactTime after
// that, a caller must not be able to tell from the first attempts which boxes these are.
const (
	contactTime = 3 * time.Second
	fairShare   = 0.9 // of first attempts served, of what the other boxes serve, and of what these serve without a fault
)

// cutMode is what a connection of a box without a path to a server does.
type cutMode uint8

const (
	cutRefused cutMode = iota // refused at once
	cutSilent                 // not answered
)

func (m cutMode) String() string { return []string{"refused", "silent"}[m] }

// pathSite is a fleet in three failure domains whose boxes may lose their paths.
type pathSite struct {
	f     *testFleet
	boxes int

	mu     sync.Mutex
	cut    map[string]bool
	gone   map[string]bool // servers that no box reaches
	mode   cutMode
	served map[attempts]attemptCount
}

// attempts are the first attempts at one path of the callers of boxes that have lost theirs to the servers, or of the others.
type attempts struct {
	cut  bool
	path string
}

type attemptCount struct{ served, all int }

func (n attemptCount) share() float64 { return float64(n.served) / float64(max(1, n.all)) }

// sitePaths are those of a request with a stage and of one without.
var sitePaths = []string{"/draft/x", "/look/x"}

func newPathSite(t *testing.T, boxes int) *pathSite {
	s := &pathSite{f: newEmptyFleet(t), boxes: boxes, cut: map[string]bool{}, gone: map[string]bool{}, served: map[attempts]attemptCount{}}
	s.f.catalog = testCatalog(1)
	for i := range s.f.catalog.Pipelines {
		s.f.catalog.Pipelines[i].Attempts = 2
	}
	s.f.servers = nil
	for i := range 5 {
		domain := fmt.Sprint("d", i%3)
		s.f.servers = append(s.f.servers,
			catalog.Server{ID: fmt.Sprint("piece", i), Address: fmt.Sprint("piece", i), Pool: "encode", Domain: domain, Slots: 1},
			catalog.Server{ID: fmt.Sprint("model", i), Address: fmt.Sprint("model", i), Pool: "model", Domain: domain, Slots: 64})
	}
	s.f.serveStreams(3)
	s.f.dial = s.dial
	s.f.setUp = func(g *Gateway) { g.Settings.FailureDomain = s.domainOf(g.ID.Name) }
	for i := range boxes {
		s.f.start(fmt.Sprint("box", i))
	}
	time.Sleep(settlingTime(boxes))
	return s
}

// settlingTime is how long a fleet needs until pools have schedulers that stay.
func settlingTime(boxes int) time.Duration {
	if boxes > 100 {
		return 8 * time.Second
	}
	return 4 * time.Second
}

func (s *pathSite) domainOf(box string) string {
	var i int
	_, _ = fmt.Sscanf(box, "box%d", &i)
	return fmt.Sprint("d", i%3)
}

// dial opens a connection from a box to a server.
func (s *pathSite) dial(ctx context.Context, box, server string) error {
	s.mu.Lock()
	cut, mode := s.cut[box] || s.gone[server], s.mode
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.f.ctx, cancel)()
	if !wait(ctx, time.Millisecond) {
		return ctx.Err()
	}
	switch {
	case !cut:
		return nil
	case mode == cutSilent:
		clock.Sleep(ctx, 700*time.Millisecond)
		return os.ErrDeadlineExceeded
	}
	return syscall.ECONNREFUSED
}

// cutOff takes the paths of some boxes away; without names all are back.
func (s *pathSite) cutOff(mode cutMode, boxes ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	clear(s.cut)
	for _, b := range boxes {
		s.cut[b] = true
	}
}

// run sends requests to random boxes for some time and counts the first attempts from skip on.
func (s *pathSite) run(t *testing.T, seed uint64, length, skip time.Duration) {
	s.mu.Lock()
	clear(s.served)
	s.mu.Unlock()
	r := rand.New(rand.NewPCG(seed, 1))
	var callers sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < length; n++ {
		path := sitePaths[min(n%8, 1)]
		box, id, counts := s.draw(r, n), fmt.Sprintf("%d-%d", seed, n), time.Since(began) >= skip
		callers.Go(func() {
			a := s.f.ask(box, path, id, func(q *Request) { q.Left = 2500 * time.Millisecond })
			s.count(box, path, counts, a)
		})
		time.Sleep(12 * time.Millisecond)
	}
	callers.Wait()
}

// draw returns the box of the n-th request: one by chance, every fifth time one without a path if there are any.
func (s *pathSite) draw(r *rand.Rand, n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n%5 == 0 && len(s.cut) > 0 {
		cut := slices.Sorted(maps.Keys(s.cut))
		return cut[r.IntN(len(cut))]
	}
	return fmt.Sprint("box", r.IntN(s.boxes))
}

func (s *pathSite) count(box, path string, counts bool, a callResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !counts {
		return
	}
	key := attempts{cut: s.cut[box], path: path}
	x := s.served[key]
	x.all++
	if a.ended && a.status == 200 {
		x.served++
	}
	s.served[key] = x
}

// counts returns the tallies of a path at boxes without a path to the servers and at the others.
func (s *pathSite) counts(path string) (cut, others attemptCount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served[attempts{cut: true, path: path}], s.served[attempts{path: path}]
}

// cutCases name the boxes that lose their paths.
var cutCases = []struct {
	name string
	cut  func(s *pathSite, box int) bool
}{
	{"half of the boxes", func(_ *pathSite, i int) bool { return i%2 == 0 }},
	{"a failure domain", func(_ *pathSite, i int) bool { return i%3 == 0 }},
	{"all but one failure domain", func(_ *pathSite, i int) bool { return i%3 != 2 }},
	{"most of a failure domain", func(s *pathSite, i int) bool { return i%3 == 0 && i >= 3 || s.boxes < 10 && i == 1 }},
	{"the schedulers", func(s *pathSite, i int) bool {
		return s.f.box("box0").schedulerOf("encode", nil) == fmt.Sprint("box", i)
	}},
}

func (s *pathSite) names(cut func(s *pathSite, box int) bool) []string {
	var out []string
	for i := range s.boxes {
		if cut(s, i) {
			out = append(out, fmt.Sprint("box", i))
		}
	}
	return out
}

func pathSizes() []int {
	if *pathsTable {
		return []int{6, 61, 295, 985}
	}
	return []int{6, 61}
}

func TestCallersOfBoxesWithoutPathAreServed(t *testing.T) {
	for _, boxes := range pathSizes() {
		for _, mode := range []cutMode{cutRefused, cutSilent} {
			for _, c := range cutCases {
				t.Run(fmt.Sprint(boxes, " boxes, ", mode, ", ", c.name), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := newPathSite(t, boxes)
						s.run(t, 1, 3*time.Second, 0)
						without := map[string]float64{}
						for _, path := range sitePaths {
							_, n := s.counts(path)
							without[path] = n.share()
						}
						s.cutOff(mode, s.names(c.cut)...)
						s.run(t, 2, 9*time.Second, contactTime)
						for _, path := range sitePaths {
							cut, others := s.counts(path)
							t.Logf("%s: served %.3f without a fault, then %.3f at boxes with a path to the servers, %.3f without", path, without[path], others.share(), cut.share())
							if cut.share() < fairShare*others.share() {
								t.Errorf("%s: boxes without a path served %d of %d first attempts, the others %d of %d", path, cut.served, cut.all, others.served, others.all)
							}
							if others.share() < fairShare*without[path] {
								t.Errorf("%s: boxes with a path served %d of %d first attempts, a share of %.3f before", path, others.served, others.all, without[path])
							}
						}
						s.cutOff(mode)
						s.run(t, 3, 4*time.Second, time.Second)
						for _, path := range sitePaths {
							if _, after := s.counts(path); after.share() < fairShare*without[path] {
								t.Errorf("%s: %d of %d first attempts served after the links were back, a share of %.3f before", path, after.served, after.all, without[path])
							}
						}
					})
				})
			}
		}
	}
}

func TestPoolsAreScheduledByBoxesWithPath(t *testing.T) {
	for _, boxes := range pathSizes() {
		for _, mode := range []cutMode{cutRefused, cutSilent} {
			t.Run(fmt.Sprint(boxes, " boxes, ", mode), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newPathSite(t, boxes)
					s.run(t, 1, 2*time.Second, 0)
					before := s.f.box("box0").schedulerOf("encode", nil)
					s.cutOff(mode, before)
					s.run(t, 2, contactTime, 0)
					for i := range boxes {
						if after := s.f.box(fmt.Sprint("box", i)).schedulerOf("encode", nil); after == before {
							t.Fatalf("box%d still takes %s, which has no path, for the scheduler", i, before)
						}
					}
				})
			})
		}
	}
}

func TestBoxesWithoutPathDoNotReportCrashes(t *testing.T) {
	for _, mode := range []cutMode{cutRefused, cutSilent} {
		t.Run(mode.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPathSite(t, 6)
				var found []string
				for i := range 6 {
					g := s.f.box(fmt.Sprint("box", i))
					g.suspects.Counted = func(int) { found = append(found, g.ID.Name) }
				}
				s.f.send = func(ctx context.Context, box string, _ *Call) (*Reply, error) {
					for range 20 { // the connection breaks when the path does
						if !wait(ctx, 10*time.Millisecond) {
							return nil, ctx.Err()
						}
						s.mu.Lock()
						cut := s.cut[box]
						s.mu.Unlock()
						if cut {
							return nil, errors.New("connection reset")
						}
					}
					return textReply(200, "ok"), nil
				}
				go func() {
					time.Sleep(time.Second)
					s.cutOff(mode, "box0", "box1", "box3")
				}()
				s.run(t, 1, 6*time.Second, 0)
				if len(found) > 0 {
					slices.Sort(found)
					t.Errorf("sound servers were reported as crashed by %s", slices.Compact(found))
				}
			})
		})
	}
}

// Nobody reaches four of five servers of a stage for a while; what waits meanwhile must not wait on.
func TestServersAreUsedAsSoonAsTheyAreReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPathSite(t, 6)
		var mu sync.Mutex
		called := map[string]time.Time{}
		run := s.f.runPieces
		s.f.runPieces = func(ctx context.Context, box string, v catalog.Server, items []batch.Item) (batch.CallOutcome, []batch.ItemResult) {
			mu.Lock()
			called[v.ID] = time.Now()
			mu.Unlock()
			return run(ctx, box, v, items)
		}
		var back time.Time
		go func() {
			time.Sleep(time.Second)
			s.mu.Lock()
			s.mode = cutSilent
			for i := range 4 {
				s.gone[fmt.Sprint("piece", i)] = true
			}
			s.mu.Unlock()
			time.Sleep(12 * time.Second)
			s.mu.Lock()
			clear(s.gone)
			back = time.Now()
			s.mu.Unlock()
		}()
		r := rand.New(rand.NewPCG(1, 1))
		for n := 0; n < 16*25; n++ {
			box, id := fmt.Sprint("box", r.IntN(6)), fmt.Sprint("r", n)
			go s.f.ask(box, "/draft/x", id, func(q *Request) { q.Left = 4 * time.Second })
			if time.Sleep(40 * time.Millisecond); !back.IsZero() && time.Since(back) > 1500*time.Millisecond {
				break
			}
		}
		mu.Lock()
		last := maps.Clone(called)
		mu.Unlock()
		for i := range 5 {
			if id := fmt.Sprint("piece", i); last[id].Before(back) {
				t.Errorf("%s got no call within 1.5 s after it could be reached again", id)
			}
		}
		time.Sleep(5 * time.Second) // until the last requests have ended
	})
}

func TestStatusShowsLostPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPathSite(t, 6)
		shown := func() bool {
			for _, p := range s.f.box("box0").Status().Pools {
				if p.Pool == "model" {
					return p.NoPath
				}
			}
			return false
		}
		s.run(t, 1, time.Second, 0)
		before := shown()
		s.cutOff(cutRefused, "box0")
		s.run(t, 2, contactTime, 0)
		during := shown()
		s.cutOff(cutRefused)
		s.run(t, 3, contactTime, 0)
		if before || !during || shown() {
			t.Errorf("shown before %v, during %v and after the cut %v", before, during, shown())
		}
	})
}

func TestBoxesThatAreAllCutOffKeepDutiesAndRecover(t *testing.T) {
	for _, mode := range []cutMode{cutRefused, cutSilent} {
		t.Run(mode.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPathSite(t, 6)
				s.run(t, 1, 2*time.Second, 0)
				before := s.f.box("box0").schedulerOf("encode", nil)
				s.cutOff(mode, boxNames(6)...)
				s.run(t, 2, contactTime, 0)
				for _, name := range boxNames(6) {
					g := s.f.box(name)
					if after := g.schedulerOf("encode", nil); after != before || !g.Ready() {
						t.Errorf("%s takes %s for the scheduler, %s before; ready %v", name, after, before, g.Ready())
					}
				}
				s.cutOff(mode)
				s.run(t, 3, 5*time.Second, 2*time.Second)
				for _, path := range sitePaths {
					if _, n := s.counts(path); n.share() < fairShare {
						t.Errorf("%s: %d of %d first attempts served after the links were back", path, n.served, n.all)
					}
				}
			})
		})
	}
}
