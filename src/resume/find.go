package resume

import (
	"context"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/code"
)

// Evidence is what is known of the origin of a stream that a caller takes up.
type Evidence string

// Kinds of evidence.
const (
	Reported Evidence = "reported" // by the box that began it
	Single   Evidence = "single"   // its pool has had one build only
	Unknown  Evidence = "unknown"  // all boxes asked know nothing
	Silent   Evidence = "silent"   // a box that may know did not answer
)

// Known reports whether the origin is known.
func (e Evidence) Known() bool { return e == Reported || e == Single }

// Taken is a stream that a caller takes up.
type Taken struct {
	Stream  Stream
	Pools   []string      // that its pipeline uses
	Window  time.Duration // longest time that it can have run
	Request string        // id of the request, for logs
}

// pool returns the pool of an origin, "" if the pipeline no longer uses it.
func (t Taken) pool(o Origin) string {
	at := slices.IndexFunc(t.Pools, func(p string) bool { return catalog.Hash(p) == o.Pool })
	if at < 0 {
		return ""
	}
	return t.Pools[at]
}

// TakeUp returns the pool and the build at which a stream goes on that a caller takes up, and the evidence for them. If the
// origin is not known, or no longer of the pipeline, the error refuses the stream.
func (t *Tracker) TakeUp(ctx context.Context, taken Taken) (pool, build string, e Evidence, err *code.Error) {
	o, e := t.Find(ctx, taken)
	if !e.Known() {
		err = code.New(code.CannotResume, "resumes", "no box knows the build that began the stream").WithRan(code.RanNo)
		if e == Silent {
			err.RetryAfter = silentRetryAfter
		}
		return "", "", e, err
	}
	if pool = taken.pool(o); pool == "" {
		return "", "", e, code.New(code.CannotResume, "resumes", "the pipeline no longer uses the pool that began the stream").WithRan(code.RanNo)
	}
	return pool, o.Build, e, nil
}

// Find returns the origin of a stream that a caller takes up, and the evidence for it.
func (t *Tracker) Find(ctx context.Context, taken Taken) (Origin, Evidence) {
	began := t.Now()
	o, e := t.find(ctx, taken)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.status.TakenUp++
	switch e {
	case Reported:
		t.status.Known++
	case Single:
		t.status.Single++
	case Silent:
		t.status.Silent++
	}
	t.Log.Info("stream taken up", "request", taken.Request, "stream", taken.Stream.String(), "evidence", string(e), "build", o.Build, "took_ms", t.Now().Sub(began).Milliseconds(), "live", len(t.live), "held", len(t.register.entries))
	return o, e
}

func (t *Tracker) find(ctx context.Context, taken Taken) (Origin, Evidence) {
	now, usable := t.Now(), t.Boxes()
	t.mu.Lock()
	o, ok := t.known(now, taken.Stream)
	t.updateBoxes(usable)
	boxes := t.ranking.choose(taken.Stream, asked, t.isExcluded(now))
	t.mu.Unlock()
	if ok && !taken.Stream.shared() {
		return known(o)
	}
	boxes = slices.DeleteFunc(boxes, func(b Box) bool { return b.Name == t.Self })
	o, e := t.ask(ctx, taken.Stream, boxes, o, ok)
	if e.Known() || len(taken.Pools) != 1 {
		return o, e
	}
	only := taken.Pools[0]
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.histories[only]; h != nil {
		if build, ok := h.sole(t.Now(), taken.Window); ok {
			return OriginAt(only, build), Single
		}
	}
	return Origin{}, e
}

// known returns an origin that a box holds, and the evidence for it.
func known(o Origin) (Origin, Evidence) {
	if o == ambiguous {
		return o, Unknown
	}
	return o, Reported
}

// ask asks boxes at once and returns the first origin that one of them knows or, for a name that streams may share, the one
// on which all that know one agree, with what this box knows.
func (t *Tracker) ask(ctx context.Context, s Stream, boxes []Box, own Origin, found bool) (Origin, Evidence) {
	type result struct {
		answer Answer
		err    error
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	results := make(chan result, len(boxes))
	for _, b := range boxes {
		go func() {
			a, err := t.Ask(ctx, b.Name, Question{Stream: &s})
			if err != nil && ctx.Err() == nil {
				t.mu.Lock()
				t.exclude(b.Name, err)
				t.mu.Unlock()
			}
			results <- result{a, err}
		}()
	}
	evidence := Unknown
	for range boxes {
		r := <-results
		switch o := r.answer.Origin; {
		case r.err != nil:
			evidence = Silent
		case o == nil || len(o.Build) > maxBuildBytes:
		case !s.shared():
			return known(*o)
		case found:
			own = own.merge(*o)
		default:
			own, found = *o, true
		}
	}
	if found {
		return known(own)
	}
	return Origin{}, evidence
}
