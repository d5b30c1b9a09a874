package backend

import (
	"bufio"
	"bytes"
	"io"

	"github.com/stilemast/stilemast/src/code"
)

// maxEvent is the maximum size of a server-sent event, in bytes.
const maxEvent = 4 << 20

// Event is one server-sent event.
type Event struct {
	Name string
	Data []byte
}

// EventReader reads server-sent events using bounded memory.
type EventReader struct{ r *bufio.Reader }

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader { return &EventReader{r: bufio.NewReader(r)} }

// Next reads one event. The error is io.EOF at the end of the input, io.ErrUnexpectedEOF within an event, and
// FrameInvalid for an event that is too long.
func (e *EventReader) Next() (Event, error) {
	var ev Event
	begun := false
	for {
		line, err := e.line(maxEvent - len(ev.Data))
		if err == io.EOF && begun {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if begun {
				return ev, nil
			}
			continue
		}
		begun = true
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "event":
			ev.Name = string(value)
		case "data":
			if len(ev.Data) > 0 {
				ev.Data = append(ev.Data, '\n')
			}
			ev.Data = append(ev.Data, value...)
		}
	}
}

// line reads a line of at most the given number of bytes and strips its end. A last line without a newline is
// a truncated input.
func (e *EventReader) line(most int) ([]byte, error) {
	var out []byte
	for {
		part, err := e.r.ReadSlice('\n')
		out = append(out, part...)
		if len(out) > most {
			return nil, code.New(code.FrameInvalid, "event", "longer than %d bytes", maxEvent)
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF && len(out) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimRight(out, "\r\n"), nil
	}
}
