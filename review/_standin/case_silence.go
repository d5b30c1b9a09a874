package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["silence"] = silenceCase }

// The model engines: smaller than those of the site, at the speed that the site's sheet gives for 64 requests at work.
const (
	modelEngines      = 6
	modelSlots        = 12
	modelQueue        = 4
	modelMemory       = 60_000 // tokens
	tokensPerEvent    = 5
	eventTime         = tokensPerEvent * 9600 * time.Microsecond
	promptTokensPerMS = 56.9
)

// The disruption: settings files change.
const (
	silenceBoxes = 5
	struck       = 3               // of them
	hupGap       = 2 * time.Second // in which these get SIGHUP
	hupRest      = 2 * time.Second // after it
	applyTime    = 2 * time.Second // config_apply_ms
)

// The length of the case. Without trouble it takes as long as it may.
const (
	silenceTime   = 75 * time.Second
	enoughLosses  = 3
	deadlineSlack = 500 * time.Millisecond // in which an ending counts as the deadline's
)

// figure is a number with a distribution: its mean, the spread of its logarithm and its bound.
type figure struct{ mean, spread, most float64 }

func (f figure) draw() int {
	return int(max(1, min(f.most, f.mean*math.Exp(f.spread*rand.NormFloat64()-f.spread*f.spread/2))))
}

// kind is a kind of request of one tenant, with the figures of the site's sheet.
type kind struct {
	path, key      string
	perSecond      float64
	events, prompt figure
	deadlineMS     int
}

const urgentKey = "jnbanfqasnmgkcuyj8pj"

var kinds = []kind{
	{"/dossiers/2f", urgentKey, 12, figure{76.4, 0.44, 224}, figure{6610, 1.4, 54_600}, 20_000},
	{"/letters/2f", urgentKey, 4.5, figure{58.3, 0.69, 191}, figure{628, 1, 3310}, 15_000},
	{"/letters/2f", apiKey, 10, figure{58.3, 0.69, 191}, figure{628, 1, 3310}, 15_000},
}

// modelRun is one request at a model engine.
type modelRun struct {
	id       string
	priority int
	tokens   int // of its prompt and its answer
	began    time.Time
	slot     chan struct{} // closed while it has a slot
	has      bool
	stopped  time.Time // since when it has no slot
}

// model is a stand-in for a model engine. It works on some requests at once and queues a few more; a more urgent request takes
// the place of the newest of the least urgent ones, which waits and goes on later.
type model struct {
	id, address string
	mu          sync.Mutex
	running     []*modelRun
	waiting     []*modelRun // the most urgent first
	refused     atomic.Int64
	preempted   atomic.Int64
}

// load returns what the engine tells of its load.
func (m *model) load() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(m.running), len(m.waiting), modelSlots)
}

// room reports whether a request fits into the slots and the memory that are free. The caller holds the lock.
func (m *model) room(r *modelRun) bool {
	used := r.tokens
	for _, o := range m.running {
		used += o.tokens
	}
	return used <= modelMemory && len(m.running) < modelSlots
}

// start gives a request a slot. The caller holds the lock.
func (m *model) start(r *modelRun) {
	r.has = true
	m.running = append(m.running, r)
	close(r.slot)
}

// enqueue puts a request into the queue, before those that are as urgent if it is first. The caller holds the lock.
func (m *model) enqueue(r *modelRun, first bool) {
	at := slices.IndexFunc(m.waiting, func(w *modelRun) bool {
		return w.priority > r.priority || first && w.priority == r.priority
	})
	if at < 0 {
		at = len(m.waiting)
	}
	m.waiting = slices.Insert(m.waiting, at, r)
}

// admit takes a request in; false if the engine is full.
func (m *model) admit(r *modelRun) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.running)+len(m.waiting) >= modelSlots+modelQueue || r.tokens > modelMemory {
		m.refused.Add(1)
		return false
	}
	m.enqueue(r, false)
	m.fill()
	return true
}

// fill starts the requests that wait, as far as there is room. The first of them takes the places of less urgent ones. The
// caller holds the lock.
func (m *model) fill() {
	for len(m.waiting) > 0 {
		next := m.waiting[0]
		for !m.room(next) {
			var last *modelRun
			for _, o := range m.running {
				if o.priority > next.priority && (last == nil || o.priority > last.priority || o.priority == last.priority && o.began.After(last.began)) {
					last = o
				}
			}
			if last == nil {
				return
			}
			m.preempted.Add(1)
			record.line("engine %s preempts %s", m.id, last.id)
			m.running = slices.DeleteFunc(m.running, func(o *modelRun) bool { return o == last })
			last.has, last.slot, last.stopped = false, make(chan struct{}), time.Now()
			m.enqueue(last, true)
		}
		m.waiting = slices.DeleteFunc(m.waiting, func(o *modelRun) bool { return o == next })
		m.start(next)
	}
}

// leave takes a request out.
func (m *model) leave(r *modelRun) {
	m.mu.Lock()
	defer m.mu.Unlock()
	same := func(o *modelRun) bool { return o == r }
	m.running, m.waiting = slices.DeleteFunc(m.running, same), slices.DeleteFunc(m.waiting, same)
	m.fill()
}

// turn returns the channel that is closed while the request has a slot.
func (m *model) turn(r *modelRun) (<-chan struct{}, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return r.slot, r.has
}

func (m *model) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := &modelRun{id: id, priority: 5, began: time.Now(), slot: make(chan struct{})}
	if p, err := strconv.Atoi(r.Header.Get("Request-Priority")); err == nil {
		run.priority = p
	}
	in, out, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	prompt, _ := strconv.Atoi(in)
	tokens, _ := strconv.Atoi(out)
	events := tokens / tokensPerEvent
	run.tokens = prompt + tokens
	made, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Attempt-Id", id)
	if !m.admit(run) {
		record.line("engine %s is full: 503, Not-Executed to %s (after event %d)", m.id, id, made)
		w.Header().Set("Instance-Load", m.load())
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer m.leave(run)
	record.line("engine %s takes %s, priority %d, after event %d", m.id, id, run.priority, made)
	gone := r.Context().Done()
	ready, begun := false, false
	for made < events {
		c, has := m.turn(run)
		if !has {
			select {
			case <-c:
				if made > 0 {
					record.line("engine %s goes on with %s after event %d; it waited for %v", m.id, id, made, time.Since(run.stopped).Round(time.Millisecond))
				}
				ready = false // its prompt is read again
			case <-gone:
				record.line("engine %s drops %s, which waits: its connection was closed after event %d", m.id, id, made)
				return
			}
		}
		pause := eventTime
		if !ready {
			pause, ready = time.Duration(float64(prompt)/promptTokensPerMS*float64(time.Millisecond)), true
		}
		select {
		case <-time.After(pause):
		case <-gone:
			record.line("engine %s drops %s: its connection was closed after event %d", m.id, id, made)
			return
		}
		if _, has := m.turn(run); !has {
			continue
		}
		if !begun {
			begun = true
			w.Header().Set("Response-Signature", "sig-"+id)
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Instance-Load", m.load())
		}
		made++
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", made, id, made); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
	record.line("engine %s ran %s to its end", m.id, id)
}

// machine is a box and what the platform did with it.
type machine struct {
	*box
	mu   sync.Mutex
	hups []time.Time // when it got SIGHUP
}

// hup changes the settings file of a machine and sends it SIGHUP.
func (m *machine) hup(n int) {
	f, err := os.OpenFile(m.settings, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		cannotRun("settings: %v", err)
	}
	_, _ = fmt.Fprintf(f, "# change %d\n", n)
	_ = f.Close()
	m.mu.Lock()
	m.hups = append(m.hups, time.Now())
	m.mu.Unlock()
	record.line("SIGHUP to %s", m.name)
	_ = m.cmd.Process.Signal(syscall.SIGHUP)
}

// planned returns how long before its end a request was beside planned work.
func (m *machine) planned(began, ended time.Time) (since time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.hups {
		if ended.After(s) && began.Before(s.Add(applyTime)) {
			return ended.Sub(s), true
		}
	}
	return 0, false
}

// silenceCase has clients send streams of three kinds to engines that are nearly full. With trouble, the settings files of the
// system's machines change.
func silenceCase(temp string, trouble bool) int {
	s, l := newStore(), listen()
	go s.serve(l)
	var engines []*model
	for i := range modelEngines {
		zone := []string{"hall-a", "hall-b", "hall-c"}[i%3]
		el := listen()
		m := &model{id: fmt.Sprintf("i-model-%d", i+1), address: el.Addr().String()}
		go func() { _ = (&http.Server{Handler: m}).Serve(el) }()
		engines = append(engines, m)
		s.put("servers/"+m.id, entry{Service: "stile-pool", Address: m.address, Zone: zone, Version: "v1", Slots: modelSlots, State: "ready", Sequence: 1})
	}
	const host = "desk.example"
	s.configureTenants(3, []route{
		{Name: "r-dossier", Host: host, Prefix: "/dossiers/", Kind: "streaming", Timeout: 20000, Aim: 2500, Priority: 1, Service: "stile-pool", Attempts: 1, Affine: true, Gap: 400},
		{Name: "r-letter", Host: host, Prefix: "/letters/", Kind: "streaming", Timeout: 15000, Aim: 2000, Priority: 0, Service: "stile-pool", Attempts: 2, Affine: true, Resume: true, Gap: 400},
	}, []service{{Name: "stile-pool", Health: "/health", Connections: 360, Protocol: "h1", Engine: &modelEngine{Slots: modelSlots, Tokens: modelMemory}}},
		[]tenant{{Name: "auditors", Keys: []string{urgentKey}, Priority: new(0)}, {Name: "donors", Keys: []string{apiKey}, Priority: new(1)}})
	var machines []*machine
	boxes := newBoxes(temp, l.Addr().String(), silenceBoxes)
	for _, b := range boxes {
		machines = append(machines, &machine{box: b})
		b.start(nil)
	}
	awaitReady(boxes)
	time.Sleep(6 * time.Second) // a box that has just started expects many others
	record.line("boxes are ready")

	t := &streamTotals{ends: map[string]int{}}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, k := range kinds {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() / k.perSecond * float64(time.Second))):
				}
				clients.Go(func() { t.ask(machines[n%len(machines)], host, &k) })
			}
		})
	}
	time.Sleep(4 * time.Second)
	for n := 0; time.Since(record.began) < silenceTime && t.losses() < enoughLosses; n++ {
		for i := range struck {
			if trouble {
				machines[(struck*n+i)%len(machines)].hup(n)
			}
			time.Sleep(hupGap / struck)
		}
		time.Sleep(hupRest)
	}
	close(stop)
	clients.Wait()
	for k, n := range t.ends {
		record.say("%5d %s", n, k)
	}
	for _, m := range engines {
		record.say("engine %s: %d preempted, %d refused as full", m.id, m.preempted.Load(), m.refused.Load())
	}
	record.say("%d streams broken off by boxes beside no planned work", t.other)
	record.say("LOST: %d streams broken off by boxes beside planned work", t.lost)
	if t.lost > 0 {
		return broken
	}
	if t.ends["whole"] == 0 {
		cannotRun("no request was served")
	}
	return held
}

// streamTotals counts how the clients' streams ended.
type streamTotals struct {
	mu          sync.Mutex
	ends        map[string]int
	lost, other int
}

// losses returns how many streams were lost.
func (t *streamTotals) losses() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// ask sends one request for a stream and reads it to its end.
func (t *streamTotals) ask(m *machine, host string, k *kind) {
	id := newID()
	r, err := http.NewRequest(http.MethodPost, "http://"+m.callers()+k.path, strings.NewReader("prompt "+id))
	if err != nil {
		cannotRun("request: %v", err)
	}
	events, prompt := k.events.draw(), k.prompt.draw()
	deadline := time.Duration(k.deadlineMS) * time.Millisecond
	r.Host = host
	for h, v := range map[string]string{
		"Attempt-Id": id, "Deadline-Ms": strconv.Itoa(k.deadlineMS), "Authorization": "Token " + k.key,
		"Model": "m", "Token-Usage": fmt.Sprintf("%d,%d", prompt, tokensPerEvent*events), "Prompt-Prefix": fmt.Sprintf("%s:%d", id[:8], prompt),
	} {
		r.Header.Set(h, v)
	}
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 21 * time.Second}
	record.line("client sends %s %s to %s", id, k.path, m.name)
	began := time.Now()
	a, err := c.Do(r)
	if err != nil {
		t.count(m, id, began, deadline, "no answer", 0, err)
		return
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		t.count(m, id, began, deadline, fmt.Sprint(a.StatusCode), 0, nil)
		return
	}
	last, err := readEvents(a.Body)
	end := "whole"
	switch {
	case err != nil:
		end = "broken off"
	case last != events:
		end = "ended early"
	}
	t.count(m, id, began, deadline, end, last, err)
}

// readEvents reads events to the end of an answer and returns the id of the last one.
func readEvents(body io.Reader) (last int, err error) {
	in := bufio.NewReader(body)
	for {
		text, err := in.ReadString('\n')
		if id, ok := strings.CutPrefix(text, "id: "); ok && err == nil {
			last, _ = strconv.Atoi(strings.TrimSpace(id))
		}
		if errors.Is(err, io.EOF) {
			return last, nil
		}
		if err != nil {
			return last, err
		}
	}
}

// count records the end of a stream. One that a box broke off beside planned work on that box is lost.
func (t *streamTotals) count(m *machine, id string, began time.Time, deadline time.Duration, end string, last int, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	note := ""
	if (end == "broken off" || end == "ended early") && now.Sub(began) < deadline-deadlineSlack {
		if since, planned := m.planned(began, now); planned {
			t.lost++
			note = fmt.Sprintf("; LOST: %v after the SIGHUP", since.Round(time.Millisecond))
		} else {
			t.other++
		}
	}
	t.ends[end]++
	record.line("client: %s at %s: %s after event %d, %v after it was sent, %v%s", id, m.name, end, last, now.Sub(began).Round(time.Millisecond), err, note)
}
