package experiment

import (
	"time"

	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/standin"
)

// serviceTime is the typical time of a call that does not generate.
const serviceTime = 10 * time.Millisecond

// simCall is one call at a server.
type simCall struct {
	id        core.Attempt
	input     []byte
	received  int // bytes of output the box has already
	stage     *config.Stage
	limit     int
	priority  int
	workspace string
	reply     func(core.Event)
}

// simServer is one engine (a cost model) or one plain service (slots and a queue).
type simServer struct {
	s          *sim
	cfg        *config.BackendServer
	down       bool
	failing    bool
	slowFactor float64
	model      *standin.EngineModel
	calls      map[string]*simJob
	queue      []simCall
	busy       int
	seq        uint64
	report     core.Report
	events     []core.CacheEvent
	eventSeq   uint64
}

type simJob struct {
	call      simCall
	generated int // bytes
	offset    int
}

func (s *sim) newServer(cfg *config.BackendServer) *simServer {
	v := &simServer{s: s, cfg: cfg, slowFactor: 1, calls: map[string]*simJob{}}
	if cfg.Model() != "" {
		v.model = standin.NewEngineModel(standin.DefaultEngineCost(cfg.Slots()))
	}
	return v
}

// renew makes a new report, again and again.
func (v *simServer) renewReport() {
	v.seq++
	v.report = core.Report{Incarnation: 1, Seq: v.seq, Running: v.busy, Waiting: len(v.queue), Slots: v.cfg.Slots(), Model: v.cfg.Model()}
	if v.model != nil {
		v.report.Running, v.report.Waiting = v.model.Load()
		if stored, removed := v.model.TakeEvents(); len(stored)+len(removed) > 0 {
			v.eventSeq++
			if v.eventSeq%11 != 0 { // some events are lost
				v.events = append(v.events, core.CacheEvent{Seq: v.eventSeq, Stored: stored, Removed: removed})
			}
			if len(v.events) > 64 {
				v.events = v.events[32:]
			}
		}
	}
	v.s.schedule(reportInterval, v.renewReport)
}

func (v *simServer) eventsAfter(after uint64) []core.CacheEvent {
	for i, e := range v.events {
		if e.Seq > after {
			return v.events[i:]
		}
	}
	return nil
}

func (v *simServer) accept(c simCall) {
	if v.down || v.failing {
		c.reply(core.Failed{Attempt: c.id, Failure: core.Broken})
		return
	}
	if v.model == nil {
		v.queue = append(v.queue, c)
		v.startQueued()
		return
	}
	id := c.id.Wire(core.BoxID{Name: "sim"})
	start := c.received / standin.TokenBytes
	total := standin.TokenCount(c.input, c.limit)
	v.calls[id] = &simJob{call: c, offset: c.received}
	v.model.SlowFactor = v.slowFactor
	v.model.Submit(v.s.now, standin.Job{
		ID: id, Prompt: (len(c.input)+c.received)/standin.TokenBytes + 1, Tokens: max(1, total-start),
		Priority: c.priority, Prefix: core.PrefixBlocks(c.workspace, c.input),
	})
	v.scheduleStep()
}

// wake sees to the end of the model's step under way.
func (v *simServer) scheduleStep() {
	at, busy := v.model.Next()
	if !busy {
		return
	}
	v.s.schedule(at.Sub(v.s.now), func() {
		if next, busy := v.model.Next(); !busy || !next.Equal(at) || v.s.now.Before(at) {
			return
		}
		v.step()
	})
}

func (v *simServer) step() {
	v.model.SlowFactor = v.slowFactor
	for _, o := range v.model.Step(v.s.now) {
		j := v.calls[o.ID]
		if j == nil {
			continue
		}
		if o.Token {
			text := standin.Token(j.call.input, (j.offset+j.generated)/standin.TokenBytes)
			j.call.reply(core.Chunk{Attempt: j.call.id, Offset: j.offset + j.generated, Data: []byte(text)})
			j.generated += len(text)
		}
		if o.Done {
			delete(v.calls, o.ID)
			j.call.reply(core.Done{Attempt: j.call.id, Length: j.offset + j.generated, Stream: true, Use: o.Use})
		}
	}
	v.scheduleStep()
}

// serve starts queued calls of a plain service while slots are free.
func (v *simServer) startQueued() {
	for v.busy < v.cfg.Slots() && len(v.queue) > 0 {
		c := v.queue[0]
		v.queue = v.queue[1:]
		v.busy++
		duration := time.Duration(v.slowFactor * float64(serviceTime))
		v.s.schedule(duration, func() {
			v.busy--
			c.reply(core.Done{Attempt: c.id, Output: standin.ServiceOutput(string(c.stage.Kind()), c.input), Use: core.Use{Engine: duration}})
			v.startQueued()
		})
	}
}

func (v *simServer) cancel(id core.Attempt) {
	if v.model != nil {
		name := id.Wire(core.BoxID{Name: "sim"})
		v.model.Cancel(v.s.now, name)
		delete(v.calls, name)
	}
}

// fall loses the server: what runs there is broken off.
func (v *simServer) crash() {
	v.down = true
	for _, j := range v.calls {
		j.call.reply(core.Failed{Attempt: j.call.id, Failure: core.Broken})
	}
	v.calls = map[string]*simJob{}
	if v.model != nil {
		v.model = standin.NewEngineModel(v.model.Cost)
	}
	for _, c := range v.queue {
		c.reply(core.Failed{Attempt: c.id, Failure: core.Broken})
	}
	v.queue = nil
}
