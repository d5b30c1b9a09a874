package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/clock"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/crasher"
	"github.com/stilemast/stilemast/src/exchange"
	"github.com/stilemast/stilemast/src/observe"
	"github.com/stilemast/stilemast/src/paths"
	"github.com/stilemast/stilemast/src/policy"
	"github.com/stilemast/stilemast/src/port"
	"github.com/stilemast/stilemast/src/pushback"
)

// testFleet runs several gateways in one process in virtual time. Messages take a millisecond; the store and
// the backend servers are functions.
type testFleet struct {
	t             *testing.T
	ctx           context.Context
	mu            sync.Mutex
	boxes         map[string]*Gateway // by address
	lost          map[string]bool     // addresses that neither send nor receive messages
	side          map[string]int      // side of a network partition, by address
	stop          map[string]context.CancelFunc
	storeOK       bool
	rev           uint64
	era           catalog.Era // of the store; incremented with each restore from a copy
	catalog       *catalog.Catalog
	servers       []catalog.Server
	reads         map[string]int                                                    // store calls, by box
	refusesConns  bool                                                              // whether the address of a killed box refuses connections, as when only its process has ended
	suspendedFor  sync.Map                                                          // box name to the time.Duration for which its machine was suspended
	noteSize      int                                                               // bytes of notes between boxes about contents that may crash servers
	heldReported  int                                                               // results reported to schedulers as held
	removed       map[string]uint64                                                 // revision at which an entry was removed, by server
	lifted        []string                                                          // failure domains whose evacuation was lifted
	completeLists int                                                               // complete lists of servers sent from box to box
	storeRefuses  func(box string) bool                                             // whether the store answers a box with an error; nil: never
	storeSilent   func(box string) bool                                             // whether the store leaves a box without an answer; nil: never
	onAnswer      map[string]func(to string, q port.Question, a *port.Answer) error // called with each answer, by the asker's address
	watcher       func(box string) observe.Gateway                                  // nil: none
	setUp         func(*Gateway)                                                    // changes a box before it starts; nil: nothing
	clockBack     time.Duration                                                     // how far the clock is set back from which a starting box takes its incarnation
	oldRelease    func(box string) bool                                             // whether a box reads the store as a release without eras does; nil: never
	regions       catalog.Regions                                                   // nil: none is known
	policy        policy.Settings                                                   // of all boxes
	links         *links                                                            // network links of the boxes; nil: unlimited

	runPieces  func(ctx context.Context, box string, s catalog.Server, items []batch.Item) (batch.CallOutcome, []batch.ItemResult)
	alterBeat  func(to string, b *core.Beat)                                 // modifies a heartbeat in transit; nil: none
	alterBatch func(from string, m *batch.Message)                           // modifies a batch message in transit; nil: none
	batchTime  func(from, to string) time.Duration                           // time that a batch message takes; nil: a millisecond
	callPieces func(ctx context.Context, box string, c PieceCall) PieceReply // replaces runPieces where replies carry more than results; nil: runPieces
	freePieces func(box string, s catalog.Server) pushback.Signals           // nil: an empty answer

	send  func(ctx context.Context, box string, c *Call) (*Reply, error)
	probe func(address string) error // opens a connection to a server; nil: always succeeds

	// dial opens a connection from a box to a server, for each send, call of pieces and probe; nil: always succeeds.
	dial func(ctx context.Context, box, server string) error
}

func newTestFleet(t *testing.T, boxes int) *testFleet {
	f := newEmptyFleet(t)
	for i := range boxes {
		f.start(fmt.Sprint("box", i))
	}
	return f
}

// newEmptyFleet returns a fleet without boxes.
func newEmptyFleet(t *testing.T) *testFleet {
	ctx, cancel := context.WithCancel(t.Context())
	f := &testFleet{
		t: t, ctx: ctx, boxes: map[string]*Gateway{}, lost: map[string]bool{}, stop: map[string]context.CancelFunc{},
		onAnswer: map[string]func(string, port.Question, *port.Answer) error{}, storeOK: true, rev: 1, era: 1, catalog: testCatalog(1), reads: map[string]int{},
	}
	for i := range 3 {
		f.servers = append(f.servers,
			catalog.Server{ID: fmt.Sprint("piece", i), Pool: "encode", Domain: "d", Slots: 1},
			catalog.Server{ID: fmt.Sprint("model", i), Pool: "model", Domain: "d", Slots: 64})
	}
	f.runPieces = func(ctx context.Context, _ string, s catalog.Server, items []batch.Item) (batch.CallOutcome, []batch.ItemResult) {
		if !wait(ctx, 300*time.Millisecond) {
			return batch.CallBroken, nil
		}
		return batch.CallDone, resultsOf(s, items)
	}
	f.send = func(_ context.Context, _ string, c *Call) (*Reply, error) { return textReply(http.StatusOK, "ok"), nil }
	t.Cleanup(func() {
		cancel()
		synctest.Wait()
	})
	return f
}

func testCatalog(version uint64) *catalog.Catalog {
	return &catalog.Catalog{
		Version: version,
		Pipelines: []catalog.Pipeline{
			{Name: "draft", Host: "h", Prefix: "/draft/", Kind: catalog.Stream, Timeout: 10 * time.Second, Objective: 3 * time.Second, Attempts: 2, Resumable: true,
				Targets: []catalog.Target{{Pool: "model", Weight: 1}}, Stages: []catalog.Stage{{Pool: "encode", ResultBytes: 10}}},
			{Name: "stamp", Host: "h", Prefix: "/stamp/", Kind: catalog.Once, Timeout: 5 * time.Second, Objective: 200 * time.Millisecond, Attempts: 2, Targets: []catalog.Target{{Pool: "model", Weight: 1}}},
			{Name: "look", Host: "h", Prefix: "/look/", Kind: catalog.Repeatable, Timeout: 5 * time.Second, Objective: 200 * time.Millisecond, Attempts: 2, Targets: []catalog.Target{{Pool: "model", Weight: 1}}},
		},
		Pools: []catalog.Pool{{Name: "model"}, {Name: "encode", Batch: &catalog.BatchLimits{
			Slots: 1, Queue: 2, Size: 4, CallTime: 240 * time.Millisecond, ItemTime: 15 * time.Millisecond, RoomBytes: 1e6, ResultTTL: 4 * time.Second}}},
		Workspaces: []catalog.Workspace{{Name: "school", Tokens: []string{"token"}}},
	}
}

func resultsOf(s catalog.Server, items []batch.Item) []batch.ItemResult {
	out := make([]batch.ItemResult, len(items))
	for i, it := range items {
		out[i] = batch.ItemResult{Handle: fmt.Sprintf("%s/%s/%d", s.ID, it.Request, it.Piece)}
	}
	return out
}

// wait sleeps and returns false if the context ended first.
func wait(ctx context.Context, d time.Duration) bool {
	clock.Sleep(ctx, d)
	return ctx.Err() == nil
}

func textReply(status int, body string) *Reply {
	r := strings.NewReader(body)
	return &Reply{Status: status, Header: http.Header{}, Read: r.Read, Close: func(bool) {}, Signed: true}
}

func addressOf(name string) string { return name + ":1" }

// start starts a box, with a new incarnation each time.
func (f *testFleet) start(name string) *Gateway { return f.startWith(name, nil) }

// startWith starts a box after a change of its settings, nil for none.
func (f *testFleet) startWith(name string, change func(*Gateway)) *Gateway {
	f.t.Helper()
	address := addressOf(name)
	router := f.router(name)
	g := &Gateway{
		Paths:    router,
		Settings: Settings{Address: address, FailureDomain: "d", Seeds: []string{addressOf("box0"), addressOf("box1")}, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, Admission: true, SharedBatches: true},
		ID:       core.BoxID{Name: name, Incarnation: uint64(time.Now().Add(-f.clockBack).UnixNano())},
		Rand:     rand.New(rand.NewPCG(catalog.Hash(name), 1)),
		Backends: Backends{
			Send: func(ctx context.Context, c *Call) (*Reply, error) {
				if err := f.connect(ctx, router, c.Server.Pool, c.Server.ID); err != nil {
					return nil, &exchange.NotSent{Cause: err}
				}
				return f.send(ctx, name, c)
			},
			RunPieces: func(ctx context.Context, c PieceCall) PieceReply {
				if err := f.connect(ctx, router, c.Server.Pool, c.Server.ID); err != nil {
					if exchange.ConnectionRefused(err) {
						return PieceReply{Outcome: batch.CallAbsent}
					}
					return PieceReply{Outcome: batch.CallUnreachable}
				}
				if err := c.Start(); err != nil {
					return PieceReply{Outcome: batch.CallWithheld}
				}
				if f.callPieces != nil {
					return f.callPieces(ctx, name, c)
				}
				outcome, results := f.runPieces(ctx, name, c.Server, c.Items)
				return PieceReply{Outcome: outcome, Results: results}
			},
			Probe: func(ctx context.Context, to exchange.Target) error {
				if f.dial != nil {
					return f.connect(ctx, router, to.Pool, to.Server)
				}
				if f.probe == nil || !wait(f.ctx, 2*time.Millisecond) {
					return nil
				}
				return f.probe(to.Address)
			},
			FreePieces: func(_ context.Context, s catalog.Server, _ []string) pushback.Signals {
				if f.freePieces == nil {
					return pushback.Signals{}
				}
				return f.freePieces(name, s)
			},
		},
		Store: f.store(name),
		Peers: f.peers(address),
		Clock: func() time.Time {
			slept, _ := f.suspendedFor.Load(name)
			d, _ := slept.(time.Duration)
			return time.Now().Add(d)
		},
	}
	g.Settings.Regions, g.Settings.Policy = f.regions, f.policy
	if f.watcher != nil {
		g.Observer = f.watcher(name)
	}
	if f.links != nil {
		g.Settings.Capacity = f.links.capacity(name)
	}
	if f.setUp != nil {
		f.setUp(g)
	}
	if change != nil {
		change(g)
	}
	g.Init()
	ctx, cancel := context.WithCancel(f.ctx)
	f.mu.Lock()
	f.boxes[address], f.stop[address] = g, cancel
	f.lost[address] = false
	f.mu.Unlock()
	go g.Run(ctx)
	return g
}

// router returns the router of a box.
func (f *testFleet) router(box string) *paths.Router {
	return &paths.Router{
		Direct: func(ctx context.Context, server string) (net.Conn, error) {
			if err := f.dial(ctx, box, server); err != nil {
				return nil, err
			}
			near, _ := net.Pipe()
			return near, nil
		},
	}
}

// connect opens a connection to a server and closes it again.
func (f *testFleet) connect(ctx context.Context, r *paths.Router, pool, server string) error {
	if f.dial == nil {
		return nil
	}
	c, err := r.Dial(ctx, paths.Target{Pool: pool, Server: server, Address: server})
	if err != nil {
		return err
	}
	return c.Close()
}

// kill ends a box without notice.
func (f *testFleet) kill(name string) {
	f.mu.Lock()
	f.lost[addressOf(name)] = true
	stop := f.stop[addressOf(name)]
	f.mu.Unlock()
	stop()
}

// partition separates some boxes from the others; without names it heals the partition.
func (f *testFleet) partition(names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.side = map[string]int{}
	for _, n := range names {
		f.side[addressOf(n)] = 1
	}
}

func (f *testFleet) setLost(name string, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost[addressOf(name)] = lost
}

// refusesConnections reports whether an address refuses connections because no process listens there.
func (f *testFleet) refusesConnections(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refusesConns && f.lost[address]
}

func (f *testFleet) countHeld(m batch.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.Held != nil {
		f.heldReported += len(m.Held.Results)
	}
}

// countNotes adds up the bytes of notes about contents that may crash servers.
func (f *testFleet) countNotes(notes []crasher.Note) {
	if len(notes) == 0 {
		return
	}
	raw, err := msgpack.Marshal(notes)
	if err != nil {
		f.t.Error(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteSize += len(raw)
}

func (f *testFleet) noteBytes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.noteSize
}

// reach returns the box at an address, or nil if a message can't get there.
func (f *testFleet) reach(from, to string) *Gateway {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost[from] || f.lost[to] || f.side[from] != f.side[to] {
		return nil
	}
	return f.boxes[to]
}

func (f *testFleet) peers(from string) port.Peers {
	sendAsync := func(to string, takes time.Duration, deliver func(*Gateway)) {
		go func() {
			g := f.reach(from, to)
			if g != nil && wait(f.ctx, takes) {
				deliver(g)
			}
			if g == nil && f.refusesConnections(to) {
				f.box(strings.TrimSuffix(from, ":1")).HandleRefusal(to)
			}
		}()
	}
	return port.Peers{
		Beat: func(to string, b core.Beat) {
			f.countNotes(b.Suspects)
			if f.alterBeat != nil {
				f.alterBeat(to, &b)
			}
			sendAsync(to, time.Millisecond, func(g *Gateway) { g.HandleBeat(b) })
		},
		Batch: func(to string, m batch.Message) {
			f.countHeld(m)
			if f.alterBatch != nil {
				f.alterBatch(from, &m)
			}
			takes := time.Millisecond
			if f.batchTime != nil {
				takes = f.batchTime(from, to)
			}
			sendAsync(to, takes, func(g *Gateway) { g.HandleBatch(m) })
		},
		Ask: func(ctx context.Context, to string, q port.Question) (port.Answer, error) {
			g := f.reach(from, to)
			if g == nil || !wait(ctx, 2*time.Millisecond) {
				return port.Answer{}, errors.New("unreachable")
			}
			if err := f.links.connect(ctx, from, to); err != nil {
				return port.Answer{}, err
			}
			a := g.HandleQuestion(ctx, q)
			if q.Suspects != nil {
				f.countNotes(q.Suspects.Notes)
				f.countNotes(a.Suspects.Notes)
			}
			if err := f.links.carryAnswer(ctx, to, from, a); err != nil {
				return port.Answer{}, err
			}
			if a.Publish != nil && len(a.Publish.Servers) > 0 {
				f.mu.Lock()
				f.completeLists++
				f.mu.Unlock()
			}
			f.mu.Lock()
			onAnswer := f.onAnswer[from]
			f.mu.Unlock()
			if onAnswer != nil {
				if err := onAnswer(to, q, &a); err != nil {
					return port.Answer{}, err
				}
			}
			return a, nil
		},
		Tunnel: func(ctx context.Context, to string, q port.Tunnel) (net.Conn, error) {
			g := f.reach(from, to)
			if g == nil || !wait(ctx, 2*time.Millisecond) {
				return nil, errors.New("unreachable")
			}
			c, result := g.Paths.Carry(ctx, q)
			if c == nil {
				return nil, &port.TunnelError{Result: result}
			}
			return c, nil
		},
	}
}

var errStore = errors.New("the store is down")

func (f *testFleet) store(box string) Store {
	begin := func(ctx context.Context) error {
		f.mu.Lock()
		f.reads[box]++
		ok := f.storeOK && (f.storeRefuses == nil || !f.storeRefuses(box))
		silent := f.storeSilent != nil && f.storeSilent(box)
		f.mu.Unlock()
		if silent {
			clock.Sleep(ctx, ReadSilence)
			return errStore
		}
		if !wait(ctx, 4*time.Millisecond) || !ok {
			return errStore
		}
		return nil
	}
	state := func() (*catalog.Catalog, []catalog.Server, catalog.Revision) {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.catalog, append([]catalog.Server(nil), f.servers...), f.revision()
	}
	// changed waits for a change. The store ends open watches when it is restored, and rejects revisions that
	// it does not have.
	changed := func(ctx context.Context, after catalog.Revision, d time.Duration) (bool, error) {
		_, _, began := state()
		if after.Era() != began.Era() || after > began {
			return false, ErrHistoryGone
		}
		for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; {
			_, _, rev := state()
			switch {
			case rev.Era() != began.Era():
				return false, errStore
			case rev > after:
				return true, nil
			}
			clock.Sleep(ctx, 10*time.Millisecond)
		}
		return false, nil
	}
	out := Store{
		Catalog: func(ctx context.Context) (catalog.PublishedChange, catalog.Revision, error) {
			if err := begin(ctx); err != nil {
				return catalog.PublishedChange{}, 0, err
			}
			c, _, rev := state()
			if err := f.links.carryCatalog(ctx, addressOf(box), c); err != nil {
				return catalog.PublishedChange{}, 0, err
			}
			return catalog.PublishedChange{Catalog: c, Evacuated: c.Evacuated}, rev, nil
		},
		Servers: func(ctx context.Context) ([]catalog.Server, catalog.Revision, error) {
			if err := begin(ctx); err != nil {
				return nil, 0, err
			}
			_, s, rev := state()
			return s, rev, nil
		},
		WatchCatalog: func(ctx context.Context, after catalog.Revision, d time.Duration) (catalog.PublishedChange, catalog.Revision, error) {
			if err := begin(ctx); err != nil {
				return catalog.PublishedChange{}, 0, err
			}
			if ok, err := changed(ctx, after, d); !ok {
				return catalog.PublishedChange{}, after, err
			}
			c, _, rev := state()
			if err := f.links.carryCatalog(ctx, addressOf(box), c); err != nil {
				return catalog.PublishedChange{}, 0, err
			}
			return catalog.PublishedChange{Catalog: c, Evacuated: c.Evacuated, Restored: f.lifted}, rev, nil
		},
		WatchServers: func(ctx context.Context, after catalog.Revision, d time.Duration) ([]catalog.ServerChange, catalog.Revision, error) {
			if err := begin(ctx); err != nil {
				return nil, 0, err
			}
			if ok, err := changed(ctx, after, d); !ok {
				return nil, after, err
			}
			_, list, rev := state()
			return append(f.removals(after.Number(), rev.Number()), putsOf(list)...), rev, nil
		},
	}
	if f.oldRelease != nil && f.oldRelease(box) {
		return f.withoutEras(out)
	}
	return out
}

// revision returns the store's current revision. f.mu is held.
func (f *testFleet) revision() catalog.Revision {
	r, _ := catalog.RevisionAt(f.era, f.rev)
	return r
}

// removals returns the entries that were removed after one revision and up to another.
func (f *testFleet) removals(after, rev uint64) []catalog.ServerChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []catalog.ServerChange
	for id, at := range f.removed {
		if at > after && at <= rev {
			out = append(out, catalog.ServerChange{Removed: id})
		}
	}
	return out
}

func putsOf(list []catalog.Server) []catalog.ServerChange {
	var out []catalog.ServerChange
	for _, s := range list {
		out = append(out, catalog.ServerChange{Server: s})
	}
	return out
}

// publish stores a new configuration.
func (f *testFleet) publish(c *catalog.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catalog = c
	f.rev++
}

// callResult is the outcome of one call.
type callResult struct {
	refused *code.Error
	status  int
	body    string
	ended   bool
	cut     bool
	took    time.Duration
}

func (f *testFleet) box(name string) *Gateway {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.boxes[addressOf(name)]
}

// ask serves one request at a box.
func (f *testFleet) ask(name, path, id string, change func(*Request)) callResult {
	r := &Request{ID: id, Method: http.MethodPost, Target: path, Host: "h", Path: path, Header: http.Header{}, Token: "token", Left: 10 * time.Second, Pieces: []int{2}, PieceKey: "k"}
	if change != nil {
		change(r)
	}
	var a callResult
	began := time.Now()
	f.box(name).Serve(f.ctx, r, &Caller{
		Refuse: func(e *code.Error) { a.refused = e },
		Whole:  func(status int, _ http.Header, b []byte) { a.status, a.body, a.ended = status, string(b), true },
		Begin:  func(status int, _ http.Header) { a.status = status },
		Event:  func(b []byte) error { a.body += string(b); return nil },
		End:    func() { a.ended = true },
		Cut:    func() { a.cut = true },
	})
	a.took = time.Since(began)
	return a
}

// eventStream replies with a stream of events with a pause before each, followed by an error or the end of
// the stream.
func eventStream(ctx context.Context, from, to int, pause time.Duration, end error) *Reply {
	next := from
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Events: true, Signed: true, Close: func(bool) {},
		Read: func(b []byte) (int, error) {
			if !wait(ctx, pause) {
				return 0, ctx.Err()
			}
			if next > to {
				return 0, end
			}
			n := copy(b, fmt.Sprintf("id: %d\ndata: x\n\n", next))
			next++
			return n, nil
		}}
}

// serveStreams has every server answer with a complete stream of n events.
func (f *testFleet) serveStreams(n int) {
	f.send = func(ctx context.Context, _ string, _ *Call) (*Reply, error) {
		return eventStream(ctx, 1, n, time.Millisecond, io.EOF), nil
	}
}

var errBroken = io.ErrUnexpectedEOF
