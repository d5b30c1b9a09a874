package catalog

import (
	"slices"
	"time"
)

// tightObjective is the objective from which a pipeline is not tight: a caller that is refused and returns after 0.3 s, the
// shortest time that is named where callers are not known, has used up a third of a shorter one.
const tightObjective = time.Second

// contention names the pools in which pipelines with little time for their stages compete, and the pipelines that use
// such a pool.
type contention struct {
	pools     map[string]bool
	pipelines map[string]bool
	stages    map[string]bool // pools in which a contended pipeline has a stage
}

// Contended reports whether a tight pipeline uses a pool: one with stages and an objective under tightObjective.
func (x *Index) Contended(pool string) bool { return x.contention.pools[pool] }

// PipelineContended reports whether a pipeline uses a contended pool.
func (x *Index) PipelineContended(name string) bool { return x.contention.pipelines[name] }

// ServesContended reports whether a contended pipeline has a stage in a pool.
func (x *Index) ServesContended(pool string) bool { return x.contention.stages[pool] }

func (x *Index) findContention() contention {
	out := contention{pools: map[string]bool{}, pipelines: map[string]bool{}, stages: map[string]bool{}}
	for i := range x.catalog.Pipelines {
		if p := &x.catalog.Pipelines[i]; x.isTight(p) {
			for _, pool := range p.poolNames() {
				out.pools[pool] = true
			}
		}
	}
	for i := range x.catalog.Pipelines {
		p := &x.catalog.Pipelines[i]
		for _, pool := range p.poolNames() {
			out.pipelines[p.Name] = out.pipelines[p.Name] || out.pools[pool]
		}
		for _, s := range p.Stages {
			out.stages[s.Pool] = out.stages[s.Pool] || out.pipelines[p.Name]
		}
	}
	return out
}

// isTight reports whether a pipeline has stages that run in calls, and too short an objective for a refused caller to
// return in time.
func (x *Index) isTight(p *Pipeline) bool {
	inCalls := slices.ContainsFunc(p.Stages, func(s Stage) bool { return x.pools[s.Pool] != nil && x.pools[s.Pool].Batch != nil })
	return inCalls && p.Objective > 0 && p.Objective < tightObjective
}

// poolNames returns the pools of a pipeline's stages and targets.
func (p *Pipeline) poolNames() []string {
	var out []string
	for _, s := range p.Stages {
		out = append(out, s.Pool)
	}
	for _, t := range p.Targets {
		out = append(out, t.Pool)
	}
	return out
}

// FullCall returns the expected time of a full call at a server of normal speed.
func (b *BatchLimits) FullCall() time.Duration { return b.ExpectedCall(b.Size) }

// ExpectedCall returns the expected time of a call with a number of pieces at a server of normal speed.
func (b *BatchLimits) ExpectedCall(pieces int) time.Duration {
	return b.CallTime + time.Duration(pieces)*b.ItemTime
}
