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

// history is a minute or so of random requests and faults.
type history struct {
	f   *fleet
	r   *rand.Rand
	wg  sync.WaitGroup
	mu  sync.Mutex
	got []answer
}

var names = []string{"b1", "b2", "b3", "b4"}

// playHistory runs one history and gives every broken promise and how many answers there were.
func playHistory(t *testing.T, seed uint64) (bad []string, codes map[string]int) {
	codes = map[string]int{}
	f := newFleet(t, 4)
	defer f.end()
	h := &history{f: f, r: rand.New(rand.NewPCG(seed, 11))}
	for range 60 {
		h.wg.Add(1)
		h.event()
		time.Sleep(time.Duration(h.r.IntN(400)) * time.Millisecond)
	}
	f.healAll()
	for _, n := range names {
		f.any(n).resume()
	}
	f.platform.SetDown(false)
	f.platform.SetStale(nil)
	h.wg.Wait()
	time.Sleep(20 * time.Second)
	for _, a := range h.got {
		what := a.pipe + " " + a.code.String()
		if a.cut {
			what = a.pipe + " CUT"
		}
		codes[what]++
		if why := f.broken(a); why != "" {
			bad = append(bad, fmt.Sprintf("%s %s: %s", a.pipe, a.key, why))
		}
	}
	return bad, codes
}

// event is one random thing that happens.
func (h *history) event() {
	defer h.wg.Done()
	switch x := h.r.IntN(100); {
	case x < 78:
		h.request()
	case x < 81:
		h.replace(h.pick())
	case x < 84:
		h.drain(h.pick())
	case x < 88:
		b := h.f.any(h.pick())
		b.pause()
		time.AfterFunc(h.upTo(8*time.Second), b.resume)
	case x < 92:
		h.f.isolate(h.pick(), h.r.IntN(2) == 0)
		time.AfterFunc(h.upTo(8*time.Second), h.f.healAll)
	case x < 94:
		h.f.platform.SetDown(true)
		time.AfterFunc(h.upTo(15*time.Second), func() { h.f.platform.SetDown(false) })
	case x < 95:
		h.f.doc.Version++
		h.f.publish()
	default:
		h.serverFault()
	}
}

func (h *history) pick() string { return names[h.r.IntN(len(names))] }

func (h *history) upTo(d time.Duration) time.Duration { return time.Duration(h.r.Int64N(int64(d))) }

// request sends a request, often in copies to several boxes at slightly different times; callers
// come back with the same key after a broken connection.
func (h *history) request() {
	key, pipe, to := h.f.newKey(), []string{"draft", "receipt", "receipt"}[h.r.IntN(3)], h.pick()
	if pipe == "receipt" && h.r.IntN(3) == 0 {
		if b := h.f.target(h.pick()); b != nil {
			if tickets, err := b.IssueTickets("ws", 1); err == nil {
				key = tickets[0]
			}
		}
	}
	for range 1 + h.r.IntN(3) {
		delay, retry := h.upTo(500*time.Millisecond), h.upTo(4*time.Second)
		again := h.pick()
		h.wg.Add(1)
		go func(to string) {
			defer h.wg.Done()
			time.Sleep(delay)
			a := h.keep(h.f.send(to, pipe, key, inputOf(key)))
			if a.cut || a.code.Entry().SameKey {
				time.Sleep(retry)
				h.keep(h.f.send(again, pipe, key, inputOf(key)))
			}
		}(to)
		to = h.pick()
	}
}

func (h *history) keep(a answer) answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.got = append(h.got, a)
	return a
}

// replace loses a box and starts another life under its name; the list follows late.
func (h *history) replace(name string) {
	b := h.f.any(name)
	b.kill()
	b.resume()
	pause := h.upTo(6 * time.Second)
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		time.Sleep(pause / 2)
		h.f.list()
		time.Sleep(pause / 2)
		if h.f.target(name) == nil {
			h.f.start(name, b.domain)
			h.f.list()
		}
	}()
}

// drain stops a box as planned and starts another life under its name.
func (h *history) drain(name string) {
	b := h.f.target(name)
	if b == nil {
		return
	}
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		b.Drain(b.ctx)
		b.kill()
		h.f.list()
		time.Sleep(time.Second)
		if h.f.target(name) == nil {
			h.f.start(name, b.domain)
			h.f.list()
		}
	}()
}

// serverFault has a server do something wrong, leave for a while, or lose a box.
func (h *history) serverFault() {
	pool := []string{"encoders", "retrievers", "rerankers", "records", "engines"}[h.r.IntN(5)]
	server := fmt.Sprintf("%s-%d", pool, 1+h.r.IntN(2))
	switch h.r.IntN(6) {
	case 0:
		b := h.pick()
		h.f.cutLink(b, server)
		h.f.cutLink(server, b)
		time.AfterFunc(h.upTo(8*time.Second), func() { h.f.healLink(b, server) })
		return
	case 1:
		w := h.f.switchesOf(server)
		w.SetLeaving(true)
		time.AfterFunc(h.upTo(8*time.Second), func() { w.SetLeaving(false) })
		return
	case 2:
		w := h.f.switchesOf(server)
		w.Pause()
		time.AfterFunc(h.upTo(4*time.Second), w.Resume)
		return
	}
	fault := []standin.Fault{standin.Fail, standin.Busy, standin.DropReply, standin.LateReply, standin.TwiceReply, standin.BreakMid, standin.Refuse}[h.r.IntN(7)]
	w := h.f.switchesOf(server)
	w.SetDelay(2 * time.Second)
	w.Arm(fault, 1+h.r.IntN(3))
}

func TestHistories(t *testing.T) {
	var mu sync.Mutex
	sums, whole, all := map[string]int{}, 0, 0
	t.Run("seeds", func(t *testing.T) {
		for i := range *histories {
			seed := *firstSeed + uint64(i)
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					bad, codes := playHistory(t, seed)
					for _, b := range bad {
						t.Error(b)
					}
					mu.Lock()
					for what, n := range codes {
						sums[what] += n
						all += n
						if strings.HasSuffix(what, " "+code.OK.String()) {
							whole += n
						}
					}
					mu.Unlock()
				})
			})
		}
	})
	t.Logf("%d histories, %d answers, %.1f%% of them whole", *histories, all, 100*float64(whole)/float64(max(1, all)))
	t.Log(sums)
	if whole*5 < all*2 {
		t.Errorf("only %d of %d answers were whole: the histories prove little", whole, all)
	}
}
