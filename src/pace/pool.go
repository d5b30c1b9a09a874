package pace

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/stilemast/stilemast/src/policy"
)

// Pool is the tracker of one pool for concurrent use, and decides whether speeds are in force there. Until then only the
// reports of servers and the notes of other boxes are recorded, since they show whether the servers are uneven.
type Pool struct {
	name    uint64
	setting policy.Switch
	inForce atomic.Bool

	mu      sync.Mutex
	tracker *Tracker
}

// NewPool returns a pool without servers. The box and the pool are given by the hashes of their names.
func NewPool(box, pool uint64, setting policy.Switch) *Pool {
	return &Pool{name: pool, setting: setting, tracker: NewTracker(box)}
}

// with runs a function on the tracker under its lock.
func (p *Pool) with(do func(t *Tracker)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	do(p.tracker)
}

// observe runs a function on the tracker that may show that the servers are uneven, which puts speeds in force at once: notes
// would wait at each box otherwise.
func (p *Pool) observe(now time.Time, do func(t *Tracker)) {
	p.with(func(t *Tracker) {
		do(t)
		if t.Uneven(now) && p.setting.Enabled(true) {
			p.inForce.Store(true)
		}
	})
}

// measure runs a function on the tracker if speeds are in force.
func (p *Pool) measure(do func(t *Tracker)) {
	if p.inForce.Load() {
		p.with(do)
	}
}

// InForce reports whether speeds are in force.
func (p *Pool) InForce() bool { return p.inForce.Load() }

// Apply puts speeds in force if the setting or the pool calls for them, and returns what changed since the last call while
// they are. boxes is the number of boxes that have requests.
func (p *Pool) Apply(now time.Time, boxes int, contended bool) (changes []Change) {
	p.with(func(t *Tracker) {
		t.Boxes = boxes
		p.inForce.Store(p.setting.Enabled(contended || t.Uneven(now)))
		if p.inForce.Load() {
			changes = t.Changes(now)
		}
	})
	return changes
}

// Status is Tracker.Status.
func (p *Pool) Status(now time.Time) (out Status) {
	p.with(func(t *Tracker) { out = t.Status(now) })
	return out
}

// Configure sets the complete list of servers.
func (p *Pool) Configure(list []Server) { p.with(func(t *Tracker) { t.Configure(list) }) }

// Update adds servers and removes others.
func (p *Pool) Update(put []Server, gone []string) { p.with(func(t *Tracker) { t.Update(put, gone) }) }

// RecordTold is Tracker.RecordTold; it also applies while speeds are not in force.
func (p *Pool) RecordTold(now time.Time, s Server, told Told) {
	if told.Slots > 0 && p.setting != policy.Off {
		p.observe(now, func(t *Tracker) { t.RecordTold(now, s, told) })
	}
}

// RecordFirst is Tracker.RecordFirst.
func (p *Pool) RecordFirst(now time.Time, s Server, r Response) {
	p.measure(func(t *Tracker) { t.RecordFirst(now, s, r) })
}

// RecordStream is Tracker.RecordStream.
func (p *Pool) RecordStream(now time.Time, s Server, r Response) {
	p.measure(func(t *Tracker) { t.RecordStream(now, s, r) })
}

// RecordCall is Tracker.RecordCall.
func (p *Pool) RecordCall(now time.Time, s Server, told Told, took, expected time.Duration) {
	p.measure(func(t *Tracker) { t.RecordCall(now, s, told, took, expected) })
}

// RecordPlain is Tracker.RecordPlain.
func (p *Pool) RecordPlain(now time.Time, s Server, told Told, took time.Duration) {
	p.measure(func(t *Tracker) { t.RecordPlain(now, s, told, took) })
}

// Speed is Tracker.Speed.
func (p *Pool) Speed(now time.Time, id string, incarnation int64) (out Speed) {
	p.with(func(t *Tracker) { out = t.Speed(now, id, incarnation) })
	return out
}

// Rates is Tracker.Rates.
func (p *Pool) Rates(now time.Time) (out Rates) {
	p.with(func(t *Tracker) { out = t.Rates(now) })
	return out
}

// Fill is Tracker.Fill; it adds nothing while speeds are not in force.
func (p *Pool) Fill(now time.Time, n *Note) {
	p.measure(func(t *Tracker) { t.Fill(now, p.name, n) })
}

// Merge is Tracker.Merge. It also applies while speeds are not in force, which a note can change.
func (p *Pool) Merge(now time.Time, n *Note) {
	if n != nil && p.setting != policy.Off {
		p.observe(now, func(t *Tracker) { t.Merge(now, p.name, *n) })
	}
}
