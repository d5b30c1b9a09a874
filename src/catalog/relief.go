package catalog

import (
	"cmp"
	"slices"
	"time"
)

// Tunables of relief among the boxes that read the platform.
const (
	reliefFor  = 3 * time.Second // that a box reads once it was asked to: it is asked again with each read that fails, every two seconds at most
	mostRounds = 3               // that are asked to read: at most 24 boxes in a fleet of any size, of which 0.02% are all turned away where 7 in 10 are
)

// relief is what a Feed knows of readers that the platform does not answer.
//
// Idea. A reader that gets no answer says so to those that read beside it. Once all of them have, each asks the next boxes in
// rank, twice as many, which read at once and do the same should they get no answer either. Without it a box takes over only
// when nobody has confirmed its content for a time that grows with the fleet.
type relief struct {
	round      int                  // of this box while it reads for others
	until      time.Time            // when that ends
	asked      time.Time            // when this box last asked others
	failed     time.Time            // when a read of this box last brought nothing, zero since one brought something
	unanswered map[string]time.Time // boxes whose reads bring nothing, and when they said so
}

// Plea is whom a box tells that its reads bring nothing.
type Plea struct {
	Beside []string // they read too
	Next   []string // they are to read now; none while a box beside this one may have answers
	Round  int      // of the next
	First  bool     // the next were not asked before, or not lately
}

// Unanswered notes that a read of this box brought nothing and gives whom to tell. A box that reads only because nobody
// confirmed its content tells nobody.
func (f *Feed) Unanswered(now time.Time, living []string) Plea {
	f.relief.failed = now
	return f.plea(now, living)
}

// UnansweredToo gives whom this box asks now that another reader has said that it has no answers either: the reads of all may end
// at one moment, and their words cross.
func (f *Feed) UnansweredToo(now time.Time, living []string) Plea {
	if f.relief.failed.IsZero() || now.Sub(f.relief.failed) > reliefFor || !f.relief.asked.Before(f.relief.failed) {
		return Plea{}
	}
	p := f.plea(now, living)
	p.Beside = nil
	return p
}

func (f *Feed) plea(now time.Time, living []string) Plea {
	round, reads := f.ownRound(now, living)
	if !reads {
		return Plea{}
	}
	order := f.order(living)
	p := Plea{Beside: slices.DeleteFunc(roundOf(order, round), func(box string) bool { return box == f.Self }), Round: round + 1}
	answered := func(box string) bool { return now.Sub(f.relief.unanswered[box]) > reliefFor }
	if round == mostRounds || slices.ContainsFunc(p.Beside, answered) {
		return p
	}
	p.Next = roundOf(order, p.Round)
	p.First = now.Sub(f.relief.asked) > reliefFor
	f.relief.asked = now
	return p
}

// Relieves says whether this box reads because others asked it to, and in which round.
func (f *Feed) Relieves(now time.Time) (round int, relieves bool) {
	return f.relief.round, now.Before(f.relief.until)
}

// HearUnanswered takes another box's word that its reads bring nothing. With a round of 1 and more this box reads for it for a while.
func (f *Feed) HearUnanswered(now time.Time, from string, round int) {
	f.relief.unanswered[from] = now
	if round >= 1 && round <= mostRounds {
		f.relief.round, f.relief.until = round, now.Add(reliefFor)
	}
}

// ownRound is the round in which this box reads, 0 for the boxes that read first.
func (f *Feed) ownRound(now time.Time, living []string) (round int, reads bool) {
	if f.Ahead(living) < readers {
		return 0, true
	}
	return f.Relieves(now)
}

// order ranks the living boxes as Ahead counts them, this one among them.
func (f *Feed) order(living []string) []string {
	type ranked struct {
		box  string
		rank uint64
	}
	var others []ranked
	for _, box := range living {
		if !slices.Contains(f.Chosen, box) {
			others = append(others, ranked{box, readerRank(box)})
		}
	}
	slices.SortFunc(others, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	out := slices.Clone(f.Chosen)
	for _, o := range others {
		out = append(out, o.box)
	}
	return out
}

// roundOf is a copy of the part of the ranked boxes that reads in a round: three, then as many as all rounds before.
func roundOf(order []string, round int) []string {
	from, to := 0, readers
	if round > 0 {
		from, to = readers<<(round-1), readers<<round
	}
	from, to = min(from, len(order)), min(to, len(order))
	return slices.Clone(order[from:to])
}
