package core

import "time"

// MemberState is the state of a box as another box sees it.
type MemberState uint8

// States of a member, from best to worst.
const (
	MemberAlive MemberState = iota + 1
	MemberLeaving
	MemberSuspect
	MemberDead
)

// String returns the name of the state.
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

// Member is this box's view of another box.
type Member struct {
	id              BoxID
	address         string
	domain          string
	state           MemberState
	round           uint64    // raised by the member itself to refute a suspicion or to update its entry
	since           time.Time // time of the last change of state
	lastAnswer      time.Time // time of the last direct answer
	unansweredSince time.Time // send time of the oldest unanswered heartbeat, or zero
	listed          bool
	left            bool   // this incarnation announced that it is leaving
	hash            uint32 // of its name

	capacity Capacity
	claims   []Claim
	noPath   []uint64  // hashes of the pools to whose servers it has no path
	version  uint64    // of the configuration it last reported in force
	started  time.Time // start of this incarnation as reported by rumours; at most their delay after the true start
}

// ID returns the name and incarnation of the member.
func (m *Member) ID() BoxID { return m.id }

// Address returns the address where the member listens for other boxes.
func (m *Member) Address() string { return m.address }

// FailureDomain returns the failure domain of the member.
func (m *Member) FailureDomain() string { return m.domain }

// State returns the state of the member.
func (m *Member) State() MemberState { return m.state }

// LastAnswer returns the time of its last direct answer to this box.
func (m *Member) LastAnswer() time.Time { return m.lastAnswer }

// Up returns how long this incarnation of the member has been running, as reported by rumours.
func (m *Member) Up(now time.Time) time.Duration { return now.Sub(m.started) }

// Listed reports whether the member is on the platform's box list.
func (m *Member) Listed() bool { return m.listed }

// Version returns the configuration version that the member last reported in force.
func (m *Member) Version() uint64 { return m.version }

// serving returns the state of a member whose current incarnation has answered.
func (m *Member) serving() MemberState {
	if m.left {
		return MemberLeaving
	}
	return MemberAlive
}

// Usable reports whether new work may be forwarded to the member.
func (m *Member) Usable() bool { return m.state == MemberAlive || m.state == MemberSuspect }
