package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// steps is the number of parts of an upload engine's answer.
const steps = 30

// answerTo returns the parts of the whole answer to a request, which its id determines.
func answerTo(id string, stream bool) []string {
	out := make([]string, steps)
	for i := range out {
		out[i] = fmt.Sprintf("%s part %02d %s\n", id, i+1, strings.Repeat("x", 200))
		if stream {
			out[i] = fmt.Sprintf("id: %d\ndata: %s part %02d\n\n", i+1, id, i+1)
		}
	}
	return out
}

// Sizes of an engine's sockets: the segments of Ethernet and a small window, as on the platform's links.
const (
	segment = 1448
	window  = 4 << 10
)

// engineProcess is an engine in a process of its own. It answers before it has read a long body, without a length: the answer
// ends with the connection. It reads on later, and the whole body before it ends the answer.
func engineProcess(args []string) {
	f := flag.NewFlagSet("engine", flag.ExitOnError)
	id := f.String("id", "", "its id in the store")
	pause := f.Duration("pause", 50*time.Millisecond, "between the parts of an answer")
	_ = f.Parse(args)
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(invalid)
	}
	fmt.Println(l.Addr())
	go func() { // it ends with its parent
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serveUpload(c.(*net.TCPConn), *id, *pause)
	}
}

func serveUpload(c *net.TCPConn, instance string, pause time.Duration) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReaderSize(c, 4<<10))
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	if want := r.Header.Get("Expected-Instance"); want != "" && want != instance {
		_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "+instance+"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	fmt.Printf("runs %s\n", id)
	stream := strings.HasPrefix(r.URL.Path, "/letters/")
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Signature: sig-" + id + "\r\nInstance-Load: 1,0,6\r\nConnection: close\r\n"
	if stream {
		head += "Content-Type: text/event-stream\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return
	}
	for _, part := range answerTo(id, stream) {
		if _, err := io.WriteString(c, part); err != nil {
			fmt.Printf("broken %s\n", id)
			return
		}
		time.Sleep(pause)
	}
	n, err := io.Copy(io.Discard, r.Body)
	fmt.Printf("answered %s whole, rest of the body %d bytes, %v\n", id, n, err)
}

// engineHandle is an engine process that a case started.
type engineHandle struct {
	id, address string
	cmd         *exec.Cmd
	stdin       io.Closer
}

func startEngine(id string, pause time.Duration) *engineHandle {
	cmd := exec.Command(os.Args[0], "engine", "-id", id, "-pause", pause.String())
	out, err := cmd.StdoutPipe()
	if err != nil {
		cannotRun("engine: %v", err)
	}
	in, err := cmd.StdinPipe()
	if err != nil {
		cannotRun("engine: %v", err)
	}
	if err := cmd.Start(); err != nil {
		cannotRun("engine: %v", err)
	}
	children.add(cmd.Process.Pid)
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		cannotRun("engine %s gave no address", id)
	}
	e := &engineHandle{id: id, address: lines.Text(), cmd: cmd, stdin: in}
	go func() {
		for lines.Scan() {
			record.line("engine %s %s", id, lines.Text())
		}
		_ = cmd.Wait()
		children.remove(cmd.Process.Pid)
	}()
	return e
}
