package core

import "time"

// targets picks whom to ask now: the next of the round, and at times one that seems gone.
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

// pickDeadMember picks, every few beats, a dead box to ask again.
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

func (m *Members) ask(now time.Time, name string) BeatTo {
	e := m.all[name]
	if e.asked.IsZero() {
		e.asked = now
	}
	b := m.beat(now)
	if e.state >= MemberSuspect && e.id.Incarnation != 0 { // it must hear of that to refute it
		b.Rumours = append(b.Rumours, m.rumourOf(e))
	}
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
	b := Beat{From: m.self(now), Seq: m.seq, Digest: m.Digest(), Rumours: m.nextRumours(now)}
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

// Indirect lists questions to others about members that became suspects lately.
func (m *Members) Indirect(now time.Time) []BeatTo {
	var out []BeatTo
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
