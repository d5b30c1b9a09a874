package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["garbage"] = garbageCase }

const (
	garbageRate  = 0.02            // share of the answers that a struck engine spoils
	linkBytes    = 1000 << 20 / 8  // bytes a second of a machine's link
	memoryLimit  = 284 << 20       // of a box's machine
	restartAfter = 1 * time.Second // a process that ended is started again after that
	pollMemory   = 10 * time.Millisecond
)

// machines is the platform's view of the boxes' processes: it kills one that uses more than its memory, and starts each that
// ended again.
type machines struct {
	mu   sync.Mutex
	ends map[string]int // ends by themselves or for memory, by box
}

func (m *machines) watch(b *box, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(pollMemory):
		}
		b.mu.Lock()
		pid := b.cmd.Process.Pid
		b.mu.Unlock()
		used := residentBytes(pid)
		if used <= memoryLimit {
			continue
		}
		record.line("platform: %s uses %d MB, over 284 MB: killed", b.name, used>>20)
		m.count(b)
		b.signal(syscall.SIGKILL)
		time.Sleep(restartAfter)
		select {
		case <-stop:
			return
		default:
		}
		b.start(m.ended)
		record.line("platform: %s is started again", b.name)
	}
}

func (m *machines) count(b *box) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ends[b.name]++
}

// endedOften returns the number of machines with three ends or more.
func (m *machines) endedOften() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, ends := range m.ends {
		if ends >= 3 {
			n++
		}
	}
	return n
}

// ended handles a process that ended by itself.
func (m *machines) ended(b *box, state *os.ProcessState) {
	record.line("platform: %s ended by itself: %v", b.name, state)
	m.count(b)
	time.Sleep(restartAfter)
	if !closing.Load() {
		b.start(m.ended)
	}
}

// residentBytes returns the memory that a process uses, 0 if it has ended.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// garbageCase has clients send short requests on kept connections. With trouble, one of three engines spoils some answers for 5.5 s
// at a time: it sends bytes that are not an answer, as fast as a link allows, until the connection is closed.
func garbageCase(temp string, trouble bool) int {
	s, l := newStore(), listen()
	go s.serve(l)
	var on atomic.Bool
	var spoilt atomic.Int64
	for i, zone := range []string{"hall-a", "hall-b", "hall-c"} {
		el := listen()
		e := &engine{id: fmt.Sprintf("i-desk-%d", i+1), address: el.Addr().String(), garbles: i < 1}
		go e.accept(el, func(c net.Conn) { e.serveGarbage(c, &on, &spoilt) })
		s.put("servers/"+e.id, entry{Service: "donor-desk", Address: e.address, Zone: zone, Version: "v1", Slots: 6, State: "ready", Sequence: 1})
	}
	const host = "desk.example"
	s.configure(3, []route{
		{Name: "r-receipt", Host: host, Prefix: "/receipts/", Kind: "non_idempotent", Timeout: 2000, Aim: 300, Priority: 2, Service: "donor-desk", Attempts: 1},
	}, []service{{Name: "donor-desk", Health: "/health", Connections: 96, Protocol: "h1"}})
	boxes := newBoxes(temp, l.Addr().String(), 6)
	m := &machines{ends: map[string]int{}}
	for _, b := range boxes {
		b.start(m.ended)
	}
	awaitReady(boxes)
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	for _, b := range boxes {
		go m.watch(b, stop)
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	for i := range 36 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			b := boxes[i%len(boxes)]
			c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: 5 * time.Second}
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(200+rand.IntN(100)) * time.Millisecond):
				}
				if !b.ready() { // the platform gives clients the boxes that are ready
					continue
				}
				end := receipt(c, b, host)
				mu.Lock()
				ends[end]++
				mu.Unlock()
			}
		}()
	}
	for range 8 {
		on.Store(trouble)
		record.line("disruption on: %v", trouble)
		time.Sleep(5500 * time.Millisecond)
		on.Store(false)
		record.line("disruption off")
		time.Sleep(2 * time.Second)
		if m.endedOften() >= 2 {
			break
		}
	}
	close(stop)
	clients.Wait()
	for k, n := range ends {
		record.say("%5d %s", n, k)
	}
	often := m.endedOften()
	m.mu.Lock()
	for _, b := range boxes {
		record.say("%s: %d ends", b.name, m.ends[b.name])
	}
	m.mu.Unlock()
	record.say("%d answers were spoilt by engines, %d of %d machines had three ends or more", spoilt.Load(), often, len(boxes))
	if often >= 2 {
		return broken
	}
	if ends["200"] == 0 {
		cannotRun("no request was served")
	}
	return held
}

// serveGarbage serves the connections of an engine for short requests.
func (e *engine) serveGarbage(c net.Conn, on *atomic.Bool, spoilt *atomic.Int64) {
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
		time.Sleep(60 * time.Millisecond)
		if e.garbles && on.Load() && rand.Float64() < garbageRate {
			spoilt.Add(1)
			record.line("engine %s ran %s and sends bytes that are not an answer", e.id, id)
			sent := sendGarbage(c)
			record.line("engine %s: the connection ended after %d MB", e.id, sent>>20)
			return
		}
		record.line("engine %s ran %s", e.id, id)
		text := "desk " + id
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: sig-%s\r\nInstance-Load: 1,0,6\r\nContent-Length: %d\r\n\r\n%s", id, id, len(text), text); err != nil {
			return
		}
	}
}

// sendGarbage sends bytes at the speed of a link until the connection is closed.
func sendGarbage(c net.Conn) (sent int64) {
	part := bytes.Repeat([]byte{'x'}, linkBytes/100)
	for began := time.Now(); ; {
		n, err := c.Write(part)
		sent += int64(n)
		if err != nil {
			return sent
		}
		time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / linkBytes * float64(time.Second)))))
	}
}

// receipt sends one short request on a kept connection.
func receipt(c *http.Client, b *box, host string) string {
	id := newID()
	r, err := http.NewRequest(http.MethodPost, "http://"+b.callers()+"/receipts/2f", strings.NewReader("receipt "+id))
	if err != nil {
		cannotRun("request: %v", err)
	}
	r.Host, r.GetBody = host, nil
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "4000")
	r.Header.Set("Authorization", "Token "+apiKey)
	record.line("client sends %s to %s", id, b.name)
	a, err := c.Do(r)
	if err != nil {
		record.line("client: %s no answer: %v", id, err)
		return "no answer"
	}
	defer a.Body.Close()
	got, err := io.ReadAll(a.Body)
	record.line("client: %s gets %d, %q, %v", id, a.StatusCode, got, err)
	if err != nil {
		return "broken off"
	}
	return fmt.Sprint(a.StatusCode)
}
