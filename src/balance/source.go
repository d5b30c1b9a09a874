package balance

import (
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// Read says that a server has read a shared prompt part; both are named by their hashes.
type Read struct {
	Part   uint64
	Server uint64
}

type freshRead struct {
	Read
	at time.Time
}

// Source names a server from which another should copy the shared parts of a prompt, where copying takes
// less than reading: the one that read them last, or their home. It gives false when the server keeps
// them as far as this box knows, or when nobody is known to.
func (p *Pool) Source(now time.Time, id string, w *Wish) (catalog.Server, bool) {
	v := p.servers[id]
	if v == nil || len(w.Parts) < 2 {
		return catalog.Server{}, false
	}
	kept := p.keptParts(w)
	if _, shared := p.unread(now, v, w, kept, ""); shared < leastCopied {
		return catalog.Server{}, false
	}
	deepest := kept[len(w.Parts)-2]
	var best *server
	for hash, at := range deepest {
		s := p.names[hash]
		if s == nil || s.ID == id || !w.Within.Allow(s.Domain) || !s.sound(now) || p.wantsRest(now, s) || p.limited(s) || now.Sub(at) >= keptLife {
			continue
		}
		if best == nil || at.After(deepest[best.hash]) {
			best = s
		}
	}
	if best == nil {
		best = p.servers[p.home(w)]
	}
	if best == nil || best.ID == id || !best.sound(now) || p.wantsRest(now, best) || p.limited(best) {
		return catalog.Server{}, false
	}
	return *best.Server, true
}

// limited says whether a server limits its requests: what others copy from it would come on top of them.
func (p *Pool) limited(v *server) bool { return p.Limits != nil && p.Limits(v.Server) }

// sound says whether a server answers and is not slow.
func (v *server) sound(now time.Time) bool {
	return v.usable(now) && v.rests == 0 && v.broken == 0 && v.pace <= slowRatio
}
