package core

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stilemast/stilemast/src/config"
)

// Report is a backend server's own account of its load. It lags; Incarnation and Seq order reports
// of one server, so that old news can't undo new news whichever way each came.
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
	Loading     time.Duration `json:"loading_ns" msgpack:"t"` // time until the ordered model serves
	Fence       uint64        `json:"fence" msgpack:"f"`      // fence of the last order taken
}

// newer says whether r is later news than o.
func (r Report) newer(o Report) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.Seq > o.Seq
}

// CacheEvent is one change of a server's prefix cache; events come late and with gaps.
type CacheEvent struct {
	Seq     uint64   `json:"seq"`
	Stored  []uint64 `json:"stored"`
	Removed []uint64 `json:"removed"`
}

// running is one call this box has at a server.
type running struct {
	sent    time.Time
	expect  time.Duration
	tokens  int // expected to be generated
	prefill int // expected to be computed
	guessed int // blocks guessed cached
	prefix  []uint64
}

// peerLoad is what another box last said it has at a server.
type peerLoad struct {
	n  int
	at time.Time
}

// server is what a pool knows of one backend server.
type server struct {
	cfg   *config.BackendServer
	hash  uint64
	mine  map[Attempt]running
	peers map[string]peerLoad
	users int // boxes that use this server

	sameRegion bool // as the box

	report       Report
	reportAt     time.Time
	mineAtReport int

	window float64 // calls this box may have here, borrowed ones included

	failShare float64
	inARow    int
	rest      time.Duration
	restUntil time.Time
	asked     bool // it asked for rest and has not returned from it; Pool.words knows how far
	probing   bool

	saysLeaving  bool
	leavingUntil time.Time // an answer said so; reports of the same life don't undo it before

	run       float64 // seconds of one call of a plain service or an encoder
	token     float64 // seconds of one token on an empty engine
	prefill   float64 // seconds of one computed prompt token
	learnedAt time.Time
	typical   *typical

	blocks    *list.List // prefix blocks its cache probably holds, newest first
	lastEvent uint64     // number of the last cache event taken
	trust     float64    // how often guesses about its cache came true
	markedFor uint64     // call for which marked was set
	marked    int        // leading blocks of that call it probably holds

	rates rates
}

// typical is what the servers of a pool have in common.
type typical struct{ run, token measured }

func (m *measured) learn(v float64, now time.Time) {
	if m.at.IsZero() {
		m.v = v
	}
	m.v, m.at = mix(m.v, v, learnRate), now
}

func newServer(cfg *config.BackendServer, t *typical) *server {
	return &server{
		cfg: cfg, hash: xxhash.Sum64String(cfg.Name()), mine: map[Attempt]running{}, peers: map[string]peerLoad{}, users: 1,
		run: defaultRun.Seconds(), token: defaultTokenTime.Seconds(), prefill: defaultPrefill.Seconds(),
		blocks: list.New(), trust: 1, typical: t,
	}
}

// leaving says whether the server takes no new work, wherever the news came from.
func (s *server) leaving() bool { return s.cfg.Leaving() || s.saysLeaving }

// slots is the smaller of what was configured and what the server says.
func (s *server) slots() int {
	n := s.cfg.Slots()
	if s.report.Slots > 0 && s.report.Slots < n {
		n = s.report.Slots
	}
	return n
}

// share is what this box may have here whatever the others do: its even part, below one call where
// more boxes use the server than it has slots.
func (s *server) share() float64 { return float64(s.slots()) / float64(max(1, s.users)) }

// countOthers estimates what the other boxes have here: their own notes where all of them are fresh,
// otherwise the larger of the notes and the server's lagging report.
func (s *server) countOthers(now time.Time) int {
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
	return max(heard, s.report.Running+s.report.Waiting-s.mineAtReport)
}

// opens says whether this box may send one more call: within its share always, beyond it only
// while the server has room that others leave idle and the window has grown that far.
//
// May-wait work leaves some room beyond its share: what a box knows of the others is late, and a slot
// taken by a long call is gone for seconds. Prompt work may also queue at the server, a little: there
// it competes by deadline with the calls of all boxes, which no box knows as freshly, and it keeps
// the server busy between reports.
func (s *server) opens(class config.Class) bool {
	next, slots := float64(len(s.mine)+1), float64(s.slots())
	if class == config.MayWait {
		return next <= s.share() || next <= max(1, s.window) && s.rates.free >= 1+mayWaitRoom*slots
	}
	return next <= max(1, s.share()*(1+promptOver)) || next <= s.window*(1+promptOver) && s.rates.free >= 1-promptOver*slots
}

// adapt moves the borrowed window: up by one a report while there is room, down at once when the
// server queues. The share is its floor.
func (s *server) adapt(now time.Time) {
	floor := max(1, s.share())
	if s.report.Waiting > 0 {
		s.window = max(floor, windowCut*s.window)
		return
	}
	if len(s.mine)+s.countOthers(now) < s.slots() {
		s.window = min(float64(s.slots()), max(floor, s.window)+max(1, floor/2))
	}
}

// take accepts a report unless it is old news.
func (s *server) take(now time.Time, r Report) bool {
	if !s.reportAt.IsZero() && !r.newer(s.report) {
		return false
	}
	reborn := r.Incarnation > s.report.Incarnation && !s.reportAt.IsZero()
	s.report = r
	s.reportAt = now
	s.mineAtReport = len(s.mine)
	s.stale()
	s.hearLeaving(now, r.Leaving, reborn)
	s.adapt(now)
	return true
}

// hearLeaving takes a report's word on leaving; a stale "staying" from the same life of the server
// does not undo what an answer said.
func (s *server) hearLeaving(now time.Time, leaving, reborn bool) {
	if leaving || reborn || now.After(s.leavingUntil) {
		s.saysLeaving = leaving
	}
}

// answeredLeaving notes that the server itself refused a call because it is leaving.
func (s *server) answeredLeaving(now time.Time) {
	s.saysLeaving = true
	s.leavingUntil = now.Add(leavingSticks)
}

// resting says whether the server failed lately and is left alone; after the rest one call at a
// time tries it.
func (s *server) resting(now time.Time) bool {
	if s.rest == 0 {
		return false
	}
	return now.Before(s.restUntil) || s.probing
}

func (s *server) succeeded() {
	s.failShare = mix(s.failShare, 0, failRate)
	s.inARow = 0
	s.rest = 0
	s.probing = false
}

func (s *server) failed(now time.Time) {
	s.failShare = mix(s.failShare, 1, failRate)
	s.inARow++
	s.probing = false
	if s.inARow >= failuresToRest {
		s.rest = min(max(2*s.rest, restFirst), restLongest)
		s.restUntil = now.Add(s.rest)
	}
}

// ready says why a call may not go here now, or "".
func (s *server) ready(now time.Time, c *Call) string {
	switch {
	case !config.MayRun(c.Workspace, c.Stage, s.cfg.Domain()):
		return "outside the boundary"
	case s.leaving():
		return "leaving"
	case !fits(s, c):
		return "other model or adapter"
	case s.resting(now):
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

// work is how a call would go at a server.
type work struct {
	wait    float64 // seconds before it starts
	run     float64 // seconds it runs
	guessed int     // blocks guessed cached
	prefill int     // prompt tokens to compute
	tokens  int     // tokens to generate
}

func (w work) total() time.Duration { return seconds(w.wait + w.run) }

// rates is what a server's estimates come to at a moment. It is worked out again when something
// changed there, and otherwise now and then, so that a placement over many servers stays cheap.
type rates struct {
	tick    int64 // the ratesFor they were worked out in; 0 when something changed since
	open    [config.NumClasses]bool
	usable  bool    // neither leaving nor resting, for our reasons or its own
	token   float64 // seconds of one token at the present load
	run     float64 // seconds of one call that does not generate
	queue   float64 // running times that a new call waits
	delay   float64 // seconds a new call waits besides
	penalty float64 // factor for failures
	free    float64 // slots beyond those known to be taken; negative when some calls queue
}

// stale has the rates worked out again before they are next used.
func (s *server) stale() { s.rates.tick = 0 }

// tickOf numbers the span of ratesFor that a moment lies in.
func tickOf(now time.Time) int64 { return now.UnixNano() / int64(ratesFor) }

// refresh works the rates out if they are not those of this tick.
func (s *server) refresh(now time.Time, tick int64) {
	if s.rates.tick == tick {
		return
	}
	slots := float64(s.slots())
	load := float64(len(s.mine) + s.countOthers(now))
	r := rates{tick: tick, free: slots - load, penalty: 1 + 2*s.failShare, usable: !s.leaving() && s.rest == 0 && !s.asked}
	r.token = s.now(now, s.token, s.typical.token) * (1 + loadSlope*min(1, load/slots))
	r.run = s.now(now, s.run, s.typical.run)
	r.queue = max(0, load+1-slots) / slots
	if s.report.Loading > 0 {
		r.delay = max(0, (s.report.Loading - now.Sub(s.reportAt)).Seconds())
	}
	r.delay += s.overrun(now)
	s.rates = r
	for class := range s.rates.open {
		s.rates.open[class] = s.opens(config.Class(class))
	}
}

// expect estimates a call at this server from the lagging report, what was sent since, what it
// learned from answers, and how long its oldest call here has overrun.
func (s *server) expect(now time.Time, c *Call, ratio float64) work {
	s.refresh(now, tickOf(now))
	w := work{run: s.rates.run}
	if c.MaxTokens > 0 {
		if s.markedFor == c.mark {
			w.guessed = s.marked
		}
		cached := int(float64(w.guessed*BlockBytes/bytesPerToken) * s.trust)
		w.prefill = max(0, c.PromptTokens-cached)
		w.tokens = max(1, int(float64(c.MaxTokens)*ratio))
		w.run = s.prefill*float64(w.prefill) + s.rates.token*float64(w.tokens)
	}
	w.wait = w.run*s.rates.queue + s.rates.delay
	w.run *= s.rates.penalty
	return w
}

// overrun is how far the oldest call here is past twice its expectation: a server that hangs
// answers nothing, so silence itself has to count.
func (s *server) overrun(now time.Time) float64 {
	worst := 0.0
	for _, r := range s.mine {
		worst = max(worst, (now.Sub(r.sent) - 2*r.expect).Seconds())
	}
	return worst
}

// now is a server's own measurement, faded towards what is typical of its pool when it has not been
// renewed: a server once found slow would otherwise never be tried again.
func (s *server) now(now time.Time, own float64, typical measured) float64 {
	if typical.at.IsZero() {
		return own
	}
	if s.learnedAt.IsZero() {
		return typical.v
	}
	return typical.v + (own-typical.v)*fade(now.Sub(s.learnedAt))
}

// learn takes one answered call.
func (s *server) learn(now time.Time, r running, u Use) {
	took := now.Sub(r.sent).Seconds()
	if r.tokens == 0 {
		s.run = s.mixFirst(s.run, took)
		s.typical.run.learn(took, now)
		s.learnedAt = now
		return
	}
	if guessed := r.guessed * BlockBytes / bytesPerToken; guessed > 0 {
		s.trust = mix(s.trust, min(1, float64(u.CachedTokens)/float64(guessed)), learnRate)
	}
	if u.GeneratedTokens == 0 {
		return
	}
	full := min(1, float64(len(s.mine)+s.countOthers(now))/float64(s.slots()))
	gen := took - s.prefill*float64(u.ComputedTokens)
	if gen > 0 {
		token := gen / float64(u.GeneratedTokens) / (1 + loadSlope*full)
		s.token = s.mixFirst(s.token, token)
		s.typical.token.learn(token, now)
		s.learnedAt = now
	}
}

// mixFirst takes the first measurement whole and later ones by learnRate.
func (s *server) mixFirst(old, v float64) float64 {
	if s.learnedAt.IsZero() {
		return v
	}
	return mix(old, v, learnRate)
}

// jitter is a box's own small, fixed leaning for a call and a server, in [0, 1).
func (s *server) jitter(seed uint64) float64 {
	x := (s.hash ^ seed) * 0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return float64(x>>11) / (1 << 53)
}
