package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["spoilt"] = spoiltCase }

// spoiltRate is the share of the answers that a struck engine spoils.
const spoiltRate = 0.02

// ran holds the ids of the requests that engines ran.
var ran sync.Map

// pages are what a struck engine sends in place of its answer, in turn.
var pages = []struct{ status, text string }{
	{"200 OK", "<html>It works!</html>"},
	{"503 Service Unavailable", "<html>Service Unavailable</html>"},
}

// spoiltCase has clients send short requests. With trouble, one of four engines spoils some answers for 5.5 s at a time: it
// sends bytes that are not an answer of its own, without the request's id, a signature or Not-Executed.
func spoiltCase(temp string, trouble bool) int {
	s, l := newStore(), listen()
	go s.serve(l)
	var on atomic.Bool
	var spoilt atomic.Int64
	for i, zone := range []string{"hall-a", "hall-b", "hall-c", "hall-a"} {
		el := listen()
		e := &engine{id: fmt.Sprintf("i-desk-%d", i+1), address: el.Addr().String(), garbles: i < 1}
		go e.accept(el, func(c net.Conn) { e.serveDesk(c, &on, &spoilt) })
		s.put("servers/"+e.id, entry{Service: "donor-desk", Address: e.address, Zone: zone, Version: "v1", Slots: 6, State: "ready", Sequence: 1})
	}
	const host = "desk.example"
	s.configure(3, []route{
		{Name: "r-receipt", Host: host, Prefix: "/receipts/", Kind: "non_idempotent", Timeout: 2000, Aim: 300, Priority: 2, Service: "donor-desk", Attempts: 1},
		{Name: "r-status", Host: host, Prefix: "/status/", Kind: "idempotent", Timeout: 2000, Aim: 300, Priority: 2, Service: "donor-desk", Attempts: 2},
	}, []service{{Name: "donor-desk", Health: "/health", Connections: 96, Protocol: "h1"}})
	boxes := newBoxes(temp, l.Addr().String(), 3)
	for _, b := range boxes {
		b.start(nil)
	}
	awaitReady(boxes)
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	ends, unsigned, refused := map[string]int{}, 0, 0
	for i := range 12 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				end := ask(boxes[n%len(boxes)], host, n%2 == 0)
				mu.Lock()
				ends[end]++
				switch end {
				case endUnsigned:
					unsigned++
				case endRefused:
					refused++
				}
				mu.Unlock()
			}
		}()
	}
	for range 4 {
		on.Store(trouble)
		record.line("disruption on: %v", trouble)
		time.Sleep(5500 * time.Millisecond)
		on.Store(false)
		record.line("disruption off")
		time.Sleep(time.Second)
	}
	close(stop)
	clients.Wait()
	for k, n := range ends {
		record.say("%5d %s", n, k)
	}
	record.say("%d answers were spoilt by engines", spoilt.Load())
	record.say("MIXED: %d clients got a success without an engine's signature", unsigned)
	record.say("REFUSED: %d clients got a 503 for a request that can't be repeated and had run", refused)
	if unsigned+refused > 0 {
		return broken
	}
	if ends[endGood] == 0 {
		cannotRun("no request was served")
	}
	return held
}

// serveDesk serves the connections of an engine for short requests.
func (e *engine) serveDesk(c net.Conn, on *atomic.Bool, spoilt *atomic.Int64) {
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
		time.Sleep(15 * time.Millisecond)
		ran.Store(id, true)
		text := "desk " + id
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: sig-%s\r\nInstance-Load: 1,0,6\r\nContent-Length: %d\r\n\r\n%s", id, id, len(text), text)
		if e.garbles && on.Load() && rand.Float64() < spoiltRate {
			page := pages[spoilt.Add(1)%2]
			record.line("engine %s ran %s and sends %s", e.id, id, page.status)
			answer = fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: text/html\r\nContent-Length: %d\r\n\r\n%s", page.status, len(page.text), page.text)
		} else {
			record.line("engine %s ran %s", e.id, id)
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// Ends of a client's request.
const (
	endGood     = "200 signed"
	endUnsigned = "200 without a signature"
	endRefused  = "503 to a request that can't be repeated and had run"
)

// ask sends one short request.
func ask(b *box, host string, once bool) string {
	id, method, path := newID(), http.MethodGet, "/status/2f"
	var content io.Reader
	if once {
		method, path, content = http.MethodPost, "/receipts/2f", strings.NewReader("receipt "+id)
	}
	r, err := http.NewRequest(method, "http://"+b.callers()+path, content)
	if err != nil {
		cannotRun("request: %v", err)
	}
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "4000")
	r.Header.Set("Authorization", "Token "+apiKey)
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 5 * time.Second}
	record.line("client sends %s %s to %s", id, path, b.name)
	a, err := c.Do(r)
	if err != nil {
		record.line("client: %s no answer: %v", id, err)
		return "no answer"
	}
	defer a.Body.Close()
	got, err := io.ReadAll(a.Body)
	signature := a.Header.Get("Response-Signature")
	_, hasRun := ran.Load(id)
	end := fmt.Sprint(a.StatusCode)
	switch {
	case err != nil:
		end = "broken off"
	case a.StatusCode/100 == 2 && signature == "":
		end = endUnsigned
	case a.StatusCode/100 == 2:
		end = endGood
	case once && hasRun && (a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusTooManyRequests):
		end = endRefused
	}
	record.line("client: %s gets %d, signature %q, %q, %v: %s", id, a.StatusCode, signature, got, err, end)
	return end
}
