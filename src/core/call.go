package core

import (
	"time"

	"github.com/stilemast/stilemast/src/config"
)

// Call is one attempt of one stage that wants a place on a backend server.
type Call struct {
	Attempt      Attempt
	Workspace    *config.Workspace
	Pipeline     *config.Pipeline
	Stage        *config.Stage
	Deadline     time.Time
	Enqueued     time.Time
	Tail         time.Duration // what the later stages are expected to take
	PromptTokens int
	MaxTokens    int // 0 for calls that do not generate
	Prefix       []uint64
	Avoid        []string // servers that failed this stage already
	Retry        bool
	Hedge        bool
	Started      bool // an earlier stage of the request ran

	order float64 // dispatch order within its class: lower first
	cost  float64 // expected seconds of a slot
	index int     // place in its heap
	mark  uint64  // its number in the prefix index
	probe bool    // may try a server that failed lately
	lane  *lane
}

// once says whether the call may not be repeated.
func (c *Call) once() bool { return c.Stage.Once() }

// avoids says whether a server failed this stage before.
func (c *Call) avoids(s *server) bool {
	for _, a := range c.Avoid {
		if a == s.cfg.Name() {
			return true
		}
	}
	return false
}

// slack is the time left after everything that is still expected to happen.
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

// laneKey is what decides where a call may go; calls alike in it wait in one lane, so one blocked
// call answers for all behind it.
type laneKey struct {
	domains config.DomainSet
	model   string
	adapter string
}

// lane holds the waiting calls of one laneKey, a heap for each class.
type lane struct {
	key     laneKey
	classes [config.NumClasses]callHeap
	blocked uint64 // the round in which nothing more of it could be placed
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

// mayWaitLater is how much later than its deadline says a may-wait call stands in a server's queue.
const mayWaitLater = 10 * time.Minute

// ServerPriority orders calls in a server's own queue, lower first: by deadline, with all prompt work
// before may-wait work of the same time. The number is the same whichever box sends it, so servers
// order the calls of all boxes together.
func ServerPriority(class config.Class, deadline time.Time) int {
	if class == config.MayWait {
		deadline = deadline.Add(mayWaitLater)
	}
	return int(deadline.UnixMilli())
}
