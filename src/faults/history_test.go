package faults

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/standin"
)

var (
	histories = flag.Int("histories", 60, "random histories to play")
	firstSeed = flag.Uint64("seed", 1, "seed of the first history")
)

// history is about a minute of random requests and faults.
type history struct {
	f       *fleet
	rand    *rand.Rand
	wg      sync.WaitGroup
	mu      sync.Mutex
	answers []answer
}

var boxNames = []string{"b1", "b2", "b3", "b4"}

// runHistory runs one history. It returns the violations and the number of answers by pipeline and code.
func runHistory(t *testing.T, seed uint64) (violations []string, codes map[string]int) {
	codes = map[string]int{}
	f := newFleet(t, 4)
	defer f.shutdown()
	h := &history{f: f, rand: rand.New(rand.NewPCG(seed, 11))}
	for range 60 {
		h.wg.Add(1)
		h.randomEvent()
		time.Sleep(time.Duration(h.rand.IntN(400)) * time.Millisecond)
	}
	f.healAll()
	for _, n := range boxNames {
		f.boxNamed(n).resume()
	}
	f.platform.SetDown(false)
	f.platform.SetStale(nil)
	h.wg.Wait()
	time.Sleep(20 * time.Second)
	for _, a := range h.answers {
		outcome := a.pipeline + " " + a.code.String()
		if a.cut {
			outcome = a.pipeline + " CUT"
		}
		codes[outcome]++
		if why := f.violation(a); why != "" {
			violations = append(violations, fmt.Sprintf("%s %s: %s", a.pipeline, a.key, why))
		}
	}
	return violations, codes
}

// randomEvent sends a random request or injects a random fault.
func (h *history) randomEvent() {
	defer h.wg.Done()
	switch x := h.rand.IntN(100); {
	case x < 78:
		h.sendRequest()
	case x < 81:
		h.replace(h.randomBox())
	case x < 84:
		h.drain(h.randomBox())
	case x < 88:
		b := h.f.boxNamed(h.randomBox())
		b.pause()
		time.AfterFunc(h.randomDuration(8*time.Second), b.resume)
	case x < 92:
		h.f.isolate(h.randomBox(), h.rand.IntN(2) == 0)
		time.AfterFunc(h.randomDuration(8*time.Second), h.f.healAll)
	case x < 94:
		h.f.platform.SetDown(true)
		time.AfterFunc(h.randomDuration(15*time.Second), func() { h.f.platform.SetDown(false) })
	case x < 95:
		h.f.doc.Version++
		h.f.publishConfig()
	default:
		h.serverFault()
	}
}

func (h *history) randomBox() string { return boxNames[h.rand.IntN(len(boxNames))] }

func (h *history) randomDuration(d time.Duration) time.Duration {
	return time.Duration(h.rand.Int64N(int64(d)))
}

// sendRequest sends a request, often in copies to several boxes at slightly different times. Callers retry
// with the same key after a broken connection, or if the code says that this helps.
func (h *history) sendRequest() {
	key, pipeline, to := h.f.newKey(), []string{"draft", "receipt", "receipt"}[h.rand.IntN(3)], h.randomBox()
	if pipeline == "receipt" && h.rand.IntN(3) == 0 {
		if b := h.f.liveBox(h.randomBox()); b != nil {
			if tickets, err := b.IssueTickets("ws", 1); err == nil {
				key = tickets[0]
			}
		}
	}
	for range 1 + h.rand.IntN(3) {
		delay, retry := h.randomDuration(500*time.Millisecond), h.randomDuration(4*time.Second)
		retryAt := h.randomBox()
		h.wg.Add(1)
		go func(to string) {
			defer h.wg.Done()
			time.Sleep(delay)
			a := h.add(h.f.send(to, pipeline, key, inputOf(key)))
			if a.cut || a.code.Entry().SameKey {
				time.Sleep(retry)
				h.add(h.f.send(retryAt, pipeline, key, inputOf(key)))
			}
		}(to)
		to = h.randomBox()
	}
}

func (h *history) add(a answer) answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers = append(h.answers, a)
	return a
}

// replace kills a box and later starts a new incarnation; the box list is updated late.
func (h *history) replace(name string) {
	b := h.f.boxNamed(name)
	b.kill()
	b.resume()
	pause := h.randomDuration(6 * time.Second)
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		time.Sleep(pause / 2)
		h.f.publishBoxes()
		time.Sleep(pause / 2)
		if h.f.liveBox(name) == nil {
			h.f.startBox(name, b.domain)
			h.f.publishBoxes()
		}
	}()
}

// drain stops a box gracefully and starts a new incarnation.
func (h *history) drain(name string) {
	b := h.f.liveBox(name)
	if b == nil {
		return
	}
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		b.Drain(b.ctx)
		b.kill()
		h.f.publishBoxes()
		time.Sleep(time.Second)
		if h.f.liveBox(name) == nil {
			h.f.startBox(name, b.domain)
			h.f.publishBoxes()
		}
	}()
}

// serverFault makes a server misbehave, leave or pause for a while, or cuts its link to a box.
func (h *history) serverFault() {
	pool := []string{"encoders", "retrievers", "rerankers", "records", "engines"}[h.rand.IntN(5)]
	server := fmt.Sprintf("%s-%d", pool, 1+h.rand.IntN(2))
	switch h.rand.IntN(6) {
	case 0:
		b := h.randomBox()
		h.f.cutLink(b, server)
		h.f.cutLink(server, b)
		time.AfterFunc(h.randomDuration(8*time.Second), func() { h.f.healLink(b, server) })
		return
	case 1:
		w := h.f.injectorOf(server)
		w.SetLeaving(true)
		time.AfterFunc(h.randomDuration(8*time.Second), func() { w.SetLeaving(false) })
		return
	case 2:
		w := h.f.injectorOf(server)
		w.Pause()
		time.AfterFunc(h.randomDuration(4*time.Second), w.Resume)
		return
	}
	fault := []standin.Fault{standin.Fail, standin.Busy, standin.DropReply, standin.LateReply, standin.DuplicateChunks, standin.BreakStream, standin.Refuse}[h.rand.IntN(7)]
	w := h.f.injectorOf(server)
	w.SetDelay(2 * time.Second)
	w.Arm(fault, 1+h.rand.IntN(3))
}

// Plays random histories and checks that no answer violates a guarantee. Enough answers must be complete for
// the check to mean something.
func TestHistories(t *testing.T) {
	var mu sync.Mutex
	counts, complete, all := map[string]int{}, 0, 0
	t.Run("seeds", func(t *testing.T) {
		for i := range *histories {
			seed := *firstSeed + uint64(i)
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					bad, codes := runHistory(t, seed)
					for _, b := range bad {
						t.Error(b)
					}
					mu.Lock()
					for what, n := range codes {
						counts[what] += n
						all += n
						if strings.HasSuffix(what, " "+code.OK.String()) {
							complete += n
						}
					}
					mu.Unlock()
				})
			})
		}
	})
	t.Logf("%d histories, %d answers, %.1f%% of them complete", *histories, all, 100*float64(complete)/float64(max(1, all)))
	t.Log(counts)
	if complete*5 < all*2 {
		t.Errorf("only %d of %d answers were complete: too few for the histories to be a useful check", complete, all)
	}
}
