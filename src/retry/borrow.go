package retry

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/exclusion"
)

// Parameters of borrowing.
const (
	maxAsked       = 24                     // boxes asked for one retry; in large fleets each has a small part of one
	borrowTimeout  = 60 * time.Millisecond  // of all questions for one retry, which waits for them
	askTimeout     = 30 * time.Millisecond  // of one question
	silentFor      = 500 * time.Millisecond // for which a box that did not answer is not asked
	unsupportedFor = time.Minute            // for which a box of an earlier release is not asked
	usedUpFor      = 250 * time.Millisecond // for which nothing is borrowed for a pool after boxes had too little
)

// ErrUnsupported is the error of a box of an earlier release, which lends nothing.
var ErrUnsupported = errors.New("the box does not lend retries")

// Request asks another box for a part of a retry.
type Request struct {
	From string  `msgpack:"f"`
	Pool string  `msgpack:"p"`
	Part float64 `msgpack:"n"` // at most 1
}

// Loan is the response to a Request.
type Loan struct {
	Part float64 `msgpack:"n"` // 0 if nothing is left
}

// Borrower asks other boxes for parts of a retry that this box's part of the budget does not allow. Set the exported fields
// before use. It is safe for concurrent use.
type Borrower struct {
	Self  string
	Now   func() time.Time
	Log   *slog.Logger
	Boxes func() []string // usable boxes
	Ask   func(ctx context.Context, box string, r Request) (Loan, error)

	silent exclusion.Set // boxes
	usedUp exclusion.Set // pools
}

// Borrow asks boxes, which the id of the request selects, until they have lent the missing part of a retry, and reports
// whether they did. Parts that do not suffice are lost to this window of the budget.
func (b *Borrower) Borrow(ctx context.Context, pool, request string, missing float64) bool {
	began := b.Now()
	if missing <= rounding || b.usedUp.Has(began, pool) {
		return missing <= rounding
	}
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	boxes, asked, lent := b.Boxes(), 0, 0.0
	first := int(catalog.Hash(request) % uint64(max(1, len(boxes))))
	for i := 0; i < len(boxes) && asked < maxAsked && lent < missing-rounding && ctx.Err() == nil; i++ {
		box := boxes[(first+i)%len(boxes)]
		if box == b.Self || b.silent.Has(b.Now(), box) {
			continue
		}
		asked++
		lent += b.ask(ctx, box, Request{From: b.Self, Pool: pool, Part: missing - lent})
	}
	enough := lent >= missing-rounding
	if !enough && caller.Err() == nil {
		b.usedUp.Add(b.Now(), pool, usedUpFor)
	}
	b.Log.Info("retry borrowed", "request", request, "pool", pool, "missing", missing, "lent", lent, "enough", enough, "boxes_asked", asked, "took_ms", b.Now().Sub(began).Milliseconds())
	return enough
}

// ask returns what one box lends.
func (b *Borrower) ask(ctx context.Context, box string, r Request) float64 {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	l, err := b.Ask(ctx, box, r)
	switch {
	case errors.Is(err, ErrUnsupported):
		b.silent.Add(b.Now(), box, unsupportedFor)
		return 0
	case err != nil:
		b.silent.Add(b.Now(), box, silentFor)
		return 0
	case !(l.Part > 0): // also if it is not a number
		return 0
	}
	return min(r.Part, l.Part)
}
