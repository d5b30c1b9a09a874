package core

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/stilemast/stilemast/src/crasher"
)

// Rumour is news of a member that boxes pass on.
type Rumour struct {
	ID        BoxID       `msgpack:"i"`
	Address   string      `msgpack:"a"`
	Domain    string      `msgpack:"d"`
	State     MemberState `msgpack:"s"`
	Round     uint64      `msgpack:"r"`
	Successor string      `msgpack:"x,omitempty"` // who took over its ledger
	Capacity  Capacity    `msgpack:"c"`
	Claims    []Claim     `msgpack:"l,omitempty"` // of pools that it schedules
	// Up is how long the member had been running when this was sent, as far as the sender knows.
	Up time.Duration `msgpack:"u,omitempty"`
}

// LoadNote says how many calls a box has at a server, named by its hash.
type LoadNote struct {
	Server uint32 `msgpack:"s"`
	N      uint16 `msgpack:"n"`
}

// LeavingNote passes on that a server is leaving, in its own numbering.
type LeavingNote struct {
	Server      string `msgpack:"s"`
	Incarnation uint64 `msgpack:"i"`
	Seq         uint64 `msgpack:"q"`
}

// LimitNote passes on how many requests a second a server takes from all boxes together (pushback.LimitNote).
type LimitNote struct {
	Server      string  `msgpack:"s"`
	Incarnation uint64  `msgpack:"i"`
	Sequence    uint64  `msgpack:"q"`
	PerSecond   float64 `msgpack:"n"`
	Ended       bool    `msgpack:"e,omitempty"`
}

// BackendNote says what a box has at a server that takes opaque requests, named by its hash. A server with a limit is told as
// full, so that boxes which know no limits go elsewhere; the others read what is held there.
type BackendNote struct {
	Server   uint64 `msgpack:"s"`
	Requests uint16 `msgpack:"n"`
	Tokens   uint32 `msgpack:"t"` // of prompts still to be read
	Resting  bool   `msgpack:"r"` // it failed there lately
	Limited  bool   `msgpack:"l,omitempty"`
	Held     uint16 `msgpack:"h,omitempty"` // requests, where Limited
}

// ReadNote says that a server has read a shared part of prompts; both are named by their hashes.
type ReadNote struct {
	Part   uint64 `msgpack:"p"`
	Server uint64 `msgpack:"s"`
}

// AskNote says how many prompt tokens a box was lately asked for in a pool, and under which first parts.
type AskNote struct {
	Pool   uint64   `msgpack:"p"` // hash of its name
	Total  uint32   `msgpack:"n"`
	Parts  []uint64 `msgpack:"i"` // hashes of the first prompt parts
	Tokens []uint32 `msgpack:"t"` // of each
}

// WaitNote says how long a piece waits in a pool, as its scheduler expects (backlog.Waits).
type WaitNote struct {
	Pool  uint64          `msgpack:"p"`
	Wait  time.Duration   `msgpack:"w"`
	Steps []time.Duration `msgpack:"s,omitempty"`
}

// Beat is a heartbeat, its answer, or an indirect question. All three carry the same news.
type Beat struct {
	From     Rumour        `msgpack:"f"`
	Seq      uint64        `msgpack:"q"`
	Digest   uint64        `msgpack:"d,omitempty"` // of the sender's table of members
	Table    *TableNote    `msgpack:"m,omitempty"` // a step of an exchange of tables
	Answer   bool          `msgpack:"a,omitempty"`
	News     bool          `msgpack:"w,omitempty"` // tells of loads only and wants no answer
	AskFor   string        `msgpack:"k,omitempty"` // box to be asked on the sender's behalf
	Rumours  []Rumour      `msgpack:"r,omitempty"`
	Config   Statement     `msgpack:"c"`
	List     Statement     `msgpack:"l"`
	Loads    []LoadNote    `msgpack:"o,omitempty"`
	Leavings []LeavingNote `msgpack:"v,omitempty"`
	Backends []BackendNote `msgpack:"b,omitempty"`
	Waits    []WaitNote    `msgpack:"t,omitempty"`
	Reads    []ReadNote    `msgpack:"e,omitempty"`
	Asked    []AskNote     `msgpack:"h,omitempty"`

	Suspects []crasher.Note `msgpack:"u,omitempty"` // contents under which servers ended
	Limits   []LimitNote    `msgpack:"x,omitempty"` // of servers, for all boxes together

	Unanswered *Unanswered `msgpack:"n,omitempty"`

	Era      uint64        `msgpack:"z,omitempty"` // from which the revisions of the message count, 0 where the sender knows none
	Settled  bool          `msgpack:"j,omitempty"` // what the sender's list lacks since the store was restored is gone
	Closures []ClosureNote `msgpack:"y,omitempty"`
	Doubts   []DoubtNote   `msgpack:"g,omitempty"`
}

// ClosureNote passes on an evacuation of an earlier era of the store, or that one has ended (catalog.ClosureNote).
type ClosureNote struct {
	Domain   string `msgpack:"d"`
	Closed   bool   `msgpack:"c"`
	Revision uint64 `msgpack:"r"`
}

// DoubtNote passes on for how long a server is not used that had left before the store was restored (catalog.DoubtNote).
type DoubtNote struct {
	Server      string        `msgpack:"s"`
	Incarnation int64         `msgpack:"i"`
	For         time.Duration `msgpack:"f"`
}

// Unanswered is a box's word that its own reads of a published document bring nothing.
type Unanswered struct {
	Document string `msgpack:"d"`
	Round    uint8  `msgpack:"r,omitempty"` // in which the receiver is asked to read, 0 for not asked
}

// BeatTo is a heartbeat to be sent.
type BeatTo struct {
	Address string
	Beat    Beat
}

// nextRumours picks the rumours of one message, those with most repeats left first.
func (m *Members) nextRumours(now time.Time) []Rumour {
	if len(m.pendingRumours) == 0 {
		return nil
	}
	hot := make([]*pendingRumour, 0, len(m.pendingRumours))
	for _, h := range m.pendingRumours {
		hot = append(hot, h)
	}
	slices.SortFunc(hot, func(a, b *pendingRumour) int {
		return cmp.Or(cmp.Compare(b.left, a.left), strings.Compare(a.rumour.ID.Name, b.rumour.ID.Name))
	})
	var out []Rumour
	for _, h := range hot[:min(len(hot), rumoursPerBeat)] {
		id := h.rumour.ID
		if e := m.all[id.Name]; e != nil && e.id == id {
			h.rumour.Up = e.Up(now)
		} else if id == m.Self.ID {
			h.rumour = m.self(now)
		}
		out = append(out, h.rumour)
		if h.left--; h.left <= 0 {
			delete(m.pendingRumours, id.Name)
		}
	}
	return out
}

// source is how an entry came.
type source bool

// An entry comes with a heartbeat, and is then passed on with others, or with an exchange of tables, which
// reaches the others as well.
const (
	byHeartbeat source = false
	byTable     source = true
)

// mergeRumour takes one entry: a later incarnation wins, then a later round, then the worse state. It says
// whether the entry was news.
func (m *Members) mergeRumour(now time.Time, r Rumour, by source) bool {
	if r.ID.Incarnation == 0 {
		return false
	}
	if r.ID.Name == m.Self.ID.Name {
		m.refute(r)
		return false
	}
	if r.Successor != "" {
		m.handovers[r.ID] = handedOver{successor: r.Successor, at: now}
	}
	e := m.all[r.ID.Name]
	if e == nil {
		e = &Member{
			id: r.ID, address: r.Address, domain: r.Domain, state: r.State, round: r.Round, capacity: r.Capacity, claims: r.Claims,
			since: now, started: now.Add(-r.Up), left: r.State == MemberLeaving,
		}
		m.add(e)
		m.changed = true
		m.passOn(now, r, by)
		return true
	}
	if started := now.Add(-r.Up); r.ID == e.id && started.Before(e.started) {
		e.started = started
	}
	if !m.supersedes(now, r, e) {
		return false
	}
	m.markChanged()
	newLife := r.ID.Incarnation > e.id.Incarnation
	if newLife {
		e.started = now.Add(-r.Up)
		e.left = false
	} else if e.state == MemberDead && r.State < MemberDead {
		m.noteReturn(now)
	}
	if r.State == MemberLeaving {
		e.left = true
	} else if r.State == MemberAlive && e.left {
		r.State = MemberLeaving // a life that leaves never serves again
	}
	e.id, e.address, e.domain, e.round = r.ID, r.Address, r.Domain, r.Round
	e.capacity, e.claims = r.Capacity, r.Claims
	if newLife || r.State != MemberSuspect && r.State != MemberDead {
		e.asked = time.Time{}
	}
	if e.state != r.State {
		e.state, e.since = r.State, now
		m.changed = true
	}
	m.passOn(now, r, by)
	return true
}

// passOn repeats an entry with the heartbeats, unless tables carry it: they do while the fleet forms.
func (m *Members) passOn(now time.Time, r Rumour, by source) {
	if by == byHeartbeat && !m.Forming(now) {
		m.gossip(r)
	}
}

func (m *Members) supersedes(now time.Time, r Rumour, e *Member) bool {
	switch {
	case r.ID.Incarnation != e.id.Incarnation:
		return r.ID.Incarnation > e.id.Incarnation
	case r.Round != e.round:
		return r.Round > e.round
	case e.state == MemberDead || r.State == MemberDead:
		// After a partition the other side's word on its own boxes counts, and no side's on its deaths.
		return (r.State > e.state) != m.healing(now) && r.State != e.state
	}
	return r.State > e.state
}

// refute answers a rumour that this very life is suspected or dead, or that an earlier one has a later incarnation.
func (m *Members) refute(r Rumour) {
	if m.Renumbers && r.ID.Incarnation > m.Self.ID.Incarnation && r.Address == m.Self.Address {
		m.Self.ID.Incarnation, m.Self.Round = r.ID.Incarnation+1, 0
		m.gossip(m.Self)
		return
	}
	if r.ID.Incarnation != m.Self.ID.Incarnation || r.State < MemberSuspect || r.Round < m.Self.Round {
		return
	}
	m.Self.Round = r.Round + 1
	m.gossip(m.Self)
}
