package paths

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

// One line when a pool is lost and one when it is back, whatever the number of attempts.
func TestLostPoolIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(0, 0)
	down := map[string]bool{}
	r := &Router{Table: Table{Now: func() time.Time { return now }, Log: slog.New(slog.NewTextHandler(&out, nil))}}
	r.Direct = func(_ context.Context, address string) (net.Conn, error) {
		if down[address] {
			return nil, errors.New("refused")
		}
		near, far := net.Pipe()
		_ = far.Close()
		return near, nil
	}
	dial := func(address string) {
		now = now.Add(100 * time.Millisecond)
		if c, err := r.Dial(t.Context(), "model", address); err == nil {
			_ = c.Close()
		}
	}
	lines := func() int { return strings.Count(out.String(), "\n") }
	down["a"] = true
	for range 3 {
		dial("a")
	}
	if lines() > 0 {
		t.Errorf("one server that fails is taken for the pool: %s", &out)
	}
	down["b"] = true
	for range 3 {
		dial("b")
		dial("a")
	}
	if !strings.Contains(out.String(), "no server of the pool can be reached") || lines() != 1 {
		t.Errorf("two servers that fail: %s", &out)
	}
	delete(down, "b")
	dial("b")
	dial("b")
	if !strings.Contains(out.String(), "can be reached again") || lines() != 2 {
		t.Errorf("a server that is back: %s", &out)
	}
}
