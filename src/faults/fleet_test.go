package faults

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/stilemast/stilemast/src/box"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
	"github.com/stilemast/stilemast/src/standin"
)

// fleet runs several boxes in virtual time over fake ports: function calls in place of sockets. Links can be
// cut in either direction; boxes can be killed, paused and given wrong clocks.
type fleet struct {
	t        testing.TB
	doc      *config.Document
	config   *config.Config
	platform *standin.Platform
	engines  map[string]*standin.Engine
	services map[string]*standin.Service
	cancel   context.CancelFunc
	ctx      context.Context

	mu         sync.Mutex
	boxes      map[string]*fakeBox
	cut        map[[2]string]bool
	record     func(step string, who *fakeBox, server string, r port.CallRequest)
	tokens     map[string]string
	crashing   *crashingServers                         // servers that a request can crash; nil for none
	rejectCall func(box, server string) *port.CallError // rejects a call if it returns an error; may be nil
	entropy    *rand.ChaCha8
	hook       func(step string, who *fakeBox, server string, r port.CallRequest)
}

// fakeBox is a box of a fleet; ctx ends when it is killed.
type fakeBox struct {
	*box.Box
	name      string
	domain    string
	ctx       context.Context
	kill      context.CancelFunc
	clockSkew time.Duration // of the wall clock that the box sees

	mu     sync.Mutex
	paused chan struct{}
}

const (
	linkDelay   = 500 * time.Microsecond
	dialTimeout = time.Second
)

var errConnectionLost = errors.New("connection lost")

// smallDocument returns a configuration with two servers in each pool, enough for every step.
func smallDocument() *config.Document { return documentWithServers(2) }

// documentWithServers returns a configuration with a number of servers in each pool, which alternate between
// the two failure domains.
func documentWithServers(servers int) *config.Document {
	d := &config.Document{Version: 1, Models: []config.ModelDoc{{Name: "m", Version: "1"}}}
	for _, n := range []string{"d1", "d2"} {
		d.FailureDomains = append(d.FailureDomains, config.FailureDomainDoc{Name: n, Region: "r"})
	}
	for _, pool := range []string{"encoders", "retrievers", "rerankers", "records", "engines"} {
		for i := range servers {
			s := config.BackendServerDoc{
				Name: fmt.Sprintf("%s-%d", pool, i+1), Address: fmt.Sprintf("127.0.0.%d:1", i+1),
				FailureDomain: d.FailureDomains[i%2].Name, Pool: pool, Slots: 4,
			}
			if pool == "engines" {
				s.Model, s.ChecksOrders = "m", i == 0
			}
			d.BackendServers = append(d.BackendServers, s)
		}
	}
	pre := []config.StageDoc{{Name: "encode", Kind: "encode", Pool: "encoders"}, {Name: "retrieve", Kind: "retrieve", Pool: "retrievers"}}
	gen := append(append([]config.StageDoc{}, pre...), config.StageDoc{Name: "rerank", Kind: "rerank", Pool: "rerankers"},
		config.StageDoc{Name: "generate", Kind: "generate", Pool: "engines", Model: "m", MaxTokens: 60})
	once := append(append([]config.StageDoc{}, pre...), config.StageDoc{Name: "record", Kind: "service", Pool: "records", Once: true})
	ten := config.Duration(12 * time.Second)
	d.Pipelines = []config.PipelineDoc{
		{Name: "draft", Class: "prompt", Deadline: ten, Stages: gen},
		{Name: "review", Class: "may_wait", MustFinish: true, Deadline: ten, Stages: gen},
		{Name: "receipt", Class: "prompt", Deadline: ten, Stages: once},
	}
	all := []string{"d1", "d2"}
	d.Workspaces = []config.WorkspaceDoc{
		{Name: "ws", Pipelines: []string{"draft", "review", "receipt"}, EntryIn: all, RunIn: all, RestIn: all},
		{Name: "fenced", Pipelines: []string{"draft", "receipt"}, EntryIn: all[:1], RunIn: all[:1], RestIn: all[:1]},
	}
	return d
}

// newFleet starts n boxes and waits until they are ready and accept requests that may not be repeated.
func newFleet(t testing.TB, n int) *fleet { return newFleetWithDocument(t, n, smallDocument()) }

// newFleetWithDocument is newFleet with the configuration given. The random source of its keys is seeded with
// the test's name.
func newFleetWithDocument(t testing.TB, n int, doc *config.Document) *fleet {
	var seed [32]byte
	copy(seed[:], t.Name())
	f := &fleet{
		t: t, doc: doc, platform: &standin.Platform{ListLag: 500 * time.Millisecond},
		engines: map[string]*standin.Engine{}, services: map[string]*standin.Service{},
		boxes: map[string]*fakeBox{}, cut: map[[2]string]bool{}, tokens: map[string]string{}, entropy: rand.NewChaCha8(seed),
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	for _, s := range f.doc.BackendServers {
		if s.Model == "" {
			f.services[s.Name] = &standin.Service{Name: s.Name, Slots: s.Slots, CallTime: 10 * time.Millisecond}
			continue
		}
		e := &standin.Engine{Name: s.Name, Cost: standin.DefaultEngineCost(s.Slots), ChecksOrders: s.ChecksOrders, EventLag: 200 * time.Millisecond, EventGap: 5}
		e.Init()
		f.engines[s.Name] = e
		go e.Run(f.ctx)
	}
	f.publishConfig()
	for i := range n {
		f.startBox(fmt.Sprintf("b%d", i+1), f.doc.FailureDomains[i%2].Name)
	}
	f.publishBoxes()
	time.Sleep(testSettings("", "").AtMostOnce.Window() + 3*time.Second)
	return f
}

// testSettings returns settings with short windows, so that a cell takes little virtual time.
func testSettings(name, domain string) *config.Settings {
	s := config.DefaultSettings()
	s.Box, s.FailureDomain = name, domain
	s.Listen.Peers = name
	s.Platform.PollEvery = config.Duration(500 * time.Millisecond)
	s.AtMostOnce.ListLag = config.Duration(time.Second)
	s.AtMostOnce.FreshWithin = config.Duration(3 * time.Second)
	s.AtMostOnce.ClockSkew = config.Duration(500 * time.Millisecond)
	return &s
}

// publishConfig publishes the document, which must be valid.
func (f *fleet) publishConfig() {
	raw, err := config.Marshal(f.doc)
	if err != nil {
		f.t.Fatal(err)
	}
	conf, faults := config.Parse(raw)
	if len(faults) > 0 {
		f.t.Fatal(faults)
	}
	f.config = conf
	f.platform.Publish(raw)
}

// startBox starts a box. A name used before gets a new incarnation.
func (f *fleet) startBox(name, domain string) *fakeBox {
	b := &fakeBox{name: name, domain: domain}
	b.ctx, b.kill = context.WithCancel(f.ctx)
	id := core.BoxID{Name: name, Incarnation: uint64(time.Now().UnixNano())}
	b.Box = &box.Box{
		Settings: testSettings(name, domain), ID: id, Entropy: rand.NewChaCha8([32]byte([]byte(fmt.Sprintf("%-32s", name)))), Rand: rand.New(rand.NewPCG(id.Incarnation, uint64(len(name)))),
		Wall: func() time.Time { return time.Now().Add(b.clockSkew) },
		Gate: b.waitWhilePaused,
		Backends: port.Backends{
			Call: func(ctx context.Context, s *config.BackendServer, r port.CallRequest, emit func(int, []byte)) (port.CallResult, *port.CallError) {
				return f.call(ctx, b, s, r, emit)
			},
			Stop: func(_ context.Context, s *config.BackendServer, attempt string) {
				if e := f.engines[s.Name()]; e != nil && f.connected(b, s.Name()) {
					e.Stop(attempt)
				}
			},
			Load: func(_ context.Context, s *config.BackendServer) (core.Report, error) { return f.report(b, s) },
			Events: func(_ context.Context, s *config.BackendServer, after uint64) ([]core.CacheEvent, error) {
				return f.engines[s.Name()].Events(after), nil
			},
			Order: func(_ context.Context, s *config.BackendServer, o core.Order) error { return f.order(b, s, o) },
		},
		Platform: port.Platform{
			Config: func(ctx context.Context) ([]byte, error) { b.waitWhilePaused(); return f.platform.Config(ctx) },
			Boxes:  func(ctx context.Context) (port.BoxList, error) { b.waitWhilePaused(); return f.platform.Boxes(ctx) },
		},
		Peers: port.Peers{
			Beat: func(to string, m core.Beat) { f.beat(b, to, m) },
			Ask: func(ctx context.Context, to string, q port.Question) (port.Answer, error) {
				return f.ask(ctx, b, to, q)
			},
			Forward: func(ctx context.Context, to string, q port.Forward, emit func(port.ForwardEvent)) error {
				return f.forward(ctx, b, to, q, emit)
			},
		},
	}
	b.Init() // before a message can arrive
	f.mu.Lock()
	f.boxes[name] = b
	f.mu.Unlock()
	b.Start(b.ctx)
	return b
}

// publishBoxes publishes the running boxes as the platform's box list.
func (f *fleet) publishBoxes() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []core.ListedBox
	for _, n := range f.boxNames() {
		if b := f.boxes[n]; b.ctx.Err() == nil {
			l = append(l, core.ListedBox{Name: n, Address: n, FailureDomain: b.domain})
		}
	}
	f.platform.SetBoxes(l)
}

// boxNames returns the names of all boxes ever started, sorted. f.mu must be held.
func (f *fleet) boxNames() []string {
	var out []string
	for n := range f.boxes {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

// shutdown stops everything, so that the synctest bubble can end.
func (f *fleet) shutdown() {
	f.mu.Lock()
	boxes := f.boxes
	f.mu.Unlock()
	for _, b := range boxes {
		b.resume()
	}
	f.healAll()
	f.cancel()
	for _, s := range f.services {
		s.Arm(standin.None, 0)
		s.Resume()
	}
	for _, e := range f.engines {
		e.Arm(standin.None, 0)
		e.Resume()
	}
	time.Sleep(2 * time.Minute)
}

// waitWhilePaused blocks from pause until resume.
func (b *fakeBox) waitWhilePaused() {
	b.mu.Lock()
	p := b.paused
	b.mu.Unlock()
	if p != nil {
		<-p
	}
}

func (b *fakeBox) pause() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.paused == nil {
		b.paused = make(chan struct{})
	}
}

func (b *fakeBox) resume() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.paused != nil {
		close(b.paused)
		b.paused = nil
	}
}

// cutLink cuts the link from one box or server to another, in this direction only.
func (f *fleet) cutLink(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]string{from, to}] = true
}

// isolate cuts the links from a box to all other boxes, and with both also the links to it.
func (f *fleet) isolate(name string, both bool) {
	f.mu.Lock()
	all := f.boxNames()
	f.mu.Unlock()
	for _, o := range all {
		if o != name {
			f.cutLink(name, o)
			if both {
				f.cutLink(o, name)
			}
		}
	}
}

func (f *fleet) healAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = map[[2]string]bool{}
}

func (f *fleet) healLink(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.cut, [2]string{a, b})
	delete(f.cut, [2]string{b, a})
}

// injectorOf returns the fault injector of a backend server.
func (f *fleet) injectorOf(server string) *standin.FaultInjector {
	if v := f.services[server]; v != nil {
		return &v.FaultInjector
	}
	return &f.engines[server].FaultInjector
}

func (f *fleet) isCut(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[[2]string{from, to}]
}

// connected reports whether a box runs and its link to a server works both ways.
func (f *fleet) connected(b *fakeBox, to string) bool {
	return b.ctx.Err() == nil && !f.isCut(b.name, to) && !f.isCut(to, b.name)
}

// waitForLink blocks while a link is cut, as TCP would, until ctx is done.
func (f *fleet) waitForLink(ctx context.Context, from, to string) error {
	for f.isCut(from, to) {
		select {
		case <-ctx.Done():
			return errConnectionLost
		case <-time.After(50 * time.Millisecond):
		}
	}
	return ctx.Err()
}

// boxNamed returns a box by name, also if it was killed.
func (f *fleet) boxNamed(name string) *fakeBox {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.boxes[name]
}

// liveBox returns a box by name, or nil if it does not run.
func (f *fleet) liveBox(name string) *fakeBox {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.boxes[name]
	if b == nil || b.ctx.Err() != nil {
		return nil
	}
	return b
}

// reached calls the recorder and the hook when a request reaches a step.
func (f *fleet) reached(step string, b *fakeBox, server string, r port.CallRequest) {
	f.mu.Lock()
	h, record := f.hook, f.record
	f.mu.Unlock()
	if record != nil {
		record(step, b, server, r)
	}
	if h != nil {
		h(step, b, server, r)
	}
}
