package balance

import (
	"math"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// keptParts is where the parts of one prompt were read, looked up once for the choice among many servers.
type keptParts []map[uint64]time.Time

func (p *Pool) keptParts(w *Wish) keptParts {
	out := make(keptParts, len(w.Parts))
	for i, part := range w.Parts {
		out[i] = p.kept[catalog.Hash(part.ID)]
	}
	return out
}

// unread estimates the tokens of a prompt that a server does not keep, and how many of them are
// shared with other requests. home is the server that the prompt's shared parts belong to.
func (p *Pool) unread(now time.Time, v *server, w *Wish, kept keptParts, home string) (all, shared int) {
	last := len(w.Parts) - 1
	keeps := true
	for i, part := range w.Parts {
		keeps = keeps && (i < last && v.ID == home || wasRead(now, kept[i], v.hash))
		if keeps {
			continue
		}
		all += part.Tokens
		if i < last {
			shared += part.Tokens
		}
	}
	return all, shared
}

// wasRead says whether a server has read a part lately.
func wasRead(now time.Time, servers map[uint64]time.Time, id uint64) bool {
	if len(servers) == 0 {
		return false
	}
	at, ok := servers[id]
	return ok && now.Sub(at) < keptLife
}

// home is the server where the shared parts of a prompt are best read, on which all boxes agree
// without a message: the prompt's first part picks a few servers by rendezvous hash, as many as its
// share of all tokens asks for, and the last shared part picks one of them.
func (p *Pool) home(w *Wish) string {
	if len(w.Parts) < 2 || len(p.servers) == 0 {
		return ""
	}
	first, deepest := catalog.Hash(w.Parts[0].ID), catalog.Hash(w.Parts[len(w.Parts)-2].ID)
	least := p.rankOf(first, p.homes(first), w.Within)
	best, rank := "", 0.0
	for id, v := range p.servers {
		if mix(first, v.hash) < least || !w.Within.Allow(v.Domain) {
			continue
		}
		if r := p.weight(w, v.Domain) / exponential(mix(deepest, v.hash)); best == "" || r > rank || r == rank && id < best {
			best, rank = id, r
		}
	}
	return best
}

// weight is the part of homes that servers of a domain should have, over what they would have by their
// number: as much as the domain has of the servers that make a request's large inputs.
func (p *Pool) weight(w *Wish, domain string) float64 {
	makers := 0
	for _, n := range w.Makers {
		makers += n
	}
	if makers == 0 {
		return 1
	}
	return (float64(w.Makers[domain]) + leastMakers) / float64(makers)
}

// exponential turns a hash into an exponentially distributed number, for rendezvous hashing by weight.
func exponential(hash uint64) float64 {
	return -math.Log((float64(hash>>11) + 0.5) / (1 << 53))
}

// rankOf gives the rank of the n-th server by rendezvous hash with a key, of those inside the confines.
func (p *Pool) rankOf(key uint64, n int, within *catalog.Confines) uint64 {
	p.ranks = p.ranks[:0]
	for _, v := range p.servers {
		if within.Allow(v.Domain) {
			p.ranks = append(p.ranks, mix(key, v.hash))
		}
	}
	if n >= len(p.ranks) {
		return 0
	}
	if n == 1 {
		return slices.Max(p.ranks)
	}
	slices.Sort(p.ranks)
	return p.ranks[len(p.ranks)-n]
}

// mix combines two hashes into one that spreads well.
func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// HomeDomain is the failure domain of the server where a prompt's shared parts are best read, "" when
// it has none. Work that makes large inputs for the request is best done there.
func (p *Pool) HomeDomain(w *Wish) string {
	if v := p.servers[p.home(w)]; v != nil {
		return v.Domain
	}
	return ""
}

// Read notes that a server has read a prompt: its load shrinks and its parts are kept there.
func (p *Pool) Read(now time.Time, id string, w *Wish) {
	v := p.servers[id]
	if v == nil || len(w.Parts) == 0 {
		return
	}
	v.own.Tokens = max(0, v.own.Tokens-w.Tokens())
	p.Kept(now, id, w.Parts)
}

// Kept notes that a server keeps prompt parts, which it has read for this box.
func (p *Pool) Kept(now time.Time, id string, parts []Part) {
	server := catalog.Hash(id)
	for i, part := range parts {
		hash := catalog.Hash(part.ID)
		p.keeps(now, server, hash)
		if i < len(parts)-1 {
			p.fresh = append(p.fresh, freshRead{at: now, Read: Read{Part: hash, Server: server}})
		}
	}
}

// HearReads takes what another box says of prompt parts that servers have read.
func (p *Pool) HearReads(now time.Time, reads []Read) {
	for _, r := range reads {
		if p.names[r.Server] != nil {
			p.keeps(now, r.Server, r.Part)
		}
	}
}

// FreshReads lists the reads of shared prompt parts of which other boxes should be told now.
func (p *Pool) FreshReads(now time.Time) []Read {
	p.fresh = slices.DeleteFunc(p.fresh, func(r freshRead) bool { return now.Sub(r.at) > tellReads })
	var out []Read
	for _, r := range p.fresh {
		out = append(out, r.Read)
	}
	return out
}

func (p *Pool) keeps(now time.Time, server, part uint64) {
	m := p.kept[part]
	if m == nil {
		if len(p.kept) >= keptMost {
			p.forgetKept(now)
		}
		m = map[uint64]time.Time{}
		p.kept[part] = m
	}
	m[server] = now
}

func (p *Pool) forgetKept(now time.Time) {
	for part, m := range p.kept {
		for id, at := range m {
			if now.Sub(at) > keptLife {
				delete(m, id)
			}
		}
		if len(m) == 0 {
			delete(p.kept, part)
		}
	}
	if len(p.kept) >= keptMost {
		clear(p.kept)
	}
}
