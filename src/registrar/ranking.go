package registrar

import (
	"encoding/binary"

	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/crasher"
)

// ranking ranks the usable boxes for a content by rendezvous hashing. The hashes of the boxes' names are kept until the
// boxes change: a fleet of 985 boxes is ranked for each request while refusals happen.
type ranking struct {
	boxes  []string
	hashes []uint64
}

// update takes over the usable boxes. The slice is replaced, not modified, when they change.
func (r *ranking) update(boxes []string) {
	if len(boxes) == len(r.boxes) && (len(boxes) == 0 || &boxes[0] == &r.boxes[0]) {
		return
	}
	r.boxes, r.hashes = boxes, make([]uint64, len(boxes))
	for i, b := range boxes {
		r.hashes[i] = catalog.Hash("registrar", b)
	}
}

// first returns the first box for a content that is not skipped, "" for none.
func (r *ranking) first(c crasher.Content, skip func(string) bool) string {
	key := binary.BigEndian.Uint64(c[:])
	best, rank := "", uint64(0)
	for i, h := range r.hashes {
		x := (h ^ key) * 0xff51afd7ed558ccd
		x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
		x ^= x >> 33
		if (best == "" || x > rank) && !skip(r.boxes[i]) {
			best, rank = r.boxes[i], x
		}
	}
	return best
}
