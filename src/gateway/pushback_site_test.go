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

// wordSite is a fleet before servers that say in their answers that they leave or want rest.
type wordSite struct {
	f *testFleet

	mu      sync.Mutex
	leaving map[string]bool
	shedsTo map[string]time.Time // until when a server turns away what arrives
	restFor time.Duration        // that such a server asks for
	sentAt  map[string]time.Time // of callers' requests
	told    map[[2]string]time.Time
	asked   map[[2]string][]*askedRest // by box and server
	askedAt map[string]time.Time       // when a box was last asked for rest
	lateAt  map[string]int             // of late, by box
	late    int                        // arrivals sent later than allowed after the box had the word
	arrived int
	frees   int // give-ups of results that reached a server which had told the box that it leaves
	limits  limitLedger
	down    map[string]bool // boxes that get no callers
}

// askedRest is one answer that asked for rest.
type askedRest struct {
	from, until time.Time // in which at most two requests may arrive
	n           int
}

// The users' bounds: after a server's word a box sends it nothing that a caller sent later than this, and in the time
// for which it wants rest, but for its first half second, two requests.
const (
	leavesWithin = 2 * time.Second
	restBegins   = 500 * time.Millisecond
	restAllowed  = 2
)

func newWordSite(t *testing.T, boxes int) *wordSite {
	f := newEmptyFleet(t)
	f.servers = nil
	for i := range 5 {
		f.servers = append(f.servers,
			catalog.Server{ID: fmt.Sprint("piece", i), Pool: "encode", Domain: "d", Slots: 1, Incarnation: 1},
			catalog.Server{ID: fmt.Sprint("model", i), Pool: "model", Domain: "d", Slots: 64, Incarnation: 1})
	}
	s := &wordSite{
		f: f, leaving: map[string]bool{}, shedsTo: map[string]time.Time{}, restFor: 3 * time.Second, sentAt: map[string]time.Time{},
		told: map[[2]string]time.Time{}, asked: map[[2]string][]*askedRest{}, askedAt: map[string]time.Time{}, lateAt: map[string]int{},
	}
	f.send, f.callPieces, f.freePieces = s.send, s.runPieces, s.free
	for i := range boxes {
		f.start(fmt.Sprint("box", i))
	}
	settle()
	return s
}

// arrives notes that a message reached a server, and gives what its answer is to say.
func (s *wordSite) arrives(box, server string, requests ...string) (pushback.Word, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, key := time.Now(), [2]string{box, server}
	s.arrived++
	at, knows := s.told[key]
	for _, r := range requests {
		if knows && s.sentAt[r].Sub(at) > leavesWithin {
			s.late++
			s.lateAt[box]++
			break
		}
	}
	if knows && len(requests) == 0 && now.Sub(at) > leavesWithin {
		s.frees++
	}
	for _, r := range s.asked[key] {
		if now.After(r.from) && now.Before(r.until) {
			r.n++
		}
	}
	w := pushback.Word{Leaving: s.leaving[server], Limit: s.limits.arrives(now, box, server)}
	shed := now.Before(s.shedsTo[server])
	if shed {
		w.Rest = s.restFor
	}
	return w, shed
}

// hears notes that a box got an answer.
func (s *wordSite) hears(box, server string, w pushback.Word) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, key := time.Now(), [2]string{box, server}
	if _, known := s.told[key]; w.Leaving && !known {
		s.told[key] = now
	}
	if w.Limit > 0 {
		s.limits.hears(now, box, server)
	}
	if w.Rest > 0 {
		s.askedAt[box] = now
		s.asked[key] = append(s.asked[key], &askedRest{from: now.Add(restBegins), until: now.Add(w.Rest)})
	}
}

func (s *wordSite) send(ctx context.Context, box string, c *Call) (*Reply, error) {
	if err := c.Start(); err != nil {
		return nil, &exchange.NotSent{Cause: err}
	}
	w, shed := s.arrives(box, c.Server.ID, c.Request.ID)
	if !wait(ctx, 20*time.Millisecond) {
		return nil, ctx.Err()
	}
	s.hears(box, c.Server.ID, w)
	switch {
	case shed:
		r := textReply(http.StatusServiceUnavailable, "")
		r.NotRun, r.Signed, r.Signals = true, false, w
		return r, nil
	case strings.HasPrefix(c.Request.Path, "/draft/"):
		r := events(ctx, 1, 2, time.Millisecond, io.EOF)
		r.Signals = w
		return r, nil
	}
	r := textReply(http.StatusOK, "ok")
	r.Signals = w
	return r, nil
}

func (s *wordSite) runPieces(ctx context.Context, box string, c PieceCall) PieceReply {
	var requests []string
	for _, it := range c.Items {
		requests = append(requests, it.Request)
	}
	w, shed := s.arrives(box, c.Server.ID, requests...)
	took := 300 * time.Millisecond
	if shed {
		took = 5 * time.Millisecond
	}
	if !wait(ctx, took) {
		return PieceReply{Outcome: batch.CallBroken}
	}
	s.hears(box, c.Server.ID, w)
	if shed {
		return PieceReply{Outcome: batch.CallFull, Signals: w}
	}
	return PieceReply{Outcome: batch.CallDone, Results: piecesOf(c.Server, c.Items), Signals: w}
}

func (s *wordSite) free(box string, v catalog.Server) pushback.Word {
	w, _ := s.arrives(box, v.ID)
	w.Rest = 0
	s.hears(box, v.ID, w)
	return w
}

// say has servers of a pool leave, or turn requests away for a while.
func (s *wordSite) leave(pool string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range n {
		s.leaving[fmt.Sprint(pool, i)] = true
	}
}

func (s *wordSite) shed(pool string, n int, length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range n {
		s.shedsTo[fmt.Sprint(pool, i)] = time.Now().Add(length)
	}
}

// callerTime is for how long a caller waits, all its tries together. It comes back once, heeding the time that it is told up to a
// third of what it has left, as the users' callers do.
const callerTime = 10 * time.Second

// heard is what the callers of a play got.
type heard struct {
	answered, refused int
	slow              int           // refusals after a quarter of the objective of the pipeline with stages
	slowest           time.Duration // until a refusal, from its arrival or from the last word of a server to the box, which may have made it needful
	noTime            int           // refusals without a time to come back
	unserved          int           // neither
	later             int           // refused among those sent after the first second
	lost              int           // refused again when they came back at another box
}

// play sends requests at all boxes in turn.
func (s *wordSite) play(path string, boxes int, between, length time.Duration) heard {
	var mu sync.Mutex
	var all sync.WaitGroup
	var out heard
	began := time.Now()
	for i := range int(length / between) {
		sent := time.Since(began)
		all.Go(func() {
			a := s.askAs(i%boxes, path, fmt.Sprint("r", i), callerTime)
			mu.Lock()
			defer mu.Unlock()
			if a.refused != nil {
				all.Go(func() {
					left := callerTime - a.took
					pause := min(a.refused.RetryAfter, left/3)
					time.Sleep(pause)
					if b := s.askAs((i+boxes/2)%boxes, path, fmt.Sprint("again", i), left-pause); !b.ended {
						mu.Lock()
						out.lost++
						mu.Unlock()
					}
				})
			}
			if a.refused != nil && sent > time.Second {
				out.later++
			}
			switch {
			case a.ended:
				out.answered++
			case a.refused != nil && a.refused.DidRun() == code.RanNo:
				out.refused++
				out.slowest = max(out.slowest, min(a.took, s.sinceAsked(i%boxes)))
				if a.took > 750*time.Millisecond {
					out.slow++
				}
				if a.refused.RetryAfter <= 0 {
					out.noTime++
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

// sinceAsked is how long ago a server last asked a box for rest.
func (s *wordSite) sinceAsked(box int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.askedAt[fmt.Sprint("box", box)])
}

// askAs sends one request to a box.
func (s *wordSite) askAs(box int, path, id string, left time.Duration) answerOf {
	s.mu.Lock()
	s.sentAt[id] = time.Now()
	for s.down[fmt.Sprint("box", box)] {
		box = (box + 1) % 6 // each fleet here has as many at least, and one of them is up
	}
	s.mu.Unlock()
	return s.f.ask(fmt.Sprint("box", box), path, id, func(r *Request) {
		r.Body, r.Left = []byte(id), left
		if r.Pieces = nil; strings.HasPrefix(path, "/draft/") {
			r.Pieces = []int{2}
		}
	})
}

// restsOver counts the rests in which more requests arrived than allowed, of how many that were asked for.
func (s *wordSite) restsOver() (over, rests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range s.asked {
		for _, r := range list {
			rests++
			if r.n > restAllowed {
				over++
			}
		}
	}
	return over, rests
}
