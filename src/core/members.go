package core

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Members is the failure detector among boxes.
//
// Idea. Every HeartbeatEvery a box asks a few others, in a shuffled round so that each is asked
// within a bounded number of beats, and passes on fresh rumours with question and answer. Silence
// makes a suspect; others are asked to ask it, which sees through one-way and partial cuts; a
// suspect that hears of it refutes by raising its round. Only lasting silence makes it dead. Now
// and then a dead or listed box is asked too, so that healed partitions join again. Single changes
// travel with the heartbeats; where whole tables differ they are exchanged (table.go).
//
// Cost. A fixed number of messages a beat, whatever the fleet's size; a rumour is repeated
// O(log n) times. State is one Member a box.
//
// Trade-offs. Two boxes may disagree for some beats; nothing that must hold rests on agreement.
// The platform's list only says whom to ask. Not safe for concurrent use.
type Members struct {
	Self   Rumour
	Rand   *rand.Rand
	Expect func(b *Beat) // fills in what other parts of the box tell; may be nil
	Start  time.Time     // of this box
	// Renumbers lets this box take a later incarnation than that of its earlier life at its address, which took it from a clock that was
	// set back since. Nothing but members may know the box by its incarnation then.
	Renumbers bool

	all     map[string]*Member
	names   []string // of all, sorted
	handovers  map[BoxID]handedOver
	probeOrder   []string // names still to be asked in this round
	pendingRumours   map[string]*pendingRumour
	seq     uint64
	sent    map[uint64]sentBeat
	changed bool

	compared  comparedTable
	version   uint64
	formUntil time.Time // until then tables are exchanged often
	healedAt  time.Time // when a life believed dead was last found to be there
}

// handedOver is an incarnation that stopped as planned and handed its ledger over.
type handedOver struct {
	successor string
	at        time.Time
}

type pendingRumour struct {
	rumour Rumour
	left   int
}

type sentBeat struct {
	to string
	at time.Time
}

// NewMembers makes a detector that knows only itself; set its exported fields before use.
func NewMembers(self Rumour, r *rand.Rand) *Members {
	self.State = MemberAlive
	return &Members{Self: self, Rand: r, all: map[string]*Member{}, handovers: map[BoxID]handedOver{}, pendingRumours: map[string]*pendingRumour{}, sent: map[uint64]sentBeat{}}
}

// Leave marks this box as leaving and tells.
func (m *Members) Leave(successor string) {
	m.Self.State = MemberLeaving
	m.Self.Successor = successor
	m.Self.Round++
	m.gossip(m.Self)
}

// List takes the platform's box list: whom to ask, never who lives.
func (m *Members) List(now time.Time, boxes []ListedBox) {
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

// Tick sends the beats that are due and judges silence.
func (m *Members) Tick(now time.Time) []BeatTo {
	m.checkTimeouts(now)
	var out []BeatTo
	for _, name := range m.targets() {
		out = append(out, m.ask(now, name))
	}
	return out
}

// checkTimeouts turns silence into suspicion, suspicion into death, and forgets the long dead.
func (m *Members) checkTimeouts(now time.Time) {
	for _, name := range slices.Clone(m.names) {
		e := m.all[name]
		switch e.state {
		case MemberAlive, MemberLeaving:
			if !e.asked.IsZero() && now.Sub(e.asked) > suspectAfter {
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
		Capacity: e.capacity, Claims: e.claims, Successor: m.Successor(e.id),
	}
}

// gossip makes a rumour fresh: it will be repeated a few times log2 of the fleet.
func (m *Members) gossip(r Rumour) {
	if r.ID.Incarnation == 0 {
		return // nothing but the list ever spoke of it
	}
	m.pendingRumours[r.ID.Name] = &pendingRumour{rumour: r, left: m.repeatsOf()}
}

// markChanged notes that what is known of some member changes.
func (m *Members) markChanged() {
	m.compared.stale = true
	m.version++
}

// Version rises with each change of what is known of some other member.
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

// Heard is what a received beat meant to the rest of the box.
type Heard struct {
	Reply   []BeatTo
	From    BoxID
	AskedAt time.Time // when the beat that this one answers was sent; zero for a question
}

// Receive takes a beat and gives what to send in return.
func (m *Members) Receive(now time.Time, b Beat) Heard {
	h := Heard{From: b.From.ID}
	if b.From.ID.Name == m.Self.ID.Name {
		return h
	}
	m.mergeRumour(now, b.From, byHeartbeat)
	e := m.all[b.From.ID.Name]
	if e.id == b.From.ID && e.state == MemberDead {
		m.noteReturn(now)
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
			h.Reply = append(h.Reply, BeatTo{Address: b.From.Address, Beat: Beat{From: m.self(now), News: true, Table: next}})
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
	if e.id == b.From.ID && e.state >= MemberSuspect || e.id.Incarnation > b.From.ID.Incarnation { // it must hear of that to refute it
		reply.Rumours = append(reply.Rumours, m.rumourOf(e))
	}
	h.Reply = append(h.Reply, BeatTo{Address: b.From.Address, Beat: reply})
	if t := m.all[b.AskFor]; b.AskFor != "" && t != nil && t.address != "" {
		h.Reply = append(h.Reply, m.ask(now, b.AskFor))
	}
	return h
}

// answered notes a direct answer: whatever rumours say, this life of the box is there.
func (m *Members) answered(now time.Time, e *Member, id BoxID) {
	if e.id != id {
		return
	}
	e.heard = now
	e.asked = time.Time{}
	if e.state == MemberDead {
		m.noteReturn(now)
	}
	if e.state == MemberSuspect || e.state == MemberDead {
		m.set(now, e, e.serving())
	}
}

// Changed says, once, whether membership changed since it was last asked.
func (m *Members) Changed() bool {
	c := m.changed
	m.changed = false
	return c
}
