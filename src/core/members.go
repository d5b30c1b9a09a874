package core

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Members is the membership list and failure detector of the boxes, a SWIM-like gossip protocol.
//
// Every HeartbeatEvery a box sends a heartbeat to a few others, in a shuffled order so that each is probed
// within a bounded number of intervals. Heartbeats and their answers carry recent rumours. A member that
// does not answer becomes a suspect, and others are asked to probe it, so one-way and partial network
// failures do not count as its death. A suspect that hears of the suspicion refutes it by raising its
// round; only lasting silence makes it dead. Dead and listed members are probed occasionally, so that
// healed partitions merge. Single changes spread with heartbeats; where whole tables differ, these are
// exchanged (table.go).
//
// A box sends a fixed number of messages per interval, whatever the fleet size, and repeats a rumour O(log
// n) times. It keeps one Member per box.
//
// Two boxes may disagree for some intervals, so nothing that must hold may rely on agreement. The
// platform's list only lists the boxes to contact, not which are alive. Not safe for concurrent use.
type Members struct {
	Self   Rumour
	Rand   *rand.Rand
	Expect func(b *Beat) // adds what other parts of the box send in heartbeats; may be nil
	Start  time.Time     // start time of this box
	// MayRaiseIncarnation lets this box raise its incarnation above that of an earlier process at the same address,
	// which took a higher one because the clock was set back since. Only Members may then identify the box
	// by its incarnation.
	MayRaiseIncarnation bool

	all            map[string]*Member
	names          []string // keys of all, sorted
	handovers      map[BoxID]handedOver
	probeOrder     []string // names still to be probed in this round
	pendingRumours map[string]*pendingRumour
	seq            uint64
	sent           map[uint64]sentBeat
	changed        bool

	compared  comparedTable
	version   uint64
	formUntil time.Time // until then tables are exchanged often
	healedAt  time.Time // when a member believed dead was last found to be alive
}

// handedOver is an incarnation that stopped as planned and handed its ledger over to a successor.
type handedOver struct {
	successor string
	at        time.Time
}

// pendingRumour is a rumour with the number of times it is still to be sent.
type pendingRumour struct {
	rumour Rumour
	left   int
}

// sentBeat is a heartbeat that waits for its answer.
type sentBeat struct {
	to string
	at time.Time
}

// NewMembers returns a membership list that contains only this box; set its exported fields before use.
func NewMembers(self Rumour, r *rand.Rand) *Members {
	self.State = MemberAlive
	return &Members{Self: self, Rand: r, all: map[string]*Member{}, handovers: map[BoxID]handedOver{}, pendingRumours: map[string]*pendingRumour{}, sent: map[uint64]sentBeat{}}
}

// Leave marks this box as leaving and gossips it. successor is the box that takes over its ledger, or "".
func (m *Members) Leave(successor string) {
	m.Self.State = MemberLeaving
	m.Self.Successor = successor
	m.Self.Round++
	m.gossip(m.Self)
}

// SetNoPath sets the pools to whose servers this box has no path, as hashes, and gossips them.
func (m *Members) SetNoPath(pools []uint64) {
	m.Self.NoPath = pools
	m.Self.Round++
	m.gossip(m.Self)
}

// SetList takes the platform's box list, which lists the boxes to contact, not which are alive.
func (m *Members) SetList(now time.Time, boxes []ListedBox) {
	for _, e := range m.all {
		e.listed = false
	}
	for _, b := range boxes {
		if b.Name == m.Self.ID.Name {
			continue
		}
		e := m.all[b.Name]
		if e == nil {
			e = &Member{id: BoxID{Name: b.Name}, state: MemberSuspect, since: now, started: now}
			m.add(e)
		}
		e.listed = true
		if e.address == "" || e.state == MemberDead {
			e.address = b.Address
		}
		if e.domain == "" {
			e.domain = b.FailureDomain
		}
	}
}

// Tick applies the timeouts and returns the heartbeats to send now.
func (m *Members) Tick(now time.Time) []OutgoingBeat {
	m.checkTimeouts(now)
	var out []OutgoingBeat
	for _, name := range m.targets() {
		out = append(out, m.ask(now, name))
	}
	return out
}

// checkTimeouts makes silent members suspects, lasting suspects dead, and removes members that are dead for
// long.
func (m *Members) checkTimeouts(now time.Time) {
	for _, name := range slices.Clone(m.names) {
		e := m.all[name]
		switch e.state {
		case MemberAlive, MemberLeaving:
			if !e.unansweredSince.IsZero() && now.Sub(e.unansweredSince) > suspectAfter {
				m.set(now, e, MemberSuspect)
			}
		case MemberSuspect:
			if now.Sub(e.since) > deadAfter-suspectAfter {
				m.set(now, e, MemberDead)
			}
		case MemberDead:
			if !e.listed && now.Sub(e.since) > forgetAfter {
				m.remove(name)
			}
		}
	}
	for id, c := range m.handovers {
		if now.Sub(c.at) > forgetAfter {
			delete(m.handovers, id)
		}
	}
	for q, s := range m.sent {
		if now.Sub(s.at) > deadAfter {
			delete(m.sent, q)
		}
	}
}

func (m *Members) set(now time.Time, e *Member, s MemberState) {
	if e.state == s {
		return
	}
	e.state = s
	e.since = now
	m.changed = true
	m.markChanged()
	m.gossip(m.rumourOf(e))
}

func (m *Members) rumourOf(e *Member) Rumour {
	return Rumour{
		ID: e.id, Address: e.address, Domain: e.domain, State: e.state, Round: e.round,
		Capacity: e.capacity, Claims: e.claims, NoPath: e.noPath, Successor: m.Successor(e.id),
	}
}

// gossip schedules a rumour to be sent with the next heartbeats, rumourRepeats times log2 of the fleet
// size.
func (m *Members) gossip(r Rumour) {
	if r.ID.Incarnation == 0 {
		return // known only from the box list
	}
	m.pendingRumours[r.ID.Name] = &pendingRumour{rumour: r, left: m.repeatsOf()}
}

// markChanged invalidates the cached table after a change of any member.
func (m *Members) markChanged() {
	m.compared.stale = true
	m.version++
}

// Version returns a number that rises with each change of a member other than this box.
func (m *Members) Version() uint64 { return m.version }

func (m *Members) add(e *Member) {
	m.markChanged()
	e.hash = nameHash(e.id.Name)
	m.all[e.id.Name] = e
	at, _ := slices.BinarySearch(m.names, e.id.Name)
	m.names = slices.Insert(m.names, at, e.id.Name)
}

func (m *Members) remove(name string) {
	m.markChanged()
	delete(m.all, name)
	if at, ok := slices.BinarySearch(m.names, name); ok {
		m.names = slices.Delete(m.names, at, at+1)
	}
}

// ReceiveResult is the result of a received heartbeat for the rest of the box.
type ReceiveResult struct {
	Reply   []OutgoingBeat
	From    BoxID
	AskedAt time.Time // send time of the heartbeat that this one answers; zero if it is no answer
}

// Receive processes a heartbeat and returns the messages to send in reply.
func (m *Members) Receive(now time.Time, b Beat) ReceiveResult {
	h := ReceiveResult{From: b.From.ID}
	if b.From.ID.Name == m.Self.ID.Name {
		return h
	}
	m.mergeRumour(now, b.From, byHeartbeat)
	e := m.all[b.From.ID.Name]
	if e.id == b.From.ID && e.state == MemberDead {
		m.recordReturn(now)
		m.mergeRumour(now, b.From, byHeartbeat)
	}
	if e.id == b.From.ID && !b.News {
		e.version = b.Config.Version
	}
	for _, r := range b.Rumours {
		m.mergeRumour(now, r, byHeartbeat)
	}
	if b.Table != nil {
		if next := m.reconcile(now, b.Table); next != nil {
			h.Reply = append(h.Reply, OutgoingBeat{Address: b.From.Address, Beat: Beat{From: m.self(now), News: true, Table: next}})
		}
	}
	if b.News {
		return h
	}
	if b.Answer {
		if s, ok := m.sent[b.Seq]; ok && s.to == b.From.ID.Name {
			h.AskedAt = s.at
			delete(m.sent, b.Seq)
			m.answered(now, e, b.From.ID)
		}
		return h
	}
	reply := m.beat(now)
	reply.Seq, reply.Answer = b.Seq, true
	if reply.Digest != b.Digest && b.Digest != 0 {
		reply.Table = &TableNote{Buckets: m.buckets()}
	}
	if e.id == b.From.ID && e.state >= MemberSuspect || e.id.Incarnation > b.From.ID.Incarnation { // so that the sender can refute it
		reply.Rumours = append(reply.Rumours, m.rumourOf(e))
	}
	h.Reply = append(h.Reply, OutgoingBeat{Address: b.From.Address, Beat: reply})
	if t := m.all[b.AskFor]; b.AskFor != "" && t != nil && t.address != "" {
		h.Reply = append(h.Reply, m.ask(now, b.AskFor))
	}
	return h
}

// answered records a direct answer, which proves that this incarnation of the member is alive, whatever
// rumours say.
func (m *Members) answered(now time.Time, e *Member, id BoxID) {
	if e.id != id {
		return
	}
	e.lastAnswer = now
	e.unansweredSince = time.Time{}
	if e.state == MemberDead {
		m.recordReturn(now)
	}
	if e.state == MemberSuspect || e.state == MemberDead {
		m.set(now, e, e.serving())
	}
}

// Changed reports whether the membership changed since the last call.
func (m *Members) Changed() bool {
	c := m.changed
	m.changed = false
	return c
}
