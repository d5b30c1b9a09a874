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
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/crasher"
	"github.com/stilemast/stilemast/src/exchange"
)

// The story. Model engines of one site stopped answering, one every second or so, thirteen in eight seconds, each back
// after some five seconds; the streams that were at work there broke off with them, and their callers lost a letter or a
// review. Order of events: a caller sent a request under which its engine ended; the caller got an unknown outcome and sent the
// same content again, under a new id, to another box; that box knew nothing and gave it to the next engine; and so on, 6 and
// 8 times more than the three seconds after the third engine's end in which the boxes were to have learned of it.
//
// Evidence: at each end, the lines of all boxes show the streams at that engine broken off in the same millisecond, and one
// digest of content is in each of these groups, from another box each time, with one attempt; no other digest is in three.
//
// Cause: all that a box knew of a request was its id, which is new at each try. A break spoke against the server alone.

// crashSite is a fleet before servers that end when they run a request whose id begins with "bad". An ended server refuses
// connections for some time and then begins a new life.
type crashSite struct {
	f      *testFleet
	at     string        // the pool whose servers it ends
	dark   bool          // an ended server answers no connection; its entry goes after three heartbeats
	newID  bool          // a new life has a new id, and the entry of the old one is removed
	downAt time.Duration // time from the beginning of a run to the server's end
	downs  time.Duration // that an ended server refuses connections

	mu     sync.Mutex
	lives  map[string]chan struct{} // of servers that run; closed at their end
	ended  int
	third  time.Time // when the third ended
	late   int       // sends of the bad content over 3 s after that
	sends  int
	births int
}

// knownWithin is how long after the third server's end the content may still be sent, and lateSends how often it may be
// after that: as the users ask.
const (
	knownWithin = 3 * time.Second
	lateSends   = 3
)

func newCrashSite(t *testing.T, boxes int, at string) *crashSite {
	f := newTestFleet(t, boxes)
	s := &crashSite{f: f, at: at, downAt: 40 * time.Millisecond, downs: 3 * time.Second, lives: map[string]chan struct{}{}}
	var servers []catalog.Server
	for i := range 24 {
		servers = append(servers, catalog.Server{ID: fmt.Sprint("model", i), Address: fmt.Sprint("model", i), Pool: "model", Domain: "d", Slots: 64, Incarnation: 1})
	}
	for i := range 12 {
		servers = append(servers, catalog.Server{ID: fmt.Sprint("piece", i), Address: fmt.Sprint("piece", i), Pool: "encode", Domain: "d", Slots: 1, Incarnation: 1})
	}
	for _, v := range servers {
		s.lives[v.ID] = make(chan struct{})
	}
	f.setStore(true, servers)
	f.send, f.runPieces, f.probe = s.send, s.runPieces, s.probe
	return s
}

// life is the life of a server, nil while no process listens there.
func (s *crashSite) life(id string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lives[id]
}

// end ends a server's life, once, and lets the next one begin later.
func (s *crashSite) end(id string, life chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lives[id] != life {
		return
	}
	close(life)
	delete(s.lives, id)
	if s.ended++; s.ended == 3 {
		s.third = time.Now()
	}
	if s.dark {
		time.AfterFunc(3600*time.Millisecond, func() { s.f.remove(id) })
		return
	}
	time.AfterFunc(s.downs, func() { s.begin(id) })
}

// begin starts a server again.
func (s *crashSite) begin(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.newID {
		s.lives[id] = make(chan struct{})
		s.f.restart(id)
		return
	}
	s.births++
	born := fmt.Sprint("born", s.births)
	s.lives[born] = make(chan struct{})
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	list := slices.Clone(s.f.servers)
	i := slices.IndexFunc(list, func(v catalog.Server) bool { return v.ID == id })
	list[i].ID, list[i].Address = born, born
	s.f.list(list)
}

// strike ends a server in a moment, when the request is one that ends it.
func (s *crashSite) strike(request, pool, id string, life chan struct{}) {
	if !strings.HasPrefix(request, "bad") || pool != s.at {
		return
	}
	s.mu.Lock()
	s.sends++
	if !s.third.IsZero() && time.Since(s.third) > knownWithin {
		s.late++
	}
	s.mu.Unlock()
	time.AfterFunc(s.downAt, func() { s.end(id, life) })
}

func (s *crashSite) send(ctx context.Context, _ string, c *Call) (*Reply, error) {
	life := s.life(c.Server.ID)
	if life == nil {
		return nil, &exchange.NotSent{Cause: s.unreached(ctx)}
	}
	if err := c.Start(); err != nil {
		return nil, &exchange.NotSent{Cause: err}
	}
	s.strike(c.Request.ID, "model", c.Server.ID, life)
	select {
	case <-life:
		return nil, errBroken
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(100 * time.Millisecond):
	}
	if strings.HasPrefix(c.Request.Path, "/draft/") {
		return events(ctx, 1, 2, time.Millisecond, io.EOF), nil
	}
	return textReply(http.StatusOK, "ok"), nil
}

// probe answers as the address of a server does, which is its id.
func (s *crashSite) probe(address string) error {
	if s.life(address) == nil {
		return s.unreached(s.f.ctx)
	}
	return nil
}

// unreached is the error of a connection to a server that has ended.
func (s *crashSite) unreached(ctx context.Context) error {
	if !s.dark {
		return syscall.ECONNREFUSED
	}
	sleep(ctx, 300*time.Millisecond)
	return context.DeadlineExceeded
}

func (s *crashSite) runPieces(ctx context.Context, _ string, v catalog.Server, items []batch.Item) (batch.CallOutcome, []batch.ItemResult) {
	life := s.life(v.ID)
	if life == nil {
		return batch.CallAbsent, nil
	}
	struck := map[string]bool{}
	for _, it := range items {
		if !struck[it.Request] {
			struck[it.Request] = true
			s.strike(it.Request, "encode", v.ID, life)
		}
	}
	select {
	case <-life:
		return batch.CallBroken, nil
	case <-ctx.Done():
		return batch.CallBroken, nil
	case <-time.After(300 * time.Millisecond):
	}
	return batch.CallDone, piecesOf(v, items)
}

// tally counts what callers got.
type tally struct {
	mu                 sync.Mutex
	answered, unserved int
}

func (y *tally) add(a answerOf) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if a.ended {
		y.answered++
		return
	}
	y.unserved++
}

// askAs sends a request with a body.
func (s *crashSite) askAs(box, path, id, body string) answerOf {
	return s.f.ask(box, path, id, func(r *Request) {
		r.Body = []byte(body)
		if r.Pieces = nil; strings.HasPrefix(path, "/draft/") {
			r.Pieces = []int{2}
		}
	})
}

// play sends good requests, each with a body of its own, at all boxes, and one bad content again and again at one box after
// the other.
func (s *crashSite) play(path string, boxes int, pace, length time.Duration) (others *tally, last answerOf) {
	others = &tally{}
	between := 15 * time.Millisecond
	if strings.HasPrefix(path, "/draft/") {
		between *= 2 // what the stage's servers can make
	}
	var all sync.WaitGroup
	all.Go(func() {
		for i := range int(length / between) {
			all.Go(func() {
				others.add(s.askAs(fmt.Sprint("box", i%boxes), path, fmt.Sprint("good", i), fmt.Sprint("body", i)))
			})
			time.Sleep(between)
		}
	})
	for i := range int(length / pace) {
		all.Go(func() {
			a := s.askAs(fmt.Sprint("box", i*7%boxes), path, fmt.Sprint("bad", i), "the same")
			s.mu.Lock()
			last = a
			s.mu.Unlock()
		})
		time.Sleep(pace)
	}
	all.Wait()
	return others, last
}

func TestARequestThatCrashesServersIsNotSentOn(t *testing.T) {
	cases := []struct {
		name, path, at string
		newID          bool
		unserved       int // good requests that may go without an answer: those beside it at the servers that it ended
	}{
		{"repeatable", "/look/x", "model", false, 10},
		{"repeatable, a new id with each life", "/look/x", "model", true, 10},
		{"may run once", "/stamp/x", "model", false, 10},
		{"stream", "/draft/x", "model", false, 10},
		{"piece of a stage", "/draft/x", "encode", false, 15},
	}
	for _, c := range cases {
		for _, boxes := range []int{6, 61} {
			t.Run(fmt.Sprint(boxes, " boxes: ", c.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newCrashSite(t, boxes, c.at)
					s.newID = c.newID
					settle()
					others, last := s.play(c.path, boxes, 300*time.Millisecond, 20*time.Second)
					t.Logf("%d servers ended, %d sends, %d of them late; others: %d answered, %d not", s.ended, s.sends, s.late, others.answered, others.unserved)
					if s.late > lateSends {
						t.Errorf("sent %d times later than %s after the third server's end, want %d at most", s.late, knownWithin, lateSends)
					}
					if s.ended > 8 {
						t.Errorf("%d servers ended, want 8 at most", s.ended)
					}
					if others.unserved > c.unserved {
						t.Errorf("%d good requests of %d had no answer, want %d at most", others.unserved, others.answered+others.unserved, c.unserved)
					}
					if last.refused == nil || last.refused.DidRun() != code.RanNo || last.took > 50*time.Millisecond {
						t.Errorf("the last try got %v after %s, want a refusal at once that says that nothing ran", last.refused, last.took)
					}
					time.Sleep(5 * time.Second) // servers that are down begin their next lives
				})
			})
		}
	}
}

// Half of a pool is lost at one moment, three times, and one and the same good request runs on all its servers. It is no
// cause, and nobody is shut out.
func TestAGoodRequestIsNotShutOutWhenHalfAPoolIsLost(t *testing.T) {
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
							if life := s.life(id); life != nil {
								s.end(id, life)
							}
						}
					}
				})
				for i := range 2500 {
					all.Go(func() { others.add(s.askAs(fmt.Sprint("box", i%boxes), "/look/x", fmt.Sprint("r", i), "the same")) })
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

// A box that starts after the verdict knows it before it serves such a request.
func TestABoxThatStartsLaterSendsNoRequestThatCrashesServers(t *testing.T) {
	for _, boxes := range []int{6, 61} {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCrashSite(t, boxes, "model")
				settle()
				s.play("/look/x", boxes, 300*time.Millisecond, 6*time.Second)
				before := s.sends
				for i := range 4 {
					name := fmt.Sprint("box", i+1)
					s.f.kill(name)
					time.Sleep(time.Second)
					s.f.start(name)
					for range 20 {
						s.askAs(name, "/look/x", "bad", "the same")
						time.Sleep(100 * time.Millisecond)
					}
				}
				if s.sends > before || s.late > 0 {
					t.Errorf("boxes that started later sent it %d times", s.sends-before)
				}
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// The content comes at several boxes at the same moment, again and again.
func TestARequestThatComesAtSeveralBoxesAtOnceIsNotSentOn(t *testing.T) {
	for _, boxes := range []int{6, 61} {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCrashSite(t, boxes, "model")
				settle()
				var all sync.WaitGroup
				for i := range 10 {
					for b := range 5 {
						all.Go(func() { s.askAs(fmt.Sprint("box", b), "/stamp/x", fmt.Sprint("bad", i, "-", b), "the same") })
					}
					time.Sleep(2 * time.Second)
				}
				all.Wait()
				if s.late > 0 || s.ended > 5 {
					t.Errorf("%d servers ended, %d sends were late", s.ended, s.late)
				}
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// Servers that end refuse no connections, as when a machine is lost: only the list shows the end.
func TestARequestThatTakesMachinesWithItIsNotSentOn(t *testing.T) {
	for _, pace := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second} {
		t.Run(pace.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCrashSite(t, 6, "model")
				s.dark = true
				settle()
				_, last := s.play("/stamp/x", 6, pace, 30*time.Second)
				t.Logf("%d ended, %d sends, %d late", s.ended, s.sends, s.late)
				if s.late > 0 || s.ended > 8 {
					t.Errorf("%d servers ended, want 8 at most; sent %d times later than %s after the third", s.ended, s.late, knownWithin)
				}
				if last.refused == nil || last.refused.Code != code.CrashesServers {
					t.Errorf("the last try got %v", last.refused)
				}
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// A thousand requests break at one moment with half of their pool, and the one that crashes servers comes beside them. What
// boxes tell one another of a thousand suspects stays small, and the guilty one is found among them.
func TestAThousandSuspectsCostLittleAndHideNobody(t *testing.T) {
	for _, boxes := range []int{6, 61} {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCrashSite(t, boxes, "model")
				settle()
				var all sync.WaitGroup
				others := &tally{}
				for i := range 2000 {
					all.Go(func() {
						others.add(s.askAs(fmt.Sprint("box", i%boxes), "/stamp/x", fmt.Sprint("good", i), fmt.Sprint("body", i)))
					})
				}
				time.Sleep(50 * time.Millisecond)
				for i := range 12 {
					if id := fmt.Sprint("model", i); s.life(id) != nil {
						s.end(id, s.life(id))
					}
				}
				s.mu.Lock()
				s.ended, s.third = 0, time.Time{} // of the content that crashes servers, from here on
				s.mu.Unlock()
				for i := range 60 {
					all.Go(func() { s.askAs(fmt.Sprint("box", i*7%boxes), "/stamp/x", fmt.Sprint("bad", i), "the same") })
					time.Sleep(200 * time.Millisecond)
				}
				all.Wait()
				perBox := s.f.noteBytes() / boxes / 12
				t.Logf("%d servers ended, %d sends, %d late; %d others unserved; %d bytes of notes a second and box", s.ended, s.sends, s.late, others.unserved, perBox)
				if s.late > 0 {
					t.Errorf("%d sends were late", s.late)
				}
				if perBox > 6000 {
					t.Errorf("%d bytes of notes a second and box, want 6,000 at most: a third of what a box may spend on control", perBox)
				}
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// The boxes that add up the ends under a content are lost without a word as it begins to come.
func TestARequestThatCrashesServersIsNotSentOnWhenWhoCountsIsLost(t *testing.T) {
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
						go s.askAs(box, "/stamp/x", fmt.Sprint("bad", i), "the same")
					}
					time.Sleep(300 * time.Millisecond)
				}
				t.Logf("%d servers ended, %d sends, %d late", s.ended, s.sends, s.late)
				if s.late > lateSends {
					t.Errorf("sent %d times later than %s after the third server's end", s.late, knownWithin)
				}
				time.Sleep(5 * time.Second)
			})
		})
	}
}
