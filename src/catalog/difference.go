package catalog

import "strconv"

// historySteps is how many recent changes of the list of servers a box can send to others as differences.
const historySteps = 64

// Difference turns one list of servers into another: the entries to add or replace, and the ids to remove.
type Difference struct {
	Put  []Server `msgpack:"p,omitempty"`
	Gone []string `msgpack:"g,omitempty"`
}

// digest identifies the content of an entry. Without an incarnation and a fault it is the same as in earlier
// releases, since all boxes must agree during a rolling upgrade.
func (s *Server) digest() uint64 {
	words := []string{s.ID, s.Pool, s.Address, s.Domain, strconv.Itoa(s.Slots), strconv.FormatBool(s.Draining), strconv.FormatBool(s.Cold > 0)}
	if s.Incarnation != 0 || s.Fault != "" {
		words = append(words, strconv.FormatInt(int64(s.Incarnation), 36), s.Fault)
	}
	return Hash(words...)
}
