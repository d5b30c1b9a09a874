package core

import "time"

// targets picks the members for this heartbeat: the next ones of the shuffled order, and sometimes a dead
// one.
func (m *Members) targets() []string {
	var out []string
	for len(out) < heartbeatFanout {
		if len(m.probeOrder) == 0 {
			m.probeOrder = m.newRound()
		}
		if len(m.probeOrder) == 0 || len(out) > 0 && out[0] == m.probeOrder[0] {
			break
		}
		name := m.probeOrder[0]
		m.probeOrder = m.probeOrder[1:]
		if e := m.all[name]; e != nil && e.state != MemberDead && !containsName(out, name) {
			out = append(out, name)
		}
	}
	if name := m.pickDeadMember(); name != "" {
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

// newRound returns the members that are not dead, in random order.
func (m *Members) newRound() []string {
	var names []string
	for _, n := range m.names {
		if e := m.all[n]; e.state != MemberDead && e.address != "" {
			names = append(names, n)
		}
	}
	m.Rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// pickDeadMember returns a random dead member in one of four heartbeats on average, so that healed
// partitions are noticed, or "".
func (m *Members) pickDeadMember() string {
	if m.Rand.IntN(4) != 0 {
		return ""
	}
	var names []string
	for _, n := range m.names {
		if e := m.all[n]; e.state == MemberDead && e.address != "" {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return names[m.Rand.IntN(len(names))]
}

// ask builds a heartbeat to a member and records it as pending.
func (m *Members) ask(now time.Time, name string) OutgoingBeat {
	e := m.all[name]
	if e.unansweredSince.IsZero() {
		e.unansweredSince = now
	}
	b := m.beat(now)
	if e.state >= MemberSuspect && e.id.Incarnation != 0 { // the member can only refute a suspicion that reaches it
		b.Rumours = append(b.Rumours, m.rumourOf(e))
	}
	m.sent[b.Seq] = sentBeat{to: name, at: now}
	return OutgoingBeat{Address: e.address, Beat: b}
}

// Introduce builds a heartbeat to an address whose box is not known yet.
func (m *Members) Introduce(now time.Time, address string) OutgoingBeat {
	return OutgoingBeat{Address: address, Beat: m.beat(now)}
}

// beat builds a heartbeat with the next sequence number, the pending rumours and the news of the rest of
// the box.
func (m *Members) beat(now time.Time) Beat {
	m.seq++
	b := Beat{From: m.self(now), Seq: m.seq, Digest: m.Digest(), Rumours: m.nextRumours(now)}
	if m.Expect != nil {
		m.Expect(&b)
	}
	return b
}

// self returns the rumour that this box sends about itself.
func (m *Members) self(now time.Time) Rumour {
	r := m.Self
	if !m.Start.IsZero() {
		r.Up = now.Sub(m.Start)
	}
	return r
}

// News builds a one-way message with the state of this box that needs no answer.
func (m *Members) News(now time.Time) Beat { return Beat{From: m.self(now), News: true} }

// IndirectProbes builds heartbeats that ask other members to probe the members that became suspects within the
// last HeartbeatEvery.
func (m *Members) IndirectProbes(now time.Time) []OutgoingBeat {
	var out []OutgoingBeat
	for _, name := range m.names {
		e := m.all[name]
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
