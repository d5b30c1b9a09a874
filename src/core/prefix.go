package core

import "container/list"

// prefixIndex remembers which prefix blocks the caches of a pool's servers probably hold.
//
// It is fed from two sources: what this box sent (the blocks will be there once computed) and the
// servers' cache events, which come late and with gaps. A gap may hide removals, so after one the
// older half of that server's blocks is forgotten. A wrong guess costs one recomputed prefix, and the
// cached tokens that the server reports correct how far guesses about it are trusted.
//
// Cost: one map read for each block of a call, whatever the number of servers, since a block lists
// its holders. Memory is bounded by prefixEntries over all servers; least recently seen blocks of a
// server go first.
type prefixIndex struct {
	holders map[uint64][]*list.Element // elements of servers' recent lists
	perEach int                        // blocks remembered of one server
}

// heldBlock is one block at one server.
type heldBlock struct {
	hash   uint64
	server *server
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{holders: map[uint64][]*list.Element{}, perEach: prefixEntries}
}

// share divides the memory over n servers.
func (x *prefixIndex) share(n int) { x.perEach = max(prefixLeast, prefixEntries/max(1, n)) }

// add notes that a server holds a block.
func (x *prefixIndex) add(s *server, h uint64) {
	for _, el := range x.holders[h] {
		if el.Value.(heldBlock).server == s {
			s.blocks.MoveToFront(el)
			return
		}
	}
	x.holders[h] = append(x.holders[h], s.blocks.PushFront(heldBlock{h, s}))
	for s.blocks.Len() > x.perEach {
		x.drop(s.blocks.Back())
	}
}

// drop forgets one block of one server.
func (x *prefixIndex) drop(el *list.Element) {
	b := el.Value.(heldBlock)
	b.server.blocks.Remove(el)
	list := x.holders[b.hash]
	for i, o := range list {
		if o == el {
			list[i] = list[len(list)-1]
			list = list[:len(list)-1]
			break
		}
	}
	if len(list) == 0 {
		delete(x.holders, b.hash)
		return
	}
	x.holders[b.hash] = list
}

// remove forgets a block that a server dropped.
func (x *prefixIndex) remove(s *server, h uint64) {
	for _, el := range x.holders[h] {
		if el.Value.(heldBlock).server == s {
			x.drop(el)
			return
		}
	}
}

// forget drops all that is known of a server.
func (x *prefixIndex) forget(s *server) {
	for s.blocks.Len() > 0 {
		x.drop(s.blocks.Back())
	}
}

// mark writes, into each server, how many leading blocks of a prefix it probably holds. Servers that
// were not marked for this call hold none.
func (x *prefixIndex) mark(call uint64, prefix []uint64) {
	for i, h := range prefix {
		list := x.holders[h]
		if len(list) == 0 {
			return
		}
		for _, el := range list {
			s := el.Value.(heldBlock).server
			if i == 0 || s.markedFor == call && s.marked == i {
				s.markedFor, s.marked = call, i+1
			}
		}
	}
}

// event takes one cache event of a server; a jump in the sequence forgets the older half.
func (x *prefixIndex) event(s *server, e CacheEvent) {
	if e.Seq <= s.lastEvent {
		return
	}
	if s.lastEvent != 0 && e.Seq != s.lastEvent+1 {
		for n := s.blocks.Len() / 2; n > 0; n-- {
			x.drop(s.blocks.Back())
		}
	}
	s.lastEvent = e.Seq
	for _, h := range e.Stored {
		x.add(s, h)
	}
	for _, h := range e.Removed {
		x.remove(s, h)
	}
}
