package pace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Note is what boxes tell each other about the speeds of servers and the rates of pools. Each entry is an observation of
// one box, so that none counts twice however often it is passed on.
type Note struct {
	Speeds []byte      `msgpack:"s,omitempty"` // packed speedNotes
	Rates  []RatesNote `msgpack:"r,omitempty"`
}

// RatesNote holds the rates of a pool that one box learned. A zero rate was not learned.
type RatesNote struct {
	Pool         uint64  `msgpack:"p"` // hash of its name
	Box          uint32  `msgpack:"b"`
	Order        uint16  `msgpack:"o"` // among the rates that the box sent
	Age          uint16  `msgpack:"a"` // ms
	TokensPerMs  float32 `msgpack:"t"`
	PerRunningMs float32 `msgpack:"r"`
	EventMs      float32 `msgpack:"e"`
}

// pendingNote is an observation that is passed on with the next messages.
type pendingNote struct {
	sample
	server uint64
	timed  bool
	sent   int // messages that carried it
}

// done reports whether enough messages carried the observation.
func (n *pendingNote) done() bool {
	return n.sent >= noteRepeats || n.settled && n.sent >= settledRepeats
}

type pendingRates struct {
	heldRates
	box  uint32
	left int
}

// publishReported decides whether other boxes need a figure that a server reported to this box. It must be called before
// the figure is added to the samples. What is sent is each change of the figure, bursts and their ends included, so that
// the estimate of another box is not biased. Without any note the others take a server for normal.
func (t *Tracker) publishReported(now time.Time, v *server, x sample) {
	t.reports.add(now)
	t.refresh(now)
	if v.distrusted() {
		return
	}
	last, since := t.reported.level, now.Sub(v.publishedAt)
	if since < validity {
		last = v.published
	}
	lasting := t.lasting(now, v)
	switch {
	case math.Abs(x.value-last) > difference:
	case t.unsettled(now, v, x.value) && since > noteSpacing:
	case math.Abs(lasting) > difference && since > refreshAfter+t.jitter(v):
	default:
		return
	}
	if t.sampled(v, x, t.reports.perServer(now, t), reportedPerSecond) {
		x.settled = v.trust >= settledTrust && math.Abs(x.value-v.level) < difference
		v.publishedAt, v.published = now, x.value
		t.enqueue(now, pendingNote{sample: x, server: v.key()})
	}
}

// unsettled reports whether the level of a server is in doubt by a reported figure, or has just changed.
func (t *Tracker) unsettled(now time.Time, v *server, value float64) bool {
	level := v.level
	if v.trust == 0 {
		level = t.reported.level
	}
	doubtful := v.trust < settledTrust && math.Abs(value-t.reported.level) > difference
	return doubtful || math.Abs(value-level) > difference || now.Sub(v.turnedAt) < turnFor
}

// spacing returns the time between two equal reports of a server in notes.
func (t *Tracker) spacing(now time.Time, v *server, value float64) time.Duration {
	if t.unsettled(now, v, value) {
		return noteSpacing
	}
	return settledSpacing
}

// publishTimed decides whether other boxes need a measured speed. They need no measurements of a server that reports its
// speed, and otherwise all, not only the deviating ones, so that their estimate is not biased.
func (t *Tracker) publishTimed(now time.Time, v *server, x sample) {
	t.measurements.add(now)
	if len(v.reported) > 0 && !v.distrusted() {
		return
	}
	t.watch(now, v, x)
	if now.After(v.watchedUntil) || now.Sub(v.timedAt) < timedSpacing {
		return
	}
	if t.sampled(v, x, t.measurements.perServer(now, t), timedPerSecond) {
		x.settled = math.Abs(t.lasting(now, v)) > difference && math.Abs(x.value-v.level) < difference
		if !x.settled && v.timed.count(t.box) >= 2*minTimed {
			return // the next one that agrees with the level which this box knows by itself says more
		}
		v.timedAt = now
		t.enqueue(now, pendingNote{sample: x, server: v.key(), timed: true})
	}
}

// watch has all measured speeds of a server sent for a while if one is an outlier, or if the server differs.
func (t *Tracker) watch(now time.Time, v *server, x sample) {
	if math.Abs(x.value-t.timed.level) > max(timedDeviation, timedOutlier*t.spread) || math.Abs(t.lasting(now, v)) > difference {
		v.watchedUntil = now.Add(watchFor)
	}
}

// rate is the number of observations by this box per second, averaged over rateWindow.
type rate struct {
	sum float64
	at  time.Time
}

func (r *rate) add(now time.Time) {
	r.sum = r.count(now) + 1
	r.at = now
}

func (r *rate) count(now time.Time) float64 {
	return r.sum * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}

// perServer returns the observations per second and server of all boxes, if the others observe as many as this one.
func (r *rate) perServer(now time.Time, t *Tracker) float64 {
	return r.count(now) / rateWindow.Seconds() * float64(max(1, t.Boxes)) / float64(max(1, len(t.servers)))
}

// sampled thins the observations that the boxes send before they hear of each other's, whatever their values.
func (t *Tracker) sampled(v *server, x sample, perSecond, wanted float64) bool {
	h := (v.key() ^ uint64(x.order)<<32 ^ uint64(t.box)) * 0x9e3779b97f4a7c15
	return perSecond <= wanted || float64(h>>40)/(1<<24) < wanted/perSecond
}

// jitter returns a time up to refreshSpread that is specific to this box and a server.
func (t *Tracker) jitter(v *server) time.Duration {
	return time.Duration((v.key()^uint64(t.box)*0x9e3779b97f4a7c15)>>30) % refreshSpread
}

// enqueue adds an observation to those to be sent. If there are too many, the one that was sent most often is dropped.
func (t *Tracker) enqueue(now time.Time, n pendingNote) {
	t.pending = append(t.pending, n)
	if len(t.pending) > maxPending {
		t.sortPending(now)
		t.pending = t.pending[:maxPending]
	}
}

// sortPending puts the observations that were sent least often first, and of those the newest.
func (t *Tracker) sortPending(now time.Time) {
	t.pending = slices.DeleteFunc(t.pending, func(n pendingNote) bool {
		return n.done() || now.Sub(n.at) > validity || t.byKey[uint32(n.server)] == nil
	})
	slices.SortFunc(t.pending, func(a, b pendingNote) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), b.at.Compare(a.at), cmp.Compare(a.server, b.server))
	})
}

// Fill adds the observations that the next message carries to a note, up to the bound of a message, and the rates of the
// pool, given by the hash of its name.
func (t *Tracker) Fill(now time.Time, pool uint64, out *Note) {
	t.sortPending(now)
	for i := range t.pending {
		if len(out.Speeds) >= notesPerBeat*packedNote {
			break
		}
		n := &t.pending[i]
		n.sent++
		out.Speeds = speedNote{server: uint32(n.server), box: n.box, order: n.order, age: now.Sub(n.at), value: n.value, timed: n.timed, settled: n.settled}.pack(out.Speeds)
	}
	t.publishRates(now)
	t.pendingRates = slices.DeleteFunc(t.pendingRates, func(n pendingRates) bool { return n.left <= 0 || now.Sub(n.at) > validity })
	for i := range t.pendingRates {
		if len(out.Rates) >= ratesPerBeat {
			break
		}
		n := &t.pendingRates[i]
		n.left--
		out.Rates = append(out.Rates, RatesNote{Pool: pool, Box: n.box, Order: n.order, Age: ageOf(now, n.at),
			TokensPerMs: float32(n.rates.TokensPerMs), PerRunningMs: float32(n.rates.PerRunningMs), EventMs: float32(milliseconds(n.rates.EventTime))})
	}
}

// publishRates queues this box's rates if the others do not know them, or some of them for long.
func (t *Tracker) publishRates(now time.Time) {
	own, interval := t.ownRates(), ratesAfter
	if t.ratesChanged || own.differs(t.ratesSent) {
		interval = changedRatesAfter
	}
	if own == (Rates{}) || now.Sub(t.ratesSentAt) < interval {
		return
	}
	fresh := 0
	for _, h := range t.rateNotes {
		if now.Sub(h.at) < ratesAfter {
			fresh++
		}
	}
	if fresh >= ratesOrigins/2 && !own.differs(t.Rates(now)) {
		return
	}
	t.ratesChanged = own.differs(t.ratesSent)
	t.ratesSent, t.ratesSentAt = own, now
	t.pendingRates = append(t.pendingRates, pendingRates{heldRates{own, now, orderOf(now)}, t.box, noteRepeats})
}

// ageOf returns the age of an observation as it is sent.
func ageOf(now, at time.Time) uint16 {
	return uint16(max(0, min(math.MaxUint16, now.Sub(at).Milliseconds())))
}

// Merge merges what another box sent and queues what is new for the next messages. Entries on unknown servers, of other
// pools and with impossible values are ignored. It returns the number of entries that were new.
func (t *Tracker) Merge(now time.Time, pool uint64, n Note) int {
	merged := 0
	for _, s := range unpack(n.Speeds) {
		if t.mergeSpeed(now, s) {
			merged++
		}
	}
	for _, r := range n.Rates[:min(len(n.Rates), ratesPerBeat)] {
		if r.Pool == pool && t.mergeRates(now, r) {
			merged++
		}
	}
	return merged
}

func (t *Tracker) mergeSpeed(now time.Time, n speedNote) bool {
	v := t.byKey[n.server]
	if v == nil || n.box == t.box {
		return false
	}
	v.used()
	x := sample{at: now.Add(-n.age), value: n.value, box: n.box, order: n.order, settled: n.settled}
	t.lasting(now, v)
	list, spacing := &v.reported, t.spacing(now, v, x.value)
	if n.timed {
		list, spacing = &v.timed, noteSpacing
	}
	if !list.merge(x, spacing) {
		return false
	}
	v.outdated = true
	if n.timed {
		if x.at.After(v.timedAt) {
			v.timedAt = x.at
		}
		t.watch(now, v, x)
	} else {
		if x.at.After(t.toldAt) {
			t.toldAt = x.at
		}
		if x.at.After(v.publishedAt) {
			v.publishedAt, v.published = x.at, x.value
			t.contradict(now, v, x)
		}
	}
	t.enqueue(now, pendingNote{sample: x, server: v.key(), timed: n.timed})
	return true
}

// contradict sends the last figure that a server reported to this box if it is later than a merged one and differs. This
// box did not send it before, as it did not know that others believe otherwise; without it a burst would seem to last
// until the next response after the news of it.
func (t *Tracker) contradict(now time.Time, v *server, x sample) {
	if v.told.Factor <= 0 || v.distrusted() || !v.toldAt.After(x.at) {
		return
	}
	own := sample{at: v.toldAt, value: math.Log(v.told.Factor), box: t.box, order: orderOf(v.toldAt)}
	if math.Abs(own.value-x.value) > difference && t.sampled(v, own, t.reports.perServer(now, t), reportedPerSecond) {
		v.publishedAt, v.published = own.at, own.value
		t.enqueue(now, pendingNote{sample: own, server: v.key()})
	}
}

func (t *Tracker) mergeRates(now time.Time, n RatesNote) bool {
	at := now.Add(-time.Duration(n.Age) * time.Millisecond)
	r := Rates{TokensPerMs: float64(n.TokensPerMs), PerRunningMs: float64(n.PerRunningMs), EventTime: time.Duration(float64(n.EventMs) * float64(time.Millisecond))}
	if n.Box == t.box || now.Sub(at) > validity || !r.valid() {
		return false
	}
	if old, ok := t.rateNotes[n.Box]; ok && !later(n.Order, old.order) {
		return false
	}
	if _, ok := t.rateNotes[n.Box]; !ok && len(t.rateNotes) >= ratesOrigins {
		oldest := n.Box
		for box, h := range t.rateNotes {
			if h.at.Before(at) && (oldest == n.Box || h.at.Before(t.rateNotes[oldest].at)) {
				oldest = box
			}
		}
		if oldest == n.Box {
			return false
		}
		delete(t.rateNotes, oldest)
	}
	t.rateNotes[n.Box] = heldRates{r, at, n.Order}
	t.pendingRates = slices.DeleteFunc(t.pendingRates, func(p pendingRates) bool { return p.box == n.Box })
	t.pendingRates = append(t.pendingRates, pendingRates{heldRates{r, at, n.Order}, n.Box, noteRepeats})
	return true
}

// valid reports whether each rate is 0 or within its bounds.
func (r Rates) valid() bool {
	within := func(x, least, most float64) bool { return x == 0 || x >= least*0.99 && x <= most*1.01 }
	return within(r.TokensPerMs, minTokensPerMs, maxTokensPerMs) && within(r.PerRunningMs, minPerRunningMs, maxPerRunningMs) &&
		within(milliseconds(r.EventTime), minEventMs, maxEventMs)
}
