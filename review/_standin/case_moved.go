package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["moved"] = movedCase }

const (
	draftEvents  = 17
	draftPrompt  = 39_600                  // tokens, the largest of embargo-draft
	readAgain    = 1030 * time.Millisecond // at 38.4 tokens a millisecond
	preemptShare = 0.2
	workOverlap  = 400 * time.Millisecond

	witnessPrefix = "witness-"
)

// work is the time in which an engine worked on a request.
type work struct {
	engine     string
	from, till time.Time
	after      int // the event after which it began
}

// worklog holds the work of all engines by request.
type worklog struct {
	mu  sync.Mutex
	all map[string][]*work
}

func (l *worklog) begin(engine, request string, after int) *work {
	w := &work{engine: engine, from: time.Now(), after: after}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[request] = append(l.all[request], w)
	return w
}

func (l *worklog) end(w *work) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.till = time.Now()
}

// twice returns how many streams went on at another engine, and on how many of them the engine before still worked.
func (l *worklog) twice() (moved, twice int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for request, list := range l.all {
		for i := 1; i < len(list); i++ {
			if list[i].after == 0 {
				continue
			}
			moved++
			if over := list[i-1].till.Sub(list[i].from); over > workOverlap {
				twice++
				record.line("TWICE: %s worked on %s for %v after it went on at %s", list[i-1].engine, request, over.Round(time.Millisecond), list[i].engine)
			}
		}
	}
	return moved, twice
}

// took returns for how long an engine worked on a request after a time, and whether it has ended.
func (l *worklog) took(request string, since time.Time) (d time.Duration, ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.all[request] {
		return max(0, w.till.Sub(since)), !w.till.IsZero()
	}
	return 0, false
}

// witness sends an engine a long request on a connection of its own, ends the connection while a part of the body is unsent, and
// records for how long the engine works on: after a plain close and after a reset.
func (l *worklog) witness(address string, reset bool) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		cannotRun("witness: %v", err)
	}
	c := conn.(*net.TCPConn)
	id := fmt.Sprintf("%s%v", witnessPrefix, reset)
	go func() {
		_, _ = fmt.Fprintf(c, "POST /drafts/2f HTTP/1.1\r\nHost: witness\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}()
	_, _ = c.Read(make([]byte, 4<<10))
	time.Sleep(time.Second) // the engine has preempted the stream; all that it sent is read
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, _ = io.Copy(io.Discard, c)
	if reset {
		_ = c.SetLinger(0)
	}
	_ = c.Close()
	closed := time.Now()
	for range 100 {
		if d, ended := l.took(id, closed); ended {
			record.line("witness: after a close (reset %v) the engine worked on for %v", reset, d.Round(time.Millisecond))
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	record.line("witness: after a close (reset %v) the engine has not ended its work", reset)
}

// open reports whether a connection is neither closed nor reset, also where unread bytes lie before its end.
func open(c *net.TCPConn) bool {
	const established = 1
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	state := 0
	_ = raw.Control(func(fd uintptr) { state, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO) })
	return state&0xff == established
}

// serveDraft serves one request for a stream. An early engine answers before it has read the body and reads on later. Some
// streams are preempted: the engine stops for some two seconds, reads the prompt again and goes on. It drops a request when its
// connection closes.
func serveDraft(c *net.TCPConn, engine string, early bool, l *worklog) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReaderSize(c, 4<<10))
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	if want := r.Header.Get("Expected-Instance"); want != "" && want != engine {
		_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	if !early {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	record.line("engine %s takes %s after event %d", engine, id, after)
	w := l.begin(engine, id, after)
	err = sendDraft(c, engine, id, after)
	l.end(w)
	record.line("engine %s has ended its work on %s: %v", engine, id, err)
	if err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

var errClosed = fmt.Errorf("its connection was closed")

func sendDraft(c *net.TCPConn, engine, id string, after int) error {
	pause := func(d time.Duration) error {
		for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(min(20*time.Millisecond, time.Until(until))) {
			if !open(c) {
				return errClosed
			}
		}
		return nil
	}
	if err := pause(75 * time.Millisecond); err != nil {
		return err
	}
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Signature: sig-" + id + "\r\nContent-Type: text/event-stream\r\nInstance-Load: 1,0,64\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		return err
	}
	preempted := 0
	if after == 0 && (rand.Float64() < preemptShare || strings.HasPrefix(id, witnessPrefix)) {
		preempted = 3 + rand.IntN(8)
	}
	for i := after + 1; i <= draftEvents; i++ {
		if i == preempted {
			record.line("engine %s preempts %s", engine, id)
			if err := pause(1800*time.Millisecond + time.Duration(rand.IntN(400))*time.Millisecond); err != nil {
				return err
			}
			record.line("engine %s reads the prompt of %s again", engine, id)
			if err := pause(readAgain); err != nil {
				return err
			}
		}
		if err := pause(17 * time.Millisecond); err != nil {
			return err
		}
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, id, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}

// movedCase has clients send long bodies for streams that may be resumed. Some streams are preempted for about two seconds. With
// trouble, the engines answer before they have read a body.
func movedCase(temp string, trouble bool) int {
	l := &worklog{all: map[string][]*work{}}
	s, sl := newStore(), listen()
	go s.serve(sl)
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 32<<10)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
		})
	}}
	address := ""
	for i, zone := range []string{"hall-a", "hall-b", "hall-c", "hall-a"} {
		el, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
		if err != nil {
			cannotRun("listen: %v", err)
		}
		id := fmt.Sprintf("i-model-%d", i+1)
		go func() {
			for {
				c, err := el.Accept()
				if err != nil {
					return
				}
				go serveDraft(c.(*net.TCPConn), id, trouble, l)
			}
		}()
		address = el.Addr().String()
		s.put("servers/"+id, entry{Service: "stilemast-pool", Address: el.Addr().String(), Zone: zone, Version: "v1", Slots: 64, State: "ready", Sequence: 1})
	}
	const host = "wire.example"
	s.configure(3, []route{{Name: "r-draft", Host: host, Prefix: "/drafts/", Kind: "streaming", Timeout: 6000, Aim: 1100, Service: "stilemast-pool", Attempts: 2, Affine: true, Resume: true, Gap: 200}},
		[]service{{Name: "stilemast-pool", Health: "/health", Connections: 360, Protocol: "h1", Engine: &modelEngine{Slots: 64, Tokens: 343821}}})
	boxes := newBoxes(temp, sl.Addr().String(), 3)
	for _, b := range boxes {
		b.start(nil)
	}
	awaitReady(boxes)
	l.witness(address, false)
	l.witness(address, true)
	time.Sleep(4 * time.Second) // a box that has just started expects many others
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	for i := range 8 {
		clients.Go(func() {
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				end := draft(boxes[n%len(boxes)], host)
				mu.Lock()
				ends[end]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(25 * time.Second)
	close(stop)
	clients.Wait()
	time.Sleep(3 * time.Second) // until the engines have ended their work
	for k, n := range ends {
		record.say("%5d %s", n, k)
	}
	moved, twice := l.twice()
	record.say("TWICE: of %d streams that went on at another engine, %d were worked on at the engine before more than %v later", moved, twice, workOverlap)
	switch {
	case twice > 0:
		return broken
	case moved == 0:
		cannotRun("no stream went on at another engine")
	}
	return held
}

// draft sends one request for a stream with a long body.
func draft(b *box, host string) string {
	id := newID()
	r, err := http.NewRequest(http.MethodPost, "http://"+b.callers()+"/drafts/2f", bytes.NewReader(body))
	if err != nil {
		cannotRun("request: %v", err)
	}
	r.Host = host
	for k, v := range map[string]string{
		"Attempt-Id": id, "Deadline-Ms": "6000", "Authorization": "Token " + apiKey, "Model": "m",
		"Token-Usage": fmt.Sprintf("%d,%d", draftPrompt, 3*draftEvents), "Prompt-Prefix": fmt.Sprintf("%s:%d", id[:8], draftPrompt),
	} {
		r.Header.Set(k, v)
	}
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 7 * time.Second}
	record.line("client sends %s to %s", id, b.name)
	a, err := c.Do(r)
	if err != nil {
		record.line("client: %s no answer: %v", id, err)
		return "no answer"
	}
	defer a.Body.Close()
	last, err := readEvents(a.Body)
	end := fmt.Sprintf("%d, last event %d", a.StatusCode, last)
	if err != nil {
		end += ", broken off"
	}
	record.line("client: %s gets %s", id, end)
	return end
}
