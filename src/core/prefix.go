package core

import "container/list"

// prefixIndex tracks which prefix blocks the caches of a pool's servers probably hold.
//
// It learns from the calls that this box sends, whose blocks will be cached once computed, and from the
// servers' cache events, which are late and may have gaps. A gap may hide removals, so after one the older
// half of that server's blocks is forgotten. A wrong guess costs the recomputation of one prefix, and the
// cached tokens that the server reports adjust the weight of further guesses.
//
// A lookup costs one map read per block of a call, whatever the number of servers. Memory is bounded by
// prefixEntries over all servers; the least recently used blocks of a server are evicted first.
type prefixIndex struct {
	holders map[uint64][]*list.Element // elements of the servers' block lists, by block hash
	perEach int                        // maximum number of blocks per server
}

// heldBlock is one block in the cache of one server.
type heldBlock struct {
	hash   uint64
	server *server
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{holders: map[uint64][]*list.Element{}, perEach: prefixEntries}
}

// share divides the memory among n servers.
func (x *prefixIndex) share(n int) { x.perEach = max(prefixLeast, prefixEntries/max(1, n)) }

// add records that a server holds a block.
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

// drop removes one element of a block list.
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

// remove removes a block that a server evicted.
func (x *prefixIndex) remove(s *server, h uint64) {
	for _, el := range x.holders[h] {
		if el.Value.(heldBlock).server == s {
			x.drop(el)
			return
		}
	}
}

// forget removes all blocks of a server.
func (x *prefixIndex) forget(s *server) {
	for s.blocks.Len() > 0 {
		x.drop(s.blocks.Back())
	}
}

// mark stores in each server how many leading blocks of a prefix it probably holds. Servers that are not
// marked for this call hold none.
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

// event applies one cache event of a server. A gap in the sequence numbers drops the older half of its
// blocks.
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
