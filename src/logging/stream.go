package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Tunables of the stream.
const (
	streamBytes = 256 << 10 // held until they are written; what comes beyond is left out and counted
	streamPace  = 100 * time.Millisecond
)

// Stream is a writer that never blocks: lines are held and written in larger pieces by a goroutine
// of its own. Lines that come while too many bytes are held, because nobody reads, are left out; a
// line says how many.
type Stream struct {
	Out io.Writer

	mu      sync.Mutex
	held    []byte
	dropped int
	wake    chan struct{}
	ended   chan struct{}
	closed  bool
}

// NewStream begins to write to out.
func NewStream(out io.Writer) *Stream {
	s := &Stream{Out: out, wake: make(chan struct{}, 1), ended: make(chan struct{})}
	go s.run()
	return s
}

// Write holds one line.
func (s *Stream) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.held)+len(line) > streamBytes {
		s.dropped++
		return len(line), nil
	}
	s.held = append(s.held, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped counts the lines left out since they were last told of.
func (s *Stream) Dropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

func (s *Stream) run() {
	defer close(s.ended)
	var out []byte
	for range s.wake {
		time.Sleep(streamPace)
		s.mu.Lock()
		out, s.held = s.held, out[:0]
		if s.dropped > 0 {
			out = fmt.Appendf(out, `{"time":%q,"level":"WARN","msg":"log lines left out","count":%d}`+"\n", time.Now().Format(time.RFC3339Nano), s.dropped)
			s.dropped = 0
		}
		s.mu.Unlock()
		_, _ = s.Out.Write(out)
	}
}

// Close writes what is held, for a bounded time.
func (s *Stream) Close(within time.Duration) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	close(s.wake)
	s.mu.Unlock()
	select {
	case <-s.ended:
	case <-time.After(within):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.ended:
		_, _ = s.Out.Write(s.held)
		s.held = nil
	default:
	}
}
