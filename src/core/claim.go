package core

// Claim states that a box schedules a pool. Claims are part of the member's gossip entry, so every box
// sends a pool's jobs to the box that already schedules it, whoever joins meanwhile. A pool moves only when
// its scheduler leaves, is lost, or sees a claim with a later term.
type Claim struct {
	Pool uint64 `msgpack:"p"` // hash of the pool name
	Term uint64 `msgpack:"t"` // one more than that of any claim to the pool known when it was made
}

// Capacity is what the machine of a box can do, from the box's settings; 0 means unknown.
type Capacity struct {
	CPU  uint32 `msgpack:"c"` // thousandths of a core
	Link uint32 `msgpack:"l"` // Mbit/s
}

// Claim makes this box the scheduler of a pool, with a later term than all known claims. It does nothing if
// this box holds a claim.
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

// ReleaseClaim withdraws this box's claim to a pool.
func (m *Members) ReleaseClaim(pool uint64) {
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

// setClaims replaces this box's claims and raises its round, so that others accept the change.
func (m *Members) setClaims(claims []Claim) {
	m.Self.Claims = claims
	m.Self.Round++
	m.gossip(m.Self)
}

// termOf returns the term of a pool in a list of claims, or 0.
func termOf(claims []Claim, pool uint64) uint64 {
	for _, c := range claims {
		if c.Pool == pool {
			return c.Term
		}
	}
	return 0
}
