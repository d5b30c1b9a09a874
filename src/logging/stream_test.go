package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// stalled is a reader of the log that does not read until it is let go.
type stalled struct {
	mu     sync.Mutex
	got    bytes.Buffer
	letGo  chan struct{}
	called chan struct{}
	once   sync.Once
}

func (s *stalled) Write(b []byte) (int, error) {
	s.once.Do(func() { close(s.called) })
	<-s.letGo
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

// A reader that stops reading holds nobody up; what is left out is counted and told of.
func TestAStalledReaderHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalled{letGo: make(chan struct{}), called: make(chan struct{})}
		s := NewStream(out)
		line := []byte(strings.Repeat("x", 1000) + "\n")
		_, _ = s.Write(line)
		<-out.called
		began := time.Now()
		for range 1000 {
			if n, err := s.Write(line); n != len(line) || err != nil {
				t.Fatal(n, err)
			}
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("writing beside a stalled reader took %s", took)
		}
		dropped := s.Dropped()
		if dropped < 700 {
			t.Errorf("%d lines were left out, so that memory is not bounded", dropped)
		}
		close(out.letGo)
		time.Sleep(time.Second)
		s.Close(time.Second)
		text := out.got.String()
		if want := fmt.Sprintf(`"msg":"log lines left out","count":%d`, dropped); !strings.Contains(text, want) {
			t.Errorf("%d lines were left out and not told of", dropped)
		}
		if n := strings.Count(text, "xx\n"); n+dropped != 1001 {
			t.Errorf("%d lines written and %d left out of 1001", n, dropped)
		}
	})
}

func TestCloseWritesWhatIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		s := NewStream(&out)
		_, _ = s.Write([]byte("a\n"))
		s.Close(time.Second)
		if out.String() != "a\n" {
			t.Errorf("%q was written", out.String())
		}
		s.Close(time.Second)
	})
}
