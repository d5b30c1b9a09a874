package balance

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// popularity measures which part of all prompt tokens is asked under each first prompt part.
//
// Idea. Each box counts what it is asked for, decaying, and tells others its counts; the shares are those
// of the sum over all boxes heard of lately. In a large fleet a box is asked for so little that its own
// counts say nothing: of ten requests each looks like a tenth of all.
//
// Cost. askNotes parts a message; the memory of as many for each box heard of in askLife.
type popularity struct {
	own     map[uint64]float64 // tokens by the hash of the first part
	total   float64
	decayed time.Time

	reports map[string]askReport // of other boxes
	told    map[uint64]float64   // sums of the reports
	toldAll float64
}

// askReport is what another box told of its counts.
type askReport struct {
	at    time.Time
	total float64
	parts []Asked
}

// Asked says how many tokens were asked for lately under a first prompt part, named by its hash.
type Asked struct {
	Part   uint64
	Tokens uint32
}

func newPopularity() popularity {
	return popularity{own: map[uint64]float64{}, reports: map[string]askReport{}, told: map[uint64]float64{}}
}

// note counts the tokens of a request under its first prompt part.
func (a *popularity) note(now time.Time, w *Wish) {
	if len(w.Parts) == 0 {
		return
	}
	a.decay(now)
	tokens := float64(w.Tokens())
	a.total += tokens
	a.own[catalog.Hash(w.Parts[0].ID)] += tokens
}

func (a *popularity) decay(now time.Time) {
	since := now.Sub(a.decayed)
	if since <= popularityLife/10 {
		return
	}
	f := math.Exp(-float64(since) / float64(popularityLife))
	a.total *= f
	for part, n := range a.own {
		if n *= f; n < 1 {
			delete(a.own, part)
		} else {
			a.own[part] = n
		}
	}
	a.decayed = now
	for box, w := range a.reports {
		if now.Sub(w.at) > askLife {
			a.forget(box)
		}
	}
}

// hear takes another box's counts in place of those that it told before.
func (a *popularity) hear(now time.Time, box string, total float64, parts []Asked) {
	a.forget(box)
	a.reports[box] = askReport{at: now, total: total, parts: parts}
	a.toldAll += total
	for _, p := range parts {
		a.told[p.Part] += float64(p.Tokens)
	}
}

func (a *popularity) forget(box string) {
	w, ok := a.reports[box]
	if !ok {
		return
	}
	delete(a.reports, box)
	a.toldAll = max(0, a.toldAll-w.total)
	for _, p := range w.parts {
		if a.told[p.Part] -= float64(p.Tokens); a.told[p.Part] < 1 {
			delete(a.told, p.Part)
		}
	}
}

// share is the part of all tokens that is asked for under a first prompt part.
func (a *popularity) share(part uint64) float64 {
	all := a.total + a.toldAll
	if all <= 0 {
		return 0
	}
	return (a.own[part] + a.told[part]) / all
}

// Asked gives this box's counts for other boxes: all tokens, and those of the parts asked for most.
func (p *Pool) Asked(now time.Time) (total float64, parts []Asked) {
	p.asked.decay(now)
	for part, n := range p.asked.own {
		parts = append(parts, Asked{Part: part, Tokens: uint32(min(n, math.MaxUint32))})
	}
	slices.SortFunc(parts, func(a, b Asked) int {
		if a.Tokens != b.Tokens {
			return int(int64(b.Tokens) - int64(a.Tokens))
		}
		return compareHashes(a.Part, b.Part)
	})
	return p.asked.total, parts[:min(len(parts), askNotes)]
}

func compareHashes(a, b uint64) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// HearAsked takes another box's counts.
func (p *Pool) HearAsked(now time.Time, box string, total float64, parts []Asked) {
	p.asked.hear(now, box, total, parts)
}

// homes is how many servers should read a first prompt part: as many as its share of all tokens asks for,
// rounded up to a power of two, so that boxes whose estimates differ a little agree.
func (p *Pool) homes(first uint64) int {
	n := int(math.Ceil(popularitySpare * p.asked.share(first) * float64(len(p.servers))))
	if n > 1 {
		n = 1 << bits.Len(uint(n-1))
	}
	return max(1, min(len(p.servers), n))
}
