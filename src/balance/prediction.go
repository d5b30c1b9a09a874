package balance

import (
	"fmt"
	"math"
	"time"

	"github.com/stilemast/stilemast/src/pace"
)

// demand describes the recent requests of this box as sums that decay over demandDecay.
type demand struct {
	at       time.Time
	requests float64
	unread   float64 // prompt tokens that the chosen servers had to read
	unread2  float64 // sum of their squares
	events   float64 // expected events
	strict   float64 // those of streams that have an objective for the time between events
	gaps     float64 // sum of these objectives in ms, each as often as the stream has events
}

// add counts a request for which a server was chosen that has to read so many tokens.
func (d *demand) add(w *Request, unread int) {
	d.requests++
	d.unread += float64(unread)
	d.unread2 += float64(unread) * float64(unread)
	d.events += float64(w.Events)
	if w.Gap > 0 {
		n := float64(max(1, w.Events))
		d.strict += n
		d.gaps += n * milliseconds(w.Gap)
	}
}

// decay reduces the sums by their age.
func (d *demand) decay(now time.Time) {
	f := math.Exp(-max(0, float64(now.Sub(d.at))) / float64(demandDecay))
	d.at = now
	d.requests *= f
	d.unread *= f
	d.unread2 *= f
	d.events *= f
	d.strict *= f
	d.gaps *= f
}

// outlook holds what the predictions of one choice have in common. Times are in ms at a server of usual speed.
type outlook struct {
	perToken   float64
	perRunning float64 // by which a running request delays another at 64 slots
	event      float64 // between two events of a stream that runs alone
	reading    float64 // reading of the prompts that arrive: mean of their squares over twice their mean
	use        float64 // share of a server's time for which it reads prompts
	arrivals   float64 // prompts that arrive at a server in a ms
	strict     float64 // share of the running streams that have an objective for the time between events
	gap        float64 // this objective
	hold       float64 // for which a request has its slot

	shared  int     // tokens in shared parts of this request
	minKept int     // shared tokens from which only a lasting difference of speeds moves them
	left    float64 // to the objective of this request, +Inf for none
	own     float64 // objective for the time between events of this request, +Inf for none
	span    float64 // duration of its stream
}

// look prepares the predictions for a request.
func (p *Pool) look(now time.Time, w *Request) outlook {
	var r pace.Rates
	if p.Rates != nil {
		r = p.Rates()
	}
	d := &p.demand
	d.decay(now)
	o := outlook{perToken: 1 / tokensPerMs, perRunning: runningPenalty, event: usualEvent, left: math.Inf(1), own: math.Inf(1)}
	if r.TokensPerMs > 0 {
		o.perToken = 1 / r.TokensPerMs
	}
	if r.PerRunningMs > 0 {
		o.perRunning = r.PerRunningMs
	}
	if r.EventTime > 0 {
		o.event = milliseconds(r.EventTime)
	}
	if d.requests > 0 {
		boxes := max(p.Boxes, len(p.reports)+1)
		o.arrivals = d.requests * float64(boxes) / float64(max(1, len(p.servers))) / milliseconds(demandDecay)
		mean := o.perToken * d.unread / d.requests
		o.use = o.arrivals * mean
		o.hold = mean + o.event*d.events/d.requests
	}
	if d.unread > 0 {
		o.reading = o.perToken * d.unread2 / d.unread / 2
	}
	if d.strict > 0 {
		o.strict, o.gap = d.strict/max(d.events, d.strict), d.gaps/d.strict
	}
	if w.Left > 0 { // once the objective has passed it is missed at every server
		o.left = milliseconds(w.Left)
	}
	if w.Gap > 0 {
		o.own = milliseconds(w.Gap)
	}
	if o.minKept = 1; p.uneven {
		o.minKept = minCopyTokens
	}
	for i := range len(w.Parts) - 1 {
		o.shared += w.Parts[i].Tokens
	}
	o.span = o.event * float64(max(1, w.Events))
	return o
}

// work is what a request meets at a server.
type work struct {
	requests    float64 // there already
	over        float64 // requests that wait for a slot, with this one
	queued      float64 // prompt tokens of other requests
	own, shared float64 // tokens of this request that the server has to read, and those of them in shared parts; a home counts as having these
	unread      float64 // tokens of this request that no box knows to be cached there
}

// workAt estimates the work of other requests at a server.
func (p *Pool) workAt(now time.Time, v *server) work {
	l := p.load(v)
	k := work{requests: p.requests(now, v, l), queued: float64(l.Tokens)}
	k.over = max(0, k.requests-float64(max(1, v.Slots))+1)
	return k
}

// addPrompt adds the tokens of a request that the server has to read.
func (p *Pool) addPrompt(k *work, now time.Time, v *server, w *Request, kept cachedParts, home string) {
	all, shared := p.uncachedTokens(now, v, w, kept, home)
	k.own, k.shared, k.unread = float64(all), float64(shared), float64(all)
	if v.ID == home {
		all, _ = p.uncachedTokens(now, v, w, kept, "")
		k.unread = float64(all)
	}
}

// prediction is what is expected of a request at a server of usual speed, in ms.
type prediction struct {
	first   float64 // until the first output
	reading float64 // of its own unread tokens, which the streams there wait for
	strict  float64 // number of these streams that have an objective for the time between events
}

// predict predicts the first output of a request at a server, at the learned rates.
func (o *outlook) predict(v *server, k *work) prediction {
	slots := float64(max(1, v.Slots))
	r := prediction{reading: o.perToken * k.unread, strict: o.strict * k.requests}
	r.first = r.reading + o.perToken*k.queued + o.perRunning*k.requests*64/slots + max(minSlotWait, o.hold/slots)*k.over
	return r
}

// missed returns the expected number of objectives that are missed if a request is sent to a server of a speed: its own
// first output, its own stream, and the streams that run there and wait while its prompt is read. Servers are slower by
// burstFactor for burstShare of the time, and most long pauses fall there.
func (o *outlook) missed(s pace.Speed, r *prediction) float64 {
	burst := max(s.Now, burstFactor*s.Lasting)
	return (1-burstShare)*o.missedAt(s.Now, s.Lasting, r) + burstShare*o.missedAt(burst, s.Lasting, r)
}

// missedAt returns the expected number of missed objectives while a server works at a speed.
func (o *outlook) missedAt(speed, lasting float64, r *prediction) float64 {
	// Prompts that arrive while others are read prolong the pause, as in a queue with one server.
	idle := 1 - min(o.use*speed, maxUse)
	pause := max(minPause, o.reading*speed/idle)
	n := 0.0
	if !math.IsInf(o.left, 1) {
		n += exceeds(o.left-r.first*speed, pause)
	}
	if o.event*speed >= o.own { // all its events are too far apart
		n++
	} else if !math.IsInf(o.own, 1) {
		pauses := o.arrivals * idle * o.span * lasting * exceeds(o.own-o.event*speed, pause)
		n += pauses / (1 + pauses)
	}
	if r.strict > 0 && r.reading > 0 {
		n += r.strict * (exceeds(o.gap-(o.event+r.reading)*speed, pause) - exceeds(o.gap-o.event*speed, pause))
	}
	return n
}

// exceeds approximates the probability that a time with an exponential distribution exceeds a limit: exp(-limit/mean)
// as a power, which takes four multiplications.
func exceeds(limit, mean float64) float64 {
	if limit <= 0 {
		return 1
	}
	x := 1 - limit/(16*mean)
	if x <= 0 {
		return 0
	}
	x *= x
	x *= x
	x *= x
	return x * x
}

// speedCost is cost while speeds are in force: what depends on the speed of a server is multiplied by its speed, and a
// missed objective costs missedPenalty. The weights are those of cost and not the learned rates, so that even servers are
// chosen as without speeds. In the load of TestPausesAtUnevenServers the learned 82 tokens a ms instead of 50 gave 105
// streams with a pause over their objective instead of 62. It returns +Inf for a cost that is not below bound.
func (p *Pool) speedCost(now time.Time, v *server, w *Request, o *outlook, kept cachedParts, home string, bound float64) float64 {
	k := p.workAt(now, v)
	wait := runningPenalty*k.requests*64/float64(max(1, v.Slots)) + overPenalty*k.over + k.queued/tokensPerMs
	if min(v.speed.Now, v.speed.Lasting)*wait >= bound {
		return math.Inf(1)
	}
	s := v.speed
	if len(w.Parts) > 0 {
		p.addPrompt(&k, now, v, w, kept, home)
	}
	keeps := o.shared >= o.minKept && k.shared == 0
	if keeps {
		s.Now = s.Lasting // a burst is over before reading the parts elsewhere has paid off
	}
	cost := s.Now*(wait+k.own/tokensPerMs) + reprocessPenalty*k.shared
	if v.Domain != p.Domain {
		cost += otherDomainPenalty
	}
	cost = p.addPenalties(now, v, w, Load{Requests: int(math.Ceil(k.requests))}, cost)
	if w.LeastLoaded {
		cost += leastLoadedPenalty * k.requests
	}
	if cost >= bound {
		return math.Inf(1)
	}
	r := o.predict(v, &k)
	missed := o.missed(s, &r)
	if keeps { // what would be missed at a server of usual speed too is no reason to move the parts
		missed = max(0, missed-o.missed(pace.Normal, &r))
	}
	return cost + missedPenalty*missed
}

// reason describes the prediction for a chosen server, for logs.
func (p *Pool) reason(now time.Time, v *server, w *Request, o *outlook, kept cachedParts, home, why string) string {
	k := p.workAt(now, v)
	p.addPrompt(&k, now, v, w, kept, home)
	r := o.predict(v, &k)
	return fmt.Sprintf("%s, predicted first output %.0f ms, speed %.2f, lasting %.2f, usual pause %.0f ms, missed objectives %.3f",
		why, r.first*v.speed.Now, v.speed.Now, v.speed.Lasting, (o.event+o.reading)*v.speed.Now, o.missed(v.speed, &r))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// readSpeeds reads the speeds of all servers for one choice and updates the steps of their lasting speed.
func (p *Pool) readSpeeds(now time.Time) {
	p.uneven = false
	for _, v := range p.servers {
		v.speed = p.speed(now, v)
		v.step = nextStep(v.step, v.speed.Lasting)
		p.uneven = p.uneven || v.step != 0
	}
}

// nextStep returns the step of a lasting speed in powers of stepRatio. It stays as it is up to keepStep from its middle,
// so that a speed between two steps does not move homes back and forth.
func nextStep(step int, lasting float64) int {
	middle := stepSpeeds[step-minStep]
	if lasting <= middle*keepStep && lasting*keepStep >= middle {
		return step
	}
	return min(max(int(math.Round(math.Log(lasting)/math.Log(stepRatio))), minStep), maxStep)
}

// stepSpeeds are the speeds in the middle of each step, from minStep.
var stepSpeeds = func() (out [maxStep - minStep + 1]float64) {
	for i := range out {
		out[i] = math.Pow(stepRatio, float64(i+minStep))
	}
	return out
}()

// speedWeight returns the weight of a server in the choice of homes: less for a slow one.
func (p *Pool) speedWeight(v *server) float64 {
	if p.SpeedOf == nil {
		return 1
	}
	return 1 / stepSpeeds[v.step-minStep]
}
