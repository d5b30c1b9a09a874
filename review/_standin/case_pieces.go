package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["pieces"] = piecesCase }

// piece is what a handle stands for.
type piece struct {
	request string
	stage   int
	number  int
	until   time.Time
}

// world is what the engines of one case know of pieces, and what they saw broken.
type world struct {
	mu      sync.Mutex
	pieces  map[string]piece // by handle
	counts  map[string]int   // pieces of stage 0, by request
	mixed   []string
	extras  atomic.Int64
	garbled atomic.Bool // the disruption is on
	served  atomic.Int64
}

func (w *world) break_(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.mu.Lock()
	w.mixed = append(w.mixed, text)
	w.mu.Unlock()
	record.line("BROKEN %s", text)
}

// engine is a stand-in for an engine of a stage or of a model, in this process.
type engine struct {
	id, address string
	garbles     bool // it is one of those that the disruption strikes
	turn        sync.Mutex
}

const (
	batchSize = 8
	callTime  = 240 * time.Millisecond
	itemTime  = 26 * time.Millisecond
	handleTTL = 4 * time.Second
	extraRate = 0.03
)

type stageItem struct {
	ID      string   `json:"id"`
	Stage   int      `json:"stage"`
	Segment int      `json:"segment"`
	Key     string   `json:"private_key,omitempty"`
	Inputs  []string `json:"inputs,omitempty"`
}

// serveStage serves the connections of a stage's engine: one call at a time. While the disruption is on, it sends a second copy
// of some answers late, where the answer to the next request on the connection should come.
func (e *engine) serveStage(w *world, c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var extra []byte
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if extra != nil {
			w.extras.Add(1)
			record.line("engine %s sends the extra answer before it works on %s %s", e.id, r.Method, r.URL.Path)
			if _, err := c.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		echo := ""
		if id := r.Header.Get("Attempt-Id"); id != "" {
			echo = "Attempt-Id: " + id + "\r\n"
		}
		if want := r.Header.Get("Expected-Instance"); want != "" && want != e.id {
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "+e.id+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		text := []byte("{}")
		switch r.URL.Path {
		case "/v1/stage-run":
			text = e.runPieces(w, raw)
		case "/v1/stage-free":
			var call struct {
				Handles []string `json:"handles"`
			}
			_ = json.Unmarshal(raw, &call)
			w.mu.Lock()
			for _, h := range call.Handles {
				delete(w.pieces, h)
			}
			w.mu.Unlock()
		}
		answer := []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + echo + "Instance-Load: 0,0,1\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + string(text))
		if _, err := c.Write(answer); err != nil {
			return
		}
		if r.URL.Path == "/v1/stage-run" && e.garbles && w.garbled.Load() && rand.Float64() < extraRate {
			extra = answer
		}
	}
}

// runPieces runs one call when its turn has come.
func (e *engine) runPieces(w *world, raw []byte) []byte {
	var call struct {
		Items []stageItem `json:"items"`
	}
	if err := json.Unmarshal(raw, &call); err != nil {
		w.break_("UNASKED: a call of stages that can't be read: %s", raw)
		return []byte("{}")
	}
	e.turn.Lock()
	defer e.turn.Unlock()
	time.Sleep(callTime + time.Duration(len(call.Items))*itemTime)
	type result struct {
		Handle string `json:"handle"`
	}
	out := struct {
		Items []result `json:"items"`
	}{}
	var names []string
	w.mu.Lock()
	for _, it := range call.Items {
		h := e.address + "/" + fmt.Sprintf("%011x", rand.Uint64()>>20)
		w.pieces[h] = piece{request: it.ID, stage: it.Stage, number: it.Segment, until: time.Now().Add(handleTTL)}
		out.Items = append(out.Items, result{h})
		names = append(names, fmt.Sprintf("%s/%d/%d=%s", it.ID, it.Stage, it.Segment, h))
	}
	w.mu.Unlock()
	record.line("engine %s made %s", e.id, strings.Join(names, " "))
	text, _ := json.Marshal(out)
	return text
}

// serveModel serves the connections of a model engine: it fetches the inputs, checks them and answers with a stream.
func (e *engine) serveModel(w *world, c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Attempt-Id")
		if want := r.Header.Get("Expected-Instance"); want != "" && want != e.id {
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "+e.id+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		handles := strings.Split(r.Header.Get("Input-Count"), ",")
		gone, got := "", map[int]int{}
		var wrong []string
		w.mu.Lock()
		for _, h := range handles {
			p, ok := w.pieces[h]
			switch {
			case !ok || time.Now().After(p.until):
				gone = h
			case p.request != id:
				wrong = append(wrong, fmt.Sprintf("%s, which is piece %d of request %s", h, p.number, p.request))
			default:
				got[p.number]++
			}
		}
		want := w.counts[id]
		w.mu.Unlock()
		if gone != "" {
			record.line("engine %s: request %s not run, input %s is gone", e.id, id, gone)
			_, _ = io.WriteString(c, "HTTP/1.1 409 Conflict\r\nAttempt-Id: "+id+"\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		record.line("engine %s runs %s with %s", e.id, id, r.Header.Get("Input-Count"))
		if len(wrong) > 0 {
			w.break_("MIXED: request %s ran with %d inputs of other requests: %s", id, len(wrong), wrong[0])
		} else if len(got) != want || len(handles) != want {
			w.break_("MIXED: request %s ran with %d inputs, %d different ones, of %d", id, len(handles), len(got), want)
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\nResponse-Signature: sig-"+id+"\r\nContent-Type: text/event-stream\r\nInstance-Load: 1,0,64\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
			return
		}
		time.Sleep(60 * time.Millisecond)
		for i := 1; i <= 4; i++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, id)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return
		}
	}
}

func (e *engine) accept(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serve(c)
	}
}

// piecesCase has clients send requests with a stage. With trouble, some engines of the stage send an extra answer late, for 5 s
// at a time.
func piecesCase(temp string, trouble bool) int {
	s, l := newStore(), listen()
	go s.serve(l)
	w := &world{pieces: map[string]piece{}, counts: map[string]int{}}
	zones := []string{"hall-a", "hall-b", "hall-c"}
	add := func(service string, n, slots int, model bool) {
		for i := range n {
			el := listen()
			e := &engine{id: fmt.Sprintf("i-%s-%d", service, i+1), address: el.Addr().String(), garbles: !model && i < 3}
			go e.accept(el, func(c net.Conn) {
				if model {
					e.serveModel(w, c)
				} else {
					e.serveStage(w, c)
				}
			})
			s.put("servers/"+e.id, entry{Service: service, Address: e.address, Zone: zones[i%3], Version: "v1", Slots: slots, State: "ready", Sequence: 1})
		}
	}
	add("register-api", 5, 1, false)
	add("stile-pool", 6, 64, true)
	const host = "pule25.example"
	s.configure(3, []route{{Name: "r-classify", Host: host, Prefix: "/classify/", Kind: "streaming", Timeout: 15000, Aim: 2200, Priority: 2, Service: "stile-pool", Attempts: 2,
		Stages: []stage{{Service: "register-api", After: []int{}, Bytes: 800000}}, Affine: true, Gap: 400}},
		[]service{
			{Name: "stile-pool", Health: "/health", Connections: 360, Protocol: "h1", Engine: &modelEngine{Slots: 64, Tokens: 621758}},
			{Name: "register-api", Health: "/health", Connections: 360, Protocol: "h1", Segments: &segments{Slots: 1, Queue: 2, Batch: batchSize, Call: 240, Item: 26, MB: 14, TTL: 4, Mbps: 10000}},
		})
	boxes := newBoxes(temp, l.Addr().String(), 3)
	for _, b := range boxes {
		b.start(nil)
	}
	awaitReady(boxes)
	time.Sleep(time.Second)
	record.line("boxes are ready")
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	for i := range 12 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				end := classify(w, boxes[n%len(boxes)], host)
				mu.Lock()
				ends[end]++
				mu.Unlock()
			}
		}()
	}
	for range 15 {
		w.garbled.Store(trouble)
		record.line("disruption on: %v", trouble)
		time.Sleep(5 * time.Second)
		w.garbled.Store(false)
		record.line("disruption off")
		time.Sleep(time.Second)
		w.mu.Lock()
		n := len(w.mixed)
		w.mu.Unlock()
		if n > 0 {
			break
		}
	}
	close(stop)
	clients.Wait()
	for k, n := range ends {
		record.say("%5d ended with %s", n, k)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	record.say("%d extra answers of engines, %d times the rule was broken", w.extras.Load(), len(w.mixed))
	for i, m := range w.mixed {
		if i < 3 {
			record.say("%s", m)
		}
	}
	if len(w.mixed) > 0 {
		return broken
	}
	if ends["200"] == 0 {
		cannotRun("no request was served")
	}
	return held
}

// classify sends one request whose pieces fill a call.
func classify(w *world, b *box, host string) string {
	id := newID()
	w.mu.Lock()
	w.counts[id] = batchSize
	w.mu.Unlock()
	r, err := http.NewRequest(http.MethodPost, "http://"+b.callers()+"/classify/2f", strings.NewReader("a gift "+id))
	if err != nil {
		cannotRun("request: %v", err)
	}
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "15000")
	r.Header.Set("Authorization", "Token "+apiKey)
	r.Header.Set("Model", "m")
	r.Header.Set("Token-Usage", "1460,80")
	r.Header.Set("Prompt-Prefix", "5c1e07a2:800,"+id[:8]+":250")
	r.Header.Set("Chunk-Count", strconv.Itoa(batchSize))
	r.Header.Set("Chunk-Key", id[:12])
	record.line("client sends %s to %s", id, b.name)
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 16 * time.Second}
	a, err := c.Do(r)
	if err != nil {
		record.line("client: %s no answer: %v", id, err)
		return "no answer"
	}
	defer a.Body.Close()
	got, err := io.ReadAll(a.Body)
	record.line("client: %s gets %d, %d bytes, %v", id, a.StatusCode, len(got), err)
	if a.StatusCode != http.StatusOK {
		time.Sleep(200 * time.Millisecond)
		return fmt.Sprint(a.StatusCode)
	}
	if err != nil || slices.Contains(got, 0) {
		return "broken off"
	}
	w.served.Add(1)
	return "200"
}
