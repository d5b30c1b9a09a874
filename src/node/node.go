// Package node assembles the parts of one process: a box or gateway, its listeners and its adapters.
package node

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"

	pb "github.com/stilemast/stilemast/src/api/stilemast/v1"
	"github.com/stilemast/stilemast/src/backend"
	"github.com/stilemast/stilemast/src/box"
	"github.com/stilemast/stilemast/src/clock"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/configservice"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/exchange"
	"github.com/stilemast/stilemast/src/intake"
	"github.com/stilemast/stilemast/src/metrics"
	"github.com/stilemast/stilemast/src/peer"
	"github.com/stilemast/stilemast/src/rpc"
	"github.com/stilemast/stilemast/src/web"
)

// Limits of the callers' gRPC server.
const (
	maxMessageBytes    = 2 << 20 // bytes
	maxStreams         = 4096    // concurrent streams of one connection
	healthInterval     = 200 * time.Millisecond
	callerDrainTimeout = 2 * time.Second // for open answers to reach callers at the end of a graceful shutdown
)

// Node is one process that runs a box. Set the exported fields before Start.
type Node struct {
	Settings *config.Settings
	Log      *slog.Logger
	Release  string
	Adjust   func(*box.Box) // modifies the box before it starts; may be nil

	box            *box.Box
	peers          *peer.Client
	callerListener net.Listener
	peerListener   net.Listener
	webListener    net.Listener
	grpc           *grpc.Server
	intake         *rpc.Intake
	limiters       *limiters
	health         *health.Server
	http           *http.Server
	cancel         context.CancelFunc
	wg             sync.WaitGroup
	stopped        chan struct{}
	stopOnce       sync.Once
}

// Box returns the box that this node runs. Call it after Start.
func (n *Node) Box() *box.Box { return n.box }

// CallersAddress returns the address for callers and operators. Call it after Start.
func (n *Node) CallersAddress() string { return n.callerListener.Addr().String() }

// PeersAddress returns the address for other boxes. Call it after Start.
func (n *Node) PeersAddress() string { return n.peerListener.Addr().String() }

// Stopped returns a channel that is closed when a graceful shutdown has completed.
func (n *Node) Stopped() <-chan struct{} { return n.stopped }

// malformedFrom returns a function that logs and counts the malformed responses of a source.
func (n *Node) malformedFrom(source string, count func(source string)) func(exchange.Target, error) {
	return func(from exchange.Target, err error) {
		n.Log.Warn("malformed response", "source", source, "address", from.Address, "cause", err.Error())
		count(source)
	}
}

// Start opens the listeners and starts serving. Errors name the setting that they concern.
func (n *Node) Start() error {
	n.stopped = make(chan struct{})
	serverTLS, clientTLS, err := loadTLS(n.Settings.TLS)
	if err != nil {
		return err
	}
	if err := n.listen(); err != nil {
		return err
	}
	n.Settings.Listen.Peers = n.peerListener.Addr().String()
	n.peers = peer.NewClient(clientTLS)
	servers := backend.NewClient(backendTLS(n.Settings.TLS, clientTLS))
	set := metrics.New()
	servers.OnMalformed = n.malformedFrom("servers", set.Malformed)
	platform := configservice.NewClient(n.Settings.Platform.Addresses, time.Duration(n.Settings.Platform.CallTimeout))
	platform.OnMalformed = n.malformedFrom("platform", set.Malformed)
	platform.Watch = time.Duration(n.Settings.Platform.Watch)
	n.box = &box.Box{
		Settings: n.Settings,
		ID:       core.BoxID{Name: n.Settings.Box, Incarnation: uint64(time.Now().UnixNano())},
		Release:  n.Release,
		Backends: servers.Ports(),
		Platform: platform.Ports(),
		Peers:    n.peers.Ports(),
		Log:      n.Log,
		Clock:    clock.Now,
		Wall:     time.Now,
	}
	checkClock(n.Log)
	n.intake = &rpc.Intake{
		Account: &intake.Account{Limit: int64(n.Settings.Callers.MaxBytes)}, MaxMessage: maxMessageBytes, MessageTime: time.Duration(n.Settings.Callers.MessageTime), Log: n.Log,
		Authorize: func(ctx context.Context, method string) *code.Error {
			return rpc.AuthorizeHead(ctx, method, n.box.Config(), n.Settings)
		},
	}
	n.limiters = newLimiters(0, 0)
	n.limiters.boundPeers(0, int64(n.Settings.Callers.MaxBytes))
	set.WatchPorts(n.limiters.status)
	set.WatchMessages(n.intake.Account.Status, n.intake.Refused)
	n.box.Observer = set.Watcher()
	if n.Adjust != nil {
		n.Adjust(n.box)
	}
	n.box.Init()
	set.WatchBox(n.box)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	if err := n.serveWeb(set, serverTLS); err != nil {
		return err
	}
	n.servePeers(ctx, peersTLS(n.Settings.TLS, serverTLS))
	n.serveCallers(serverTLS)
	n.box.Start(ctx)
	n.wg.Add(2)
	go n.watchHealth(ctx)
	go func() {
		defer n.wg.Done()
		n.limiters.logEvery(ctx, sweepInterval, n.Log)
	}()
	return nil
}

func (n *Node) listen() error {
	var err error
	if n.callerListener, err = net.Listen("tcp", n.Settings.Listen.Callers); err != nil {
		return eris.Wrap(err, "listen.callers")
	}
	if n.peerListener, err = net.Listen("tcp", n.Settings.Listen.Peers); err != nil {
		return eris.Wrap(err, "listen.peers")
	}
	if n.Settings.Listen.Metrics == "" {
		return nil
	}
	if n.webListener, err = net.Listen("tcp", n.Settings.Listen.Metrics); err != nil {
		return eris.Wrap(err, "listen.metrics")
	}
	return nil
}

func (n *Node) serveWeb(set *metrics.Set, cfg *tls.Config) error {
	if n.webListener == nil {
		return nil
	}
	h, err := set.Handler(n.box)
	if err != nil {
		return err
	}
	n.http = web.Start(n.limiters.ports[metricsPort].Listen(n.webListener), h, cfg)
	return nil
}

func (n *Node) servePeers(ctx context.Context, cfg *tls.Config) {
	s := &peer.Server{TLS: cfg, Log: n.Log, Unknown: n.limiters.ports[peersPort], Handlers: peer.Handlers{Beat: n.box.HandleBeat, Ask: n.box.HandleQuestion, Forward: n.box.HandleForward}}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		s.Serve(ctx, n.peerListener)
	}()
}

func (n *Node) serveCallers(cfg *tls.Config) {
	opts := append(n.intake.Options(),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.ConnectionTimeout(callerHeaderTimeout),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}),
	)
	if cfg != nil {
		opts = append(opts, grpc.Creds(credentials.NewTLS(cfg)))
	}
	n.grpc = grpc.NewServer(opts...)
	n.health = health.NewServer()
	n.grpc.RegisterService(rpc.AsStreams(healthpb.Health_ServiceDesc), n.health)
	n.grpc.RegisterService(rpc.AsStreams(pb.Pipelines_ServiceDesc), &rpc.Pipelines{Box: n.box})
	n.grpc.RegisterService(rpc.AsStreams(pb.Operations_ServiceDesc), &rpc.Operations{Box: n.box, BeginStop: n.beginStop})
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		_ = n.grpc.Serve(n.callerListener)
	}()
}

// watchHealth publishes the readiness of the box in the gRPC health service.
func (n *Node) watchHealth(ctx context.Context) {
	defer n.wg.Done()
	t := time.NewTicker(healthInterval)
	defer t.Stop()
	for {
		state := healthpb.HealthCheckResponse_NOT_SERVING
		if n.box.Ready() {
			state = healthpb.HealthCheckResponse_SERVING
		}
		n.health.SetServingStatus("", state)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// beginStop starts a graceful shutdown and returns the number of running requests.
func (n *Node) beginStop() int {
	running := n.box.Status().Running
	go n.Stop()
	return running
}

// Stop shuts the node down gracefully and returns the number of requests that were aborted. Further calls wait for the
// first and return 0.
func (n *Node) Stop() int {
	cut := 0
	n.stopOnce.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.Settings.StopWithin))
		defer cancel()
		cut = n.box.Drain(ctx)
		n.finishCallers()
		n.Kill()
		close(n.stopped)
	})
	<-n.stopped
	return cut
}

// finishCallers waits up to callerDrainTimeout for open answers to reach their callers.
func (n *Node) finishCallers() {
	ended := make(chan struct{})
	go func() {
		n.grpc.GracefulStop()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(callerDrainTimeout):
	}
}

// Kill stops the node immediately, as a crash of the process would, except that its memory is not freed.
func (n *Node) Kill() {
	n.cancel()
	n.grpc.Stop()
	_ = n.peerListener.Close()
	n.peers.Close()
	if n.http != nil {
		_ = n.http.Close()
	}
	n.wg.Wait()
}

// loadTLS reads the PEM files named by the settings. Without a certificate both configurations are nil, which means
// plain TCP.
func loadTLS(s config.TLSSettings) (server, client *tls.Config, err error) {
	if s.Certificate == "" {
		return nil, nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, nil, eris.Wrap(err, "tls.certificate")
	}
	server = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}
	client = server.Clone()
	if s.Authority == "" {
		return server, client, nil
	}
	pem, err := os.ReadFile(s.Authority)
	if err != nil {
		return nil, nil, eris.Wrap(err, "tls.authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, eris.New("tls.authority: no certificate found in the file")
	}
	server.ClientCAs, client.RootCAs = pool, pool
	server.ClientAuth = tls.VerifyClientCertIfGiven
	if s.RequireClient {
		server.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return server, client, nil
}

// peersTLS restricts a server's configuration to clients whose common name is listed in PeerNames, if there are any.
func peersTLS(s config.TLSSettings, server *tls.Config) *tls.Config {
	if server == nil || len(s.PeerNames) == 0 {
		return server
	}
	cfg := server.Clone()
	cfg.VerifyConnection = func(c tls.ConnectionState) error {
		if len(c.VerifiedChains) > 0 && slices.Contains(s.PeerNames, c.VerifiedChains[0][0].Subject.CommonName) {
			return nil
		}
		return eris.New("the certificate's common name is not in tls.peer_names")
	}
	return cfg
}

// backendTLS returns the configuration for calls to backend servers, nil for plain TCP.
func backendTLS(s config.TLSSettings, client *tls.Config) *tls.Config {
	if !s.Backends {
		return nil
	}
	return client
}

// checkClock warns if the clock cannot detect that the machine was suspended.
func checkClock(log *slog.Logger) {
	clock.Now()
	if err := clock.Err(); err != nil {
		log.Warn("suspension of the machine cannot be detected", "cause", err.Error())
	}
}
