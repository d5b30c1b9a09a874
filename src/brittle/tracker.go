// Package brittle keeps brittle servers from failing. Such a server says in its responses how many requests it can turn away
// in a second; one that has to turn more away fails for seconds, with all that it runs. It sees the requests of all boxes, and
// each box sees only its own.
//
// So a request needs a place (quota.Places) at a brittle server, which one box grants for all. It asks just before it is sent,
// and gives the place back when it has ended. Without a place another server is used, or the request waits in line at that
// box or is refused at once, whichever its time allows.
package brittle

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stilemast/stilemast/src/balance"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
	"github.com/stilemast/stilemast/src/quota"
)

// Tracker knows the brittle servers and holds the places of one box, and grants those of the servers that the box
// coordinates. Safe for concurrent use; set the exported fields before.
type Tracker struct {
	Self string           // name of this box
	Now  func() time.Time // must be monotonic
	Log  *slog.Logger
	// Coordinator returns the box that grants the places of a server.
	Coordinator func(pool, server string) string
	// Ask sends a question to another box. The answer is nil if the box does not support places.
	Ask func(ctx context.Context, box string, q port.AskPlace) (*port.Place, error)
	// Announce tells the other boxes what changed (see Notes).
	Announce func()

	any    atomic.Bool // some server is brittle
	places quota.Places
	init   sync.Once

	mu      sync.Mutex
	servers map[string]*server
}

// server is what one box knows of a brittle server.
type server struct {
	incarnation int64
	sequence    uint64 // rises with each change that a box observes
	rejections  int
	since       time.Time // when this box learned of it
	heardAt     time.Time // when it was last said
	endedAt     time.Time // when it ceased to be; zero while it is
	full        time.Time // until when this box asks for no place
	held        map[string]bool
}

// brittle reports whether requests need a place.
func (v *server) brittle(now time.Time) bool {
	return v.endedAt.IsZero() && now.Sub(v.heardAt) < forgetAfter || !v.endedAt.IsZero() && now.Sub(v.endedAt) < endsAfter
}

// Record records what a response of a server says: the rejections that it bears, or 0. sent is when its request was sent; a
// response to a request that was sent before the server became brittle does not end it.
func (t *Tracker) Record(s *catalog.Server, rejections int, sent time.Time) {
	if rejections == 0 && !t.any.Load() {
		return
	}
	now := t.Now()
	t.mu.Lock()
	v := t.servers[s.ID]
	changed := false
	switch {
	case rejections == 0:
		if changed = v != nil && v.endedAt.IsZero() && sent.After(v.heardAt); changed {
			v.endedAt = now
			v.sequence++
		}
	case v == nil && len(t.servers) >= maxServers:
	case v == nil || v.incarnation < int64(s.Incarnation) || !v.endedAt.IsZero() || v.rejections != rejections:
		if v == nil || v.incarnation < int64(s.Incarnation) || !v.brittle(now) {
			v = t.put(s.ID, int64(s.Incarnation), now, v)
		}
		v.rejections, v.heardAt, v.endedAt = rejections, now, time.Time{}
		v.sequence++
		changed = true
	default:
		v.heardAt = now
	}
	ended := changed && rejections == 0
	t.mu.Unlock()
	if changed {
		t.Log.Info("server is brittle", "server", s.ID, "pool", s.Pool, "incarnation", s.Incarnation, "rejections", rejections, "ended", ended)
		t.Announce()
	}
}

// put adds a server, with the places that are held at it. The lock is held.
func (t *Tracker) put(id string, incarnation int64, now time.Time, before *server) *server {
	if t.servers == nil {
		t.servers = map[string]*server{}
	}
	v := &server{incarnation: incarnation, since: now, held: map[string]bool{}}
	if before != nil {
		v.held, v.sequence = before.held, before.sequence
	}
	t.servers[id] = v
	t.any.Store(true)
	return v
}

// Any reports whether some server is brittle.
func (t *Tracker) Any() bool { return t.any.Load() }

// Notes returns what to tell other boxes, the latest first.
func (t *Tracker) Notes() []core.BrittleNote {
	if !t.any.Load() {
		return nil
	}
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, v := range t.servers {
		if v.brittle(now) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		if c := t.servers[b].since.Compare(t.servers[a].since); c != 0 {
			return c
		}
		return strings.Compare(a, b)
	})
	out := make([]core.BrittleNote, 0, min(len(ids), MaxNotes))
	for _, id := range ids[:min(len(ids), MaxNotes)] {
		v := t.servers[id]
		out = append(out, core.BrittleNote{Server: id, Incarnation: uint64(v.incarnation), Sequence: v.sequence, Rejections: uint16(min(v.rejections, 1<<16-1)), Ended: !v.endedAt.IsZero()})
	}
	return out
}

// Merge records what another box tells. Of two notes on one incarnation the one with the higher sequence number wins.
func (t *Tracker) Merge(notes []core.BrittleNote, from string) {
	if len(notes) == 0 {
		return
	}
	now := t.Now()
	changed := 0
	t.mu.Lock()
	for _, n := range notes[:min(len(notes), MaxNotes)] {
		v := t.servers[n.Server]
		known := v != nil && v.brittle(now)
		switch {
		case n.Rejections == 0 || n.Sequence == 0 || v == nil && len(t.servers) >= maxServers, v != nil && int64(n.Incarnation) < v.incarnation:
			continue
		case known && int64(n.Incarnation) == v.incarnation && n.Sequence <= v.sequence:
			if n.Sequence == v.sequence && !n.Ended && v.endedAt.IsZero() {
				v.heardAt = now
			}
			continue
		case !known && n.Ended:
			continue
		}
		if !known || int64(n.Incarnation) > v.incarnation {
			v = t.put(n.Server, int64(n.Incarnation), now, v)
		}
		v.sequence, v.rejections, v.heardAt, v.endedAt = n.Sequence, int(n.Rejections), now, time.Time{}
		if n.Ended {
			v.endedAt = now
		}
		if changed++; changed <= maxLoggedEach {
			t.Log.Info("another box reported a brittle server", "server", n.Server, "rejections", n.Rejections, "ended", n.Ended, "from", from)
		}
	}
	t.mu.Unlock()
	if changed > 0 {
		t.Announce()
	}
}

// FullUntil returns until when a server takes no request of this box, zero if it can be asked for a place.
func (t *Tracker) FullUntil(id string) time.Time {
	if !t.any.Load() {
		return time.Time{}
	}
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.servers[id]; v != nil && v.brittle(now) && now.Before(v.full) {
		return v.full
	}
	return time.Time{}
}

// Acquire gets a place at a server for a request, within its patience. It returns true at once if the server is not brittle.
func (t *Tracker) Acquire(ctx context.Context, s *catalog.Server, owner string, priority int, patience time.Duration) bool {
	if !t.any.Load() {
		return true
	}
	now := t.Now()
	t.mu.Lock()
	v := t.servers[s.ID]
	if v == nil || !v.brittle(now) || v.held[owner] {
		t.mu.Unlock()
		return true
	}
	q := port.AskPlace{
		From: t.Self, Pool: s.Pool, Server: s.ID, Incarnation: v.incarnation, Owner: t.Self + "/" + owner, Slots: s.Slots, Rejections: v.rejections,
		Known: now.Sub(v.since), Patience: patience, Priority: priority, Hold: holdOf(ctx),
	}
	t.mu.Unlock()
	box, a, err := t.ask(ctx, q)
	if err != nil || a == nil {
		a = &port.Place{Next: retryAfter}
	}
	t.mu.Lock()
	if v := t.servers[s.ID]; v != nil && a.Granted {
		v.held[owner] = true
	} else if v != nil {
		v.full = t.Now().Add(a.Next)
	}
	t.mu.Unlock()
	line := []any{"server", s.ID, "pool", s.Pool, "what", owner, "coordinator", box, "granted", a.Granted, "patience_ms", patience.Milliseconds(), "next_ms", a.Next.Milliseconds(), "took_ms", t.Now().Sub(now).Milliseconds(), "known_ms", q.Known.Milliseconds()}
	if err != nil {
		line = append(line, "cause", err.Error())
	}
	t.Log.Info("place requested", line...)
	return a.Granted
}

// holdOf returns how long a request may need a place.
func holdOf(ctx context.Context) time.Duration {
	if end, ok := ctx.Deadline(); ok {
		return min(maxHold, max(0, time.Until(end))+holdMargin)
	}
	return maxHold
}

// ask asks the coordinator of a server, and the one that it names if it knows of another.
func (t *Tracker) ask(ctx context.Context, q port.AskPlace) (box string, a *port.Place, err error) {
	box = t.Coordinator(q.Pool, q.Server)
	for range coordinators {
		if box == t.Self {
			return box, t.take(ctx, q), nil
		}
		asking, cancel := context.WithTimeout(ctx, q.Patience+placeTimeout)
		a, err = t.Ask(asking, box, q)
		cancel()
		switch {
		case err != nil:
			return box, nil, err
		case a == nil: // an earlier release, which grants none: this box keeps to the slots alone
			return t.Self, t.take(ctx, q), nil
		case a.Coordinator == "":
			return box, a, nil
		}
		box = a.Coordinator
	}
	return box, a, err
}

// Release gives back the place of a request that has ended.
func (t *Tracker) Release(s *catalog.Server, owner string, end quota.PlaceEnd) {
	if !t.any.Load() {
		return
	}
	t.mu.Lock()
	v := t.servers[s.ID]
	held := v != nil && v.held[owner]
	if held {
		delete(v.held, owner)
	}
	t.mu.Unlock()
	if !held {
		return
	}
	q := port.AskPlace{From: t.Self, Pool: s.Pool, Server: s.ID, Owner: t.Self + "/" + owner, End: uint8(end)}
	t.release(q) // this box may have granted it
	if box := t.Coordinator(s.Pool, s.ID); box != t.Self {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), placeTimeout)
			defer cancel()
			_, _ = t.Ask(ctx, box, q) // a place whose release is lost is free after its hold
		}()
	}
}

// Answer answers another box's question.
func (t *Tracker) Answer(ctx context.Context, q port.AskPlace) *port.Place {
	if q.End != 0 {
		t.release(q)
		return &port.Place{}
	}
	if box := t.Coordinator(q.Pool, q.Server); box != t.Self {
		return &port.Place{Coordinator: box, Next: retryAfter}
	}
	return t.take(ctx, q)
}

// take grants a place.
func (t *Tracker) take(ctx context.Context, q port.AskPlace) *port.Place {
	t.init.Do(func() { t.places.Now = t.Now })
	next, ok := t.places.Take(ctx, quota.PlaceRequest{
		Server: q.Server, Incarnation: q.Incarnation, Owner: q.Owner, Slots: q.Slots, Rejections: q.Rejections, Known: q.Known, Hold: min(q.Hold, maxHold),
		Patience: q.Patience, Priority: q.Priority,
	})
	return &port.Place{Granted: ok, Next: next}
}

func (t *Tracker) release(q port.AskPlace) {
	t.init.Do(func() { t.places.Now = t.Now })
	t.places.Release(q.Server, q.Owner, quota.PlaceEnd(q.End))
}

// Tick frees places whose releases were lost and forgets servers that are not brittle any more.
func (t *Tracker) Tick() {
	if !t.any.Load() {
		return
	}
	t.init.Do(func() { t.places.Now = t.Now })
	t.places.Sweep()
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, v := range t.servers {
		if !v.brittle(now) && len(v.held) == 0 {
			delete(t.servers, id)
		}
	}
	t.any.Store(len(t.servers) > 0)
}

// EndOf returns what the outcome of an exchange shows of a brittle server.
func EndOf(o balance.Outcome) quota.PlaceEnd {
	switch o {
	case balance.Full, balance.AsksRest:
		return quota.PlaceRejected
	case balance.Absent, balance.Broken:
		return quota.PlaceFailed
	}
	return quota.PlaceUsed
}
