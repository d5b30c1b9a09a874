// Package local runs a whole deployment inside one process on loopback: the platform, engines,
// services and boxes, each on sockets of its own. The demo, the load tool and socket tests use it.
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

const anyPort = "127.0.0.1:0"

// readyWait bounds how long the boxes of a set may take to become ready.
const readyWait = 15 * time.Second

// Set is one deployment. Set the exported fields before Start.
type Set struct {
	Document *config.Document
	Boxes    int
	Log      *slog.Logger
	Release  string
	Adjust   func(*config.Settings) // changes a box's settings; may be nil

	Platform *standin.Platform
	Engines  map[string]*standin.Engine
	Services map[string]*standin.Service
	Nodes    []*node.Node

	address string
	cancel  context.CancelFunc
	servers []*http.Server
}

// Start brings everything up and waits until each box is ready.
func (s *Set) Start() error {
	logging.Adopt(s.Log)
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

// startBackends starts a stand-in for each server of the document and writes its address there.
func (s *Set) startBackends(ctx context.Context) error {
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

func (s *Set) startBackend(ctx context.Context, d *config.BackendServerDoc, store *standin.WeightStore) (http.Handler, error) {
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

// serve opens a loopback port for a handler and gives its address.
func (s *Set) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", eris.Wrap(err, "stand-in can't listen")
	}
	s.servers = append(s.servers, web.Start(l, h, nil))
	return l.Addr().String(), nil
}

func (s *Set) startPlatform() error {
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

// Publish shows the document as it stands now.
func (s *Set) Publish() error {
	raw, err := config.Marshal(s.Document)
	if err != nil {
		return eris.Wrap(err, "document can't be written")
	}
	s.Platform.Publish(raw)
	return nil
}

// PlatformAddress is where the platform is served.
func (s *Set) PlatformAddress() string { return s.address }

// BoxSettings makes the settings of the i-th box.
func (s *Set) BoxSettings(name string, i int) *config.Settings {
	set := config.DefaultSettings()
	set.Box = name
	set.FailureDomain = s.Document.FailureDomains[i%len(s.Document.FailureDomains)].Name
	set.Listen = config.ListenSettings{Callers: anyPort, Peers: anyPort}
	set.Platform.Addresses = []string{s.address}
	set.Platform.PollEvery = config.Duration(500 * time.Millisecond)
	set.AtMostOnce.ListLag = config.Duration(time.Second)
	set.AtMostOnce.FreshWithin = config.Duration(3 * time.Second)
	set.AtMostOnce.ClockSkew = config.Duration(250 * time.Millisecond)
	set.Callers.Anyone, set.Operators.Anyone = true, true
	if s.Adjust != nil {
		s.Adjust(&set)
	}
	return &set
}

// StartBox starts one more box.
func (s *Set) StartBox(name string, i int) (*node.Node, error) {
	n := &node.Node{Settings: s.BoxSettings(name, i), Log: s.Log, Release: s.Release}
	if err := n.Start(); err != nil {
		return nil, err
	}
	s.Nodes = append(s.Nodes, n)
	return n, nil
}

// ListBoxes shows the boxes as they are now on the platform's list.
func (s *Set) ListBoxes() {
	boxes := make([]core.ListedBox, len(s.Nodes))
	for i, n := range s.Nodes {
		boxes[i] = core.ListedBox{Name: n.Settings.Box, Address: n.PeersAddress(), FailureDomain: n.Settings.FailureDomain}
	}
	s.Platform.SetBoxes(boxes)
}

// waitReady waits for the boxes, for the engines to hold their models, and for the window after
// which the boxes can be homes of keys.
func (s *Set) waitReady() error {
	until := time.Now().Add(readyWait)
	for !s.ready() {
		if time.Now().After(until) {
			return eris.New("the set did not become ready")
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

func (s *Set) ready() bool {
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

// Addresses lists where callers reach the boxes.
func (s *Set) Addresses() []string {
	out := make([]string, len(s.Nodes))
	for i, n := range s.Nodes {
		out[i] = n.CallersAddress()
	}
	return out
}

// Ran lists every call that any stand-in ran.
func (s *Set) Ran() []standin.Execution {
	var out []standin.Execution
	for _, e := range s.Engines {
		out = append(out, e.Log.All()...)
	}
	for _, v := range s.Services {
		out = append(out, v.Log.All()...)
	}
	return out
}

// Close ends everything at once.
func (s *Set) Close() {
	for _, n := range s.Nodes {
		n.Kill()
	}
	s.cancel()
	for _, srv := range s.servers {
		_ = srv.Close()
	}
}
