package pace

import (
	"encoding/binary"
	"math"
	"time"
)

// speedNote is one observation of the speed of a server by one box.
type speedNote struct {
	server uint32 // key of the server
	box    uint32
	order  uint16 // among the observations of the box
	age    time.Duration
	value  float64 // logarithm of the speed
	timed  bool    // measured by the box, otherwise reported by the server
	// The box has further evidence that this is the lasting level.
	settled bool
}

// Packed form of a speedNote: server and box in 4 bytes each, order in 2, the age in steps of 2 ms in 2 of which the two
// highest bits are timed and settled, and the value in 1, in steps of valueStep above the least speed; 0 is no value. Names and types of fields would
// take three times as much.
const (
	packedNote = 13
	timedBit   = 1 << 15
	settledBit = 1 << 14
	ageStep    = 2 * time.Millisecond
	valueSteps = 250
)

var valueStep = math.Log(maxSpeed/minSpeed) / valueSteps

// pack appends the packed form of a note.
func (n speedNote) pack(b []byte) []byte {
	age := uint16(max(0, min(settledBit-1, n.age/ageStep)))
	if n.settled {
		age |= settledBit
	}
	if n.timed {
		age |= timedBit
	}
	b = binary.BigEndian.AppendUint32(b, n.server)
	b = binary.BigEndian.AppendUint32(b, n.box)
	b = binary.BigEndian.AppendUint16(b, n.order)
	b = binary.BigEndian.AppendUint16(b, age)
	steps := math.Round((bounded(n.value, math.Log(minSpeed), math.Log(maxSpeed)) - math.Log(minSpeed)) / valueStep)
	return append(b, byte(1+steps))
}

// unpack returns the notes in a message, at most notesPerBeat. Those without a value or past their validity are left out,
// and so is an incomplete last one.
func unpack(b []byte) []speedNote {
	var out []speedNote
	for ; len(b) >= packedNote && len(out) < notesPerBeat; b = b[packedNote:] {
		age := binary.BigEndian.Uint16(b[10:])
		n := speedNote{
			server: binary.BigEndian.Uint32(b), box: binary.BigEndian.Uint32(b[4:]), order: binary.BigEndian.Uint16(b[8:]),
			age: time.Duration(age&(settledBit-1)) * ageStep, timed: age&timedBit != 0, settled: age&settledBit != 0,
			value: math.Log(minSpeed) + valueStep*float64(min(valueSteps, int(b[12])-1)),
		}
		if b[12] > 0 && n.age <= validity {
			out = append(out, n)
		}
	}
	return out
}
