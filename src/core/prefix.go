package core

import "container/list"

// prefixIndex remembers which prefix blocks a server's cache probably holds.
//
// It is fed from two sources: what this box sent (the blocks will be there once computed) and the
// server's cache events, which come late and with gaps. A gap may hide removals, so after one the
// older half is forgotten. A wrong guess costs one recomputed prefix and is corrected by the
// cached tokens that the server reports with its answer. Memory is bounded: least recently seen
// blocks go first. Look-up is one map read per block.
type prefixIndex struct {
	blocks map[uint64]*list.Element
	recent *list.List // front is the most recently seen; values are uint64
	seq    uint64     // of the last event taken
	trust  float64    // how often guesses came true
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{blocks: map[uint64]*list.Element{}, recent: list.New(), trust: 1}
}

func (x *prefixIndex) add(h uint64) {
	if el := x.blocks[h]; el != nil {
		x.recent.MoveToFront(el)
		return
	}
	x.blocks[h] = x.recent.PushFront(h)
	for x.recent.Len() > prefixEntries {
		x.drop(x.recent.Back())
	}
}

func (x *prefixIndex) drop(el *list.Element) {
	delete(x.blocks, el.Value.(uint64))
	x.recent.Remove(el)
}

func (x *prefixIndex) remove(h uint64) {
	if el := x.blocks[h]; el != nil {
		x.drop(el)
	}
}

// held counts the leading blocks that are probably cached.
func (x *prefixIndex) held(prefix []uint64) int {
	for i, h := range prefix {
		if x.blocks[h] == nil {
			return i
		}
	}
	return len(prefix)
}

// event takes one cache event; a jump in the sequence forgets the older half.
func (x *prefixIndex) event(e CacheEvent) {
	if e.Seq <= x.seq {
		return
	}
	if x.seq != 0 && e.Seq != x.seq+1 {
		for n := x.recent.Len() / 2; n > 0; n-- {
			x.drop(x.recent.Back())
		}
	}
	x.seq = e.Seq
	for _, h := range e.Stored {
		x.add(h)
	}
	for _, h := range e.Removed {
		x.remove(h)
	}
}

// learn compares a guess with what the server reported.
func (x *prefixIndex) learn(guessed, reported int) {
	if guessed <= 0 {
		return
	}
	x.trust = mix(x.trust, min(1, float64(reported)/float64(guessed)), learnRate)
}
