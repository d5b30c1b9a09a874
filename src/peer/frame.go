// Package peer exchanges messages between boxes as msgpack in length-prefixed frames over TCP.
package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// MaxFrame is the maximum size of a frame's body in bytes, large enough for a whole configuration.
const MaxFrame = 4 << 20

// headerBytes is the size of a frame's length prefix.
const headerBytes = 4

// readChunk bounds the memory that is allocated before any bytes have arrived.
const readChunk = 64 << 10

// Message is the body of one frame; exactly one field is set.
type Message struct {
	Beat     *core.Beat         `msgpack:"b,omitempty"` // heartbeat
	Batch    *batch.Message     `msgpack:"j,omitempty"` // message about batch jobs
	Question *port.Question     `msgpack:"q,omitempty"` // request to the peer
	Answer   *port.Answer       `msgpack:"a,omitempty"` // response to a Question
	Forward  *port.Forward      `msgpack:"f,omitempty"` // caller's request forwarded to the peer
	Event    *port.ForwardEvent `msgpack:"e,omitempty"` // part of the response to a Forward
	Tunnel   *port.Tunnel       `msgpack:"t,omitempty"` // connection to a backend server that the peer is asked to carry
	Lend     *port.Tunnel       `msgpack:"l,omitempty"` // the same out of the peer's part of the server's connections; not a field of Tunnel, which earlier releases would ignore
	Opened   *port.TunnelOpened `msgpack:"o,omitempty"` // response to a Tunnel or Lend; its bytes follow if it is open
}

// WriteFrame encodes and writes one message and returns the number of bytes written.
func WriteFrame(w io.Writer, m *Message) (int, error) {
	var buf bytes.Buffer
	buf.Write(make([]byte, headerBytes))
	if err := msgpack.NewEncoder(&buf).Encode(m); err != nil {
		return 0, code.New(code.FrameInvalid, "frame", "can't be encoded: %v", err)
	}
	b := buf.Bytes()
	n := len(b) - headerBytes
	if n > MaxFrame {
		return 0, code.New(code.FrameInvalid, "frame", "%d bytes, at most %d", n, MaxFrame)
	}
	binary.BigEndian.PutUint32(b, uint32(n))
	return w.Write(b)
}

// ReadFrame reads and decodes one message. A length over MaxFrame is rejected before memory is allocated for
// it. At the end of the stream between frames the error is io.EOF.
func ReadFrame(r io.Reader) (*Message, error) {
	var head [headerBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n > MaxFrame {
		return nil, code.New(code.FrameInvalid, "frame.length", "%d bytes, at most %d", n, MaxFrame)
	}
	body, err := readBody(r, n)
	if err != nil {
		return nil, err
	}
	return DecodeMessage(body)
}

// readBody reads n bytes. It allocates memory as bytes arrive, so that a false length costs nothing.
func readBody(r io.Reader, n int) ([]byte, error) {
	body := make([]byte, 0, min(n, readChunk))
	for len(body) < n {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(n, 2*cap(body))), body...)
		}
		got, err := io.ReadFull(r, body[len(body):cap(body)])
		body = body[:len(body)+got]
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, &port.InterruptedError{Got: len(body), Want: n, Cause: err}
		}
	}
	return body, nil
}

// DecodeMessage decodes a frame's body.
func DecodeMessage(body []byte) (m *Message, err error) {
	defer func() {
		if recover() != nil { // a panic of the decoder on malicious input must not crash the box
			m, err = nil, code.New(code.FrameInvalid, "frame", "can't be decoded")
		}
	}()
	m = &Message{}
	if err := msgpack.Unmarshal(body, m); err != nil {
		return nil, code.New(code.FrameInvalid, "frame", "%v", err)
	}
	if m.Beat == nil && m.Batch == nil && m.Question == nil && m.Answer == nil && m.Forward == nil && m.Event == nil && m.Tunnel == nil && m.Lend == nil && m.Opened == nil {
		return nil, code.New(code.FrameInvalid, "frame", "holds no message")
	}
	return m, nil
}
