package box

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// fleet is the membership under its lock.
type fleet struct {
	box *Box

	mu       sync.Mutex
	core     *core.Members
	leavings map[string]core.LeavingNote
	repeats  map[string]int
	told     []core.LoadNote // the last loads told, and when; only tellLoads uses them
	toldAt   time.Time
}

// leavingRepeats is how many beats pass on that a server is leaving.
const leavingRepeats = 20

func (f *fleet) init(b *Box) {
	f.box = b
	address := b.Settings.Listen.Advertise
	if address == "" {
		address = b.Settings.Listen.Peers
	}
	self := core.Rumour{ID: b.ID, Address: address, Domain: b.Settings.FailureDomain}
	f.core = core.NewMembers(self, b.Rand)
	f.leavings = map[string]core.LeavingNote{}
	f.repeats = map[string]int{}
}

// beat sends the heartbeats that are due.
func (b *Box) beat(context.Context) {
	f := &b.fleet
	now := b.now()
	f.mu.Lock()
	f.core.Expect = b.news(now)
	out := append(f.core.Tick(now), f.core.IndirectProbes(now)...)
	changed := f.core.Changed()
	f.mu.Unlock()
	for _, o := range out {
		b.Peers.Beat(o.Address, o.Beat)
	}
	if changed {
		b.membersChanged()
	}
}

// tellLoads gives every box of a small fleet this box's loads, more often than heartbeats go round:
// how freshly boxes know of one another's calls decides how well they share engines. What does not
// change is told again only before it would be taken for stale.
func (b *Box) tellLoads(context.Context) {
	f := &b.fleet
	f.mu.Lock()
	to, self := f.core.SmallFleetAddresses(), f.core.Self
	f.mu.Unlock()
	loads := b.loadNotes(b.now())
	now := b.now()
	if len(to) == 0 || slices.Equal(loads, f.told) && (len(loads) == 0 || now.Sub(f.toldAt) < core.LoadRepeatEvery) {
		return
	}
	f.told, f.toldAt = loads, now
	for _, address := range to {
		b.Peers.Beat(address, core.Beat{From: self, News: true, Loads: loads})
	}
}

// news fills heartbeats with what other parts of the box tell; the fleet's lock is held.
func (b *Box) news(now time.Time) func(*core.Beat) {
	loads := b.loadNotes(now)
	return func(m *core.Beat) {
		b.docs.say(now, m)
		m.Loads = loads
		m.Leavings = b.fleet.leavingNotes()
		m.Suspects = b.suspects.Notes(m.News)
	}
}

// loadNotes says how many calls this box has at each server where it has any; a server that is left
// out has none, which keeps a heartbeat small whatever the number of servers.
func (b *Box) loadNotes(now time.Time) []core.LoadNote {
	var out []core.LoadNote
	for _, p := range b.pools.list() {
		p.locked(func(c *core.Pool) {
			for _, v := range c.View(now) {
				if v.InFlight > 0 && len(out) < core.LoadNotesPerBeat {
					out = append(out, core.LoadNote{Server: uint32(xxhash.Sum64String(v.Name)), N: uint16(min(v.InFlight, 1<<16-1))})
				}
			}
		})
	}
	return out
}

func (f *fleet) leavingNotes() []core.LeavingNote {
	var out []core.LeavingNote
	for name, n := range f.leavings {
		out = append(out, n)
		if f.repeats[name]--; f.repeats[name] <= 0 {
			delete(f.leavings, name)
			delete(f.repeats, name)
		}
	}
	return out
}

// tellLeaving passes on that a server is leaving.
func (f *fleet) tellLeaving(server string, r core.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leavings[server] = core.LeavingNote{Server: server, Incarnation: r.Incarnation, Seq: r.Seq}
	f.repeats[server] = leavingRepeats
}

// TakeBeat takes a heartbeat of another box.
func (b *Box) TakeBeat(m core.Beat) {
	f := &b.fleet
	now := b.now()
	f.mu.Lock()
	f.core.Expect = b.news(now)
	h := f.core.Receive(now, m)
	changed := f.core.Changed()
	f.mu.Unlock()
	for _, o := range h.Reply {
		b.Peers.Beat(o.Address, o.Beat)
	}
	if !m.News {
		b.docs.hear(now, m.From.ID.Name, m, h.AskedAt)
	}
	b.suspects.Hear(m.Suspects, m.From.ID.Name)
	b.takeLoads(now, m)
	if changed {
		b.membersChanged()
	}
}

// takeLoads takes another box's notes on servers.
func (b *Box) takeLoads(now time.Time, m core.Beat) {
	notes := make(map[uint32]uint16, len(m.Loads))
	for _, n := range m.Loads {
		notes[n.Server] = n.N
	}
	for _, p := range b.pools.list() {
		p.locked(func(c *core.Pool) {
			for _, name := range c.Servers() {
				c.PeerLoad(now, m.From.ID.Name, name, int(notes[uint32(xxhash.Sum64String(name))]))
			}
			for _, l := range m.Leavings {
				c.PeerReportedLeaving(now, l.Server, l.Incarnation, l.Seq)
			}
		})
	}
}

// membersChanged works out again which servers this box uses and with how many others.
func (b *Box) membersChanged() {
	c := b.Config()
	if c == nil {
		return
	}
	usable := b.fleet.usable()
	for _, p := range b.pools.list() {
		p.setServers(c, usable)
	}
	live := map[string]bool{}
	for _, n := range usable {
		live[n] = true
	}
	for _, m := range b.fleet.each() {
		if !live[m.ID().Name] {
			b.docs.forget(m.ID().Name)
			for _, p := range b.pools.list() {
				p.locked(func(c *core.Pool) { c.ForgetPeer(m.ID().Name) })
			}
		}
	}
}

func (d *documents) forget(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config.Forget(name)
	d.list.Forget(name)
}

func (f *fleet) setList(now time.Time, boxes []core.ListedBox) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core.SetList(now, boxes)
}

func (f *fleet) usable() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Usable()
}

func (f *fleet) size() int { return len(f.usable()) }

// each copies the members, for views.
func (f *fleet) each() []core.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.core.All()
	out := make([]core.Member, len(list))
	for i, m := range list {
		out[i] = *m
	}
	return out
}

// allHeard says whether every box that is not known to be dead has answered once.
func (f *fleet) allHeard() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.core.All() {
		if m.State() != core.MemberDead && m.LastAnswer().IsZero() {
			return false
		}
	}
	return true
}

// find gives the address and failure domain of a box: of the incarnation meant, of the one that took
// over its ledger, or, when no incarnation is meant, of whoever has the name.
func (f *fleet) find(name string, holder core.BoxID) (address, domain string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if holder.Incarnation != 0 {
		if next := f.core.Successor(holder); next != "" {
			name, holder = next, core.BoxID{}
		}
	}
	if name == f.box.ID.Name {
		return "", ""
	}
	m := f.core.Find(name)
	if m == nil || holder.Incarnation != 0 && m.ID() != holder {
		return "", ""
	}
	return m.Address(), m.FailureDomain()
}

func (f *fleet) addressOf(holder core.BoxID) string {
	a, _ := f.find(holder.Name, holder)
	return a
}

// regions maps the usable boxes to their regions.
func (f *fleet) regions(c *config.Config) map[string]string {
	out := map[string]string{}
	f.mu.Lock()
	defer f.mu.Unlock()
	regionOf := func(domain string) string {
		if c == nil {
			return ""
		}
		if i := c.DomainIndex(domain); i >= 0 {
			return c.FailureDomains()[i].Region()
		}
		return ""
	}
	out[f.box.ID.Name] = regionOf(f.core.Self.Domain)
	for _, m := range f.core.All() {
		if m.Usable() && m.ID().Incarnation != 0 && !m.LastAnswer().IsZero() {
			out[m.ID().Name] = regionOf(m.FailureDomain())
		}
	}
	return out
}

// TakeQuestion answers another box.
func (b *Box) TakeQuestion(_ context.Context, q port.Question) port.Answer {
	switch {
	case q.Pull != nil:
		return b.docs.answerPull(*q.Pull)
	case q.Renounce != nil:
		return port.Answer{Renounced: b.renounce(*q.Renounce)}
	case q.Cancel != nil:
		return port.Answer{Cancelled: b.holds(q.Cancel.Holder) && b.cancelHere(*q.Cancel)}
	case q.Handover != nil:
		return port.Answer{Taken: b.takeHandover(*q.Handover)}
	}
	if q.Suspects != nil {
		return port.Answer{Suspects: &port.Suspects{From: b.ID.Name, Notes: b.suspects.AddUp(q.Suspects.Notes, q.Suspects.From)}}
	}
	return port.Answer{}
}

// TakeForward serves a request that another box forwarded.
func (b *Box) TakeForward(ctx context.Context, f port.Forward, emit func(port.ForwardEvent) error) {
	_ = b.takeForward(ctx, f, emit)
}
