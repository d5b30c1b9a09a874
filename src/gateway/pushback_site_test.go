package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/exchange"
	"github.com/stilemast/stilemast/src/pushback"
)

// pushbackSite is a fleet with servers that say in their answers that they are leaving, want rest or limit
// their requests.
type pushbackSite struct {
	f *testFleet

	mu           sync.Mutex
	leaving      map[string]bool
	shedUntil    map[string]time.Time // until when a server refuses what arrives
	restFor      time.Duration        // the rest that such a server asks for
	sentAt       map[string]time.Time // by request id
	leavingHeard map[[2]string]time.Time
	rests        map[[2]string][]*restPeriod // by box and server
	restAskedAt  map[string]time.Time        // when a box was last asked for rest
	lateByBox    map[string]int              // late, by box
	late         int                         // requests sent later than allowed after the box was notified
	arrived      int
	lateFrees    int // calls to free results that reached a server after it had signalled to the box that it is leaving
	limits       limitRecord
	down         map[string]bool // boxes without callers
}

// restPeriod is one answer that asked for rest.
type restPeriod struct {
	from, until time.Time // between these at most maxRestArrivals requests may arrive
	arrived     int
}

// The users' bounds. A box sends a server nothing that a caller sent later than leavingGrace after the
// server's notice. During a requested rest, except for the first restGrace of it, at most maxRestArrivals
// requests may arrive.
const (
	leavingGrace    = 2 * time.Second
	restGrace       = 500 * time.Millisecond
	maxRestArrivals = 2
)

func newPushbackSite(t *testing.T, boxes int) *pushbackSite {
	f := newEmptyFleet(t)
	f.servers = nil
	for i := range 5 {
		f.servers = append(f.servers,
			catalog.Server{ID: fmt.Sprint("piece", i), Pool: "encode", Domain: "d", Slots: 1, Incarnation: 1},
			catalog.Server{ID: fmt.Sprint("model", i), Pool: "model", Domain: "d", Slots: 64, Incarnation: 1})
	}
	s := &pushbackSite{
		f: f, leaving: map[string]bool{}, shedUntil: map[string]time.Time{}, restFor: 3 * time.Second, sentAt: map[string]time.Time{},
		leavingHeard: map[[2]string]time.Time{}, rests: map[[2]string][]*restPeriod{}, restAskedAt: map[string]time.Time{}, lateByBox: map[string]int{},
	}
	f.send, f.callPieces, f.freePieces = s.send, s.runPieces, s.free
	for i := range boxes {
		f.start(fmt.Sprint("box", i))
	}
	settle()
	return s
}

// recordArrival records a message that reached a server and returns what its answer says, and whether the message
// is refused.
func (s *pushbackSite) recordArrival(box, server string, requests ...string) (pushback.Signals, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, key := time.Now(), [2]string{box, server}
	s.arrived++
	at, knows := s.leavingHeard[key]
	for _, r := range requests {
		if knows && s.sentAt[r].Sub(at) > leavingGrace {
			s.late++
			s.lateByBox[box]++
			break
		}
	}
	if knows && len(requests) == 0 && now.Sub(at) > leavingGrace {
		s.lateFrees++
	}
	for _, r := range s.rests[key] {
		if now.After(r.from) && now.Before(r.until) {
			r.arrived++
		}
	}
	w := pushback.Signals{Leaving: s.leaving[server], Limit: s.limits.recordArrival(now, box, server)}
	shed := now.Before(s.shedUntil[server])
	if shed {
		w.Rest = s.restFor
	}
	return w, shed
}

// recordAnswer records an answer that a box got.
func (s *pushbackSite) recordAnswer(box, server string, w pushback.Signals) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, key := time.Now(), [2]string{box, server}
	if _, known := s.leavingHeard[key]; w.Leaving && !known {
		s.leavingHeard[key] = now
	}
	if w.Limit > 0 {
		s.limits.recordAnswer(now, box, server)
	}
	if w.Rest > 0 {
		s.restAskedAt[box] = now
		s.rests[key] = append(s.rests[key], &restPeriod{from: now.Add(restGrace), until: now.Add(w.Rest)})
	}
}

func (s *pushbackSite) send(ctx context.Context, box string, c *Call) (*Reply, error) {
	if err := c.Start(); err != nil {
		return nil, &exchange.NotSent{Cause: err}
	}
	w, shed := s.recordArrival(box, c.Server.ID, c.Request.ID)
	if !wait(ctx, 20*time.Millisecond) {
		return nil, ctx.Err()
	}
	s.recordAnswer(box, c.Server.ID, w)
	switch {
	case shed:
		r := textReply(http.StatusServiceUnavailable, "")
		r.NotRun, r.Signed, r.Signals = true, false, w
		return r, nil
	case strings.HasPrefix(c.Request.Path, "/draft/"):
		r := eventStream(ctx, 1, 2, time.Millisecond, io.EOF)
		r.Signals = w
		return r, nil
	}
	r := textReply(http.StatusOK, "ok")
	r.Signals = w
	return r, nil
}

func (s *pushbackSite) runPieces(ctx context.Context, box string, c PieceCall) PieceReply {
	var requests []string
	for _, it := range c.Items {
		requests = append(requests, it.Request)
	}
	w, shed := s.recordArrival(box, c.Server.ID, requests...)
	took := 300 * time.Millisecond
	if shed {
		took = 5 * time.Millisecond
	}
	if !wait(ctx, took) {
		return PieceReply{Outcome: batch.CallBroken}
	}
	s.recordAnswer(box, c.Server.ID, w)
	if shed {
		return PieceReply{Outcome: batch.CallFull, Signals: w}
	}
	return PieceReply{Outcome: batch.CallDone, Results: resultsOf(c.Server, c.Items), Signals: w}
}

func (s *pushbackSite) free(box string, v catalog.Server) pushback.Signals {
	w, _ := s.recordArrival(box, v.ID)
	w.Rest = 0
	s.recordAnswer(box, v.ID, w)
	return w
}

// leave has the first n servers of a pool leave.
func (s *pushbackSite) leave(pool string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range n {
		s.leaving[fmt.Sprint(pool, i)] = true
	}
}

func (s *pushbackSite) shed(pool string, n int, length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range n {
		s.shedUntil[fmt.Sprint(pool, i)] = time.Now().Add(length)
	}
}

// callerTimeout is how long a caller waits, all its tries together. A refused caller retries once, after the
// time that it was told but at most a third of what it has left, as the users' callers do.
const callerTimeout = 10 * time.Second

// callerTotals are the outcomes of the callers of a run.
type callerTotals struct {
	answered, refused int
	slow              int           // refusals later than a quarter of the objective of the pipeline with stages
	slowest           time.Duration // the longest time to a refusal, from the request's arrival or from the last rest request to the box, which may have caused it
	noRetryTime       int           // refusals without a retry time
	unserved          int           // neither
	refusedLater      int           // refused of those sent after the first second
	refusedTwice      int           // refused again when retried at another box
}

// run sends requests to all boxes in turn.
func (s *pushbackSite) run(path string, boxes int, between, length time.Duration) callerTotals {
	var mu sync.Mutex
	var all sync.WaitGroup
	var out callerTotals
	began := time.Now()
	for i := range int(length / between) {
		sent := time.Since(began)
		all.Go(func() {
			a := s.askAvailable(i%boxes, path, fmt.Sprint("r", i), callerTimeout)
			mu.Lock()
			defer mu.Unlock()
			if a.refused != nil {
				all.Go(func() {
					left := callerTimeout - a.took
					pause := min(a.refused.RetryAfter, left/3)
					time.Sleep(pause)
					if b := s.askAvailable((i+boxes/2)%boxes, path, fmt.Sprint("again", i), left-pause); !b.ended {
						mu.Lock()
						out.refusedTwice++
						mu.Unlock()
					}
				})
			}
			if a.refused != nil && sent > time.Second {
				out.refusedLater++
			}
			switch {
			case a.ended:
				out.answered++
			case a.refused != nil && a.refused.DidRun() == code.RanNo:
				out.refused++
				out.slowest = max(out.slowest, min(a.took, s.sinceRestAsked(i%boxes)))
				if a.took > 750*time.Millisecond {
					out.slow++
				}
				if a.refused.RetryAfter <= 0 {
					out.noRetryTime++
				}
			default:
				out.unserved++
			}
		})
		time.Sleep(between)
	}
	all.Wait()
	return out
}

// sinceRestAsked returns how long ago a server last asked a box for rest.
func (s *pushbackSite) sinceRestAsked(box int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.restAskedAt[fmt.Sprint("box", box)])
}

// askAvailable sends one request to a box, or to the next one that has callers.
func (s *pushbackSite) askAvailable(box int, path, id string, left time.Duration) callResult {
	s.mu.Lock()
	s.sentAt[id] = time.Now()
	for s.down[fmt.Sprint("box", box)] {
		box = (box + 1) % 6 // each fleet has at least six boxes, and one of the first six is up
	}
	s.mu.Unlock()
	return s.f.ask(fmt.Sprint("box", box), path, id, func(r *Request) {
		r.Body, r.Left = []byte(id), left
		if r.Pieces = nil; strings.HasPrefix(path, "/draft/") {
			r.Pieces = []int{2}
		}
	})
}

// brokenRests returns in how many rests more requests arrived than allowed, and how many were asked for.
func (s *pushbackSite) brokenRests() (over, rests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range s.rests {
		for _, r := range list {
			rests++
			if r.arrived > maxRestArrivals {
				over++
			}
		}
	}
	return over, rests
}
