package core

import (
	"cmp"
	"slices"
	"strings"
	"time"

	waits "github.com/stilemast/stilemast/src/backlog"
	"github.com/stilemast/stilemast/src/crasher"
	"github.com/stilemast/stilemast/src/pace"
)

// Rumour is the gossiped state of one member.
type Rumour struct {
	ID        BoxID       `msgpack:"i"`
	Address   string      `msgpack:"a"`
	Domain    string      `msgpack:"d"`
	State     MemberState `msgpack:"s"`
	Round     uint64      `msgpack:"r"`
	Successor string      `msgpack:"x,omitempty"` // the box that took over its ledger
	Capacity  Capacity    `msgpack:"c"`
	Claims    []Claim     `msgpack:"l,omitempty"` // of pools that it schedules
	NoPath    []uint64    `msgpack:"n,omitempty"` // hashes of the pools to whose servers it has no path
	// Up is how long the member had been running when this was sent, as far as the sender knew.
	Up time.Duration `msgpack:"u,omitempty"`
}

// LoadNote is the number of a box's calls at a server.
type LoadNote struct {
	Server uint32 `msgpack:"s"` // hash of its name
	N      uint16 `msgpack:"n"`
}

// LeavingNote reports a server as leaving, with the incarnation and sequence number of the server's own
// report.
type LeavingNote struct {
	Server      string `msgpack:"s"`
	Incarnation uint64 `msgpack:"i"`
	Seq         uint64 `msgpack:"q"`
}

// LimitNote is the number of requests per second that a server accepts from all boxes together
// (pushback.LimitNote).
type LimitNote struct {
	Server      string  `msgpack:"s"`
	Incarnation uint64  `msgpack:"i"`
	Sequence    uint64  `msgpack:"q"`
	PerSecond   float64 `msgpack:"n"`
	Ended       bool    `msgpack:"e,omitempty"`
}

// BrittleNote reports that a server fails if it has to turn away more than some requests in a second (package brittle).
type BrittleNote struct {
	Server      string `msgpack:"s"`
	Incarnation uint64 `msgpack:"i"`
	Sequence    uint64 `msgpack:"q"`
	Rejections  uint16 `msgpack:"n"` // a second
	Ended       bool   `msgpack:"e,omitempty"`
}

// BackendNote is the load of a box at a server that takes opaque requests, named by its hash. A server with
// a request limit is reported as full, so that boxes which do not know limits use other servers; boxes that
// do read Held instead.
type BackendNote struct {
	Server   uint64 `msgpack:"s"`
	Requests uint16 `msgpack:"n"`
	Tokens   uint32 `msgpack:"t"` // prompt tokens not processed yet
	Resting  bool   `msgpack:"r"` // the box has paused the server after failures; not a rest that the server asked for
	Limited  bool   `msgpack:"l,omitempty"`
	Held     uint16 `msgpack:"h,omitempty"` // requests, if Limited
}

// ReadNote reports that a server has processed a shared part of prompts; both are named by hashes.
type ReadNote struct {
	Part   uint64 `msgpack:"p"`
	Server uint64 `msgpack:"s"`
}

// AskNote is the number of prompt tokens that a box was recently asked for in a pool, by their first prompt
// parts.
type AskNote struct {
	Pool   uint64   `msgpack:"p"` // hash of the pool name
	Total  uint32   `msgpack:"n"`
	Parts  []uint64 `msgpack:"i"` // hashes of the first prompt parts
	Tokens []uint32 `msgpack:"t"` // prompt tokens of each part
}

// WaitNote is the expected wait of a piece in a pool, as estimated by its scheduler (backlog.Waits).
type WaitNote struct {
	Pool  uint64          `msgpack:"p"`
	Wait  time.Duration   `msgpack:"w"`
	Steps []time.Duration `msgpack:"s,omitempty"`
	// Levels are the waits by priority where urgent pieces overtake.
	Levels []waits.Level `msgpack:"l,omitempty"`
}

// Beat is a heartbeat, the answer to one, or a request for an indirect probe. All of them carry the same
// news.
type Beat struct {
	From     Rumour        `msgpack:"f"`
	Seq      uint64        `msgpack:"q"`
	Digest   uint64        `msgpack:"d,omitempty"` // of the sender's table of members
	Table    *TableNote    `msgpack:"m,omitempty"` // a step of a table exchange
	Answer   bool          `msgpack:"a,omitempty"`
	News     bool          `msgpack:"w,omitempty"` // one-way message that needs no answer
	AskFor   string        `msgpack:"k,omitempty"` // box to be probed on behalf of the sender
	Rumours  []Rumour      `msgpack:"r,omitempty"`
	Config   Statement     `msgpack:"c"`
	List     Statement     `msgpack:"l"`
	Loads    []LoadNote    `msgpack:"o,omitempty"`
	Leavings []LeavingNote `msgpack:"v,omitempty"`
	Backends []BackendNote `msgpack:"b,omitempty"`
	Waits    []WaitNote    `msgpack:"t,omitempty"`
	Reads    []ReadNote    `msgpack:"e,omitempty"`
	Asked    []AskNote     `msgpack:"h,omitempty"`

	Suspects []crasher.Note `msgpack:"u,omitempty"` // contents that may have crashed servers
	Limits   []LimitNote    `msgpack:"x,omitempty"` // of servers, for all boxes together

	Unanswered *Unanswered `msgpack:"n,omitempty"`

	Era      uint64        `msgpack:"z,omitempty"` // era of the store in which the revisions of the message count, 0 if the sender knows none
	Settled  bool          `msgpack:"j,omitempty"` // entries missing from the sender's list since the restore of the store are gone
	Closures []ClosureNote `msgpack:"y,omitempty"`
	Doubts   []DoubtNote   `msgpack:"g,omitempty"`

	// SinceRefusal is the age of the latest refusal because of load that the sender knows of, at any box; 0 for none.
	SinceRefusal time.Duration  `msgpack:"rf,omitempty"`
	Forecasts    []ForecastNote `msgpack:"fc,omitempty"`
	Pace         *PaceNote      `msgpack:"ps,omitempty"` // speeds of servers; nil if there is nothing new
	Brittle      []BrittleNote  `msgpack:"br,omitempty"`
}

// ForecastNote holds how the forecasts of one box for a class of requests compared with what was observed
// (admission.Note).
type ForecastNote struct {
	Box      uint64  `msgpack:"b"` // hash of the box that observed, and of its incarnation
	Seq      uint32  `msgpack:"q"`
	Pipeline uint64  `msgpack:"p"` // hash of its name
	Kind     uint8   `msgpack:"k"` // class of pieces and of load
	Count    float32 `msgpack:"n"`
	Sum      float32 `msgpack:"s"` // of observed over expected
	Squares  float32 `msgpack:"v"`
}

// PaceNote is what a box tells of the speeds of servers and the rates of pools.
type PaceNote = pace.Note

// ClosureNote reports that a failure domain was evacuated in an earlier era of the store, or that such an
// evacuation ended (catalog.EvacuationNote).
type ClosureNote struct {
	Domain   string `msgpack:"d"`
	Closed   bool   `msgpack:"c"`
	Revision uint64 `msgpack:"r"`
}

// DoubtNote reports for how long a server is not used that had left before the store was restored
// (catalog.DoubtNote).
type DoubtNote struct {
	Server      string        `msgpack:"s"`
	Incarnation int64         `msgpack:"i"`
	For         time.Duration `msgpack:"f"`
}

// Unanswered reports that the sender's own reads of a published document fail.
type Unanswered struct {
	Document string `msgpack:"d"`
	Round    uint8  `msgpack:"r,omitempty"` // round in which the receiver is asked to read, 0 if it is not asked
}

// OutgoingBeat is a heartbeat to be sent to an address.
type OutgoingBeat struct {
	Address string
	Beat    Beat
}

// nextRumours picks the rumours for one message, those with the most repeats left first.
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

// source is how an entry was received.
type source bool

// Entries from heartbeats are passed on with later heartbeats; entries from table exchanges are not,
// because the exchanges reach the other boxes as well.
const (
	byHeartbeat source = false
	byTable     source = true
)

// mergeRumour applies one entry and reports whether it was news. A later incarnation wins, then a later
// round, then the worse state.
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
			id: r.ID, address: r.Address, domain: r.Domain, state: r.State, round: r.Round, capacity: r.Capacity, claims: r.Claims, noPath: r.NoPath,
			since: now, started: now.Add(-r.Up), left: r.State == MemberLeaving,
		}
		m.add(e)
		m.changed = true
		m.queueGossip(now, r, by)
		return true
	}
	if started := now.Add(-r.Up); r.ID == e.id && started.Before(e.started) {
		e.started = started
	}
	if !m.supersedes(now, r, e) {
		return false
	}
	m.markChanged()
	newIncarnation := r.ID.Incarnation > e.id.Incarnation
	if newIncarnation {
		e.started = now.Add(-r.Up)
		e.left = false
	} else if e.state == MemberDead && r.State < MemberDead {
		m.recordReturn(now)
	}
	if r.State == MemberLeaving {
		e.left = true
	} else if r.State == MemberAlive && e.left {
		r.State = MemberLeaving // an incarnation that is leaving never serves again
	}
	e.id, e.address, e.domain, e.round = r.ID, r.Address, r.Domain, r.Round
	e.capacity, e.claims, e.noPath = r.Capacity, r.Claims, r.NoPath
	if newIncarnation || r.State != MemberSuspect && r.State != MemberDead {
		e.unansweredSince = time.Time{}
	}
	if e.state != r.State {
		e.state, e.since = r.State, now
		m.changed = true
	}
	m.queueGossip(now, r, by)
	return true
}

// queueGossip gossips an entry with the next heartbeats, except while the fleet is forming, when table exchanges
// spread it.
func (m *Members) queueGossip(now time.Time, r Rumour, by source) {
	if by == byHeartbeat && !m.Forming(now) {
		m.gossip(r)
	}
}

// supersedes reports whether a rumour replaces the known state of a member.
func (m *Members) supersedes(now time.Time, r Rumour, e *Member) bool {
	switch {
	case r.ID.Incarnation != e.id.Incarnation:
		return r.ID.Incarnation > e.id.Incarnation
	case r.Round != e.round:
		return r.Round > e.round
	case e.state == MemberDead || r.State == MemberDead:
		// After a partition, a report that a member is alive wins over its death: each side had
		// declared the other side's boxes dead.
		return (r.State > e.state) != m.recentlyHealed(now) && r.State != e.state
	}
	return r.State > e.state
}

// refute answers a rumour that this incarnation is suspected or dead, or that an earlier process at this
// address has a higher incarnation.
func (m *Members) refute(r Rumour) {
	if m.MayRaiseIncarnation && r.ID.Incarnation > m.Self.ID.Incarnation && r.Address == m.Self.Address {
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
