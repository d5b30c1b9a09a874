package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/clock"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/crasher"
	"github.com/stilemast/stilemast/src/exchange"
)

// These tests guard against one request that crashes server after server. A request crashes the server that
// runs it, its caller gets an unknown outcome and sends the same content again under a new id to another box,
// which knows nothing of the first attempt: thirteen engines crashed within eight seconds with all streams on
// them, and the content was sent six to eight more times after the three seconds in which all boxes should
// have learned of it. Counting broken connections against the server alone does not stop this, since a
// request's id is new with each try. Boxes must count crashes by content and agree within three seconds of
// the third crash.

// crashSite is a fleet with servers that crash when they run a request whose id begins with "bad". A crashed
// server refuses connections for some time and then restarts.
type crashSite struct {
	f           *testFleet
	pool        string        // the pool whose servers crash
	unreachable bool          // a crashed server does not answer connections; its entry is removed after three heartbeats
	newID       bool          // a restarted server has a new id, and its old entry is removed
	crashDelay  time.Duration // from the start of a request to the crash
	downtime    time.Duration // how long a crashed server refuses connections

	mu         sync.Mutex
	processes  map[string]chan struct{} // of running servers; closed when they crash
	crashed    int
	thirdCrash time.Time // when the third server crashed
	late       int       // sends of the crashing content later than knownWithin after that
	sends      int
	restarts   int
	crashTimes []time.Time // of all servers
	sendTimes  []time.Time // of the crashing requests
}

// Bounds that users ask for: knownWithin is how long after the third crash the content may still be sent, and
// maxLateSends how often it may be sent after that.
const (
	knownWithin  = 3 * time.Second
	maxLateSends = 3
)

func newCrashSite(t *testing.T, boxes int, at string) *crashSite {
	f := newTestFleet(t, boxes)
	s := &crashSite{f: f, pool: at, crashDelay: 40 * time.Millisecond, downtime: 3 * time.Second, processes: map[string]chan struct{}{}}
	var servers []catalog.Server
	for i := range 24 {
		servers = append(servers, catalog.Server{ID: fmt.Sprint("model", i), Address: fmt.Sprint("model", i), Pool: "model", Domain: "d", Slots: 64, Incarnation: 1})
	}
	for i := range 12 {
		servers = append(servers, catalog.Server{ID: fmt.Sprint("piece", i), Address: fmt.Sprint("piece", i), Pool: "encode", Domain: "d", Slots: 1, Incarnation: 1})
	}
	for _, v := range servers {
		s.processes[v.ID] = make(chan struct{})
	}
	f.setStore(true, servers)
	f.send, f.runPieces, f.probe = s.send, s.runPieces, s.probe
	return s
}

// process returns a channel that is closed when the running process of a server ends; it is nil while none
// runs.
func (s *crashSite) process(id string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[id]
}

// crash ends the given process of a server, once, and schedules its restart.
func (s *crashSite) crash(id string, proc chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.processes[id] != proc {
		return
	}
	close(proc)
	delete(s.processes, id)
	s.crashTimes = append(s.crashTimes, time.Now())
	if s.crashed++; s.crashed == 3 {
		s.thirdCrash = time.Now()
	}
	if s.unreachable {
		time.AfterFunc(3600*time.Millisecond, func() { s.f.remove(id) })
		return
	}
	time.AfterFunc(s.downtime, func() { s.restart(id) })
}

// restart starts a server again.
func (s *crashSite) restart(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.newID {
		s.processes[id] = make(chan struct{})
		s.f.restart(id)
		return
	}
	s.restarts++
	newID := fmt.Sprint("born", s.restarts)
	s.processes[newID] = make(chan struct{})
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	list := slices.Clone(s.f.servers)
	i := slices.IndexFunc(list, func(v catalog.Server) bool { return v.ID == id })
	list[i].ID, list[i].Address = newID, newID
	s.f.listLocked(list)
}

// crashSoon crashes a server after crashDelay if the request is one that crashes servers of this pool.
func (s *crashSite) crashSoon(request, pool, id string, proc chan struct{}) {
	if !strings.HasPrefix(request, "bad") || pool != s.pool {
		return
	}
	s.mu.Lock()
	s.sends++
	s.sendTimes = append(s.sendTimes, time.Now())
	if !s.thirdCrash.IsZero() && time.Since(s.thirdCrash) > knownWithin {
		s.late++
	}
	s.mu.Unlock()
	time.AfterFunc(s.crashDelay, func() { s.crash(id, proc) })
}

func (s *crashSite) send(ctx context.Context, _ string, c *Call) (*Reply, error) {
	proc := s.process(c.Server.ID)
	if proc == nil {
		return nil, &exchange.NotSent{Cause: s.connectError(ctx)}
	}
	if err := c.Start(); err != nil {
		return nil, &exchange.NotSent{Cause: err}
	}
	s.crashSoon(c.Request.ID, "model", c.Server.ID, proc)
	select {
	case <-proc:
		return nil, errBroken
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(100 * time.Millisecond):
	}
	if strings.HasPrefix(c.Request.Path, "/draft/") {
		return eventStream(ctx, 1, 2, time.Millisecond, io.EOF), nil
	}
	return textReply(http.StatusOK, "ok"), nil
}

// probe answers a connection attempt to a server, whose address is its id.
func (s *crashSite) probe(address string) error {
	if s.process(address) == nil {
		return s.connectError(s.f.ctx)
	}
	return nil
}

// connectError is the error of a connection to a crashed server.
func (s *crashSite) connectError(ctx context.Context) error {
	if !s.unreachable {
		return syscall.ECONNREFUSED
	}
	clock.Sleep(ctx, 300*time.Millisecond)
	return context.DeadlineExceeded
}

func (s *crashSite) runPieces(ctx context.Context, _ string, v catalog.Server, items []batch.Item) (batch.CallOutcome, []batch.ItemResult) {
	proc := s.process(v.ID)
	if proc == nil {
		return batch.CallAbsent, nil
	}
	seen := map[string]bool{}
	for _, it := range items {
		if !seen[it.Request] {
			seen[it.Request] = true
			s.crashSoon(it.Request, "encode", v.ID, proc)
		}
	}
	select {
	case <-proc:
		return batch.CallBroken, nil
	case <-ctx.Done():
		return batch.CallBroken, nil
	case <-time.After(300 * time.Millisecond):
	}
	return batch.CallDone, resultsOf(v, items)
}

// tally counts the outcomes of callers.
type tally struct {
	mu                 sync.Mutex
	answered, unserved int
}

func (y *tally) add(a callResult) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if a.ended {
		y.answered++
		return
	}
	y.unserved++
}

// askWithBody sends a request with the given body.
func (s *crashSite) askWithBody(box, path, id, body string) callResult {
	return s.f.ask(box, path, id, func(r *Request) {
		r.Body = []byte(body)
		if r.Pieces = nil; strings.HasPrefix(path, "/draft/") {
			r.Pieces = []int{2}
		}
	})
}

// run sends harmless requests, each with a body of its own, to all boxes, and one crashing content again and
// again to one box after the other.
func (s *crashSite) run(path string, boxes int, pace, length time.Duration) (others *tally, last callResult) {
	others = &tally{}
	between := 15 * time.Millisecond
	if strings.HasPrefix(path, "/draft/") {
		between *= 2 // what the stage's servers can process
	}
	var all sync.WaitGroup
	all.Go(func() {
		for i := range int(length / between) {
			all.Go(func() {
				others.add(s.askWithBody(fmt.Sprint("box", i%boxes), path, fmt.Sprint("good", i), fmt.Sprint("body", i)))
			})
			time.Sleep(between)
		}
	})
	for i := range int(length / pace) {
		all.Go(func() {
			a := s.askWithBody(fmt.Sprint("box", i*7%boxes), path, fmt.Sprint("bad", i), "the same")
			s.mu.Lock()
			last = a
			s.mu.Unlock()
		})
		time.Sleep(pace)
	}
	all.Wait()
	return others, last
}

func TestCrashingRequestIsNotSentOn(t *testing.T) {
	cases := []struct {
		name, path, at string
		newID          bool
		unserved       int // harmless requests that may fail: those that ran beside it on the servers that crashed
	}{
		{"repeatable", "/look/x", "model", false, 10},
		{"repeatable, a new id with each restart", "/look/x", "model", true, 10},
		{"at most once", "/stamp/x", "model", false, 10},
		{"stream", "/draft/x", "model", false, 10},
		{"pieces of a stage", "/draft/x", "encode", false, 15},
	}
	for _, c := range cases {
		for _, boxes := range []int{6, 61} {
			t.Run(fmt.Sprint(boxes, " boxes: ", c.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newCrashSite(t, boxes, c.at)
					s.newID = c.newID
					settle()
					others, last := s.run(c.path, boxes, 300*time.Millisecond, 20*time.Second)
					t.Logf("%d servers crashed, %d sends, %d of them late; others: %d answered, %d not", s.crashed, s.sends, s.late, others.answered, others.unserved)
					if s.late > maxLateSends {
						t.Errorf("sent %d times later than %s after the third crash, want at most %d", s.late, knownWithin, maxLateSends)
					}
					if s.crashed > 8 {
						t.Errorf("%d servers crashed, want at most 8", s.crashed)
					}
					if others.unserved > c.unserved {
						t.Errorf("%d harmless requests of %d had no answer, want at most %d", others.unserved, others.answered+others.unserved, c.unserved)
					}
					if last.refused == nil || last.refused.DidRun() != code.RanNo || last.took > 50*time.Millisecond {
						t.Errorf("the last try got %v after %s, want an immediate refusal that says that nothing ran", last.refused, last.took)
					}
					time.Sleep(5 * time.Second) // until crashed servers have restarted
				})
			})
		}
	}
}

// Half of a pool fails at once, three times, while the same harmless request runs on all its servers. The
// request is not taken for the cause, and no caller is refused.
func TestHarmlessRequestIsNotBarredWhenHalfAPoolFails(t *testing.T) {
	for _, boxes := range []int{6, 61} {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCrashSite(t, boxes, "model")
				settle()
				others := &tally{}
				var all sync.WaitGroup
				all.Go(func() {
					for range 3 {
						time.Sleep(5 * time.Second)
						for i := range 12 {
							id := fmt.Sprint("model", i)
							if proc := s.process(id); proc != nil {
								s.crash(id, proc)
							}
						}
					}
				})
				for i := range 2500 {
					all.Go(func() {
						others.add(s.askWithBody(fmt.Sprint("box", i%boxes), "/look/x", fmt.Sprint("r", i), "the same"))
					})
					time.Sleep(8 * time.Millisecond)
				}
				all.Wait()
				if others.unserved > 0 {
					t.Errorf("%d of %d requests had no answer", others.unserved, others.answered+others.unserved)
				}
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// A box that starts after the content was identified knows it before it serves such a request.
func TestLateStartingBoxKnowsCrashingRequests(t *testing.T) {
	for _, boxes := range []int{6, 61} {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCrashSite(t, boxes, "model")
				settle()
				s.run("/look/x", boxes, 300*time.Millisecond, 6*time.Second)
				before := s.sends
				for i := range 4 {
					name := fmt.Sprint("box", i+1)
					s.f.kill(name)
					time.Sleep(time.Second)
					s.f.start(name)
					for range 20 {
						s.askWithBody(name, "/look/x", "bad", "the same")
						time.Sleep(100 * time.Millisecond)
					}
				}
				if s.sends > before || s.late > 0 {
					t.Errorf("boxes that started later sent the content %d times", s.sends-before)
				}
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// The same content arrives at several boxes at the same moment, repeatedly.
func TestConcurrentCrashingRequestsAreNotSentOn(t *testing.T) {
	for _, boxes := range []int{6, 61} {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCrashSite(t, boxes, "model")
				settle()
				var all sync.WaitGroup
				for i := range 10 {
					for b := range 5 {
						all.Go(func() { s.askWithBody(fmt.Sprint("box", b), "/stamp/x", fmt.Sprint("bad", i, "-", b), "the same") })
					}
					time.Sleep(2 * time.Second)
				}
				all.Wait()
				if s.late > 0 || s.crashed > 5 {
					t.Errorf("%d servers crashed, %d sends were late", s.crashed, s.late)
				}
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// Crashed servers do not refuse connections, as when a whole machine is lost: only the list of servers shows
// the crash.
func TestRequestThatTakesDownMachinesIsNotSentOn(t *testing.T) {
	for _, pace := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second} {
		t.Run(pace.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCrashSite(t, 6, "model")
				s.unreachable = true
				settle()
				_, last := s.run("/stamp/x", 6, pace, 30*time.Second)
				t.Logf("%d servers crashed, %d sends, %d late", s.crashed, s.sends, s.late)
				if s.late > 0 || s.crashed > 8 {
					t.Errorf("%d servers crashed, want at most 8; sent %d times later than %s after the third crash", s.crashed, s.late, knownWithin)
				}
				if last.refused == nil || last.refused.Code != code.CrashesServers {
					t.Errorf("the last try got %v", last.refused)
				}
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// A thousand requests fail at one moment with half of their pool while one content crashes servers beside
// them. The notes about a thousand suspects that boxes exchange stay small, and the crashing content is found
// among them.
func TestManySuspectsAreCheapAndHideNoCrash(t *testing.T) {
	for _, boxes := range []int{6, 61} {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCrashSite(t, boxes, "model")
				settle()
				var all sync.WaitGroup
				others := &tally{}
				for i := range 2000 {
					all.Go(func() {
						others.add(s.askWithBody(fmt.Sprint("box", i%boxes), "/stamp/x", fmt.Sprint("good", i), fmt.Sprint("body", i)))
					})
				}
				time.Sleep(50 * time.Millisecond)
				for i := range 12 {
					if id := fmt.Sprint("model", i); s.process(id) != nil {
						s.crash(id, s.process(id))
					}
				}
				s.mu.Lock()
				s.crashed, s.thirdCrash = 0, time.Time{} // from here on only crashes by the content are counted
				s.mu.Unlock()
				for i := range 60 {
					all.Go(func() { s.askWithBody(fmt.Sprint("box", i*7%boxes), "/stamp/x", fmt.Sprint("bad", i), "the same") })
					time.Sleep(200 * time.Millisecond)
				}
				all.Wait()
				perBox := s.f.noteBytes() / boxes / 12
				t.Logf("%d servers crashed, %d sends, %d late; %d others unserved; %d bytes of notes per second and box", s.crashed, s.sends, s.late, others.unserved, perBox)
				if s.late > 0 {
					t.Errorf("%d sends were late", s.late)
				}
				if perBox > 6000 {
					t.Errorf("%d bytes of notes per second and box, want at most 6,000: a third of a box's budget for control traffic", perBox)
				}
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// The boxes that count the crashes of a content are lost without notice as it begins to arrive.
func TestCrashingRequestIsNotSentOnWhenCountersAreLost(t *testing.T) {
	for _, boxes := range []int{6, 61} {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCrashSite(t, boxes, "model")
				settle()
				key := crasher.ContentOf("school", http.MethodPost, "h", "/stamp/x", []byte("the same")).At("model")
				lost := crasher.Counters(key, s.f.box("box0").fleet.usable())
				for _, box := range lost {
					s.f.setLost(box, true)
				}
				for i := range 60 {
					box := fmt.Sprint("box", i*7%boxes)
					if !slices.Contains(lost, box) {
						go s.askWithBody(box, "/stamp/x", fmt.Sprint("bad", i), "the same")
					}
					time.Sleep(300 * time.Millisecond)
				}
				t.Logf("%d servers crashed, %d sends, %d late", s.crashed, s.sends, s.late)
				if s.late > maxLateSends {
					t.Errorf("sent %d times later than %s after the third crash", s.late, knownWithin)
				}
				time.Sleep(5 * time.Second)
			})
		})
	}
}
