package core

import (
	"time"

	"github.com/stilemast/stilemast/src/config"
)

// Call is one attempt of one stage that waits for a place on a backend server.
type Call struct {
	Attempt      Attempt
	Workspace    *config.Workspace
	Pipeline     *config.Pipeline
	Stage        *config.Stage
	Deadline     time.Time
	Enqueued     time.Time
	Tail         time.Duration // expected duration of the later stages
	PromptTokens int
	MaxTokens    int // 0 for calls that do not generate
	Prefix       []uint64
	Avoid        []string // servers that already failed this stage
	Retry        bool
	Hedge        bool
	Started      bool // an earlier stage of the request may have run

	order float64 // dispatch order within its class, lowest first
	cost  float64 // expected slot time in seconds
	index int     // index in its heap
	mark  uint64  // number of its last lookup in the prefix index
	probe bool    // may be sent to a server that failed lately
	lane  *lane
}

// once reports whether the call must not be repeated.
func (c *Call) once() bool { return c.Stage.Once() }

// avoids reports whether a server already failed this stage.
func (c *Call) avoids(s *server) bool {
	for _, a := range c.Avoid {
		if a == s.cfg.Name() {
			return true
		}
	}
	return false
}

// slack is the time left before the deadline after the given run time and the later stages.
func (c *Call) slack(now time.Time, run time.Duration) time.Duration {
	return c.Deadline.Sub(now) - run - c.Tail
}

// callHeap orders waiting calls by their order value.
type callHeap []*Call

func (h callHeap) Len() int           { return len(h) }
func (h callHeap) Less(i, j int) bool { return h[i].order < h[j].order }
func (h callHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *callHeap) Push(x any) {
	c := x.(*Call)
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *callHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	c.index = -1
	return c
}

// laneKey holds everything that decides which servers may run a call. Calls with equal keys wait in one
// lane, so when the first can not be placed the rest need not be tried.
type laneKey struct {
	domains config.DomainSet
	model   string
	adapter string
}

// lane holds the waiting calls of one laneKey, a heap for each class.
type lane struct {
	key     laneKey
	classes [config.NumClasses]callHeap
	blocked uint64 // the Next round in which none of its calls could be placed any more
}

func laneOf(c *Call) laneKey {
	return laneKey{domains: c.Workspace.RunIn() & c.Stage.RunIn(), model: c.Stage.Model(), adapter: c.Stage.Adapter()}
}

func (l *lane) empty() bool {
	for _, h := range l.classes {
		if len(h) > 0 {
			return false
		}
	}
	return true
}

// mayWaitPenalty is added to the deadline of may-wait calls when they are ordered in a server's queue.
const mayWaitPenalty = 10 * time.Minute

// ServerPriority returns a call's priority in a server's own queue, lowest first: ordered by deadline, with
// may-wait calls after prompt calls. It does not depend on the sending box, so a server can order the calls
// of all boxes together.
func ServerPriority(class config.Class, deadline time.Time) int {
	if class == config.MayWait {
		deadline = deadline.Add(mayWaitPenalty)
	}
	return int(deadline.UnixMilli())
}
