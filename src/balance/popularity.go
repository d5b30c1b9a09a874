package balance

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// popularity measures the share of all prompt tokens that belongs to each first prompt part.
//
// Each box keeps decaying counts of its own requests and reports them to the others; the shares are those of the sum over
// all boxes that reported recently. In a large fleet a box gets too few requests for its own counts to be meaningful: of
// ten requests each would look like a tenth of all.
//
// A message has up to popularityReportParts parts, and as many are stored for each box heard from in
// popularityReportLifetime.
type popularity struct {
	own     map[uint64]float64 // tokens by hash of the first part
	total   float64            // tokens of all requests of this box
	decayed time.Time          // when the counts last decayed

	reports       map[string]popularityReport // of other boxes
	reported      map[uint64]float64          // sums of the reports, by hash of the first part
	reportedTotal float64                     // sum of the reports' totals
}

// popularityReport is another box's report of its counts.
type popularityReport struct {
	at    time.Time
	total float64
	parts []PartTokens
}

// PartTokens is the recent number of prompt tokens of requests with a certain first part, identified by its hash.
type PartTokens struct {
	Part   uint64
	Tokens uint32
}

func newPopularity() popularity {
	return popularity{own: map[uint64]float64{}, reports: map[string]popularityReport{}, reported: map[uint64]float64{}}
}

// add adds the tokens of a request to its first prompt part.
func (a *popularity) add(now time.Time, w *Request) {
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
	if since <= popularityDecay/10 {
		return
	}
	f := math.Exp(-float64(since) / float64(popularityDecay))
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
		if now.Sub(w.at) > popularityReportLifetime {
			a.dropReport(box)
		}
	}
}

// setReport replaces another box's report.
func (a *popularity) setReport(now time.Time, box string, total float64, parts []PartTokens) {
	a.dropReport(box)
	a.reports[box] = popularityReport{at: now, total: total, parts: parts}
	a.reportedTotal += total
	for _, p := range parts {
		a.reported[p.Part] += float64(p.Tokens)
	}
}

func (a *popularity) dropReport(box string) {
	w, ok := a.reports[box]
	if !ok {
		return
	}
	delete(a.reports, box)
	a.reportedTotal = max(0, a.reportedTotal-w.total)
	for _, p := range w.parts {
		if a.reported[p.Part] -= float64(p.Tokens); a.reported[p.Part] < 1 {
			delete(a.reported, p.Part)
		}
	}
}

// share returns the share of all tokens that belongs to a first prompt part.
func (a *popularity) share(part uint64) float64 {
	all := a.total + a.reportedTotal
	if all <= 0 {
		return 0
	}
	return (a.own[part] + a.reported[part]) / all
}

// PopularityReport returns this box's counts to report to other boxes: all tokens, and those of the most requested parts.
func (p *Pool) PopularityReport(now time.Time) (total float64, parts []PartTokens) {
	p.popularity.decay(now)
	for part, n := range p.popularity.own {
		parts = append(parts, PartTokens{Part: part, Tokens: uint32(min(n, math.MaxUint32))})
	}
	slices.SortFunc(parts, func(a, b PartTokens) int {
		if a.Tokens != b.Tokens {
			return int(int64(b.Tokens) - int64(a.Tokens))
		}
		return compareHashes(a.Part, b.Part)
	})
	return p.popularity.total, parts[:min(len(parts), popularityReportParts)]
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

// SetBoxPopularity records another box's counts.
func (p *Pool) SetBoxPopularity(now time.Time, box string, total float64, parts []PartTokens) {
	p.popularity.setReport(now, box, total, parts)
}

// homeCount returns how many servers should process a first prompt part, in proportion to its share of all tokens. The
// number is rounded up to a power of two so that boxes with slightly different estimates agree.
func (p *Pool) homeCount(first uint64) int {
	n := int(math.Ceil(homesFactor * p.popularity.share(first) * float64(len(p.servers))))
	if n > 1 {
		n = 1 << bits.Len(uint(n-1))
	}
	return max(1, min(len(p.servers), n))
}
