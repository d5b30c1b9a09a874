package catalog

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of relief among the boxes that read the platform.
const (
	// Time that a box reads after it was asked to. It is asked again with each failed read, at most every 2 s.
	reliefDuration = 3 * time.Second
	// Rounds of boxes that are asked to read: at most 24 boxes in a fleet of any size. If the platform
	// rejects 7 in 10 boxes, the chance that it rejects all of them is 0.02%.
	maxReliefRounds = 3
)

// relief is the state of a Feed about readers that the platform does not answer.
//
// A reader that gets no answer notifies the other readers of its round. Once all of them have reported the same,
// they ask the next round in rank, which doubles the number of readers; those read at once and do the same if
// they get no answer either. Without relief a box would take over only after its content was unconfirmed for
// a time that grows with the fleet.
type relief struct {
	round      int                  // in which this box reads for others
	until      time.Time            // until when it does
	asked      time.Time            // when this box last asked others to read
	failed     time.Time            // when a read of this box last failed, zero after a successful one
	unanswered map[string]time.Time // boxes whose reads fail, and when they last reported it
}

// ReliefRequest lists the boxes to notify that this box's reads fail.
type ReliefRequest struct {
	Readers []string // the other readers of the same round
	Next    []string // the boxes asked to read now; none while another reader of this round may still get answers
	Round   int      // round of the boxes in Next
	First   bool     // the boxes in Next were not asked before, or not recently
}

// ReadUnanswered records that a read of this box failed and returns the boxes to notify. A box that reads only
// because its content was not confirmed notifies none.
func (f *Feed) ReadUnanswered(now time.Time, live []string) ReliefRequest {
	f.relief.failed = now
	return f.reliefRequest(now, live)
}

// PeerUnanswered returns the boxes to ask after another reader has reported that its reads fail too: if all
// reads fail at the same time, each box learns of the others only after its own failure.
func (f *Feed) PeerUnanswered(now time.Time, live []string) ReliefRequest {
	if f.relief.failed.IsZero() || now.Sub(f.relief.failed) > reliefDuration || !f.relief.asked.Before(f.relief.failed) {
		return ReliefRequest{}
	}
	p := f.reliefRequest(now, live)
	p.Readers = nil
	return p
}

// reliefRequest returns the boxes to notify of this box's failed reads.
func (f *Feed) reliefRequest(now time.Time, live []string) ReliefRequest {
	round, reads := f.ownRound(now, live)
	if !reads {
		return ReliefRequest{}
	}
	order := f.rankReaders(live)
	p := ReliefRequest{Readers: slices.DeleteFunc(roundOf(order, round), func(box string) bool { return box == f.Self }), Round: round + 1}
	answered := func(box string) bool { return now.Sub(f.relief.unanswered[box]) > reliefDuration }
	if round == maxReliefRounds || slices.ContainsFunc(p.Readers, answered) {
		return p
	}
	p.Next = roundOf(order, p.Round)
	p.First = now.Sub(f.relief.asked) > reliefDuration
	f.relief.asked = now
	return p
}

// ReadsForOthers reports whether this box reads because others asked it to, and in which round.
func (f *Feed) ReadsForOthers(now time.Time) (round int, relieves bool) {
	return f.relief.round, now.Before(f.relief.until)
}

// HandleUnanswered handles another box's notice that its reads fail. With a valid round, 1 or more, this box
// reads in that round for a while.
func (f *Feed) HandleUnanswered(now time.Time, from string, round int) {
	f.relief.unanswered[from] = now
	if round >= 1 && round <= maxReliefRounds {
		f.relief.round, f.relief.until = round, now.Add(reliefDuration)
	}
}

// ownRound returns the round in which this box reads, 0 for the chosen readers, and whether it reads in any.
func (f *Feed) ownRound(now time.Time, live []string) (round int, reads bool) {
	if f.ReadersAhead(live) < readers {
		return 0, true
	}
	return f.ReadsForOthers(now)
}

// rankReaders returns the live boxes, including this one, by rank as counted by ReadersAhead.
func (f *Feed) rankReaders(live []string) []string {
	type ranked struct {
		box  string
		rank uint64
	}
	var others []ranked
	for _, box := range live {
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

// roundOf returns a copy of the ranked boxes that read in a round: three in round 0, then as many as in all
// rounds before.
func roundOf(order []string, round int) []string {
	from, to := 0, readers
	if round > 0 {
		from, to = readers<<(round-1), readers<<round
	}
	from, to = min(from, len(order)), min(to, len(order))
	return slices.Clone(order[from:to])
}
