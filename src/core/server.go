package core

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stilemast/stilemast/src/config"
)

// Report is a backend server's own load report. It lags. Incarnation and Seq order the reports of one
// server, so that an older report can not override a newer one, in whatever order they arrive.
type Report struct {
	Incarnation uint64        `json:"incarnation" msgpack:"i"`
	Seq         uint64        `json:"seq" msgpack:"q"`
	Running     int           `json:"running" msgpack:"r"`
	Waiting     int           `json:"waiting" msgpack:"w"`
	Slots       int           `json:"slots" msgpack:"s"`
	Leaving     bool          `json:"leaving" msgpack:"l"`
	Model       string        `json:"model" msgpack:"m"`
	Version     string        `json:"version" msgpack:"v"`
	Adapters    []string      `json:"adapters" msgpack:"a"`
	Role        string        `json:"role" msgpack:"o"`
	Loading     time.Duration `json:"loading_ns" msgpack:"t"` // time until the ordered model is ready
	Fence       uint64        `json:"fence" msgpack:"f"`      // fence of the last order accepted
}

// newer reports whether r is more recent than o.
func (r Report) newer(o Report) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.Seq > o.Seq
}

// CacheEvent is one change of a server's prefix cache. Events may be late and have gaps.
type CacheEvent struct {
	Seq     uint64   `json:"seq"`
	Stored  []uint64 `json:"stored"`
	Removed []uint64 `json:"removed"`
}

// runningCall is a call that this box has at a server.
type runningCall struct {
	sent    time.Time
	expect  time.Duration
	tokens  int // expected number of generated tokens
	prefill int // expected number of computed prompt tokens
	guessed int // blocks guessed cached
	prefix  []uint64
}

// peerLoad is the last reported number of calls of another box at a server.
type peerLoad struct {
	n  int
	at time.Time
}

// server is the state of one backend server in a pool.
type server struct {
	cfg      *config.BackendServer
	hash     uint64
	inFlight map[Attempt]runningCall
	peers    map[string]peerLoad
	users    int // number of boxes that use this server

	sameRegion bool // in the region of the box

	report           Report
	reportAt         time.Time
	inFlightAtReport int

	window float64 // number of calls this box may have here, including slots that others leave idle

	failureRate         float64
	consecutiveFailures int
	backoff             time.Duration
	backoffUntil        time.Time
	askedRest           bool // it asked for rest and has not returned from it; Pool.pushback has the details
	probing             bool

	reportedLeaving bool
	leavingUntil    time.Time // set by a refused call; reports of the same incarnation do not revert reportedLeaving before

	run       float64 // seconds per call of a plain service or an encoder
	token     float64 // seconds per token on an empty engine
	prefill   float64 // seconds per computed prompt token
	learnedAt time.Time
	typical   *poolAverages

	blocks        *list.List // prefix blocks its cache probably holds, newest first
	lastEvent     uint64     // number of the last cache event taken
	cacheAccuracy float64    // moving average of the part of the guessed blocks that was cached
	markedFor     uint64     // number of the call for which marked was set
	marked        int        // leading blocks of that call it probably holds

	rates rates
}

// poolAverages holds averages over the servers of a pool.
type poolAverages struct{ run, token measurement }

func (m *measurement) learn(v float64, now time.Time) {
	if m.at.IsZero() {
		m.v = v
	}
	m.v, m.at = ewma(m.v, v, learnRate), now
}

func newServer(cfg *config.BackendServer, t *poolAverages) *server {
	return &server{
		cfg: cfg, hash: xxhash.Sum64String(cfg.Name()), inFlight: map[Attempt]runningCall{}, peers: map[string]peerLoad{}, users: 1,
		run: defaultRun.Seconds(), token: defaultTokenTime.Seconds(), prefill: defaultPrefill.Seconds(),
		blocks: list.New(), cacheAccuracy: 1, typical: t,
	}
}

// leaving reports whether the server takes no new work, by configuration or by its own report.
func (s *server) leaving() bool { return s.cfg.Leaving() || s.reportedLeaving }

// slots returns the smaller of the configured and the reported number of slots.
func (s *server) slots() int {
	n := s.cfg.Slots()
	if s.report.Slots > 0 && s.report.Slots < n {
		n = s.report.Slots
	}
	return n
}

// share is the number of calls this box may have here whatever the others do: its equal part of the slots,
// less than 1 where more boxes use the server than it has slots.
func (s *server) share() float64 { return float64(s.slots()) / float64(max(1, s.users)) }

// peerCalls estimates the calls of other boxes: the sum of their notes if all are fresh, otherwise the
// larger of that sum and the server's lagging report.
func (s *server) peerCalls(now time.Time) int {
	heard, fresh := 0, 0
	for _, p := range s.peers {
		if now.Sub(p.at) <= peerLoadStale {
			heard += p.n
			fresh++
		}
	}
	if fresh >= s.users-1 {
		return heard
	}
	if now.Sub(s.reportAt) > reportStale || s.reportAt.IsZero() {
		return heard
	}
	return max(heard, s.report.Running+s.report.Waiting-s.inFlightAtReport)
}

// admits reports whether this box may send one more call: always within its share, and beyond it only while
// other boxes leave slots idle and the window has grown that far.
//
// May-wait calls leave some slots free beyond the share, because the knowledge of other boxes lags and a
// long call holds its slot for seconds. Prompt calls may also queue at the server to a small extent: there
// they compete by deadline with the calls of all boxes, which no box knows as recently, and they keep the
// server busy between reports.
func (s *server) admits(class config.Class) bool {
	next, slots := float64(len(s.inFlight)+1), float64(s.slots())
	if class == config.MayWait {
		return next <= s.share() || next <= max(1, s.window) && s.rates.free >= 1+mayWaitHeadroom*slots
	}
	return next <= max(1, s.share()*(1+promptQueueShare)) || next <= s.window*(1+promptQueueShare) && s.rates.free >= 1-promptQueueShare*slots
}

// adjustWindow adapts the window after a report: it grows while slots are free and shrinks at once when the
// server queues, but not below the share.
func (s *server) adjustWindow(now time.Time) {
	floor := max(1, s.share())
	if s.report.Waiting > 0 {
		s.window = max(floor, windowCut*s.window)
		return
	}
	if len(s.inFlight)+s.peerCalls(now) < s.slots() {
		s.window = min(float64(s.slots()), max(floor, s.window)+max(1, floor/2))
	}
}

// acceptReport takes a report unless it is older than the last one, and reports whether it did.
func (s *server) acceptReport(now time.Time, r Report) bool {
	if !s.reportAt.IsZero() && !r.newer(s.report) {
		return false
	}
	restarted := r.Incarnation > s.report.Incarnation && !s.reportAt.IsZero()
	s.report = r
	s.reportAt = now
	s.inFlightAtReport = len(s.inFlight)
	s.invalidateRates()
	s.updateLeaving(now, r.Leaving, restarted)
	s.adjustWindow(now)
	return true
}

// updateLeaving applies the leaving flag of a report. Until leavingUntil, a report of the same incarnation
// does not revert what an answer said, because it may be older.
func (s *server) updateLeaving(now time.Time, leaving, restarted bool) {
	if leaving || restarted || now.After(s.leavingUntil) {
		s.reportedLeaving = leaving
	}
}

// answeredLeaving records that the server refused a call because it is leaving.
func (s *server) answeredLeaving(now time.Time) {
	s.reportedLeaving = true
	s.leavingUntil = now.Add(leavingHold)
}

// backingOff reports whether the server is in backoff after failures. After the backoff one call at a time
// probes it.
func (s *server) backingOff(now time.Time) bool {
	if s.backoff == 0 {
		return false
	}
	return now.Before(s.backoffUntil) || s.probing
}

func (s *server) succeeded() {
	s.failureRate = ewma(s.failureRate, 0, failRate)
	s.consecutiveFailures = 0
	s.backoff = 0
	s.probing = false
}

func (s *server) failed(now time.Time) {
	s.failureRate = ewma(s.failureRate, 1, failRate)
	s.consecutiveFailures++
	s.probing = false
	if s.consecutiveFailures >= failuresBeforeBackoff {
		s.backoff = min(max(2*s.backoff, minServerBackoff), maxServerBackoff)
		s.backoffUntil = now.Add(s.backoff)
	}
}

// unreadyReason returns why a call must not go to this server now, or "".
func (s *server) unreadyReason(now time.Time, c *Call) string {
	switch {
	case !config.MayRun(c.Workspace, c.Stage, s.cfg.Domain()):
		return "outside the boundary"
	case s.leaving():
		return "leaving"
	case !fits(s, c):
		return "other model or adapter"
	case s.backingOff(now):
		return "resting after failures"
	}
	return ""
}

func fits(s *server, c *Call) bool {
	if m := c.Stage.Model(); m != "" && s.cfg.Model() != m {
		return false
	}
	if c.Stage.Adapter() == "" {
		return true
	}
	for _, a := range s.cfg.Adapters() {
		if a == c.Stage.Adapter() {
			return true
		}
	}
	return false
}

// callEstimate is the expected course of a call at a server.
type callEstimate struct {
	wait    float64 // seconds before it starts
	run     float64 // seconds it runs
	guessed int     // blocks guessed cached
	prefill int     // prompt tokens to compute
	tokens  int     // tokens to generate
}

func (w callEstimate) total() time.Duration { return seconds(w.wait + w.run) }

// rates caches the estimates for a server. They are recomputed after a change of the server and otherwise
// every ratesTTL, so that a placement over many servers stays cheap.
type rates struct {
	tick    int64 // number of the ratesTTL interval in which they were computed; 0 after a change
	open    [config.NumClasses]bool
	usable  bool    // neither leaving nor in backoff nor asking for rest
	token   float64 // seconds per token at the present load
	run     float64 // seconds per call that does not generate
	queue   float64 // wait of a new call, in run times
	delay   float64 // additional wait of a new call in seconds
	penalty float64 // factor for failures
	free    float64 // free slots as far as known; negative when calls queue
}

// invalidateRates has the rates recomputed before their next use.
func (s *server) invalidateRates() { s.rates.tick = 0 }

// tickOf returns the number of the ratesTTL interval that contains now.
func tickOf(now time.Time) int64 { return now.UnixNano() / int64(ratesTTL) }

// refresh recomputes the rates unless they belong to this tick.
func (s *server) refresh(now time.Time, tick int64) {
	if s.rates.tick == tick {
		return
	}
	slots := float64(s.slots())
	load := float64(len(s.inFlight) + s.peerCalls(now))
	r := rates{tick: tick, free: slots - load, penalty: 1 + 2*s.failureRate, usable: !s.leaving() && s.backoff == 0 && !s.askedRest}
	r.token = s.decayed(now, s.token, s.typical.token) * (1 + loadSlope*min(1, load/slots))
	r.run = s.decayed(now, s.run, s.typical.run)
	r.queue = max(0, load+1-slots) / slots
	if s.report.Loading > 0 {
		r.delay = max(0, (s.report.Loading - now.Sub(s.reportAt)).Seconds())
	}
	r.delay += s.overrun(now)
	s.rates = r
	for class := range s.rates.open {
		s.rates.open[class] = s.admits(config.Class(class))
	}
}

// estimate predicts a call at this server from the lagging report, the calls sent since, the learned times,
// and the overrun of its slowest call here.
func (s *server) estimate(now time.Time, c *Call, ratio float64) callEstimate {
	s.refresh(now, tickOf(now))
	w := callEstimate{run: s.rates.run}
	if c.MaxTokens > 0 {
		if s.markedFor == c.mark {
			w.guessed = s.marked
		}
		cached := int(float64(w.guessed*BlockBytes/bytesPerToken) * s.cacheAccuracy)
		w.prefill = max(0, c.PromptTokens-cached)
		w.tokens = max(1, int(float64(c.MaxTokens)*ratio))
		w.run = s.prefill*float64(w.prefill) + s.rates.token*float64(w.tokens)
	}
	w.wait = w.run*s.rates.queue + s.rates.delay
	w.run *= s.rates.penalty
	return w
}

// overrun returns by how many seconds the slowest call here exceeds twice its expected duration. A server
// that hangs sends no answers, so silence must count against it.
func (s *server) overrun(now time.Time) float64 {
	worst := 0.0
	for _, r := range s.inFlight {
		worst = max(worst, (now.Sub(r.sent) - 2*r.expect).Seconds())
	}
	return worst
}

// decayed returns a server's own measurement, decayed towards the pool's average if it was not renewed: a
// server that was slow once would otherwise never be tried again.
func (s *server) decayed(now time.Time, own float64, typical measurement) float64 {
	if typical.at.IsZero() {
		return own
	}
	if s.learnedAt.IsZero() {
		return typical.v
	}
	return typical.v + (own-typical.v)*decay(now.Sub(s.learnedAt))
}

// learn updates the estimates from one answered call.
func (s *server) learn(now time.Time, r runningCall, u Use) {
	took := now.Sub(r.sent).Seconds()
	if r.tokens == 0 {
		s.run = s.average(s.run, took)
		s.typical.run.learn(took, now)
		s.learnedAt = now
		return
	}
	if guessed := r.guessed * BlockBytes / bytesPerToken; guessed > 0 {
		s.cacheAccuracy = ewma(s.cacheAccuracy, min(1, float64(u.CachedTokens)/float64(guessed)), learnRate)
	}
	if u.GeneratedTokens == 0 {
		return
	}
	full := min(1, float64(len(s.inFlight)+s.peerCalls(now))/float64(s.slots()))
	gen := took - s.prefill*float64(u.ComputedTokens)
	if gen > 0 {
		token := gen / float64(u.GeneratedTokens) / (1 + loadSlope*full)
		s.token = s.average(s.token, token)
		s.typical.token.learn(token, now)
		s.learnedAt = now
	}
}

// average returns the first measurement unchanged and later ones averaged with learnRate.
func (s *server) average(old, v float64) float64 {
	if s.learnedAt.IsZero() {
		return v
	}
	return ewma(old, v, learnRate)
}

// jitter returns a fixed pseudo-random number in [0, 1) for a box, a call and a server.
func (s *server) jitter(seed uint64) float64 {
	x := (s.hash ^ seed) * 0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return float64(x>>11) / (1 << 53)
}
