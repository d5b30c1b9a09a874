package core

import "time"

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
	left    bool   // this life said that it leaves
	hash    uint32 // of its name

	capacity Capacity
	claims   []Claim
	version  uint64
	started  time.Time // of this life, as far as rumours tell; never before its true start by more than their way
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

// serving is the state of a life that has answered.
func (m *Member) serving() MemberState {
	if m.left {
		return MemberLeaving
	}
	return MemberAlive
}

// Usable says whether new work may be forwarded to it.
func (m *Member) Usable() bool { return m.state == MemberAlive || m.state == MemberSuspect }
