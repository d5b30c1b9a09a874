// Package connections divides a server's connection limit among boxes, and bounds what a box holds for callers that read
// slowly and for clients that it does not know.
package connections

// usableShare is the part of a limit that the boxes use together. The rest is for boxes that this one does not know yet.
const usableShare = 0.8

// Share is one box's part of the connections that a server accepts from all boxes. The zero value is no limit.
type Share struct {
	Open int `json:"open"` // connections open at once, in use or idle; 0 for no limit
	Idle int `json:"idle"` // idle connections kept open, if Open is not 0
}

// Lendable returns how many connections a box may have open, of its own and lent to other boxes, when it lends one more. It
// keeps a quarter of its share for callers of its own.
func (s Share) Lendable() int { return s.Open - s.Open/4 }

// ShareOf divides a limit among a number of boxes, without a message between them. A box may always open one connection:
// where there are more boxes than connections, it closes it after each use, so that only requests that run at the same
// moment count.
func ShareOf(limit, boxes int) Share {
	if limit <= 0 {
		return Share{}
	}
	n := int(usableShare * float64(limit) / float64(max(1, boxes)))
	if n < 1 {
		return Share{Open: 1}
	}
	return Share{Open: n, Idle: (n + 1) / 2}
}
