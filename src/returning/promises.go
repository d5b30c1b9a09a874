package returning

import "time"

// Promises holds what a box has promised of the future capacity of a pool, in slots of 50 ms. Each box promises only its
// share of the pool's throughput, so that no two boxes promise the same capacity without a message. A slot that has passed
// is dropped, whether its callers returned or not: capacity can't be kept for later. The zero value holds no promises.
// It is not safe for concurrent use.
type Promises struct {
	first int64            // number of the slot at taken[0]
	taken [][levels]uint32 // pieces promised in each slot, in thousandths, by urgency
}

// Want is the capacity that a refused caller needs.
type Want struct {
	Pieces   int           // of the stage that it would wait for the longest
	Priority int           // a higher number is less urgent
	Free     time.Duration // until the pool has done what is ahead of the caller
	Latest   time.Duration // latest return after which the caller is in time; may be negative
	Left     time.Duration // until the caller's deadline
	Share    float64       // pieces per second of the pool that this box may promise
	Spread   uint64        // a hash of the caller
}

// Promise returns when a refused caller should return, and whether it can be in time then: the first slot from Free on that
// has capacity not promised to callers at least as urgent. More urgent callers thus get the earlier slots. Callers whose
// pieces take more than the capacity of one slot are spread over the slots that they take, as the boxes of a large
// fleet would otherwise all name the same time.
func (p *Promises) Promise(now time.Time, w Want) (after time.Duration, inTime bool) {
	p.advance(now)
	level := min(max(0, w.Priority), levels-1)
	most := min(MaxAfter, max(MinAfter, time.Duration(maxLeftShare*float64(w.Left))))
	perSlot := uint32(min(max(1, w.Share*slotTime.Seconds()*1000), 1e8))
	need := uint32(min(max(1, w.Pieces), 1e5)) * 1000
	begin, end := time.Duration(-1), time.Duration(0)
	for i := int(max(MinAfter, min(w.Free, most)) / slotTime); i < slots && need > 0; i++ {
		at := time.Duration(i) * slotTime
		room := perSlot - min(perSlot, p.upTo(i, level))
		if room == 0 {
			continue
		}
		if begin < 0 {
			begin = at
		}
		n := min(room, need)
		p.take(i, level, n)
		need -= n
		end = at + slotTime
	}
	if begin < 0 { // everything is promised
		begin, end = most-slotTime, most
	}
	if w.Latest >= MinAfter && begin <= w.Latest {
		end = min(end, w.Latest)
	}
	after = begin
	if end > begin {
		after += time.Duration(w.Spread % uint64(end-begin))
	}
	after = min(most, max(MinAfter, w.Free, after))
	return after, after <= w.Latest
}

// upTo returns the pieces promised in a slot to callers of at least the given urgency.
func (p *Promises) upTo(slot, level int) uint32 {
	if slot >= len(p.taken) {
		return 0
	}
	sum := uint32(0)
	for _, n := range p.taken[slot][:level+1] {
		sum += n
	}
	return sum
}

func (p *Promises) take(slot, level int, n uint32) {
	for slot >= len(p.taken) {
		p.taken = append(p.taken, [levels]uint32{})
	}
	p.taken[slot][level] += n
}

// advance drops the slots that have passed.
func (p *Promises) advance(now time.Time) {
	number := now.UnixNano() / int64(slotTime)
	passed := number - p.first
	if passed < 0 || passed >= int64(len(p.taken)) {
		p.taken = p.taken[:0]
	} else {
		p.taken = append(p.taken[:0], p.taken[passed:]...)
	}
	p.first = number
}

// WaitAfter returns the retry-after of a refusal where callers are not recorded, given by how much they would wait too long.
func WaitAfter(wait time.Duration) time.Duration { return min(MaxAfter, max(MinWaitAfter, wait)) }
