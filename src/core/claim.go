package core

// Claim says that a box schedules a pool. Claims travel with the member's entry, so that every box
// sends a pool's jobs to the box that has them already, whoever joins meanwhile: a pool moves only when
// its scheduler leaves, is lost, or meets a claim of a later term.
type Claim struct {
	Pool uint64 `msgpack:"p"` // hash of its name
	Term uint64 `msgpack:"t"` // one more than that of any claim known when it was made
}

// Capacity is what the machine of a box can do, as its settings tell; 0 is unknown.
type Capacity struct {
	CPU  uint32 `msgpack:"c"` // thousandths of a core
	Link uint32 `msgpack:"l"` // Mbit/s
}

// Claim makes this box the scheduler of a pool, over every claim that it knows of.
func (m *Members) Claim(pool uint64) {
	if m.claims(pool) {
		return
	}
	term := uint64(0)
	for _, e := range m.all {
		term = max(term, termOf(e.claims, pool))
	}
	m.setClaims(append(m.otherClaims(pool), Claim{Pool: pool, Term: term + 1}))
}

// Disclaim takes this box's claim to a pool back.
func (m *Members) Disclaim(pool uint64) {
	if m.claims(pool) {
		m.setClaims(m.otherClaims(pool))
	}
}

func (m *Members) claims(pool uint64) bool { return termOf(m.Self.Claims, pool) > 0 }

func (m *Members) otherClaims(pool uint64) []Claim {
	var out []Claim
	for _, c := range m.Self.Claims {
		if c.Pool != pool {
			out = append(out, c)
		}
	}
	return out
}

// setClaims changes what this box says of itself; a later round makes others take it.
func (m *Members) setClaims(claims []Claim) {
	m.Self.Claims = claims
	m.Self.Round++
	m.gossip(m.Self)
}

// termOf is the term of a pool's claim among some, 0 for none.
func termOf(claims []Claim, pool uint64) uint64 {
	for _, c := range claims {
		if c.Pool == pool {
			return c.Term
		}
	}
	return 0
}
