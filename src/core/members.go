package core

import (
	"math/bits"
	"math/rand/v2"
	"sort"
	"time"
)

// MemberState is what a box thinks of another.
type MemberState uint8

// A member is alive, leaving as planned, suspected, or gone.
const (
	MemberAlive MemberState = iota + 1
	MemberLeaving
	MemberSuspect
	MemberDead
)

// String names the state.
func (s MemberState) String() string {
	switch s {
	case MemberAlive:
		return "alive"
	case MemberLeaving:
		return "leaving"
	case MemberSuspect:
		return "suspect"
	case MemberDead:
		return "dead"
	}
	return "unknown"
}

// Member is one box as this box sees it.
type Member struct {
	id      BoxID
	address string
	domain  string
	state   MemberState
	round   uint64 // raised by the member itself to refute suspicion
	since   time.Time
	heard   time.Time // last direct answer
	asked   time.Time // oldest unanswered beat, zero if none
	listed  bool
	version uint64
	started time.Time // of this life, as far as rumours tell; never before its true start by more than their way
}

// ID is the member's name and incarnation.
func (m *Member) ID() BoxID { return m.id }

// Address is where it listens for other boxes.
func (m *Member) Address() string { return m.address }

// FailureDomain is where it stands.
func (m *Member) FailureDomain() string { return m.domain }

// State is what this box thinks of it.
func (m *Member) State() MemberState { return m.state }

// Heard is when it last answered this box itself.
func (m *Member) Heard() time.Time { return m.heard }

// Up is how long this life of the member has been running, as far as this box was told.
func (m *Member) Up(now time.Time) time.Duration { return now.Sub(m.started) }

// Listed says whether the platform's list has it.
func (m *Member) Listed() bool { return m.listed }

// Version is the configuration it last said was in force.
func (m *Member) Version() uint64 { return m.version }

// Usable says whether new work may be forwarded to it.
func (m *Member) Usable() bool { return m.state == MemberAlive || m.state == MemberSuspect }

// Members is the failure detector among boxes.
//
// Idea. Every HeartbeatEvery a box asks a few others, in a shuffled round so that each is asked
// within a bounded number of beats, and passes on fresh rumours with question and answer. Silence
// makes a suspect; others are asked to ask it, which sees through one-way and partial cuts; a
// suspect that hears of it refutes by raising its round. Only lasting silence makes it dead. Now
// and then a dead or listed box is asked too, so that healed partitions join again.
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

	all     map[string]*Member
	closed  map[BoxID]closedLife
	round   []string // names still to be asked in this round
	fresh   map[string]*hotRumour
	seq     uint64
	sent    map[uint64]sentBeat
	changed bool
}

// closedLife is an incarnation that stopped as planned and handed its ledger over.
type closedLife struct {
	successor string
	at        time.Time
}

type hotRumour struct {
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
	return &Members{Self: self, Rand: r, all: map[string]*Member{}, closed: map[BoxID]closedLife{}, fresh: map[string]*hotRumour{}, sent: map[uint64]sentBeat{}}
}

// Leave marks this box as leaving and tells.
func (m *Members) Leave(successor string) {
	m.Self.State = MemberLeaving
	m.Self.Successor = successor
	m.Self.Round++
	m.spread(m.Self)
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
			m.all[b.Name] = e
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
	m.judge(now)
	var out []BeatTo
	for _, name := range m.targets() {
		out = append(out, m.ask(now, name))
	}
	return out
}

// judge turns silence into suspicion, suspicion into death, and forgets the long dead.
func (m *Members) judge(now time.Time) {
	for name, e := range m.all {
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
				delete(m.all, name)
			}
		}
	}
	for id, c := range m.closed {
		if now.Sub(c.at) > forgetAfter {
			delete(m.closed, id)
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
	m.spread(m.rumourOf(e))
}

func (m *Members) rumourOf(e *Member) Rumour {
	return Rumour{ID: e.id, Address: e.address, Domain: e.domain, State: e.state, Round: e.round, Successor: m.Successor(e.id)}
}

// spread makes a rumour fresh: it will be repeated a few times log2 of the fleet.
func (m *Members) spread(r Rumour) {
	if r.ID.Incarnation == 0 {
		return // nothing but the list ever spoke of it
	}
	m.fresh[r.ID.Name] = &hotRumour{rumour: r, left: rumourRepeats * (1 + bits.Len(uint(len(m.all))))}
}

// targets picks whom to ask now: the next of the round, and at times one that seems gone.
func (m *Members) targets() []string {
	var out []string
	for len(out) < heartbeatFanout {
		if len(m.round) == 0 {
			m.round = m.newRound()
		}
		if len(m.round) == 0 || len(out) > 0 && out[0] == m.round[0] {
			break
		}
		name := m.round[0]
		m.round = m.round[1:]
		if e := m.all[name]; e != nil && e.state != MemberDead && !containsName(out, name) {
			out = append(out, name)
		}
	}
	if name := m.lostOne(); name != "" {
		out = append(out, name)
	}
	return out
}

func containsName(list []string, n string) bool {
	for _, e := range list {
		if e == n {
			return true
		}
	}
	return false
}

func (m *Members) newRound() []string {
	var names []string
	for n, e := range m.all {
		if e.state != MemberDead && e.address != "" {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	m.Rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// lostOne picks, every few beats, a dead box to ask again.
func (m *Members) lostOne() string {
	if m.Rand.IntN(4) != 0 {
		return ""
	}
	var names []string
	for n, e := range m.all {
		if e.state == MemberDead && e.address != "" {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		return ""
	}
	sort.Strings(names)
	return names[m.Rand.IntN(len(names))]
}

func (m *Members) ask(now time.Time, name string) BeatTo {
	e := m.all[name]
	if e.asked.IsZero() {
		e.asked = now
	}
	b := m.beat(now)
	m.sent[b.Seq] = sentBeat{to: name, at: now}
	return BeatTo{Address: e.address, Beat: b}
}

// Introduce makes a question to an address whose box is not known yet.
func (m *Members) Introduce(now time.Time, address string) BeatTo {
	return BeatTo{Address: address, Beat: m.beat(now)}
}

// beat makes a message with this box's news.
func (m *Members) beat(now time.Time) Beat {
	m.seq++
	b := Beat{From: m.self(now), Seq: m.seq, Rumours: m.take(now)}
	if m.Expect != nil {
		m.Expect(&b)
	}
	return b
}

// self is what this box says of itself.
func (m *Members) self(now time.Time) Rumour {
	r := m.Self
	if !m.Start.IsZero() {
		r.Up = now.Sub(m.Start)
	}
	return r
}

// News is a message that tells of this box's state and wants no answer.
func (m *Members) News(now time.Time) Beat { return Beat{From: m.self(now), News: true} }

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
	m.hear(now, b.From)
	e := m.all[b.From.ID.Name]
	if e.id == b.From.ID && !b.News {
		e.version = b.Config.Version
	}
	for _, r := range b.Rumours {
		m.hear(now, r)
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
	if e.state == MemberSuspect || e.state == MemberDead {
		m.set(now, e, MemberAlive)
	}
}

// Indirect lists questions to others about members that became suspects lately.
func (m *Members) Indirect(now time.Time) []BeatTo {
	var out []BeatTo
	for name, e := range m.all {
		if e.state != MemberSuspect || now.Sub(e.since) > HeartbeatEvery {
			continue
		}
		for i, helper := range m.newRound() {
			if i >= heartbeatFanout {
				break
			}
			if helper == name || m.all[helper].state != MemberAlive {
				continue
			}
			b := m.ask(now, helper)
			b.Beat.AskFor = name
			out = append(out, b)
		}
	}
	return out
}

// Changed says, once, whether membership changed since it was last asked.
func (m *Members) Changed() bool {
	c := m.changed
	m.changed = false
	return c
}

// Find gives a member by name, or nil.
func (m *Members) Find(name string) *Member { return m.all[name] }

// Each lists the members by name.
func (m *Members) Each() []*Member {
	out := make([]*Member, 0, len(m.all))
	for _, e := range m.all {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id.Name < out[j].id.Name })
	return out
}

// Near lists where the usable members of a small fleet listen; a large one gives none.
func (m *Members) Near() []string {
	var out []string
	for _, e := range m.all {
		if e.Usable() && e.id.Incarnation != 0 && e.address != "" {
			out = append(out, e.address)
		}
	}
	if len(out) > smallFleet {
		return nil
	}
	return out
}

// Some lists where a few usable members listen, drawn anew each time: for news that is to go round a
// fleet that is too large to tell everybody.
func (m *Members) Some(n int) []string {
	var out []string
	for _, name := range m.newRound() {
		if e := m.all[name]; e.Usable() && e.id.Incarnation != 0 && len(out) < n {
			out = append(out, e.address)
		}
	}
	return out
}

// Usable lists the names of members that take work, this box included unless it is leaving.
func (m *Members) Usable() []string {
	var out []string
	if m.Self.State == MemberAlive {
		out = append(out, m.Self.ID.Name)
	}
	for n, e := range m.all {
		if e.Usable() && e.id.Incarnation != 0 {
			out = append(out, n)
		}
	}
	sort.Strings(out)
	return out
}

// RunningMember is a member that takes work.
type RunningMember struct {
	Name    string
	Address string
	Up      time.Duration // how long it has been running
}

// Running lists the members that take work, as Usable does, with what the choice among them needs.
func (m *Members) Running(now time.Time) []RunningMember {
	var out []RunningMember
	for _, name := range m.Usable() {
		r := RunningMember{Name: name, Address: m.Self.Address, Up: now.Sub(m.Start)}
		if e := m.all[name]; e != nil {
			r.Address, r.Up = e.address, e.Up(now)
		}
		out = append(out, r)
	}
	return out
}

// Successor is the box that took over the ledger of an incarnation that stopped as planned, or "".
func (m *Members) Successor(id BoxID) string { return m.closed[id].successor }
