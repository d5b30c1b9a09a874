package balance

import (
	"math"
	"sort"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// unread estimates the tokens of a prompt that a server does not keep, and how many of them are
// shared with other requests. home is the server that the prompt's shared parts belong to.
func (p *Pool) unread(now time.Time, v *server, w *Wish, home string) (all, shared int) {
	if len(w.Parts) == 0 {
		return 0, 0
	}
	last := len(w.Parts) - 1
	keeps := true
	for i, part := range w.Parts {
		at, ok := p.kept[part.ID][v.ID]
		keeps = keeps && (v.ID == home && i < last || ok && now.Sub(at) < keptLife)
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

// home is the server where the shared parts of a prompt are best read, on which all boxes agree
// without a message: the prompt's first part picks a few servers by rendezvous hash, as many as its
// share of all tokens asks for, and the last shared part picks one of them.
func (p *Pool) home(w *Wish) string {
	if len(w.Parts) < 2 || len(p.servers) == 0 {
		return ""
	}
	first, deepest := w.Parts[0].ID, w.Parts[len(w.Parts)-2].ID
	type rankedServer struct {
		id   string
		rank uint64
	}
	ranked := make([]rankedServer, 0, len(p.servers))
	for id := range p.servers {
		ranked = append(ranked, rankedServer{id, catalog.Hash(first, id)})
	}
	sort.Slice(ranked, func(i, j int) bool { return ranked[i].rank > ranked[j].rank })
	share := 0.0
	if p.asked > 0 {
		share = p.popular[first] / p.asked
	}
	n := min(len(ranked), int(math.Ceil(popularitySpare*share*float64(len(ranked)))))
	best, rank := "", uint64(0)
	for _, s := range ranked[:max(1, n)] {
		if r := catalog.Hash(deepest, s.id); best == "" || r > rank {
			best, rank = s.id, r
		}
	}
	return best
}

// HomeDomain is the failure domain of the server where a prompt's shared parts are best read, "" when
// it has none. Work that makes large inputs for the request is best done there.
func (p *Pool) HomeDomain(w *Wish) string {
	if v := p.servers[p.home(w)]; v != nil {
		return v.Domain
	}
	return ""
}

// ask counts the tokens of a request under its first prompt part.
func (p *Pool) ask(now time.Time, w *Wish) {
	if len(w.Parts) == 0 {
		return
	}
	if since := now.Sub(p.decayed); since > popularityLife/10 {
		f := math.Exp(-float64(since) / float64(popularityLife))
		p.asked *= f
		for id, n := range p.popular {
			if n *= f; n < 1 {
				delete(p.popular, id)
			} else {
				p.popular[id] = n
			}
		}
		p.decayed = now
	}
	tokens := float64(w.Tokens())
	p.asked += tokens
	p.popular[w.Parts[0].ID] += tokens
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

// Kept notes that a server keeps prompt parts.
func (p *Pool) Kept(now time.Time, id string, parts []Part) {
	for _, part := range parts {
		m := p.kept[part.ID]
		if m == nil {
			if len(p.kept) >= keptMost {
				p.forgetKept(now)
			}
			m = map[string]time.Time{}
			p.kept[part.ID] = m
		}
		m[id] = now
	}
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
