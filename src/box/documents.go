package box

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/pack"
	"github.com/stilemast/stilemast/src/port"
)

// documents keeps the two published documents, the configuration and the box list, up to date. A few boxes
// read them from the platform, all others get them from other boxes.
type documents struct {
	box *Box

	mu          sync.Mutex
	config      *core.DocumentSync
	list        *core.DocumentSync
	views       *core.HomeResolver
	boxes       port.BoxList
	holders     config.Holders // which boxes may hold which data according to the configuration in force
	rawList     []byte
	past        [][]byte // earlier configurations as bases of differences, newest first
	olderDigest string   // digest of a rejected version that is not newer, to avoid parsing it again
	refusal     string   // why the newest published configuration was rejected
	startedAt   time.Time
	packMu      sync.Mutex // guards lastPacked and serializes packing
	lastPacked  port.Pulled
	reading     [2]bool
	pulling     [2]bool
}

// maxPast is the number of earlier configurations kept as bases of differences.
const maxPast = 2

func (d *documents) init(b *Box) {
	d.box = b
	d.config = core.NewDocumentSync(b.ID.Name, "")
	d.list = core.NewDocumentSync(b.ID.Name, "")
	s := b.Settings.AtMostOnce
	d.views = core.NewHomeResolver(b.ID)
	d.views.FreshFor = time.Duration(s.FreshWithin)
	d.views.ListLag = time.Duration(s.ListLag)
	d.views.ClockSkew = time.Duration(s.ClockSkew)
	d.views.LedgerKeep = time.Duration(s.LedgerKeep)
	d.startedAt = b.now()
}

// homeOf returns which box is the home of a key.
func (d *documents) homeOf(k core.Key, workspace string) core.HomeDecision {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Confirmations are timed by the monotonic clock, keys contain wall time.
	step := d.box.wall().Sub(d.box.now())
	d.views.Confirm(d.list.Confirmed().Add(step), d.config.Confirmed().Add(step))
	return d.views.Resolve(d.box.wall(), k, workspace)
}

// possibleHomes returns the boxes that might consider themselves the home of a key; false if this box can't name
// them all.
func (d *documents) possibleHomes(k core.Key, workspace string) ([]string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.views.PossibleHomes(k, workspace)
}

// confirmed returns when the configuration in force was last known to be the newest.
func (d *documents) confirmed() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.Confirmed()
}

// step starts the reads and pulls that are due, and updates readiness.
func (d *documents) step(ctx context.Context) {
	now := d.box.now()
	live := d.box.fleet.regions(d.box.Config())
	d.mu.Lock()
	every := time.Duration(d.box.Settings.Platform.PollEvery)
	readConf := !d.reading[0] && d.config.ShouldRead(now, live, every)
	readList := !d.reading[1] && d.list.ShouldRead(now, live, every)
	d.reading[0] = d.reading[0] || readConf
	d.reading[1] = d.reading[1] || readList
	d.mu.Unlock()
	if readConf {
		go d.readConfig(ctx)
	}
	if readList {
		go d.readList(ctx)
	}
	d.startPull(ctx, 0, d.config)
	d.startPull(ctx, 1, d.list)
	d.updateReadiness(now)
}

// updateReadiness makes a new box ready once it has a configuration and has either heard from every known box
// or waited long enough for them, so that it does not serve with an older version than the others.
func (d *documents) updateReadiness(now time.Time) {
	b := d.box
	if b.ready.Load() || b.Config() == nil {
		return
	}
	d.mu.Lock()
	behind := d.config.Newest() > d.config.Held().Version
	listed := d.list.Held().Version > 0
	d.mu.Unlock()
	waited := now.Sub(d.startedAt)
	if behind && waited < 4*core.SettleWait {
		return
	}
	if listed && b.fleet.allAnswered() || waited >= core.SettleWait {
		b.ready.Store(true)
		b.Log.Info("ready", "config_version", b.Config().Version(), "waited", waited.String())
	}
}

// readConfig reads the configuration from the platform.
func (d *documents) readConfig(ctx context.Context) {
	defer d.readEnded(0)
	at := d.box.now()
	raw, err := d.box.Platform.Config(ctx)
	d.noteRead(port.DocumentConfig, err)
	if err != nil {
		d.mu.Lock()
		d.config.ReadFailed(at)
		d.mu.Unlock()
		return
	}
	d.offerConfig(raw, at)
}

// noteRead reports a read of the platform to the metrics and the log.
func (d *documents) noteRead(document string, err error) {
	if d.box.Observer.PlatformRead != nil {
		d.box.Observer.PlatformRead(document, err == nil)
	}
	if err != nil {
		d.box.Log.Debug("platform read failed", "document", document, "error", err.Error())
	}
}

func (d *documents) readEnded(i int) {
	d.mu.Lock()
	d.reading[i] = false
	d.mu.Unlock()
}

// offerConfig validates a configuration and puts it in force if its version is higher. readAt is when it was
// read from the platform, zero if it came from another box.
func (d *documents) offerConfig(raw []byte, readAt time.Time) {
	digest := config.Digest(raw)
	d.mu.Lock()
	held := d.config.Held()
	if digest == held.Digest {
		d.config.ApplyRead(readAt, held.Version, digest)
		d.mu.Unlock()
		return
	}
	d.config.ApplyRead(readAt, 0, "")
	refused := d.config.Refused(digest) || digest == d.olderDigest
	d.mu.Unlock()
	if refused {
		return
	}
	c, faults := config.Parse(raw)
	if len(faults) > 0 {
		d.rejectConfig(digest, faults)
		return
	}
	d.adoptConfig(c, readAt)
}

// rejectConfig records an invalid configuration.
func (d *documents) rejectConfig(digest string, faults config.Faults) {
	d.mu.Lock()
	d.config.Refuse(digest)
	d.refusal = faults.Error()
	d.mu.Unlock()
	d.box.Log.Error("configuration refused, the last valid one stays in force", "digest", digest, "faults", len(faults), "first", faults[0].Error())
}

// adoptConfig puts a valid configuration in force if its version is higher.
func (d *documents) adoptConfig(c *config.Config, readAt time.Time) {
	b := d.box
	d.mu.Lock()
	if !d.config.Offer(c.Version(), c.Digest()) {
		conflict := d.config.Conflict()
		d.olderDigest = c.Digest()
		d.mu.Unlock()
		if conflict == c.Version() {
			b.Log.Error("a version was published twice with different content", "version", conflict)
		}
		return
	}
	if old := b.activeConfig.Load(); old != nil {
		d.past = append([][]byte{old.Raw()}, d.past[:min(len(d.past), maxPast-1)]...)
	}
	d.config.Adopt(c.Version(), c.Digest(), readAt)
	d.refusal = ""
	d.setRegion(c)
	b.activeConfig.Store(c)
	if h := c.Holders(); !h.Equal(d.holders) {
		d.holders = h
		d.views.Observe(b.wall(), d.boxes.Boxes, h.Allows)
	}
	d.mu.Unlock()
	b.pools.setServers(c)
	b.burn.SetLevels(c.ServiceLevels())
	b.Log.Info("configuration in force", "version", c.Version(), "digest", c.Digest())
}

func (d *documents) setRegion(c *config.Config) {
	if i := d.box.domainOf(c); i >= 0 {
		d.config.Region = c.FailureDomains()[i].Region()
		d.list.Region = d.config.Region
	}
}

// readList reads the box list from the platform.
func (d *documents) readList(ctx context.Context) {
	defer d.readEnded(1)
	at := d.box.now()
	l, err := d.box.Platform.Boxes(ctx)
	d.noteRead(port.DocumentList, err)
	if err != nil {
		d.mu.Lock()
		d.list.ReadFailed(at)
		d.mu.Unlock()
		return
	}
	raw, err := msgpack.Marshal(l)
	if err == nil {
		d.offerList(raw, at)
	}
}

// offerList puts a box list in force if its revision is higher.
func (d *documents) offerList(raw []byte, readAt time.Time) {
	var l port.BoxList
	if err := msgpack.Unmarshal(raw, &l); err != nil {
		return
	}
	digest := config.Digest(raw)
	now := d.box.now()
	d.mu.Lock()
	fresh := d.list.Offer(l.Revision, digest)
	if !readAt.IsZero() {
		d.list.ApplyRead(readAt, l.Revision, digest)
	}
	if fresh {
		d.list.Adopt(l.Revision, digest, readAt)
		d.boxes, d.rawList = l, raw
		if d.box.Config() != nil { // without a configuration no box could be a home
			d.views.Observe(d.box.wall(), l.Boxes, d.holders.Allows)
		}
	}
	d.mu.Unlock()
	if fresh {
		d.box.fleet.setList(now, l.Boxes)
	}
}

// handleBeat applies the statements on documents in another box's heartbeat.
func (d *documents) handleBeat(now time.Time, from string, b core.Beat, askedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config.HandleStatement(now, from, b.Config, askedAt)
	d.list.HandleStatement(now, from, b.List, askedAt)
	if b.From.State == core.MemberAlive {
		d.views.ObserveHeartbeat(d.box.wall(), from, b.From.Domain)
	}
}

// fillBeat adds the statements on documents to a heartbeat.
func (d *documents) fillBeat(now time.Time, b *core.Beat) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b.Config = d.config.Statement(now)
	b.List = d.list.Statement(now)
}

// startPull starts to fetch a newer document from another box, if one is known.
func (d *documents) startPull(ctx context.Context, i int, s *core.DocumentSync) {
	d.mu.Lock()
	from, want := "", core.Statement{}
	if !d.pulling[i] {
		from, want = s.NextPull(d.box.now())
	}
	have := s.Held().Digest
	d.pulling[i] = d.pulling[i] || from != ""
	d.mu.Unlock()
	if from == "" {
		return
	}
	go func() {
		d.pull(ctx, i, s, from, want, have)
		d.mu.Lock()
		d.pulling[i] = false
		d.mu.Unlock()
	}()
}

// pull fetches a document from another box and offers it.
func (d *documents) pull(ctx context.Context, i int, s *core.DocumentSync, from string, want core.Statement, have string) {
	ctx, cancel := context.WithTimeout(ctx, core.PullTimeout)
	defer cancel()
	name := []string{port.DocumentConfig, port.DocumentList}[i]
	address, _ := d.box.fleet.locate(from, core.BoxID{})
	q := port.Pull{Document: name, Version: want.Version, Digest: want.Digest, HaveDigest: have}
	var raw []byte
	a, err := d.box.Peers.Ask(ctx, address, port.Question{Pull: &q})
	if err == nil && a.Pull != nil {
		raw, err = d.unpack(a.Pull)
	}
	if err != nil || a.Pull == nil || config.Digest(raw) != a.Pull.Digest {
		d.box.Log.Warn("document pull failed", "document", name, "from", from, "version", want.Version, "answered", a.Pull != nil, "cause", fmt.Sprint(err))
		d.mu.Lock()
		s.PullFailed(from)
		d.mu.Unlock()
		return
	}
	if i == 0 {
		d.offerConfig(raw, time.Time{})
		return
	}
	d.offerList(raw, time.Time{})
}

// unpack decompresses a pulled document.
func (d *documents) unpack(p *port.Pulled) ([]byte, error) {
	base := d.base(p.Base)
	if p.Base != "" && base == nil {
		return nil, eris.New("base version of the difference is not available")
	}
	return pack.Unpack(p.Packed, base)
}

// base returns the document that a difference is based on, nil if this box does not have it.
func (d *documents) base(digest string) []byte {
	if c := d.box.Config(); c != nil && digest != "" && c.Digest() == digest {
		return c.Raw()
	}
	return nil
}

// answerPull returns a document to another box, as a difference if that box has a version that is kept here.
func (d *documents) answerPull(q port.Pull) port.Answer {
	d.mu.Lock()
	raw, held := d.rawList, d.list.Held()
	var base []byte
	if q.Document == port.DocumentConfig {
		raw, held = nil, d.config.Held()
		if c := d.box.Config(); c != nil {
			raw = c.Raw()
		}
		for _, p := range d.past {
			if config.Digest(p) == q.HaveDigest {
				base = p
			}
		}
	}
	d.mu.Unlock()
	if len(raw) == 0 || held.Version < q.Version {
		return port.Answer{Err: code.New(code.NotFound, "document", "version %d of %s is not available", q.Version, q.Document)}
	}
	p := &port.Pulled{Version: held.Version, Digest: held.Digest}
	if base != nil {
		p.Base = q.HaveDigest
	}
	p.Packed = d.packed(p, raw, base)
	return port.Answer{Pull: p}
}

// packed compresses a document, or returns the cached result: after a change many boxes request the same
// difference within seconds.
func (d *documents) packed(p *port.Pulled, raw, base []byte) []byte {
	d.packMu.Lock()
	defer d.packMu.Unlock()
	if d.lastPacked.Digest != p.Digest || d.lastPacked.Base != p.Base {
		d.lastPacked = port.Pulled{Digest: p.Digest, Base: p.Base, Packed: pack.Pack(raw, base)}
	}
	return d.lastPacked.Packed
}
