package gateway

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/balance"
	"github.com/stilemast/stilemast/src/code"
)

var partsTable = flag.Bool("parts.table", false, "play prompt parts that crash servers at 295 and 985 boxes too")

func partSizes() []int {
	if *partsTable {
		return []int{6, 61, 295, 985}
	}
	return []int{6, 61}
}

// Bounds that users ask for: sends of requests with a part under which servers crash, later than knownWithin after the fifth
// crash, and the servers that such a part may end.
const (
	maxLatePartSends = 3
	maxPartCrashes   = 8
	soundShare       = 0.95 // of the sound requests that are answered without such requests
)

// partPlay sends requests with parts that crash servers, no two alike, beside sound ones of the same caller.
type partPlay struct {
	site   *crashSite
	boxes  int
	path   string
	deadly []string // parts that crash servers
	beside func()   // runs beside the requests; nil: nothing

	mu       sync.Mutex
	answered int // sound requests from soundFrom on
	sound    int
	last     callResult // of the latest request with such a part
}

const soundFrom = 8 * time.Second

func (p *partPlay) ask(box int, id string, parts ...string) callResult {
	return p.site.f.ask(fmt.Sprint("box", box%p.boxes), p.path, id, func(r *Request) {
		r.Body, r.Pieces = []byte(id), nil
		for _, part := range append(parts, id) {
			r.Parts = append(r.Parts, balance.Part{ID: part, Tokens: 100})
		}
	})
}

// run plays the requests for 20 s: 33 sound ones a second and, if there are such parts, seven with them.
func (p *partPlay) run() {
	var all sync.WaitGroup
	if p.beside != nil {
		all.Go(p.beside)
	}
	all.Go(func() {
		for i := range 600 {
			all.Go(func() {
				a := p.ask(i*5, fmt.Sprint("good", i), "first", fmt.Sprint("subject", i%5))
				p.mu.Lock()
				defer p.mu.Unlock()
				if time.Duration(i)*30*time.Millisecond >= soundFrom {
					if p.sound++; a.ended {
						p.answered++
					}
				}
			})
			time.Sleep(30 * time.Millisecond)
		}
	})
	for i := range 140 {
		if len(p.deadly) == 0 {
			break
		}
		all.Go(func() {
			a := p.ask(i*7, fmt.Sprint("bad", i), "first", p.deadly[i%len(p.deadly)])
			p.mu.Lock()
			defer p.mu.Unlock()
			p.last = a
		})
		time.Sleep(142 * time.Millisecond)
	}
	all.Wait()
}

// lateSends counts the sends of crashing requests later than knownWithin after the n-th crash.
func (s *crashSite) lateSends(n int) (late int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashTimes) < n {
		return 0
	}
	for _, at := range s.sendTimes {
		if at.Sub(s.crashTimes[n-1]) > knownWithin {
			late++
		}
	}
	return late
}

func (p *partPlay) check(t *testing.T, crashes, late int) {
	t.Helper()
	s := p.site
	n := s.lateSends(5 * max(1, len(p.deadly)))
	t.Logf("%d servers crashed, %d sends, %d of them late; %d of %d sound requests answered from %s on", s.crashed, s.sends, n, p.answered, p.sound, soundFrom)
	if n > late {
		t.Errorf("sent %d times later than %s after the fifth crash, want at most %d", n, knownWithin, late)
	}
	if s.crashed > crashes {
		t.Errorf("%d servers crashed, want at most %d", s.crashed, crashes)
	}
	if float64(p.answered) < soundShare*float64(p.sound) {
		t.Errorf("%d of %d sound requests were answered", p.answered, p.sound)
	}
	if len(p.deadly) > 0 && (p.last.refused == nil || p.last.refused.Code != code.CrashesServers || p.last.refused.DidRun() != code.RanNo || p.last.took > 50*time.Millisecond) {
		t.Errorf("the last request with such a part got %v after %s, want an immediate refusal that says that nothing ran", p.last.refused, p.last.took)
	}
	time.Sleep(5 * time.Second)
}

var partPaths = []struct{ name, path string }{{"repeatable", "/look/x"}, {"at most once", "/stamp/x"}, {"stream", "/draft/x"}}

// Guards against servers that crash one after the other under requests that have only one part of their prompts in common.
func TestPromptPartThatCrashesServersIsRefused(t *testing.T) {
	for _, boxes := range partSizes() {
		for _, c := range partPaths {
			t.Run(fmt.Sprint(boxes, " boxes: ", c.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := &partPlay{site: newCrashSite(t, boxes, "model"), boxes: boxes, path: c.path, deadly: []string{"deadly"}}
					settle()
					p.run()
					p.check(t, maxPartCrashes, maxLatePartSends)
				})
			})
		}
	}
}

// Guards against one part that hides behind another.
func TestTwoPromptPartsThatCrashServersAreRefused(t *testing.T) {
	for _, boxes := range partSizes() {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &partPlay{site: newCrashSite(t, boxes, "model"), boxes: boxes, path: "/look/x", deadly: []string{"deadly", "deadly too"}}
				settle()
				p.run()
				p.check(t, 2*maxPartCrashes, 2*maxLatePartSends)
			})
		})
	}
}

// Guards against popular parts that are refused since servers end for another reason, three times half of the pool, with
// and without a part that crashes others.
func TestSoundPromptPartsAreServedWhenHalfAPoolFails(t *testing.T) {
	for _, boxes := range partSizes() {
		for _, deadly := range [][]string{nil, {"deadly"}} {
			t.Run(fmt.Sprint(boxes, " boxes, parts that crash servers: ", len(deadly)), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := &partPlay{site: newCrashSite(t, boxes, "model"), boxes: boxes, path: "/look/x", deadly: deadly}
					p.beside = func() {
						for range 3 {
							time.Sleep(2 * time.Second)
							p.site.crashHalf()
						}
					}
					settle()
					p.run()
					p.check(t, maxPartCrashes+3*12, maxLatePartSends)
				})
			})
		}
	}
}

// crashHalf crashes every second server of the pool.
func (s *crashSite) crashHalf() {
	s.mu.Lock()
	running := map[string]chan struct{}{}
	for id, proc := range s.processes {
		running[id] = proc
	}
	s.mu.Unlock()
	for i := range 24 {
		id := fmt.Sprint("model", i)
		if proc := running[id]; i%2 == 0 && proc != nil {
			s.crash(id, proc)
		}
	}
}

// Guards against a first part that all requests share and that is taken for the one that crashes servers at boxes that
// serve few requests.
func TestSharedFirstPartIsClearedAtAllBoxes(t *testing.T) {
	for _, boxes := range partSizes() {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &partPlay{site: newCrashSite(t, boxes, "model"), boxes: boxes, path: "/look/x", deadly: []string{"deadly"}}
				settle()
				p.run()
				var refusedAt, sentAt []int
				for box := range boxes {
					if a := p.ask(box, fmt.Sprint("good after ", box), "first", "a subject of its own"); !a.ended {
						refusedAt = append(refusedAt, box)
					}
					if a := p.ask(box, fmt.Sprint("bad after ", box), "first", "deadly"); a.refused == nil || a.refused.Code != code.CrashesServers {
						sentAt = append(sentAt, box)
					}
				}
				if len(refusedAt)+len(sentAt) > 0 {
					t.Errorf("sound requests are not served at the boxes %v, those with the part are sent at %v", refusedAt, sentAt)
				}
				time.Sleep(5 * time.Second)
			})
		})
	}
}
