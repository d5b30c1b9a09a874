package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of an AsyncWriter.
const (
	maxBufferedBytes = 256 << 10              // buffer size; lines that do not fit are dropped and counted
	flushDelay       = 100 * time.Millisecond // delay that collects lines for one write
)

// AsyncWriter is a buffered writer that never blocks: a goroutine writes the buffered lines in larger pieces. Lines
// that arrive while the buffer is full, because the reader of Out is stalled, are dropped; a log line reports how many.
type AsyncWriter struct {
	Out io.Writer

	mu      sync.Mutex
	buffer  []byte
	dropped int
	wake    chan struct{}
	done    chan struct{}
	closed  bool
}

// NewAsyncWriter returns an AsyncWriter that writes to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	s := &AsyncWriter{Out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write buffers or drops one line. It never returns an error.
func (s *AsyncWriter) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.buffer)+len(line) > maxBufferedBytes {
		s.dropped++
		return len(line), nil
	}
	s.buffer = append(s.buffer, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// run writes the buffered lines until wake is closed.
func (s *AsyncWriter) run() {
	defer close(s.done)
	var out []byte
	for range s.wake {
		time.Sleep(flushDelay)
		s.mu.Lock()
		out, s.buffer = s.buffer, out[:0]
		if s.dropped > 0 {
			out = fmt.Appendf(out, `{"time":%q,"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", time.Now().Format(time.RFC3339Nano), s.dropped)
			s.dropped = 0
		}
		s.mu.Unlock()
		_, _ = s.Out.Write(out)
	}
}

// Close writes the buffered lines. If the pending writes take longer than the given time, it returns without
// writing these lines.
func (s *AsyncWriter) Close(within time.Duration) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	close(s.wake)
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(within):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.done:
		_, _ = s.Out.Write(s.buffer)
		s.buffer = nil
	default:
	}
}
