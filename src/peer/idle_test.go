package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/core"
)

// pipeConn is a net.Pipe whose Read returns net.ErrClosed after a local close, like a network connection.
type pipeConn struct{ net.Conn }

func (p pipeConn) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	if errors.Is(err, io.ErrClosedPipe) {
		err = net.ErrClosed
	}
	return n, err
}

// countConnections lets a client send twelve heartbeats a second to random boxes for a minute, as a box of a
// fleet does, and returns the maximum number of connections open at once and the number of dials.
func countConnections(t *testing.T, boxes int) (most, dials int64) {
	synctest.Test(t, func(t *testing.T) {
		var open, opened atomic.Int64
		c := NewClient(nil)
		c.Dial = func(context.Context, string) (net.Conn, error) {
			here, there := net.Pipe()
			opened.Add(1)
			open.Add(1)
			go func() {
				defer open.Add(-1)
				for {
					if _, err := ReadFrame(there); err != nil {
						_ = there.Close()
						return
					}
				}
			}()
			return pipeConn{here}, nil
		}
		r := rand.New(rand.NewPCG(1, uint64(boxes)))
		for range 12 * 60 {
			c.Beat(fmt.Sprint("box", r.IntN(boxes)), core.Beat{Seq: 1})
			time.Sleep(time.Second / 12)
			most = max(most, open.Load())
		}
		c.Close()
		synctest.Wait()
		dials = opened.Load()
	})
	return most, dials
}

// maxOpen is how many connections to other boxes a small box can afford besides those of its callers and
// servers.
const maxOpen = 128

// Guards against a box holding a connection to every other box of a large fleet, and against reconnecting in
// a small one.
func TestPeerConnectionsAreBoundedInAnyFleet(t *testing.T) {
	if most, dials := countConnections(t, 6); most != 6 || dials != 6 {
		t.Errorf("6 boxes: %d connections were open at once, %d opened, want 6", most, dials)
	}
	for _, boxes := range []int{61, 985, 1970} {
		most, dials := countConnections(t, boxes)
		t.Logf("%d boxes: %d open at once, %d opened in a minute", boxes, most, dials)
		if most > maxOpen {
			t.Errorf("%d boxes: %d connections were open at once, want %d at most", boxes, most, maxOpen)
		}
	}
}
