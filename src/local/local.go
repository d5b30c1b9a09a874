// Package local runs a complete deployment inside one process for demos, load tests and integration tests: the
// platform, engines, services and boxes, connected by loopback sockets.
package local

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/logging"
	"github.com/stilemast/stilemast/src/node"
	"github.com/stilemast/stilemast/src/standin"
	"github.com/stilemast/stilemast/src/web"
)

// anyPort is a loopback address with a free port.
const anyPort = "127.0.0.1:0"

// readyTimeout is the timeout for a deployment to become ready.
const readyTimeout = 15 * time.Second

// Deployment is a set of boxes, stand-ins for backend servers and a stand-in for the platform. Fill in Document, Boxes,
// Log, Release and Adjust before Start.
type Deployment struct {
	Document *config.Document // Start fills in the addresses of the backend servers
	Boxes    int              // number of boxes to start
	Log      *slog.Logger
	Release  string
	Adjust   func(*config.Settings) // modifies the settings of each box; may be nil

	Platform *standin.Platform
	Engines  map[string]*standin.Engine
	Services map[string]*standin.Service
	Nodes    []*node.Node

	address string
	cancel  context.CancelFunc
	servers []*http.Server
}

// Start starts the deployment and waits until all boxes and engines are ready.
func (s *Deployment) Start() error {
	logging.RedirectGoZero(s.Log)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	if err := s.startBackends(ctx); err != nil {
		return err
	}
	if err := s.startPlatform(); err != nil {
		return err
	}
	for i := range s.Boxes {
		if _, err := s.StartBox(fmt.Sprintf("box-%d", i+1), i); err != nil {
			return err
		}
	}
	s.ListBoxes()
	return s.waitReady()
}

// startBackends starts a stand-in for each backend server of the document and stores its address there.
func (s *Deployment) startBackends(ctx context.Context) error {
	s.Engines, s.Services = map[string]*standin.Engine{}, map[string]*standin.Service{}
	store := &standin.WeightStore{}
	for i := range s.Document.BackendServers {
		d := &s.Document.BackendServers[i]
		h, err := s.startBackend(ctx, d, store)
		if err != nil {
			return err
		}
		if d.Address, err = s.serve(h); err != nil {
			return err
		}
	}
	return nil
}

// startBackend creates the stand-in for a backend server: an engine if it has a model, else a service.
func (s *Deployment) startBackend(ctx context.Context, d *config.BackendServerDoc, store *standin.WeightStore) (http.Handler, error) {
	if d.Model == "" {
		v := &standin.Service{Name: d.Name, Slots: d.Slots, CallTime: 10 * time.Millisecond}
		s.Services[d.Name] = v
		return v.Handler()
	}
	e := &standin.Engine{
		Name: d.Name, Cost: standin.DefaultEngineCost(d.Slots), ChecksOrders: d.ChecksOrders, Store: store,
		EventLag: 300 * time.Millisecond, EventGap: 17,
	}
	s.Engines[d.Name] = e
	e.Init()
	go e.Run(ctx)
	return e.Handler()
}

// serve serves a handler on a loopback port and returns its address.
func (s *Deployment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", eris.Wrap(err, "listen for stand-in")
	}
	s.servers = append(s.servers, web.Start(l, h, nil))
	return l.Addr().String(), nil
}

func (s *Deployment) startPlatform() error {
	s.Platform = &standin.Platform{}
	if err := s.Publish(); err != nil {
		return err
	}
	h, err := s.Platform.Handler()
	if err != nil {
		return err
	}
	s.address, err = s.serve(h)
	return err
}

// Publish publishes the current content of Document.
func (s *Deployment) Publish() error {
	raw, err := config.Marshal(s.Document)
	if err != nil {
		return eris.Wrap(err, "marshal document")
	}
	s.Platform.Publish(raw)
	return nil
}

// PlatformAddress returns the address of the platform's stand-in.
func (s *Deployment) PlatformAddress() string { return s.address }

// BoxSettings returns the settings of the i-th box. Boxes are spread over the failure domains in turn.
func (s *Deployment) BoxSettings(name string, i int) *config.Settings {
	settings := config.DefaultSettings()
	settings.Box = name
	settings.FailureDomain = s.Document.FailureDomains[i%len(s.Document.FailureDomains)].Name
	settings.Listen = config.ListenSettings{Callers: anyPort, Peers: anyPort}
	settings.Platform.Addresses = []string{s.address}
	settings.Platform.PollEvery = config.Duration(500 * time.Millisecond)
	settings.AtMostOnce.ListLag = config.Duration(time.Second)
	settings.AtMostOnce.FreshWithin = config.Duration(3 * time.Second)
	settings.AtMostOnce.ClockSkew = config.Duration(250 * time.Millisecond)
	settings.Callers.Anyone, settings.Operators.Anyone = true, true
	if s.Adjust != nil {
		s.Adjust(&settings)
	}
	return &settings
}

// StartBox starts another box. Others do not know of it before ListBoxes.
func (s *Deployment) StartBox(name string, i int) (*node.Node, error) {
	n := &node.Node{Settings: s.BoxSettings(name, i), Log: s.Log, Release: s.Release}
	if err := n.Start(); err != nil {
		return nil, err
	}
	s.Nodes = append(s.Nodes, n)
	return n, nil
}

// ListBoxes publishes the box list with all boxes started so far.
func (s *Deployment) ListBoxes() {
	boxes := make([]core.ListedBox, len(s.Nodes))
	for i, n := range s.Nodes {
		boxes[i] = core.ListedBox{Name: n.Settings.Box, Address: n.PeersAddress(), FailureDomain: n.Settings.FailureDomain}
	}
	s.Platform.SetBoxes(boxes)
}

// waitReady waits until the boxes are ready and the engines have loaded their models.
func (s *Deployment) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for !s.ready() {
		if time.Now().After(deadline) {
			return eris.New("the deployment did not become ready in time")
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// ready reports whether the boxes are ready and the engines have loaded their models.
func (s *Deployment) ready() bool {
	for _, n := range s.Nodes {
		if !n.Box().Ready() {
			return false
		}
	}
	for _, e := range s.Engines {
		if r := e.Report(); len(s.Nodes) > 0 && r.Model == "" || r.Loading > 0 {
			return false
		}
	}
	return true
}

// Addresses returns the boxes' addresses for callers.
func (s *Deployment) Addresses() []string {
	out := make([]string, len(s.Nodes))
	for i, n := range s.Nodes {
		out[i] = n.CallersAddress()
	}
	return out
}

// Ran returns all calls that the stand-ins ran.
func (s *Deployment) Ran() []standin.Execution {
	var out []standin.Execution
	for _, e := range s.Engines {
		out = append(out, e.Log.All()...)
	}
	for _, v := range s.Services {
		out = append(out, v.Log.All()...)
	}
	return out
}

// Close stops all boxes and stand-ins immediately.
func (s *Deployment) Close() {
	for _, n := range s.Nodes {
		n.Kill()
	}
	s.cancel()
	for _, srv := range s.servers {
		_ = srv.Close()
	}
}
