package resume

import (
	"encoding/binary"
	"slices"

	"github.com/stilemast/stilemast/src/catalog"
)

// Box is another box of the fleet.
type Box struct {
	Name        string
	Domain      string // failure domain
	Incarnation uint64 // a box that starts again knows nothing from before
}

// ranking ranks the boxes for a stream by rendezvous hashing.
type ranking struct {
	boxes  []Box
	hashes []uint64
}

// update takes over the boxes and reports whether they changed. The slice is replaced, not modified, when they do.
func (r *ranking) update(boxes []Box) bool {
	if len(boxes) == len(r.boxes) && (len(boxes) == 0 || &boxes[0] == &r.boxes[0]) {
		return false
	}
	r.boxes, r.hashes = boxes, make([]uint64, len(boxes))
	for i, b := range boxes {
		r.hashes[i] = catalog.Hash("resume", b.Name)
	}
	return true
}

// choose returns the first boxes for a stream that are not skipped, in different failure domains as long as there are
// further ones. All boxes choose alike.
func (r *ranking) choose(s Stream, n int, skip func(string) bool) []Box {
	key := binary.BigEndian.Uint64(s[:])
	var out []Box
	for len(out) < n {
		taken := func(b Box) bool {
			return skip(b.Name) || slices.ContainsFunc(out, func(o Box) bool { return o.Name == b.Name })
		}
		i := r.first(key, func(b Box) bool {
			return taken(b) || slices.ContainsFunc(out, func(o Box) bool { return o.Domain == b.Domain })
		})
		if i < 0 {
			i = r.first(key, func(b Box) bool { return taken(b) || len(out) > 0 && b.Domain == out[len(out)-1].Domain })
		}
		if i < 0 {
			i = r.first(key, taken)
		}
		if i < 0 {
			break
		}
		out = append(out, r.boxes[i])
	}
	return out
}

// first returns the index of the first box for a key that is not skipped, -1 for none.
func (r *ranking) first(key uint64, skip func(Box) bool) int {
	best, rank := -1, uint64(0)
	for i, h := range r.hashes {
		x := (h ^ key) * 0xff51afd7ed558ccd
		x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
		x ^= x >> 33
		if (best < 0 || x > rank) && !skip(r.boxes[i]) {
			best, rank = i, x
		}
	}
	return best
}
