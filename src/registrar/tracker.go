// Package registrar runs one box's part in recording refused callers (package returning).
//
// The registrar of a content is the first usable box by rendezvous hashing, the next one is its backup. A box that refuses
// a caller sends the registrar one report. A box that gets a request sends it one query, while refusals are known to
// happen. If the registrar does not respond, the backup gets the message. A caller about whom no box responds is new.
package registrar

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stilemast/stilemast/src/crasher"
	"github.com/stilemast/stilemast/src/exclusion"
	"github.com/stilemast/stilemast/src/port"
	"github.com/stilemast/stilemast/src/returning"
)

var (
	errUnsupported = errors.New("the box keeps no register of refused callers") // a box of an earlier release
	errInvalid     = errors.New("the registrar did not accept the report")
	errNoBox       = errors.New("no box to ask")
)

// Tracker records refused callers and finds returning ones. It is safe for concurrent use; set the exported
// fields before.
type Tracker struct {
	Self  string           // name of this box
	Now   func() time.Time // must be monotonic
	Log   *slog.Logger
	Boxes func() []string // usable boxes, this one included; a new slice for each change
	// Ask sends another box a question and returns its answer.
	Ask func(ctx context.Context, box string, q port.Question) (port.Answer, error)
	// Announce tells the other boxes without delay that refusals began.
	Announce func()

	mu        sync.Mutex
	register  returning.Register
	promises  map[string]*returning.Promises
	ranking   ranking
	reports   int // under way
	status    Status
	refusedAt atomic.Int64 // unix nanoseconds of the latest refusal known, here or elsewhere; 0 for none

	// Boxes that are not asked for a while.
	silent      exclusion.Set // did not take a report
	slow        exclusion.Set // did not answer a query in its short time; they get reports
	unsupported exclusion.Set // of earlier releases
}

// Status shows an operator what a box did for returning callers since its start.
type Status struct {
	Entries    int `json:"entries" msgpack:"e"`    // refused callers that this box is the registrar of
	Refused    int `json:"refused" msgpack:"r"`    // callers that this box refused because of load
	Promised   int `json:"promised" msgpack:"p"`   // of them, those that were promised to be in time
	Unreported int `json:"unreported" msgpack:"u"` // of them, those that no registrar took
	Queries    int `json:"queries" msgpack:"q"`    // requests for which a registrar was asked
	Unanswered int `json:"unanswered" msgpack:"n"` // of them, those without an answer in time
	Returned   int `json:"returned" msgpack:"t"`   // of them, returning callers
	Early      int `json:"early" msgpack:"a"`      // of them, those that returned before they were told to
	Reports    int `json:"reports" msgpack:"o"`    // reports that this box got as a registrar
}

// Status returns the counts since the start.
func (t *Tracker) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.status
	s.Entries = t.register.Len()
	return s
}

// Active reports whether refusals are known to happen, so that callers may return.
func (t *Tracker) Active() bool { return t.SinceRefusal() > 0 }

// SinceRefusal returns the age of the latest refusal that this box knows of, at any box, for the other boxes; 0 for none
// in the last returning.KnownFor.
func (t *Tracker) SinceRefusal() time.Duration {
	at := t.refusedAt.Load()
	if at == 0 {
		return 0
	}
	age := time.Duration(t.Now().UnixNano() - at)
	if age >= returning.KnownFor {
		return 0
	}
	return max(1, age)
}

// Heard records the age of the latest refusal that another box knows of; 0 for none.
func (t *Tracker) Heard(age time.Duration) {
	if age <= 0 || age >= returning.KnownFor {
		return
	}
	t.recordRefusal(t.Now().Add(-age))
}

// recordRefusal records that a refusal happened, and tells the other boxes at once if it is the first for a while.
func (t *Tracker) recordRefusal(at time.Time) {
	began := !t.Active()
	for {
		before := t.refusedAt.Load()
		if at.UnixNano() <= before {
			return
		}
		if t.refusedAt.CompareAndSwap(before, at.UnixNano()) {
			break
		}
	}
	if began {
		t.Announce()
	}
}

// Promise returns the retry-after for a caller that is refused because of the load of a pool, and whether the caller can
// be in time if it returns then.
func (t *Tracker) Promise(pool string, w returning.Want) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.promises[pool]
	if p == nil {
		if t.promises == nil {
			t.promises = map[string]*returning.Promises{}
		}
		p = &returning.Promises{}
		t.promises[pool] = p
	}
	return p.Promise(t.Now(), w)
}

// Refused reports a caller of a request, refused because of load, to the registrar of its content. It does not wait.
func (t *Tracker) Refused(request string, f returning.Refusal) {
	now := t.Now()
	t.recordRefusal(now)
	t.mu.Lock()
	t.status.Refused++
	if f.Promised {
		t.status.Promised++
	}
	send := f.Refusals <= returning.MaxRefusals && t.reports < maxReports
	if send {
		t.reports++
	}
	t.mu.Unlock()
	if !send {
		t.reported(request, "", f, errNoBox)
		return
	}
	go func() {
		box, err := t.report(now, f)
		t.mu.Lock()
		t.reports--
		t.mu.Unlock()
		t.reported(request, box, f, err)
	}()
}

// report sends a report to the registrar, or to its backup if the registrar does not respond.
func (t *Tracker) report(began time.Time, f returning.Refusal) (string, error) {
	first := f
	return t.ask(context.Background(), f.Content, &t.silent, func(ctx context.Context, box string) error {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		passed := t.Now().Sub(began) // since an earlier box was asked
		f.Age, f.Left, f.After = first.Age+passed, first.Left-passed, max(0, first.After-passed)
		a, err := t.askBox(ctx, box, port.Question{Refusal: &f})
		switch {
		case err != nil:
			return err
		case a.Refusal == nil:
			return errUnsupported
		case !a.Refusal.Recorded:
			return errInvalid
		}
		return nil
	})
}

func (t *Tracker) reported(request, box string, f returning.Refusal, err error) {
	line := []any{"request", request, "content", f.Content.String(), "registrar", box, "age_ms", f.Age.Milliseconds(), "left_ms", f.Left.Milliseconds(),
		"retry_after_ms", f.After.Milliseconds(), "promised", f.Promised, "refusals", f.Refusals}
	if err != nil {
		line = append(line, "cause", err.Error())
		t.mu.Lock()
		t.status.Unreported++
		t.mu.Unlock()
	}
	t.Log.Info("caller refused", line...)
}

// Find returns what the registrar of a content knows of the caller of a request, and the box that answered. Without an
// answer in time the caller is new.
func (t *Tracker) Find(ctx context.Context, request string, q returning.Query) returning.Record {
	began := t.Now()
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var found returning.Record
	tries := 0
	box, err := t.ask(ctx, q.Content, &t.slow, func(ctx context.Context, box string) error {
		if tries++; tries == 1 {
			first, cancel := context.WithTimeout(ctx, time.Duration(firstShare*float64(queryTimeout)))
			defer cancel()
			ctx = first
		}
		a, err := t.askBox(ctx, box, port.Question{Returning: &q})
		if err == nil && a.Returning == nil {
			return errUnsupported
		}
		if err == nil {
			found = a.Returning.Bounded(q.Left)
		}
		return err
	})
	t.mu.Lock()
	t.status.Queries++
	if err != nil {
		t.status.Unanswered++
	}
	if found.Known() {
		t.status.Returned++
		if found.Early > 0 {
			t.status.Early++
		}
	}
	t.mu.Unlock()
	took := t.Now().Sub(began)
	switch {
	case err != nil:
		t.Log.Info("registrar did not answer", "request", request, "content", q.Content.String(), "registrar", box, "took_ms", took.Milliseconds(), "cause", err.Error())
		return returning.Record{}
	case found.Known():
		t.Log.Info("caller returned", "request", request, "content", q.Content.String(), "registrar", box, "age_ms", found.Age.Milliseconds(), "left_ms", q.Left.Milliseconds(),
			"refusals", found.Refusals, "early_ms", found.Early.Milliseconds(), "promised", found.Promised, "took_ms", took.Milliseconds())
	}
	return found
}

// ask sends a message to the registrar of a content or, if it does not respond, to its backup. It returns the last box.
// Boxes that do not respond are added to failing.
func (t *Tracker) ask(ctx context.Context, c crasher.Content, failing *exclusion.Set, send func(ctx context.Context, box string) error) (string, error) {
	passed := map[string]bool{}
	last, box := errNoBox, ""
	for failed, older := 0, 0; failed < boxesAsked && older <= maxUnsupported && ctx.Err() == nil; {
		next := t.choose(c, passed, failing)
		if next == "" {
			return box, last
		}
		box = next
		last = send(ctx, box)
		switch {
		case last == nil, errors.Is(last, errInvalid):
			return box, last
		case errors.Is(last, errUnsupported):
			older++
			t.unsupported.Add(t.Now(), box, unsupportedFor)
		default:
			failed++
			failing.Add(t.Now(), box, silentFor)
		}
		passed[box] = true
	}
	return box, last
}

// choose returns the first box for a content that may be asked, "" for none.
func (t *Tracker) choose(c crasher.Content, passed map[string]bool, failing *exclusion.Set) string {
	boxes, now := t.Boxes(), t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ranking.update(boxes)
	return t.ranking.first(c, func(box string) bool {
		return passed[box] || t.silent.Has(now, box) || failing.Has(now, box) || t.unsupported.Has(now, box)
	})
}

// askBox asks a box, which may be this one.
func (t *Tracker) askBox(ctx context.Context, box string, q port.Question) (port.Answer, error) {
	if box == t.Self {
		return t.Answer(q), nil
	}
	return t.Ask(ctx, box, q)
}

// Answer answers a report or a query to this box as a registrar.
func (t *Tracker) Answer(q port.Question) (a port.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.Refusal != nil {
		t.status.Reports++
		a.Refusal = &port.Receipt{Recorded: t.register.Record(t.Now(), *q.Refusal)}
	}
	if q.Returning != nil {
		r := t.register.Take(t.Now(), *q.Returning)
		a.Returning = &r
	}
	return a
}
