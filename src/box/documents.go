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

// documents keeps the two published documents: the configuration and the box list. Both come from
// the platform at a few boxes and from other boxes everywhere else.
type documents struct {
	box *Box

	mu         sync.Mutex
	config     *core.Spread
	list       *core.Spread
	views      *core.Views
	boxes      port.BoxList
	holders    config.Holders // who may hold what, by the configuration in force
	rawList    []byte
	past       [][]byte // earlier configurations, to make differences against, newest first
	older      string   // digest of a version older than the one in force, not to be parsed again
	refusal    string   // why the newest published configuration was refused
	begun      time.Time
	packing    sync.Mutex // held while packing, and for lastPacked
	lastPacked port.Pulled
	reading    [2]bool
	pulling    [2]bool
}

// pastKept is how many earlier configurations are kept for differences.
const pastKept = 2

func (d *documents) init(b *Box) {
	d.box = b
	d.config = core.NewSpread(b.ID.Name, "")
	d.list = core.NewSpread(b.ID.Name, "")
	s := b.Settings.AtMostOnce
	d.views = core.NewViews(b.ID)
	d.views.FreshFor = time.Duration(s.FreshWithin)
	d.views.ListLag = time.Duration(s.ListLag)
	d.views.ClockSkew = time.Duration(s.ClockSkew)
	d.views.LedgerKeep = time.Duration(s.LedgerKeep)
	d.begun = b.now()
}

// judge says which box is home to a key.
func (d *documents) judge(k core.Key, workspace string) core.Homing {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Confirmations were timed by a clock that doesn't step; keys carry wall time.
	step := d.box.wall().Sub(d.box.now())
	d.views.Confirm(d.list.Confirmed().Add(step), d.config.Confirmed().Add(step))
	return d.views.Judge(d.box.wall(), k, workspace)
}

func (d *documents) witnesses(k core.Key, workspace string) ([]string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.views.Witnesses(k, workspace)
}

// confirmed is when the configuration in force was last known to be the newest.
func (d *documents) confirmed() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.Confirmed()
}

// step reads, pulls and settles as is due.
func (d *documents) step(ctx context.Context) {
	now := d.box.now()
	live := d.box.fleet.regions(d.box.Config())
	d.mu.Lock()
	every := time.Duration(d.box.Settings.Platform.PollEvery)
	readConf := !d.reading[0] && d.config.Reads(now, live, every)
	readList := !d.reading[1] && d.list.Reads(now, live, every)
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
	d.settle(now)
}

// settle makes a fresh box ready: once it has a configuration and has either heard from every box it
// knows of or waited long enough for them, so that it does not serve on an older version than they.
func (d *documents) settle(now time.Time) {
	b := d.box
	if b.ready.Load() || b.Config() == nil {
		return
	}
	d.mu.Lock()
	behind := d.config.Newest() > d.config.Held().Version
	listed := d.list.Held().Version > 0
	d.mu.Unlock()
	waited := now.Sub(d.begun)
	if behind && waited < 4*core.SettleWait {
		return
	}
	if listed && b.fleet.allHeard() || waited >= core.SettleWait {
		b.ready.Store(true)
		b.Log.Info("ready", "config_version", b.Config().Version(), "waited", waited.String())
	}
}

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
	d.offer(raw, at)
}

// noteRead tells metrics of a read of the platform.
func (d *documents) noteRead(document string, err error) {
	if d.box.Watch.Platform != nil {
		d.box.Watch.Platform(document, err == nil)
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

// offer checks a configuration from anywhere and puts it in force if its version is higher. readAt is
// when the platform showed it, or zero when another box did.
func (d *documents) offer(raw []byte, readAt time.Time) {
	digest := config.Digest(raw)
	d.mu.Lock()
	held := d.config.Held()
	if digest == held.Digest {
		d.config.Served(readAt, held.Version, digest)
		d.mu.Unlock()
		return
	}
	d.config.Served(readAt, 0, "")
	refused := d.config.Refused(digest) || digest == d.older
	d.mu.Unlock()
	if refused {
		return
	}
	c, faults := config.Parse(raw)
	if len(faults) > 0 {
		d.refuse(digest, faults)
		return
	}
	d.adopt(c, readAt)
}

func (d *documents) refuse(digest string, faults config.Faults) {
	d.mu.Lock()
	d.config.Refuse(digest)
	d.refusal = faults.Error()
	d.mu.Unlock()
	d.box.Log.Error("configuration refused, the last good one stays in force", "digest", digest, "faults", len(faults), "first", faults[0].Error())
}

// adopt puts a checked configuration in force everywhere in the box.
func (d *documents) adopt(c *config.Config, readAt time.Time) {
	b := d.box
	d.mu.Lock()
	if !d.config.Offer(c.Version(), c.Digest()) {
		conflict := d.config.Conflict()
		d.older = c.Digest()
		d.mu.Unlock()
		if conflict == c.Version() {
			b.Log.Error("a version was published again with other content", "version", conflict)
		}
		return
	}
	if old := b.conf.Load(); old != nil {
		d.past = append([][]byte{old.Raw()}, d.past[:min(len(d.past), pastKept-1)]...)
	}
	d.config.Adopt(c.Version(), c.Digest(), readAt)
	d.refusal = ""
	d.setRegion(c)
	b.conf.Store(c)
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
		d.list.Served(readAt, l.Revision, digest)
	}
	if fresh {
		d.list.Adopt(l.Revision, digest, readAt)
		d.boxes, d.rawList = l, raw
		if d.box.Config() != nil { // without one nobody could be a home, which is no view of the fleet
			d.views.Observe(d.box.wall(), l.Boxes, d.holders.Allows)
		}
	}
	d.mu.Unlock()
	if fresh {
		d.box.fleet.setList(now, l.Boxes)
	}
}

// hear takes what another box's heartbeat says of the documents.
func (d *documents) hear(now time.Time, from string, b core.Beat, askedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config.Hear(now, from, b.Config, askedAt)
	d.list.Hear(now, from, b.List, askedAt)
	if b.From.State == core.MemberAlive {
		d.views.Heard(d.box.wall(), from, b.From.Domain)
	}
}

// say fills a heartbeat.
func (d *documents) say(now time.Time, b *core.Beat) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b.Config = d.config.Say(now)
	b.List = d.list.Say(now)
}

// startPull fetches a newer document that another box told of.
func (d *documents) startPull(ctx context.Context, i int, s *core.Spread) {
	d.mu.Lock()
	from, want := "", core.Statement{}
	if !d.pulling[i] {
		from, want = s.Pull(d.box.now())
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

func (d *documents) pull(ctx context.Context, i int, s *core.Spread, from string, want core.Statement, have string) {
	ctx, cancel := context.WithTimeout(ctx, core.PullTimeout)
	defer cancel()
	name := []string{port.DocumentConfig, port.DocumentList}[i]
	address, _ := d.box.fleet.find(from, core.BoxID{})
	q := port.Pull{Document: name, Version: want.Version, Digest: want.Digest, HaveDigest: have}
	var raw []byte
	a, err := d.box.Peers.Ask(ctx, address, port.Question{Pull: &q})
	if err == nil && a.Pull != nil {
		raw, err = d.unpack(a.Pull)
	}
	if err != nil || a.Pull == nil || config.Digest(raw) != a.Pull.Digest {
		d.box.Log.Warn("document pull failed", "document", name, "from", from, "version", want.Version, "answered", a.Pull != nil, "cause", fmt.Sprint(err))
		d.mu.Lock()
		s.PullEnded(from)
		d.mu.Unlock()
		return
	}
	if i == 0 {
		d.offer(raw, time.Time{})
		return
	}
	d.offerList(raw, time.Time{})
}

func (d *documents) unpack(p *port.Pulled) ([]byte, error) {
	base := d.base(p.Base)
	if p.Base != "" && base == nil {
		return nil, eris.New("the version it differs from is not here")
	}
	return pack.Unpack(p.Packed, base)
}

// base finds the document that a difference was made against.
func (d *documents) base(digest string) []byte {
	if c := d.box.Config(); c != nil && digest != "" && c.Digest() == digest {
		return c.Raw()
	}
	return nil
}

// answerPull gives a document to another box, as a difference if it has a version known here.
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
		return port.Answer{Err: code.New(code.NotFound, "document", "version %d of %s is not here", q.Version, q.Document)}
	}
	p := &port.Pulled{Version: held.Version, Digest: held.Digest}
	if base != nil {
		p.Base = q.HaveDigest
	}
	p.Packed = d.packed(p, raw, base)
	return port.Answer{Pull: p}
}

// packed packs a document, or takes the bytes of the last such answer: after a change many boxes ask
// for the same difference within seconds.
func (d *documents) packed(p *port.Pulled, raw, base []byte) []byte {
	d.packing.Lock()
	defer d.packing.Unlock()
	if d.lastPacked.Digest != p.Digest || d.lastPacked.Base != p.Base {
		d.lastPacked = port.Pulled{Digest: p.Digest, Base: p.Base, Packed: pack.Pack(raw, base)}
	}
	return d.lastPacked.Packed
}
