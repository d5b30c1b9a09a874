package pace

import (
	"math"
	"time"
)

// Server is one incarnation of a backend server.
type Server struct {
	ID          string
	Hash        uint64 // of ID
	Incarnation int64
}

// key identifies a server's incarnation in notes.
func (s Server) key() uint64 {
	x := s.Hash ^ uint64(s.Incarnation)*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// Tracker learns the speeds of the servers of one pool and the pool's rates. It does no I/O and reads no clock. It is not
// safe for concurrent use.
type Tracker struct {
	Boxes int // that have requests; 0 if unknown

	box     uint32
	servers map[string]*server // by id
	byKey   map[uint32]*server

	reported, timed       reference
	spread                float64   // standard deviation of measured speeds, from a moving average of their absolute deviation
	toldAt                time.Time // of the last reported figure, at this box or another
	first, events         regression
	calls, plain          center               // of the logarithms of stage calls over their expected time, and of the ms of plain calls
	rateNotes             map[uint32]heldRates // of other boxes, by hash of the name
	ratesSentAt           time.Time
	ratesSent             Rates
	ratesChanged          bool // ratesSent differed from the rates that were sent before it
	reports, measurements rate // by this box
	pending               []pendingNote
	pendingRates          []pendingRates
	changes               []Change
}

// center follows the median of observations by small steps, which single outliers do not move far.
type center struct {
	value float64
	n     int
}

// add adds an observation and returns its distance from the median; false while too few were seen.
func (c *center) add(x float64) (float64, bool) {
	if c.n == 0 {
		c.value = x
	}
	c.n++
	step := max(centerStep, 1/float64(c.n))
	c.value += bounded(x-c.value, -step, step)
	return x - c.value, c.n >= minRateSamples
}

// reference is the median level of the servers, as a logarithm.
type reference struct {
	level float64
	at    time.Time
}

// server is a listed server. Its state is created with the first sample: most servers of a large pool have none.
type server struct {
	Server
	*state
}

// state is what is known of one server.
type state struct {
	reported, timed samples
	told            Told
	toldAt          time.Time
	disagreed       int // consecutive responses that contradicted the reports of the server

	level         float64   // logarithm of the lasting level that its reports or measurements show
	reportedLevel float64   // logarithm of the level that its reports show
	trust         float64   // weight of level, from 0 to 1
	byReport      bool      // level is from reports, otherwise from measurements
	leveledAt     time.Time // when level was computed
	deviation     float64   // standard deviation of its measured speeds
	outdated      bool      // there are samples newer than level
	lasting       float64   // logarithm of the lasting speed
	speed         float64   // lasting speed
	relativeTo    time.Time // when the medians were computed to which lasting is relative

	publishedAt, timedAt time.Time // of the latest notes on it, by any box
	published            float64
	watchedUntil         time.Time // while its measured speeds are sent
	turnedAt             time.Time // when its lasting speed last changed

	logged   float64 // logarithm of the lasting speed that was last reported as a change
	loggedAt time.Time
}

// NewTracker returns a tracker without servers for a box, given by the hash of its name.
func NewTracker(box uint64) *Tracker {
	return &Tracker{box: uint32(box), servers: map[string]*server{}, byKey: map[uint32]*server{}, rateNotes: map[uint32]heldRates{}, spread: initialSpread, first: newFirstOutput(), events: newEventTime()}
}

// Update adds servers and removes others. What was learned of an earlier incarnation is dropped.
func (t *Tracker) Update(put []Server, gone []string) {
	for _, s := range put {
		if v := t.servers[s.ID]; v != nil && v.Incarnation == s.Incarnation {
			continue
		}
		t.remove(s.ID)
		v := &server{Server: s}
		t.servers[s.ID], t.byKey[uint32(s.key())] = v, v
	}
	for _, id := range gone {
		t.remove(id)
	}
}

// Configure sets the complete list of servers.
func (t *Tracker) Configure(list []Server) {
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
	}
	for id := range t.servers {
		if !listed[id] {
			t.remove(id)
		}
	}
	t.Update(list, nil)
}

func (t *Tracker) remove(id string) {
	if v := t.servers[id]; v != nil {
		delete(t.servers, id)
		delete(t.byKey, uint32(v.key()))
	}
}

// find returns a server if the incarnation is the listed one.
func (t *Tracker) find(s Server) *server {
	if v := t.servers[s.ID]; v != nil && v.Incarnation == s.Incarnation {
		return v.used()
	}
	return nil
}

// used returns the server with a state.
func (v *server) used() *server {
	if v.state == nil {
		v.state = &state{}
	}
	return v
}

// Speed returns the speed of a server, Normal if nothing is known.
func (t *Tracker) Speed(now time.Time, id string, incarnation int64) Speed {
	v := t.servers[id]
	if v == nil || v.Incarnation != incarnation || v.state == nil {
		return Normal
	}
	if len(v.reported)+len(v.timed) == 0 {
		return Normal
	}
	lasting := t.lasting(now, v)
	out := Speed{Lasting: v.speed, Now: v.speed}
	if w := presentWeight(now.Sub(v.toldAt)); w > 0 && v.told.Factor > 0 && !v.distrusted() {
		out.Now = bounded(math.Exp(w*(math.Log(v.told.Factor)-t.reported.level)+(1-w)*lasting), minSpeed, maxSpeed)
	}
	return out
}

// presentWeight returns the weight of a report by its age.
func presentWeight(age time.Duration) float64 {
	return bounded(float64(noWeightAge-age)/float64(noWeightAge-fullWeightAge), 0, 1)
}

// Uneven reports whether a server reported its speed in the last minute, to this box or another.
func (t *Tracker) Uneven(now time.Time) bool {
	return !t.toldAt.IsZero() && now.Sub(t.toldAt) < unevenFor
}

// lasting returns the logarithm of the lasting speed of a server.
func (t *Tracker) lasting(now time.Time, v *server) float64 {
	t.refresh(now)
	if v.outdated || v.relativeTo != t.reported.at {
		t.setLevel(now, v)
		before := v.lasting
		v.lasting, v.relativeTo = t.relative(v), t.reported.at
		if math.Abs(v.lasting-before) > difference {
			v.turnedAt = now
		}
		v.speed = math.Exp(v.lasting)
	}
	return v.lasting
}

// relative returns the level of a server relative to the pool, shrunk to 0 by what is uncertain of it.
func (t *Tracker) relative(v *server) float64 {
	out := v.trust * (v.level - t.timed.level)
	if v.byReport {
		out = v.trust * (v.level - t.reported.level)
	} else if v.trust > 0 {
		error := max(minSpread, t.spread, v.deviation) / math.Sqrt(float64(len(v.timed)))
		if v.timed.anySettled() { // within difference of the level that the box knows by more samples
			error = min(error, difference/significance)
		}
		noise := significance * error / max(1e-9, math.Abs(out))
		out *= max(0, 1-noise*noise)
	}
	return bounded(out, math.Log(minSpeed), math.Log(maxSpeed))
}

// setLevel computes the level of a server unless it was computed recently from the same samples.
func (t *Tracker) setLevel(now time.Time, v *server) {
	if !v.outdated && now.Sub(v.leveledAt) < levelMaxAge {
		return
	}
	v.leveledAt = now
	v.reported.expire(now)
	v.timed.expire(now)
	v.outdated = false
	known := t.reported.level
	if v.byReport && v.trust > 0 {
		known = v.level
	}
	if len(v.reported) > 0 {
		v.reportedLevel = v.reported.reported(now, known)
	}
	switch {
	case len(v.reported) > 0 && !v.distrusted():
		v.byReport, v.level, v.trust = true, v.reportedLevel, 0
		n := float64(len(v.reported) - 1)
		if v.reported.anySettled() {
			n++
		} else if v.reported.span() <= burstLimit { // all may be from one burst
			n = 0
		}
		v.trust = n * n / (n*n + 1)
	case len(v.timed) >= minTimed:
		v.byReport, v.level, v.trust = false, v.timed.timed(t.spread), 1
		v.deviation = deviation(v.timed)
	case v.timed.anySettled():
		v.byReport, v.level, v.trust = false, median(v.timed.settled().values()), 1
		v.deviation = 0
	default:
		v.byReport, v.level, v.trust = false, 0, 0
	}
}

// refresh computes the medians of the pool. A server of which nothing is known counts as normal.
func (t *Tracker) refresh(now time.Time) {
	if now.Sub(t.reported.at) < referenceMaxAge {
		return
	}
	var reported, timed []float64
	for _, v := range t.servers {
		if v.state == nil || len(v.reported)+len(v.timed) == 0 {
			continue
		}
		t.setLevel(now, v)
		if v.byReport {
			reported = append(reported, v.level)
		}
		if n := len(v.timed); n >= minTimed {
			timed = append(timed, median(v.timed.values()))
		}
	}
	t.reported = reference{medianOf(reported, len(t.servers)), now}
	t.timed = reference{medianOf(timed, len(t.servers)), now}
	for _, v := range t.servers {
		if v.state != nil && (len(v.reported)+len(v.timed) > 0 || v.logged != 0) {
			t.noteChange(now, v)
		}
	}
}

// medianOf returns the median of the levels of n servers. Those without a level count as normal, as boxes tell each other
// only of servers that differ.
func medianOf(levels []float64, n int) float64 {
	return median(append(levels, make([]float64, max(0, n-len(levels)))...))
}

// deviation returns the standard deviation of measured speeds, from the median of the absolute deviations.
func deviation(s samples) float64 {
	values := s.values()
	middle := median(values)
	for i := range values {
		values[i] = math.Abs(values[i] - middle)
	}
	return 1.48 * median(values)
}

func bounded(x, least, most float64) float64 {
	return max(least, min(most, x))
}

// Change is a material change of the lasting speed of a server.
type Change struct {
	Server        Server
	Before, After float64
	Reported      bool // the server's own reports show it, otherwise measured times
	Samples       int
	Age           time.Duration // of the latest sample
}

// noteChange records a material change of a server's lasting speed.
func (t *Tracker) noteChange(now time.Time, v *server) {
	lasting := t.lasting(now, v)
	if math.Abs(lasting-v.logged) < materialChange || now.Sub(v.loggedAt) < changeInterval || len(t.changes) >= maxChanges {
		return
	}
	list := v.timed
	if v.byReport {
		list = v.reported
	}
	c := Change{Server: v.Server, Before: math.Exp(v.logged), After: math.Exp(lasting), Reported: v.byReport, Samples: len(list)}
	if n := len(list); n > 0 {
		c.Age = now.Sub(list[n-1].at)
	}
	t.changes = append(t.changes, c)
	v.logged, v.loggedAt = lasting, now
}

// Changes returns the material changes of lasting speeds since the last call, a bounded number of them.
func (t *Tracker) Changes(now time.Time) []Change {
	t.refresh(now)
	out := t.changes
	t.changes = nil
	return out
}
