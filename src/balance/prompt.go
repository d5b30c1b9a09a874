package balance

import (
	"math"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// Part is a section of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// PartIDs returns the ids of prompt parts.
func PartIDs(parts []Part) []string {
	out := make([]string, len(parts))
	for i, p := range parts {
		out[i] = p.ID
	}
	return out
}

// cachedParts holds, for each part of one prompt, the servers that processed it (by hash of their ids) and when.
type cachedParts []map[uint64]time.Time

// cachedParts looks up the parts of a prompt once for the choice among many servers.
func (p *Pool) cachedParts(w *Request) cachedParts {
	out := make(cachedParts, len(w.Parts))
	for i, part := range w.Parts {
		out[i] = p.cached[catalog.Hash(part.ID)]
	}
	return out
}

// uncachedTokens estimates the tokens of a prompt that a server has not cached, and how many of them are shared with other
// requests. home is the server assigned to the prompt's shared parts, which counts as having them.
func (p *Pool) uncachedTokens(now time.Time, v *server, w *Request, kept cachedParts, home string) (all, shared int) {
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

// wasRead reports whether a server, given by hash, has processed a part within cacheLifetime.
func wasRead(now time.Time, servers map[uint64]time.Time, id uint64) bool {
	if len(servers) == 0 {
		return false
	}
	at, ok := servers[id]
	return ok && now.Sub(at) < cacheLifetime
}

// home returns the server assigned to the shared parts of a prompt, "" for none. All boxes agree on it without
// communication: rendezvous hashing of the first part selects several servers (see homes), and rendezvous hashing of the
// last shared part selects one of them.
func (p *Pool) home(w *Request) string {
	if len(w.Parts) < 2 || len(p.servers) == 0 {
		return ""
	}
	first, deepest := catalog.Hash(w.Parts[0].ID), catalog.Hash(w.Parts[len(w.Parts)-2].ID)
	least := p.nthRank(first, p.homeCount(first), w.Within)
	best, rank := "", 0.0
	for id, v := range p.servers {
		if mix(first, v.hash) < least || !w.Within.Allow(v.Domain) {
			continue
		}
		if r := p.domainWeight(w, v.Domain) * p.speedWeight(v) / exponential(mix(deepest, v.hash)); best == "" || r > rank || r == rank && id < best {
			best, rank = id, r
		}
	}
	return best
}

// domainWeight returns the weight of a domain's servers in the choice of a home: the domain's share of the servers that
// produce the request's large inputs, or 1 if it has none.
func (p *Pool) domainWeight(w *Request, domain string) float64 {
	producers := 0
	for _, n := range w.Producers {
		producers += n
	}
	if producers == 0 {
		return 1
	}
	return (float64(w.Producers[domain]) + minProducerWeight) / float64(producers)
}

// exponential maps a hash to an exponentially distributed number, for weighted rendezvous hashing.
func exponential(hash uint64) float64 {
	return -math.Log((float64(hash>>11) + 0.5) / (1 << 53))
}

// nthRank returns the n-th highest rendezvous hash for a key among the servers within the confines, 0 if there are no
// more than n.
func (p *Pool) nthRank(key uint64, n int, within *catalog.Confines) uint64 {
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

// mix combines two hashes into a uniformly distributed one.
func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// HomeDomain returns the failure domain of the home of a prompt (see home), "" if it has none. Large inputs of the
// request are best produced there.
func (p *Pool) HomeDomain(w *Request) string {
	if v := p.servers[p.home(w)]; v != nil {
		return v.Domain
	}
	return ""
}

// RecordRead records that a server has processed a prompt of this box: its load is reduced and the parts count as cached.
func (p *Pool) RecordRead(now time.Time, id string, w *Request) {
	v := p.servers[id]
	if v == nil || len(w.Parts) == 0 {
		return
	}
	v.own.Tokens = max(0, v.own.Tokens-w.Tokens())
	p.RecordCached(now, id, w.Parts)
}

// RecordCached records that a server has cached prompt parts for this box, to be reported to other boxes.
func (p *Pool) RecordCached(now time.Time, id string, parts []Part) {
	server := catalog.Hash(id)
	for i, part := range parts {
		hash := catalog.Hash(part.ID)
		p.markCached(now, server, hash)
		if i < len(parts)-1 {
			p.freshReads = append(p.freshReads, freshRead{at: now, Read: Read{Part: hash, Server: server}})
		}
	}
}

// RecordReads records prompt parts that servers have processed, as reported by another box.
func (p *Pool) RecordReads(now time.Time, reads []Read) {
	for _, r := range reads {
		if p.byHash[r.Server] != nil {
			p.markCached(now, r.Server, r.Part)
		}
	}
}

// FreshReads returns the recent reads of shared prompt parts to report to other boxes.
func (p *Pool) FreshReads(now time.Time) []Read {
	p.freshReads = slices.DeleteFunc(p.freshReads, func(r freshRead) bool { return now.Sub(r.at) > reportReadsFor })
	var out []Read
	for _, r := range p.freshReads {
		out = append(out, r.Read)
	}
	return out
}

// markCached records that a server processed a part, both given by hash.
func (p *Pool) markCached(now time.Time, server, part uint64) {
	m := p.cached[part]
	if m == nil {
		if len(p.cached) >= maxCachedParts {
			p.evictCached(now)
		}
		m = map[uint64]time.Time{}
		p.cached[part] = m
	}
	m[server] = now
}

// evictCached drops expired entries, or all if there are still too many.
func (p *Pool) evictCached(now time.Time) {
	for part, m := range p.cached {
		for id, at := range m {
			if now.Sub(at) > cacheLifetime {
				delete(m, id)
			}
		}
		if len(m) == 0 {
			delete(p.cached, part)
		}
	}
	if len(p.cached) >= maxCachedParts {
		clear(p.cached)
	}
}
