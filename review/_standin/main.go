// The stand-ins of the review: the platform's store, engines and clients, and the cases that use them.
package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	held    = 0
	broken  = 1
	invalid = 2
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: standin engine ... | standin case NAME RECORD")
		os.Exit(invalid)
	}
	if os.Args[1] == "engine" {
		engineProcess(os.Args[2:])
		return
	}
	run, ok := cases[os.Args[2]]
	if !ok || len(os.Args) < 4 {
		cannotRun("no case %s", os.Args[2])
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}
	record.open(os.Args[3])
	time.AfterFunc(115*time.Second, func() { cannotRun("out of time") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		cannotRun("ended by a signal")
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record.line("case %s, trouble %v", os.Args[2], trouble)
	code := run(temp, trouble)
	record.line("exit %d", code)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(temp)
	} else {
		fmt.Println(temp)
	}
	quit(code)
}

func quit(code int) {
	children.kill()
	record.close()
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	record.line("cannot run: "+format, args...)
	quit(invalid)
}

// log writes the record of a run: what was sent, answered and run.
type log struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

var record log

func (r *log) open(path string) {
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(invalid)
	}
	r.file, r.began = f, time.Now()
}

func (r *log) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file != nil {
		fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// say writes a line to the record and to the terminal.
func (r *log) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *log) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file != nil {
		_ = r.file.Close()
	}
}

// listen opens a free port.
func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return l
}
