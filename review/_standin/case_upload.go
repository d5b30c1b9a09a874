package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cases are the cases by name.
var cases = map[string]func(temp string, trouble bool) int{
	"upload": func(temp string, trouble bool) int { return uploadCase(temp, trouble, 50*time.Millisecond) },
	// The same without a crash: with trouble the engines read on after 4.5 s, otherwise after 1.5 s.
	"late": func(temp string, trouble bool) int {
		if trouble {
			return uploadCase(temp, false, 150*time.Millisecond)
		}
		return uploadCase(temp, false, 50*time.Millisecond)
	},
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// uploadCase has clients send long bodies to engines that answer before they have read them, without a length. With trouble,
// one engine of four crashes three times, and a new one comes in its place. The engines pause between the parts of an answer.
func uploadCase(temp string, trouble bool, pause time.Duration) int {
	s, l := newStore(), listen()
	go s.serve(l)
	const host = "desk.example"
	routes := []route{
		{Name: "r-receipts", Host: host, Prefix: "/receipts/", Kind: "non_idempotent", Timeout: 15000, Aim: 2000, Priority: 2, Service: "donor-desk", Attempts: 1},
		{Name: "r-letters", Host: host, Prefix: "/letters/", Kind: "streaming", Timeout: 15000, Aim: 2000, Priority: 1, Service: "donor-desk", Attempts: 1, Gap: 400},
	}
	services := []service{{Name: "donor-desk", Health: "/health", Connections: 96, Protocol: "h1"}}
	s.configure(3, routes, services)
	number := 0
	var engines []*engineHandle
	add := func(zone string) {
		number++
		e := startEngine(fmt.Sprintf("i-%08x", 0x10000+number), pause)
		s.put("servers/"+e.id, entry{Service: "donor-desk", Address: e.address, Zone: zone, Version: "v1", Slots: 6, State: "ready", Sequence: 1})
		record.line("engine %s at %s is in the store", e.id, e.address)
		engines = append(engines, e)
	}
	for _, zone := range []string{"hall-a", "hall-b", "hall-c", "hall-a"} {
		add(zone)
	}
	boxes := newBoxes(temp, l.Addr().String(), 3)
	for _, b := range boxes {
		b.start(nil)
	}
	awaitReady(boxes)
	time.Sleep(6 * time.Second) // a box that has just started expects many others and uses few connections
	record.line("boxes are ready")

	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	counts, short := map[string]int{}, 0
	for i := range 20 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				path, stream := "/receipts/upload", n%2 == 1
				if stream {
					path = "/letters/draft"
				}
				id := newID()
				result, cut := upload(boxes[n%len(boxes)], host, path, id, stream)
				mu.Lock()
				counts[result]++
				if cut {
					short++
				}
				mu.Unlock()
			}
		}()
	}
	if trouble {
		time.Sleep(4 * time.Second)
		for range 3 {
			e := engines[0]
			engines = engines[1:]
			go witness(e)
			time.Sleep(300 * time.Millisecond)
			record.line("engine %s at %s is killed", e.id, e.address)
			_ = syscall.Kill(e.cmd.Process.Pid, syscall.SIGKILL)
			time.Sleep(3600 * time.Millisecond) // three heartbeats
			s.remove("servers/" + e.id)
			time.Sleep(900 * time.Millisecond)
			add("hall-a")
			time.Sleep(2 * time.Second)
		}
	} else {
		time.Sleep(12 * time.Second)
	}
	close(stop)
	clients.Wait()
	for k, n := range counts {
		record.say("%5d %s", n, k)
	}
	record.say("%d clients got a success, complete by its framing, without the engine's whole body", short)
	if short > 0 {
		return broken
	}
	if counts["200 whole"] == 0 {
		cannotRun("no request was served")
	}
	return held
}

var body = bytes.Repeat([]byte("0123456789"), 10_998) // 109,980 bytes and 17 of the id; the largest of embargo-draft has 110,000

// upload sends one request and compares its answer with the engine's.
func upload(b *box, host, path, id string, stream bool) (result string, cut bool) {
	head := []byte(id + "\n")
	r, err := http.NewRequest(http.MethodPost, "http://"+b.callers()+path, io.MultiReader(bytes.NewReader(head), bytes.NewReader(body)))
	if err != nil {
		cannotRun("request: %v", err)
	}
	r.ContentLength, r.Host = int64(len(head)+len(body)), host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "15000")
	r.Header.Set("Authorization", "Token "+apiKey)
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{}).DialContext}, Timeout: 16 * time.Second}
	record.line("client sends %s %s to %s", id, path, b.name)
	a, err := c.Do(r)
	if err != nil {
		record.line("client: %s no answer: %v", id, err)
		return "no answer", false
	}
	defer a.Body.Close()
	got, err := io.ReadAll(a.Body)
	whole := strings.Join(answerTo(id, stream), "")
	signed := a.Header.Get("Response-Signature") != ""
	switch {
	case err != nil:
		result = fmt.Sprintf("%d, broken off visibly", a.StatusCode)
	case a.StatusCode/100 != 2:
		result = fmt.Sprint(a.StatusCode)
	case string(got) == whole:
		result = "200 whole"
	default:
		result, cut = "200 that looks complete and is not", true
	}
	record.line("client: %s gets %d, signed %v, %d of %d bytes, framing error %v: %s", id, a.StatusCode, signed, len(got), len(whole), err, result)
	return result, cut
}

// witness sends an engine a request of which its connection's buffers hold a part of the body, so that nothing is being written
// when the engine is killed, and records how the answer ends.
func witness(e *engineHandle) {
	c, err := net.Dial("tcp", e.address)
	if err != nil {
		record.line("witness: %v", err)
		return
	}
	defer c.Close()
	_, _ = fmt.Fprintf(c, "POST /witness HTTP/1.1\r\nHost: witness\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n", newID(), len(body))
	_, _ = c.Write(body[:20_000])
	n, err := io.Copy(io.Discard, c)
	record.line("witness: the answer of %s ends after %d bytes: %v", e.id, n, err)
}
