package node

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/stilemast/stilemast/src/clock"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/exchange"
	"github.com/stilemast/stilemast/src/gateway"
	"github.com/stilemast/stilemast/src/intake"
	"github.com/stilemast/stilemast/src/metrics"
	"github.com/stilemast/stilemast/src/overload"
	"github.com/stilemast/stilemast/src/paths"
	"github.com/stilemast/stilemast/src/peer"
	"github.com/stilemast/stilemast/src/status"
)

// Timeouts and limits of a gateway process.
const (
	callerHeaderTimeout   = 10 * time.Second // for reading a request's header where none is published
	callerIdleTimeout     = 2 * time.Minute  // before an idle keep-alive connection is closed, where none is published
	maxHeaderBytes        = 64 << 10
	maxGuardedHeaderBytes = 16 << 20                // of callers; the guard bounds them by what is published
	minShutdownTime       = 3200 * time.Millisecond // minimum duration of a graceful shutdown, so that the load balancer notices that this box is not ready
	answerReserve         = 2500 * time.Millisecond // end of the shutdown reserved for answers that have begun; pending stages are failed before it
	idleBeforeExit        = 400 * time.Millisecond  // without a request before a shutdown completes
	shutdownMargin        = 500 * time.Millisecond  // subtracted from the configured shutdown timeout
	lastResponses         = 200 * time.Millisecond  // of that margin, for the responses to requests that are still running then
	shutdownPollInterval  = 50 * time.Millisecond
	sweepInterval         = time.Second
	gcPercent             = 60
	keepAliveIdle         = 5 * time.Second // idle time of an accepted connection before the first probe
	keepAliveInterval     = time.Second     // between probes
	keepAliveProbes       = 3               // unanswered probes after which the connection is closed
	milliCoresPerCore     = 1000            // in a core
)

// Adapter connects gateways to a platform.
type Adapter struct {
	Open func(*config.GatewaySettings, *paths.Router) Ports // the router opens connections to servers
	// Dial opens a direct connection to a server; nil uses exchange.Dial.
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	Callers func(*gateway.Gateway) http.Handler // serves callers' requests
	Ready   func(*gateway.Gateway) http.Handler // serves the readiness check
}

// Ports are the platform-specific parts of one process that an adapter provides.
type Ports struct {
	Backends          gateway.Backends
	Store             gateway.Store
	CloseExpired      func()                 // closes expired idle connections; called periodically
	ConnectionsOpened func() int64           // number of connections opened to servers so far
	Attach            func(*gateway.Gateway) // connects the clients to the gateway's accounts and reports, before the first request
	Close             func()                 // releases all connections
}

// GatewayNode is one gateway process, which serves opaque requests. Set the exported fields before Start.
type GatewayNode struct {
	Settings *config.GatewaySettings
	Adapter  Adapter
	Log      *slog.Logger

	gateway      *gateway.Gateway
	ports        Ports
	peers        *peer.Client
	servers      []*http.Server
	peerListener net.Listener
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	callers      callerActivity
	guard        overload.Guard
	limiters     *limiters
	closed       int64 // connections that the guard had closed at the last log line
	closedIdle   int64 // the same of those without a request
	closedLate   int64 // the same of those whose request did not come in time
	closedLong   int64 // the same of those with long heads
	killOnce     sync.Once
}

// callerActivity tracks the callers' connections on which a request is being read or answered.
type callerActivity struct {
	mu     sync.Mutex
	active map[net.Conn]bool
	since  time.Time // when a connection last became idle
}

// setState records a connection's state; it is a ConnState hook of net/http.
func (a *callerActivity) setState(c net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state == http.StateActive {
		a.active[c] = true
		return
	}
	if a.active[c] {
		delete(a.active, c)
		a.since = time.Now()
	}
}

// idleFor returns for how long no request has been read or answered, 0 while one is.
func (a *callerActivity) idleFor() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.active) > 0 {
		return 0
	}
	return time.Since(a.since)
}

// setCallerState is the ConnState hook of the callers' listener.
func (n *GatewayNode) setCallerState(c net.Conn, state http.ConnState) {
	n.callers.setState(c, state)
	n.guard.SetState(c, state)
	if state == http.StateActive {
		n.guard.Meter.Probe()
	}
}

// Gateway returns the gateway that this process runs. Call it after Start.
func (n *GatewayNode) Gateway() *gateway.Gateway { return n.gateway }

// Start opens the listeners and starts serving. Errors name the setting that they concern.
func (n *GatewayNode) Start() error {
	s := n.Settings
	shares := intake.SharesOf(int64(s.MemoryMB) << 20)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(shares.Heap)
		debug.SetGCPercent(gcPercent)
	}
	beats, err := listen(s.Listen.Peers)
	if err != nil {
		return eris.Wrap(err, "listen.peers")
	}
	n.boundUnread(beats)
	n.peerListener = beats
	n.peers = peer.NewClient(nil)
	router := &paths.Router{Direct: n.Adapter.Dial}
	if router.Direct == nil {
		router.Direct = exchange.Dial
	}
	n.ports = n.Adapter.Open(s, router)
	set := metrics.NewGateway()
	n.limiters = newLimiters(s.Machine.Descriptors, int64(s.MemoryMB)<<20)
	n.guard.Meter.LinkMbps, n.guard.Descriptors, n.guard.Memory = s.Machine.LinkMbps, s.Machine.Descriptors, shares.Connections
	n.gateway = &gateway.Gateway{
		Busy: n.guard.Busy,
		Settings: gateway.Settings{
			Address: beats.Addr().String(), FailureDomain: s.FailureDomain, Regions: s.Regions, Seeds: s.Fleet.Seeds,
			Capacity:   core.Capacity{CPU: uint32(s.Machine.CPU * s.Machine.Speed * milliCoresPerCore), Link: uint32(s.Machine.LinkMbps)},
			RetryRatio: s.Retry.Ratio, RetrySlack: s.Retry.Slack, RetryWindow: time.Duration(s.Retry.Window),
			Admission: s.Policy.Admission, SharedBatches: s.Policy.SharedBatches, Policy: s.Policy.Settings, MemoryBytes: int64(s.MemoryMB) << 20,
		},
		ID:       core.BoxID{Name: s.Box, Incarnation: uint64(time.Now().UnixNano())},
		Backends: n.ports.Backends,
		Store:    n.ports.Store,
		Peers:    n.peers.Ports(),
		Paths:    router,
		Log:      n.Log,
		Observer: set.Watcher(),
		Clock:    clock.Now,
	}
	checkClock(n.Log)
	n.peers.OnRefused = n.gateway.HandleRefusal
	n.ports.Attach(n.gateway)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.gateway.Init()
	n.wg.Add(2)
	go func() {
		defer n.wg.Done()
		n.gateway.Run(ctx)
	}()
	go func() {
		defer n.wg.Done()
		h := peer.Handlers{Beat: n.gateway.HandleBeat, Batch: n.gateway.HandleBatch, Ask: n.gateway.HandleQuestion, Tunnel: n.gateway.Paths.Carry}
		peers := &peer.Server{Handlers: h, Log: n.Log, Unknown: n.limiters.ports[peersPort]}
		if s.MemoryMB > 0 {
			peers.Known = overload.ReleaseUnread
		}
		peers.Serve(ctx, beats)
	}()
	go n.sweep(ctx)
	if err := n.serve(readinessPort, s.Listen.Readiness, n.Adapter.Ready(n.gateway)); err != nil {
		return eris.Wrap(err, "listen.readiness")
	}
	n.callers.active = map[net.Conn]bool{}
	if err := n.serveCallers(s.Listen.Callers, n.Adapter.Callers(n.gateway)); err != nil {
		return eris.Wrap(err, "listen.callers")
	}
	if s.Listen.Metrics != "" {
		set.WatchLoad(n.guard.Status)
		set.WatchPorts(n.limiters.status)
		if err := n.serve(metricsPort, s.Listen.Metrics, operatorHandler(n.status, set.Handler(n.gateway, n.ports.ConnectionsOpened, n.peers.BytesSent.Load))); err != nil {
			return eris.Wrap(err, "listen.metrics")
		}
	}
	return nil
}

// listen opens a listener whose connections detect a silent peer by keep-alive probes. Go's default takes 150 s.
func listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}}
	return config.Listen(context.Background(), "tcp", address)
}

// boundUnread bounds the receive buffers of a listener's connections if the memory is limited.
func (n *GatewayNode) boundUnread(l net.Listener) {
	if n.Settings.MemoryMB == 0 {
		return
	}
	if err := overload.BoundUnread(l); err != nil {
		n.Log.Warn("receive buffers are not bounded", "address", l.Addr().String(), "cause", err.Error())
	}
}

// serveCallers serves callers on an address, as far as this box can.
func (n *GatewayNode) serveCallers(address string, h http.Handler) error {
	l, err := listen(address)
	if err != nil {
		return err
	}
	n.boundUnread(l)
	n.guard.HeadLimit = func() int { return n.gateway.Limits().HeaderBytes }
	srv := n.newServer(n.guardRequests(h))
	srv.ConnState, srv.ConnContext, srv.MaxHeaderBytes = n.setCallerState, overload.WithConnection, maxGuardedHeaderBytes
	srv.ReadTimeout, srv.IdleTimeout = 0, 0 // the guard applies those that are published
	go func() { _ = srv.Serve(&overload.Listener{Listener: l, Guard: &n.guard}) }()
	return nil
}

// timeouts returns how long callers may take: as published, or the defaults.
func (n *GatewayNode) timeouts() overload.Timeouts {
	l := n.gateway.Limits()
	return overload.Timeouts{Head: cmp.Or(l.HeaderTime, callerHeaderTimeout), Idle: cmp.Or(l.IdleTime, callerIdleTimeout)}
}

// serve serves h on the address of a port that is not for callers.
func (n *GatewayNode) serve(port, address string, h http.Handler) error {
	l, err := listen(address)
	if err != nil {
		return err
	}
	n.boundUnread(l)
	srv := n.newServer(h)
	go func() { _ = srv.Serve(n.limiters.ports[port].Listen(l)) }()
	return nil
}

// newServer returns a server of h. It uses net/http directly because go-zero's router cannot pass every path and method on unchanged.
func (n *GatewayNode) newServer(h http.Handler) *http.Server {
	srv := &http.Server{
		Handler: h, ReadTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(n.Log.Handler(), slog.LevelDebug),
	}
	n.servers = append(n.servers, srv)
	return srv
}

// sweep closes expired connections periodically.
func (n *GatewayNode) sweep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n.ports.CloseExpired()
			if time.Since(last) < 2*sweepInterval { // after a pause of the process, what callers sent meanwhile is read first
				n.guard.Expire(n.timeouts())
			}
			last = time.Now()
			n.logLoad()
			n.limiters.log(n.Log)
		}
	}
}

// status returns the state of this box for operators.
func (n *GatewayNode) status() status.Gateway {
	s, l := n.gateway.Status(), n.guard.Status()
	s.Ports = n.limiters.status()
	s.Load = status.Load{Delay: status.Ms(l.Load.Delay), Link: l.Load.Link, Accepted: l.Share, Full: l.Full, Connections: l.Open, Idle: l.Idle, Heads: l.Heads, Closed: l.Closed, ClosedIdle: l.ClosedIdle, ClosedLate: l.ClosedLate, ClosedLong: l.ClosedLong}
	return s
}

// logLoad logs that this box closes new connections unread, and that it accepts all again.
func (n *GatewayNode) logLoad() {
	s := n.guard.Status()
	if s.Share < 1 || s.Full || s.Closed != n.closed {
		n.Log.Warn("box overloaded, new connections are closed unread", "accepted_share", s.Share, "full", s.Full, "closed", s.Closed-n.closed, "connections", s.Open, "idle", s.Idle, "delay_ms", s.Load.Delay.Milliseconds(),
			"link_share", s.Load.Link, "interval_ms", s.Load.Took.Milliseconds(), "running", n.gateway.Running())
	}
	if s.ClosedIdle != n.closedIdle {
		n.Log.Info("connections without a request closed for others", "closed", s.ClosedIdle-n.closedIdle, "connections", s.Open, "idle", s.Idle, "descriptors", n.guard.Descriptors)
	}
	if late, long := s.ClosedLate-n.closedLate, s.ClosedLong-n.closedLong; late+long > 0 {
		t := n.timeouts()
		n.Log.Info("connections closed whose request did not come", "late", late, "long_heads", long, "heads", s.Heads, "idle", s.Idle, "head_time_ms", t.Head.Milliseconds(), "idle_time_ms", t.Idle.Milliseconds(), "header_bytes", n.gateway.Limits().HeaderBytes)
	}
	n.closed, n.closedIdle, n.closedLate, n.closedLong = s.Closed, s.ClosedIdle, s.ClosedLate, s.ClosedLong
}

// guardRequests counts the bodies of requests, and has callers that keep their connections open come to other boxes while this
// one is overloaded.
func (n *GatewayNode) guardRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.guard.Busy() {
			w.Header().Set("Connection", "close")
		}
		body := n.guard.AddBody(r.Body, r.ContentLength)
		defer body.Release()
		r.Body = body
		h.ServeHTTP(w, r)
	})
}

// Stop shuts the process down gracefully: it becomes not ready immediately, and running requests may finish within
// the configured time. It returns the number of requests that were aborted. Idle connections of callers stay open
// until the end, because net/http would abort a request that is just arriving on one.
func (n *GatewayNode) Stop() int {
	began := time.Now()
	limit := time.Duration(n.Settings.StopWithin) - shutdownMargin
	n.gateway.Drain(limit)
	stages := time.AfterFunc(limit-answerReserve, n.gateway.EndStages)
	defer stages.Stop()
	for time.Since(began) < limit {
		idle := n.gateway.Running() == 0 && n.callers.idleFor() > idleBeforeExit
		if idle && time.Since(began) > minShutdownTime {
			break
		}
		time.Sleep(shutdownPollInterval)
	}
	cut := n.gateway.Running()
	if cut > 0 {
		n.endRequests()
	}
	n.Kill()
	return cut
}

// endRequests ends the requests that are still running and waits for their responses.
func (n *GatewayNode) endRequests() {
	n.gateway.EndRequests()
	ctx, cancel := context.WithTimeout(context.Background(), lastResponses)
	defer cancel()
	var all sync.WaitGroup
	for _, s := range n.servers {
		all.Go(func() { _ = s.Shutdown(ctx) })
	}
	all.Wait()
}

// Kill closes all connections immediately; running requests are aborted.
func (n *GatewayNode) Kill() { n.killOnce.Do(n.kill) }

func (n *GatewayNode) kill() {
	n.cancel()
	for _, s := range n.servers {
		_ = s.Close()
	}
	_ = n.peerListener.Close()
	n.peers.Close()
	n.ports.Close()
}
