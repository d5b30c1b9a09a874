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

// pipeEnd ends as a connection of the network does when this side closes it.
type pipeEnd struct{ net.Conn }

func (p pipeEnd) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	if errors.Is(err, io.ErrClosedPipe) {
		err = net.ErrClosed
	}
	return n, err
}

// openLines has a client send twelve heartbeats a second to boxes drawn by chance, as a box of a fleet does, and gives the most connections
// that were open at once and how many were opened in all.
func openLines(t *testing.T, boxes int) (most, dials int64) {
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
			return pipeEnd{here}, nil
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

// mostOpen is as many connections as a small box can keep to others beside those of its callers and servers.
const mostOpen = 128

// The connections that a box keeps to others are bounded whatever the fleet's size, and in a small fleet none is opened twice.
func TestConnectionsToOtherBoxesAreBoundedInAnyFleet(t *testing.T) {
	if most, dials := openLines(t, 6); most != 6 || dials != 6 {
		t.Errorf("6 boxes: %d connections were open at once, %d opened, want 6", most, dials)
	}
	for _, boxes := range []int{61, 985, 1970} {
		most, dials := openLines(t, boxes)
		t.Logf("%d boxes: %d open at once, %d opened in a minute", boxes, most, dials)
		if most > mostOpen {
			t.Errorf("%d boxes: %d connections were open at once, want %d at most", boxes, most, mostOpen)
		}
	}
}
