// Package load generates open-loop load on boxes from named workloads and checks every answer.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/stilemast/stilemast/src/config"
)

// RequestKind is one type of request in a workload.
type RequestKind struct {
	Pipeline      string
	Share         float64 // of all requests, 0 to 1
	TemplateBytes int     // bytes of the input taken from a shared template
	UniqueBytes   int     // bytes of the input unique to the request
	Templates     int     // number of templates in each workspace
}

// Workload is a mix of requests and their arrival pattern.
type Workload struct {
	Name  string
	Kinds []RequestKind
	// TopWorkspacesShare is the share of requests that come from the first two workspaces.
	TopWorkspacesShare float64
	// Burst multiplies the rate during the first quarter of every BurstEvery; 0 means no bursts.
	Burst      float64
	BurstEvery time.Duration
}

// Workloads are the available workloads by name.
var Workloads = map[string]Workload{
	"pageworks": {
		Name: "pageworks", TopWorkspacesShare: 0.7, Burst: 2, BurstEvery: 8 * time.Second,
		Kinds: []RequestKind{
			{Pipeline: "spread-draft", Share: 0.10, TemplateBytes: 2048, UniqueBytes: 1024, Templates: 12},
			{Pipeline: "caption", Share: 0.40, TemplateBytes: 1024, UniqueBytes: 256, Templates: 30},
			{Pipeline: "tag-suggestion", Share: 0.30, TemplateBytes: 512, UniqueBytes: 128, Templates: 30},
			{Pipeline: "proof-approval", Share: 0.10, TemplateBytes: 128, UniqueBytes: 128, Templates: 10},
			{Pipeline: "tag-stamp", Share: 0.10, TemplateBytes: 0, UniqueBytes: 128, Templates: 1},
		},
	},
	"giftenregister": {
		Name: "giftenregister", TopWorkspacesShare: 0.6,
		Kinds: []RequestKind{
			{Pipeline: "dossier-review", Share: 0.10, TemplateBytes: 4096, UniqueBytes: 2048, Templates: 20},
			{Pipeline: "letter", Share: 0.15, TemplateBytes: 1024, UniqueBytes: 512, Templates: 8},
			{Pipeline: "receipt", Share: 0.25, TemplateBytes: 0, UniqueBytes: 256, Templates: 1},
			{Pipeline: "registration", Share: 0.15, TemplateBytes: 0, UniqueBytes: 256, Templates: 1},
			{Pipeline: "status-check", Share: 0.35, TemplateBytes: 256, UniqueBytes: 128, Templates: 6},
		},
	},
}

// Arrival is one request of a plan.
type Arrival struct {
	N         int           // sequence number, from 0
	At        time.Duration // since the start
	Workspace string
	Pipeline  *config.Pipeline
	Input     []byte
	Box       int // index of the box that the load balancer picks
}

// Plan generates the arrivals of a run with the given mean rate per second. They depend only on the arguments,
// including the seed, and not on the boxes' behavior.
func Plan(w Workload, c *config.Config, spaces []string, rate float64, length time.Duration, boxes int, seed uint64) []Arrival {
	r := rand.New(rand.NewPCG(seed, 7))
	var out []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(r.ExpFloat64() / (rate * w.rateFactor(at)) * float64(time.Second))
		if at >= length {
			return out
		}
		k := pickKind(w.Kinds, r.Float64())
		space := spaces[pickWorkspace(r, len(spaces), w.TopWorkspacesShare)]
		out = append(out, Arrival{
			N: len(out), At: at, Workspace: space, Pipeline: c.Pipeline(k.Pipeline),
			Input: makeInput(k, space, r), Box: r.IntN(boxes),
		})
	}
}

// rateFactor returns the rate at a point in time relative to the mean rate.
func (w Workload) rateFactor(at time.Duration) float64 {
	if w.Burst == 0 {
		return 1
	}
	calm := (1 - 0.25*w.Burst) / 0.75
	if math.Mod(at.Seconds(), w.BurstEvery.Seconds()) < w.BurstEvery.Seconds()/4 {
		return w.Burst
	}
	return calm
}

// pickKind selects a kind by its share; x is uniform in [0, 1).
func pickKind(kinds []RequestKind, x float64) RequestKind {
	for _, k := range kinds {
		if x < k.Share {
			return k
		}
		x -= k.Share
	}
	return kinds[len(kinds)-1]
}

// pickWorkspace returns the index of a random workspace of n; crowd is the probability of the first two.
func pickWorkspace(r *rand.Rand, n int, crowd float64) int {
	if n <= 2 || r.Float64() < crowd {
		return r.IntN(min(n, 2))
	}
	return 2 + r.IntN(n-2)
}

// makeInput generates a request's input: a shared template, which prefix caches can reuse, followed by unique text.
func makeInput(k RequestKind, space string, r *rand.Rand) []byte {
	var b strings.Builder
	if k.TemplateBytes > 0 {
		fill(&b, fmt.Sprintf("%s %s template %d. ", space, k.Pipeline, r.IntN(k.Templates)), k.TemplateBytes)
	}
	fill(&b, fmt.Sprintf("request %016x%016x. ", r.Uint64(), r.Uint64()), k.UniqueBytes)
	return []byte(b.String())
}

// fill appends n bytes of repeated text.
func fill(b *strings.Builder, text string, n int) {
	for n > 0 {
		part := text[:min(n, len(text))]
		b.WriteString(part)
		n -= len(part)
	}
}
