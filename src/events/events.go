// Package events splits streams of server-sent events without interpreting the events' data.
package events

import (
	"bytes"
	"strconv"
)

// Splitter splits a stream into whole events. Its bytes are read into Space and split by Add.
type Splitter struct {
	held []byte // of the incomplete event, without an end of one
}

const (
	minSpace  = 4 << 10  // bytes for reads
	smallHeld = 16 << 10 // bytes of capacity that are kept for the next event
)

// ends are the bytes that end an event.
var ends = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// Size returns the most bytes of memory that the next Space and Add take.
func (e *Splitter) Size() int {
	if e.full() {
		return cap(e.held) + 2*e.larger()
	}
	return 2 * cap(e.held)
}

// Space returns where to read the next bytes into.
func (e *Splitter) Space() []byte {
	if e.full() {
		e.held = append(make([]byte, 0, e.larger()), e.held...)
	}
	return e.held[len(e.held):cap(e.held)]
}

func (e *Splitter) full() bool { return len(e.held) == cap(e.held) }

// larger returns the capacity after the current one.
func (e *Splitter) larger() int { return max(2*cap(e.held), minSpace) }

// Add adds the first n bytes of Space and returns all complete events; an incomplete last one is kept.
func (e *Splitter) Add(n int) []byte {
	from := max(0, len(e.held)-len("\r\n\r")) // an end may begin in the bytes held
	e.held = e.held[:len(e.held)+n]
	end := lastEnd(e.held[from:])
	if end < 0 {
		return nil
	}
	end += from
	whole := bytes.Clone(e.held[:end])
	if rest := e.held[end:]; cap(e.held) > smallHeld && len(rest) <= smallHeld {
		e.held = bytes.Clone(rest)
	} else {
		e.held = append(e.held[:0], rest...)
	}
	return whole
}

// lastEnd returns the position behind the last end of an event, -1 for none. Contains is many times as fast as LastIndex.
func lastEnd(b []byte) int {
	last := -1
	for _, end := range ends {
		if bytes.Contains(b, end) {
			last = max(last, bytes.LastIndex(b, end)+len(end))
		}
	}
	return last
}

// Held returns the number of bytes of the incomplete event.
func (e *Splitter) Held() int { return len(e.held) }

// LastID returns the last event id in a run of whole events, "" for none.
func LastID(whole []byte) string {
	id := ""
	for line := range bytes.Lines(whole) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
		}
	}
	return id
}

// After drops the events whose ids are not above the last one that the caller has.
func After(whole []byte, last string) []byte {
	after, err := strconv.ParseInt(last, 10, 64)
	if last == "" || err != nil {
		return whole
	}
	var out []byte
	for len(whole) > 0 {
		n := bytes.Index(whole, []byte("\n\n"))
		if n < 0 {
			n = len(whole) - 2
		}
		event := whole[:n+2]
		whole = whole[n+2:]
		if id, err := strconv.ParseInt(LastID(event), 10, 64); err == nil && id <= after {
			continue
		}
		out = append(out, event...)
	}
	return out
}

// Count returns the number of events in a run of whole events.
func Count(whole []byte) int {
	return bytes.Count(whole, []byte("\n\n")) + bytes.Count(whole, []byte("\r\n\r\n"))
}
