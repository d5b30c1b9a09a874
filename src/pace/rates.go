package pace

import (
	"math"
	"time"
)

// regression is a linear least-squares fit that forgets with each observation. Its prior has the weight of a few
// observations.
type regression struct {
	n      int
	a      [3][3]float64
	b      [3]float64
	dim    int
	fit    [3]float64
	solved bool // fit is current
}

// newFirstOutput returns the fit of the milliseconds to the first output by a constant, the uncached prompt tokens and the
// running requests at 64 slots.
func newFirstOutput() regression {
	return newRegression([]float64{0, 1 / priorTokensPerMs, priorPerRunningMs}, []float64{4, 4e6, 400})
}

// newEventTime returns the fit of the milliseconds between two events by a constant and the running requests.
func newEventTime() regression { return newRegression([]float64{0, 0}, []float64{0.1, 0.1}) }

func newRegression(prior, weights []float64) regression {
	r := regression{dim: len(prior)}
	for i, w := range weights {
		r.a[i][i], r.b[i] = w, w*prior[i]
	}
	return r
}

// known reports whether enough was observed.
func (r *regression) known() bool { return r.n >= minRateSamples }

// add adds an observation. One that is far off is clipped, since what delayed it is not in x.
func (r *regression) add(x []float64, y float64) {
	if expected := r.at(x); r.known() && expected > 0 {
		y = min(y, rateOutlier*expected)
	}
	for i := range r.dim {
		r.b[i] = rateForgetting*r.b[i] + x[i]*y
		for j := range r.dim {
			r.a[i][j] = rateForgetting*r.a[i][j] + x[i]*x[j]
		}
	}
	r.n++
	r.solved = false
}

// at returns the expected value at x.
func (r *regression) at(x []float64) float64 {
	c := r.coefficients()
	sum := 0.0
	for i := range r.dim {
		sum += c[i] * x[i]
	}
	return sum
}

// coefficients solves the normal equations by elimination. Negative coefficients count as 0: no load speeds a server up.
func (r *regression) coefficients() [3]float64 {
	if r.solved {
		return r.fit
	}
	a, b := r.a, r.b
	for i := range r.dim {
		a[i][i] += 1e-9
		for k := i + 1; k < r.dim; k++ {
			f := a[k][i] / a[i][i]
			for j := i; j < r.dim; j++ {
				a[k][j] -= f * a[i][j]
			}
			b[k] -= f * b[i]
		}
	}
	for i := r.dim - 1; i >= 0; i-- {
		for j := i + 1; j < r.dim; j++ {
			b[i] -= a[i][j] * r.fit[j]
		}
		r.fit[i] = max(0, b[i]/a[i][i])
	}
	r.solved = true
	return r.fit
}

// heldRates are the rates that a box learned.
type heldRates struct {
	rates Rates
	at    time.Time
	order uint16
}

// own returns the rates that this box learned itself.
func (t *Tracker) ownRates() Rates {
	var out Rates
	if t.first.known() {
		c := t.first.coefficients()
		out.TokensPerMs = bounded(1/max(1e-9, c[1]), minTokensPerMs, maxTokensPerMs)
		out.PerRunningMs = bounded(c[2], minPerRunningMs, maxPerRunningMs)
	}
	if t.events.known() {
		c := t.events.coefficients()
		out.EventTime = time.Duration(bounded(c[0]+c[1], minEventMs, maxEventMs) * float64(time.Millisecond))
	}
	return out
}

// Rates returns the rates of the pool: the median of what this box and others learned. A rate that nobody learned is 0.
func (t *Tracker) Rates(now time.Time) Rates {
	var tokens, running []float64
	var events []time.Duration
	take := func(r Rates) {
		if r.TokensPerMs > 0 {
			tokens, running = append(tokens, r.TokensPerMs), append(running, r.PerRunningMs)
		}
		if r.EventTime > 0 {
			events = append(events, r.EventTime)
		}
	}
	take(t.ownRates())
	for box, h := range t.rateNotes {
		if now.Sub(h.at) > validity {
			delete(t.rateNotes, box)
			continue
		}
		take(h.rates)
	}
	return Rates{TokensPerMs: median(tokens), PerRunningMs: median(running), EventTime: median(events)}
}

// differs reports whether two rates differ by more than 15% in any part.
func (r Rates) differs(o Rates) bool {
	off := func(a, b float64) bool {
		return (a > 0) != (b > 0) || a > 0 && math.Abs(math.Log(a/b)) > difference
	}
	return off(r.TokensPerMs, o.TokensPerMs) || off(r.PerRunningMs, o.PerRunningMs) || off(float64(r.EventTime), float64(o.EventTime))
}
