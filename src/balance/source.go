package balance

import (
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// Read records that a server has processed a shared prompt part; both are identified by their hashes.
type Read struct {
	Part   uint64
	Server uint64
}

type freshRead struct {
	Read
	at time.Time
}

// CopySource returns a server from which server id should copy the shared parts of a prompt: the one that processed them
// last, or their home. It returns false if copying isn't worth it because id has them cached, as far as this box knows, or
// if no suitable server is known. What a server of another build holds may not fit.
func (p *Pool) CopySource(now time.Time, id string, w *Request) (catalog.Server, bool) {
	v := p.servers[id]
	if v == nil || len(w.Parts) < 2 {
		return catalog.Server{}, false
	}
	kept := p.cachedParts(w)
	if _, shared := p.uncachedTokens(now, v, w, kept, ""); shared < minCopyTokens {
		return catalog.Server{}, false
	}
	deepest := kept[len(w.Parts)-2]
	var best *server
	for hash, at := range deepest {
		s := p.byHash[hash]
		if s == nil || s.ID == id || s.Build != v.Build || !w.Within.Allow(s.Domain) || !p.healthy(now, s) || p.wantsRest(now, s) || p.limited(s) || now.Sub(at) >= cacheLifetime {
			continue
		}
		if best == nil || at.After(deepest[best.hash]) {
			best = s
		}
	}
	if best == nil {
		best = p.servers[p.home(w)]
	}
	if best == nil || best.ID == id || best.Build != v.Build || !p.healthy(now, best) || p.wantsRest(now, best) || p.limited(best) {
		return catalog.Server{}, false
	}
	return *best.Server, true
}

// limited reports whether a server limits its request rate. Copies from it would count against the limit.
func (p *Pool) limited(v *server) bool { return p.Limits != nil && p.Limits(v.Server) }

// healthy reports whether a server has no recent failure and is not slow.
func (p *Pool) healthy(now time.Time, v *server) bool {
	return v.usable(now) && v.pauses == 0 && v.broken == 0 && p.speed(now, v).Lasting <= maxSourceSpeed
}
