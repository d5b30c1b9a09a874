package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// box is one process of the program on a machine of its own, which is a loopback address.
type box struct {
	name, zone, ip string
	settings       string
	out            *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool // this process was ended by the case
}

const (
	portCallers = 8625
	portReady   = 8621
	portPeers   = 8628
	portMetrics = 7745
)

func (b *box) callers() string { return fmt.Sprintf("%s:%d", b.ip, portCallers) }

// newBoxes prepares boxes of a deployment with three zones. The settings are those that the deploy file's template gives.
func newBoxes(dir, storeAddress string, n int) []*box {
	base := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), 1+rand.IntN(250))
	zones := []string{"hall-a", "hall-b", "hall-c"}
	var boxes []*box
	var seeds []string
	for i := range n {
		b := &box{name: fmt.Sprintf("edge-%s-%d", zones[i%3], 1+i/3), zone: zones[i%3], ip: base + fmt.Sprint(10+i)}
		boxes = append(boxes, b)
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", b.ip, portPeers)))
		}
		for _, port := range []int{portCallers, portReady, portPeers, portMetrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", b.ip, port))
			if err != nil {
				cannotRun("port in use: %v", err)
			}
			_ = l.Close()
		}
	}
	for _, b := range boxes {
		text := fmt.Sprintf(`mode = "gateway"
box = "%s"
failure_domain = "%s"
memory_mb = 284
stop_within = "8s"

[listen]
callers = "%s:%d"
readiness = "%s:%d"
peers = "%s:%d"
metrics = "%s:%d"

[platform]
address = "%s"

[fleet]
seeds = [%s]

[retry]
ratio = 0.2
slack = 52
window = "10s"

[machine]
cpu = 0.4
speed = 1
link_mbps = 1000.0

[regions]
"hall-a" = "nl-west"
"hall-b" = "nl-west"
"hall-c" = "nl-west"
`, b.name, b.zone, b.ip, portCallers, b.ip, portReady, b.ip, portPeers, b.ip, portMetrics, storeAddress, strings.Join(seeds, ","))
		b.settings = filepath.Join(dir, b.name+".conf")
		if err := os.WriteFile(b.settings, []byte(text), 0o600); err != nil {
			cannotRun("settings: %v", err)
		}
		out, err := os.Create(filepath.Join(dir, b.name+".log"))
		if err != nil {
			cannotRun("log: %v", err)
		}
		b.out = out
	}
	return boxes
}

// start starts the command of the deploy file. ended is called when the process ends without the case having ended it.
func (b *box) start(ended func(b *box, state *os.ProcessState)) {
	cmd := exec.Command("target/stilemast", "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "STILEMAST_CONFIG=" + b.settings}
	cmd.Stdout, cmd.Stderr = b.out, b.out
	if err := cmd.Start(); err != nil {
		cannotRun("start %s: %v", b.name, err)
	}
	children.add(cmd.Process.Pid)
	b.mu.Lock()
	b.cmd, b.stopped = cmd, false
	b.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		children.remove(cmd.Process.Pid)
		b.mu.Lock()
		own := !b.stopped && b.cmd == cmd
		b.mu.Unlock()
		if own && ended != nil && !closing.Load() {
			ended(b, cmd.ProcessState)
		}
	}()
}

// signal sends a signal that ends the process.
func (b *box) signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	_ = b.cmd.Process.Signal(s)
}

// ready reports whether the box calls itself ready.
func (b *box) ready() bool {
	c := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get(fmt.Sprintf("http://%s:%d/v1/readiness", b.ip, portReady))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func awaitReady(boxes []*box) {
	until := time.Now().Add(20 * time.Second)
	for _, b := range boxes {
		for !b.ready() {
			if time.Now().After(until) {
				cannotRun("%s is not ready", b.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// pids are the processes that this one started.
type pids struct {
	mu  sync.Mutex
	all map[int]bool
}

var (
	children pids
	closing  atomic.Bool
)

func (p *pids) add(pid int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.all == nil {
		p.all = map[int]bool{}
	}
	p.all[pid] = true
}

func (p *pids) remove(pid int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.all, pid)
}

func (p *pids) kill() {
	closing.Store(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	for pid := range p.all {
		_ = syscall.Kill(pid, syscall.SIGKILL)
	}
}
