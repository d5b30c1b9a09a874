package resume

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/exclusion"
)

// ErrUnsupported is the error of a box of an earlier release, which keeps no origins.
var ErrUnsupported = errors.New("the box keeps no origins of streams")

var errNotRecorded = errors.New("the box did not record the origins")

// Tracker is one box's part in keeping the origins of streams. It is safe for concurrent use; set the exported fields
// before.
type Tracker struct {
	Self string           // name of this box
	Now  func() time.Time // must be monotonic
	Log  *slog.Logger
	// Boxes returns the boxes that take work; a new slice for each change.
	Boxes func() []Box
	// Ask sends another box a question. The error is ErrUnsupported for a box of an earlier release.
	Ask func(ctx context.Context, box string, q Question) (Answer, error)

	mu        sync.Mutex
	live      map[Stream]*liveStream // that began here, or were taken up here
	due       []Stream               // live streams to report
	scheduled bool                   // a report is scheduled
	changed   bool                   // boxes came or went since the live streams were reported
	recheckAt time.Time              // when a box that was not chosen may be again; zero for none
	register  register               // origins that other boxes reported
	ranking   ranking
	histories map[string]*history // by pool
	status    Status
	excluded  exclusion.Set // boxes that did not answer, or can't
}

// liveStream is a stream that this box carries.
type liveStream struct {
	origin Origin
	until  time.Time
	told   []Box // boxes that recorded its origin
}

// Status shows an operator what a box did since its start, and what it holds.
type Status struct {
	Live     int `json:"live"`     // streams that began here and may be taken up
	Held     int `json:"held"`     // origins held for other boxes
	TakenUp  int `json:"taken_up"` // streams taken up here
	Known    int `json:"known"`    // of them, those whose origin was known
	Single   int `json:"single"`   // of them, those that may go on since their pool has had a single build
	Silent   int `json:"silent"`   // of them, those of which a box that may know did not answer
	Unstored int `json:"unstored"` // reports that a box did not record
}

// Status returns the counts since the start.
func (t *Tracker) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.status
	s.Live, s.Held = len(t.live), len(t.register.entries)
	return s
}

// Began records where a stream began and for how long its caller may take it up, and reports that to other boxes under the
// stream's names. It does not wait.
func (t *Tracker) Began(o Origin, left time.Duration, names ...Stream) {
	if left <= 0 || len(o.Build) > maxBuildBytes {
		return
	}
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.live == nil {
		t.live = map[Stream]*liveStream{}
	}
	for _, s := range names {
		if len(t.live) >= maxLive {
			break
		}
		origin := o
		if l := t.live[s]; l != nil && now.Before(l.until) {
			origin = l.origin.merge(o)
		}
		t.live[s] = &liveStream{origin: origin, until: now.Add(min(left, maxLeft))}
		t.due = append(t.due, s)
	}
	t.schedule()
}

// Ended records that a stream ended whole, so that nobody takes it up.
func (t *Tracker) Ended(names ...Stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range names {
		delete(t.live, s)
	}
}

// schedule schedules a report. t.mu is held.
func (t *Tracker) schedule() {
	if t.scheduled || len(t.due) == 0 {
		return
	}
	t.scheduled = true
	time.AfterFunc(reportDelay, t.report)
}

// report reports the due streams to the boxes that don't know them yet.
func (t *Tracker) report() {
	now := t.Now()
	reports, boxes := map[Box][]Began{}, t.Boxes()
	t.mu.Lock()
	due := t.due
	t.due, t.scheduled = nil, false
	t.updateBoxes(boxes)
	for _, s := range due {
		l := t.live[s]
		if l == nil || !now.Before(l.until) {
			continue
		}
		for _, b := range t.holders(now, s) {
			if !slices.Contains(l.told, b) {
				reports[b] = append(reports[b], Began{Stream: s, Origin: l.origin, Left: l.until.Sub(now)})
			}
		}
	}
	t.mu.Unlock()
	for b, list := range reports {
		for part := range slices.Chunk(list, maxReport) {
			go t.reportTo(b, part)
		}
	}
}

// updateBoxes takes over the boxes that take work now. t.mu is held, but not while they are asked for: Boxes takes a lock of
// its own.
func (t *Tracker) updateBoxes(boxes []Box) {
	t.changed = t.ranking.update(boxes) || t.changed
}

// holders returns the other boxes that hold the origin of a stream that this box carries. For a name that streams may share,
// this box may be one of the holders, which are the same for all boxes; otherwise another one takes its place. t.mu is held.
func (t *Tracker) holders(now time.Time, s Stream) []Box {
	self := func(b Box) bool { return b.Name == t.Self }
	boxes := t.ranking.choose(s, asked, t.isExcluded(now))
	if s.shared() {
		boxes = boxes[:min(len(boxes), holders)]
	}
	boxes = slices.DeleteFunc(boxes, self)
	return boxes[:min(len(boxes), holders)]
}

// isExcluded returns a function that reports whether a box is not chosen now.
func (t *Tracker) isExcluded(now time.Time) func(string) bool {
	return func(box string) bool { return t.excluded.Has(now, box) }
}

// reportTo reports streams to one box. A box that does not record them is replaced by the next one for a while.
func (t *Tracker) reportTo(b Box, list []Began) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	a, err := t.Ask(ctx, b.Name, Question{Began: list})
	if err == nil && !a.Recorded {
		err = errNotRecorded
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.status.Unstored += len(list)
		t.exclude(b.Name, err)
		t.Log.Info("origins of streams not recorded", "peer", b.Name, "streams", len(list), "cause", err.Error())
	}
	for _, began := range list {
		l := t.live[began.Stream]
		switch {
		case l == nil:
		case err != nil:
			t.due = append(t.due, began.Stream)
		default:
			l.told = append(l.told, b)
		}
	}
	t.schedule()
}

// exclude excludes a box for a while. t.mu is held.
func (t *Tracker) exclude(box string, err error) {
	d := silentFor
	if errors.Is(err, ErrUnsupported) {
		d = unsupportedFor
	}
	now := t.Now()
	t.excluded.Add(now, box, d)
	if at := now.Add(d); t.recheckAt.IsZero() || at.Before(t.recheckAt) {
		t.recheckAt = at
	}
}

// Tick drops what is over and reports the live streams anew to the boxes that come in place of others.
func (t *Tracker) Tick() {
	now, boxes := t.Now(), t.Boxes()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.register.sweep(now)
	t.updateBoxes(boxes)
	changed := t.changed
	t.changed = false
	if !t.recheckAt.IsZero() && !now.Before(t.recheckAt) {
		t.recheckAt, changed = time.Time{}, true
	}
	for s, l := range t.live {
		switch {
		case !now.Before(l.until):
			delete(t.live, s)
		case changed:
			t.due = append(t.due, s)
		}
	}
	t.schedule()
}

// Answer answers another box's question.
func (t *Tracker) Answer(q Question) Answer {
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	a := Answer{Recorded: len(q.Began) > 0}
	for _, b := range q.Began[:min(len(q.Began), maxReport)] {
		a.Recorded = t.register.record(now, b) && a.Recorded
	}
	if q.Stream != nil {
		if o, ok := t.known(now, *q.Stream); ok {
			a.Origin = &o
		}
	}
	return a
}

// known returns the origin of a stream if this box knows it. t.mu is held.
func (t *Tracker) known(now time.Time, s Stream) (Origin, bool) {
	held, ok := t.register.find(now, s)
	if l := t.live[s]; l != nil && now.Before(l.until) {
		if ok {
			return l.origin.merge(held), true
		}
		return l.origin, true
	}
	return held, ok
}

// SetBuilds records the numbers of servers of a pool by build.
func (t *Tracker) SetBuilds(pool string, builds map[string]int) {
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.histories == nil {
		t.histories = map[string]*history{}
	}
	h := t.histories[pool]
	if h == nil {
		h = &history{}
		t.histories[pool] = h
	}
	h.set(now, builds)
}

// ListUnknown records that this box did not know the list of servers for a while, so that a build may have come and gone.
func (t *Tracker) ListUnknown() {
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.histories {
		h.since = now
	}
}
