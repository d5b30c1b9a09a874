// Package admission decides at the arrival of a request whether it is run.
//
// A request that will miss its objective is worth little and delays others. The forecast of its time to the first
// output (Request.Estimate) sums up the waits and calls of its stages. It errs by up to a third, by pipeline and phase
// of a burst, so Calibration compares each forecast with what was observed, at this box and others, and corrects
// the next ones. Decide refuses a request only if it is unlikely to be in time and if its refusal spares others
// a wait that they have no time for.
//
// The package does no I/O and reads no clock.
package admission

import (
	"math"
	"time"
)

// Input is what the decision on one request depends on.
type Input struct {
	Learned  bool // learned admission is in force for the pipeline
	Returned bool // the caller was refused before
	Forecast Forecast
	Left     time.Duration // to the objective
	Deadline time.Duration // to the end of the caller's patience
	Ratio    Ratio
	Behind   []Behind
}

// Decision is the outcome for one request.
type Decision struct {
	Refuse      bool
	Corrected   time.Duration // the forecast with what was learned
	Probability float64       // of being in time; by today's rule 0 or 1
	Gain        float64       // callers that its refusal spares from being late, see Behind
	Excess      time.Duration // by which the forecast exceeds the time that it may take
	Rule        Rule
}

// Rule names what decided.
type Rule string

// Rules of a Decision.
const (
	RuleForecast Rule = "forecast" // the forecast against the objective, nothing learned
	RuleLearned  Rule = "learned"  // probability and gain
	RuleReturned Rule = "returned" // refused before and not again
)

// Decide decides on a request. It is refused if it is unlikely to be in time and its refusal helps others: those that wait
// behind it, or, if it has hardly a chance in a pool that is saturated while arrivals do not fall, those that arrive after it. One that is unlikely
// to be served by its deadline is refused in any case. While learned admission is not in force or too little is known of the class, the forecast
// decides alone.
func Decide(in Input) Decision {
	f := in.Forecast
	limit := time.Duration(LateFactor * float64(in.Left))
	d := Decision{Corrected: f.Total, Excess: f.Total - limit, Rule: RuleForecast}
	refusable := len(f.Waits) > 0 && f.Waited > 0
	if !in.Learned || in.Ratio.Known < minKnown {
		d.Refuse = refusable && f.Total > limit
		if f.Total <= limit {
			d.Probability = 1
		}
	} else {
		d.Rule = RuleLearned
		d.Corrected = time.Duration(in.Ratio.Mean * float64(f.Trended))
		spread := in.Ratio.Spread * float64(f.Trended)
		d.Probability = normal(float64(in.Left-d.Corrected) / max(spread, 1))
		for _, b := range in.Behind {
			d.Gain = max(d.Gain, b.spared())
		}
		if d.Probability < hopeless && f.Load >= saturated && f.Trended >= f.Total {
			d.Gain = max(d.Gain, 1)
		}
		d.Excess = d.Corrected - in.Left
		servable := normal(float64(in.Deadline-d.Corrected)/max(spread, 1)) >= unlikely
		d.Refuse = refusable && d.Probability < unlikely && (d.Gain > 0 || !servable)
	}
	if in.Returned && d.Refuse && in.Deadline > d.Corrected {
		d.Refuse, d.Rule = false, RuleReturned
	}
	return d
}

// normal is the distribution function of the standard normal distribution.
func normal(x float64) float64 { return 0.5 * math.Erfc(-x/math.Sqrt2) }
