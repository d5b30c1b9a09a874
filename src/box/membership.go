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

// fleet is the membership of the fleet under its lock.
type fleet struct {
	box *Box

	mu             sync.Mutex
	core           *core.Members
	leavingServers map[string]core.LeavingNote
	repeatsLeft    map[string]int
	sentLoads      []core.LoadNote // the loads sent last, and when; only sendLoads uses them
	sentLoadsAt    time.Time
}

// leavingRepeats is the number of heartbeats that announce that a server is leaving.
const leavingRepeats = 20

func (f *fleet) init(b *Box) {
	f.box = b
	address := b.Settings.Listen.Advertise
	if address == "" {
		address = b.Settings.Listen.Peers
	}
	self := core.Rumour{ID: b.ID, Address: address, Domain: b.Settings.FailureDomain}
	f.core = core.NewMembers(self, b.Rand)
	f.leavingServers = map[string]core.LeavingNote{}
	f.repeatsLeft = map[string]int{}
}

// sendHeartbeats sends the heartbeats that are due.
func (b *Box) sendHeartbeats(context.Context) {
	f := &b.fleet
	now := b.now()
	f.mu.Lock()
	f.core.Expect = b.beatFiller(now)
	out := append(f.core.Tick(now), f.core.IndirectProbes(now)...)
	changed := f.core.Changed()
	f.mu.Unlock()
	for _, o := range out {
		b.Peers.Beat(o.Address, o.Beat)
	}
	if changed {
		b.updateMembers()
	}
}

// sendLoads sends this box's loads to every box of a small fleet, more often than heartbeats do: how well
// boxes share engines depends on how recently they learned of each other's calls. Unchanged loads are sent
// again only before they would count as stale.
func (b *Box) sendLoads(context.Context) {
	f := &b.fleet
	f.mu.Lock()
	to, self := f.core.SmallFleetAddresses(), f.core.Self
	f.mu.Unlock()
	loads := b.loadNotes(b.now())
	now := b.now()
	if len(to) == 0 || slices.Equal(loads, f.sentLoads) && (len(loads) == 0 || now.Sub(f.sentLoadsAt) < core.LoadRepeatEvery) {
		return
	}
	f.sentLoads, f.sentLoadsAt = loads, now
	for _, address := range to {
		b.Peers.Beat(address, core.Beat{From: self, News: true, Loads: loads})
	}
}

// beatFiller returns a function that adds the state of other parts of the box to a heartbeat. The caller
// holds the fleet's lock.
func (b *Box) beatFiller(now time.Time) func(*core.Beat) {
	loads := b.loadNotes(now)
	return func(m *core.Beat) {
		b.docs.fillBeat(now, m)
		m.Loads = loads
		m.Leavings = b.fleet.leavingNotes()
		m.Suspects = b.suspects.Notes(m.News)
	}
}

// loadNotes returns how many calls this box has at each server. Servers without calls are left out, which keeps
// heartbeats small whatever the number of servers.
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

// leavingNotes returns the announcements of leaving servers, and counts their repetitions down.
func (f *fleet) leavingNotes() []core.LeavingNote {
	var out []core.LeavingNote
	for name, n := range f.leavingServers {
		out = append(out, n)
		if f.repeatsLeft[name]--; f.repeatsLeft[name] <= 0 {
			delete(f.leavingServers, name)
			delete(f.repeatsLeft, name)
		}
	}
	return out
}

// announceLeaving announces in the next heartbeats that a server is leaving.
func (f *fleet) announceLeaving(server string, r core.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leavingServers[server] = core.LeavingNote{Server: server, Incarnation: r.Incarnation, Seq: r.Seq}
	f.repeatsLeft[server] = leavingRepeats
}

// HandleBeat handles a heartbeat of another box.
func (b *Box) HandleBeat(m core.Beat) {
	f := &b.fleet
	now := b.now()
	f.mu.Lock()
	f.core.Expect = b.beatFiller(now)
	h := f.core.Receive(now, m)
	changed := f.core.Changed()
	f.mu.Unlock()
	for _, o := range h.Reply {
		b.Peers.Beat(o.Address, o.Beat)
	}
	if !m.News {
		b.docs.handleBeat(now, m.From.ID.Name, m, h.AskedAt)
	}
	b.suspects.Merge(m.Suspects, m.From.ID.Name)
	b.applyServerNotes(now, m)
	if changed {
		b.updateMembers()
	}
}

// applyServerNotes applies another box's loads and announcements of leaving servers.
func (b *Box) applyServerNotes(now time.Time, m core.Beat) {
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

// updateMembers recomputes which servers this box uses and how many other boxes share them, and drops the
// state of boxes that are gone.
func (b *Box) updateMembers() {
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
	for _, m := range b.fleet.members() {
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

// members returns copies of all members.
func (f *fleet) members() []core.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.core.All()
	out := make([]core.Member, len(list))
	for i, m := range list {
		out[i] = *m
	}
	return out
}

// allAnswered reports whether every box that is not known to be dead has answered at least once.
func (f *fleet) allAnswered() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.core.All() {
		if m.State() != core.MemberDead && m.LastAnswer().IsZero() {
			return false
		}
	}
	return true
}

// locate returns the address and failure domain of a box: of the given incarnation or the successor that took
// over its ledger, or, if no incarnation is given, of the current one with that name. The address is "" if
// there is none.
func (f *fleet) locate(name string, holder core.BoxID) (address, domain string) {
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
	a, _ := f.locate(holder.Name, holder)
	return a
}

// regions returns the regions of the usable boxes by name.
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

// HandleQuestion answers a question of another box.
func (b *Box) HandleQuestion(_ context.Context, q port.Question) port.Answer {
	switch {
	case q.Pull != nil:
		return b.docs.answerPull(*q.Pull)
	case q.Renounce != nil:
		return port.Answer{Renounced: b.renounce(*q.Renounce)}
	case q.Cancel != nil:
		return port.Answer{Cancelled: b.answersFor(q.Cancel.Holder) && b.cancelLocally(*q.Cancel)}
	case q.Handover != nil:
		return port.Answer{Taken: b.acceptHandover(*q.Handover)}
	}
	if q.Suspects != nil {
		return port.Answer{Suspects: &port.Suspects{From: b.ID.Name, Notes: b.suspects.HandleReport(q.Suspects.Notes, q.Suspects.From)}}
	}
	return port.Answer{}
}

// HandleForward serves a request that another box forwarded.
func (b *Box) HandleForward(ctx context.Context, f port.Forward, emit func(port.ForwardEvent) error) {
	_ = b.serveForward(ctx, f, emit)
}
