package pace

import (
	"math"
	"time"
)

// RecordTold records the load that a server reported with a response that has just arrived.
func (t *Tracker) RecordTold(now time.Time, s Server, told Told) {
	v := t.find(s)
	if v == nil || told.Slots <= 0 {
		return
	}
	v.told, v.toldAt = told, now
	if told.Factor <= 0 {
		return
	}
	t.toldAt = now
	v.told.Factor = bounded(told.Factor, minSpeed, maxSpeed)
	v.outdated = true
	x := sample{at: now, value: math.Log(v.told.Factor), box: t.box, order: orderOf(now)}
	t.publishReported(now, v, x)
	v.reported.add(x)
}

// Response is a measured response of a server.
type Response struct {
	Told     Told          // load that the server reported with it
	Took     time.Duration // until the first output or the whole response
	Uncached int           // prompt tokens that the server had to read
	Gap      time.Duration // median time between the events of a stream; 0 if unknown
}

// RecordFirst records the time from sending a request to its first output, by its prompt and what ran at the server.
func (t *Tracker) RecordFirst(now time.Time, s Server, r Response) {
	v := t.find(s)
	if v == nil || r.Told.Slots <= 0 || r.Told.Waiting > 0 || r.Took <= 0 {
		return
	}
	x := []float64{1, float64(r.Uncached), float64(r.Told.Running) * 64 / float64(r.Told.Slots)}
	t.learn(now, v, r.Told, &t.first, x, r.Took)
}

// RecordStream records the time between the events of a stream, by the number of streams that ran at the server.
func (t *Tracker) RecordStream(now time.Time, s Server, r Response) {
	v := t.find(s)
	if v == nil || r.Gap <= 0 {
		return
	}
	t.learn(now, v, r.Told, &t.events, []float64{1, float64(max(1, r.Told.Running))}, r.Gap)
}

// RecordCall records the time of a stage call and the time that is expected at a server of normal speed.
func (t *Tracker) RecordCall(now time.Time, s Server, told Told, took, expected time.Duration) {
	if expected > 0 {
		t.addCentered(now, s, told, &t.calls, float64(took)/float64(expected))
	}
}

// RecordPlain records the time of a call that is answered whole, which is compared with the pool's usual time.
func (t *Tracker) RecordPlain(now time.Time, s Server, told Told, took time.Duration) {
	t.addCentered(now, s, told, &t.plain, milliseconds(took))
}

// addCentered adds a measurement to the speeds of a server, relative to the median of its kind.
func (t *Tracker) addCentered(now time.Time, s Server, told Told, c *center, ratio float64) {
	v := t.find(s)
	if v == nil || ratio <= 0 {
		return
	}
	if off, ok := c.add(math.Log(ratio)); ok {
		t.addTimed(now, v, told, off)
	}
}

// learn adds a measurement to a regression and, once that is known, to the measured speeds of the server.
func (t *Tracker) learn(now time.Time, v *server, told Told, r *regression, x []float64, took time.Duration) {
	lasting := t.lasting(now, v)
	ms := milliseconds(took)
	if expected := r.at(x); r.known() && expected > 0 {
		t.addTimed(now, v, told, math.Log(ms/expected))
	}
	r.add(x, ms/math.Exp(lasting))
}

// addTimed adds a measured speed, as a logarithm, to those of a server.
func (t *Tracker) addTimed(now time.Time, v *server, told Told, value float64) {
	value = bounded(value, math.Log(minSpeed), math.Log(maxSpeed))
	t.compare(now, v, told, value)
	v.outdated = true
	t.spread += spreadLearning * (1.25*math.Abs(value-t.timed.level-t.lasting(now, v)) - t.spread)
	x := sample{at: now, value: value, box: t.box, order: orderOf(now)}
	v.timed.add(x)
	t.publishTimed(now, v, x)
}

// compare counts the responses that contradict the reports of a server: both the figure reported with the response and
// the lasting level.
func (t *Tracker) compare(now time.Time, v *server, told Told, value float64) {
	if told.Factor <= 0 || len(v.reported) == 0 {
		return
	}
	t.refresh(now)
	off := value - t.timed.level
	figure := off - (math.Log(told.Factor) - t.reported.level)
	level := off - (v.reportedLevel - t.reported.level)
	limit := math.Log(distrustFactor)
	if min(figure, level) > limit || max(figure, level) < -limit {
		v.disagreed = min(v.disagreed+1, 2*distrustResponses)
	} else {
		v.disagreed = max(0, v.disagreed-2)
	}
}

// lies reports whether the responses of a server contradict its reports.
func (v *server) distrusted() bool { return v.disagreed >= distrustResponses }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
