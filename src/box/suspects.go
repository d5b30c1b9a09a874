package box

import (
	"context"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/crasher"
	"github.com/stilemast/stilemast/src/port"
	"github.com/stilemast/stilemast/src/suspects"
)

// initSuspects gives the tracker of contents that may crash servers what it needs of this box. Whether a server's process is
// there shows by the calls to it and by its reports.
func (b *Box) initSuspects() {
	u := &b.suspects
	u.Self, u.Now, u.Log = b.ID.Name, b.now, b.Log
	u.Probe = b.askServer
	u.Boxes, u.Announce = b.fleet.usable, b.announceSuspects
	u.Ask = func(ctx context.Context, box string, notes []crasher.Note) ([]crasher.Note, error) {
		a, err := b.Peers.Ask(ctx, b.fleet.addressOf(core.BoxID{Name: box}), port.Question{Suspects: &port.Suspects{From: b.ID.Name, Notes: notes}})
		if err == nil && a.Suspects == nil {
			err = suspects.ErrAddsNothingUp
		}
		if err != nil {
			return nil, err
		}
		return a.Suspects.Notes, nil
	}
}

// askServer asks a server under which a call broke for its report. A new life that answers shows that the earlier one ended.
// Before 24 servers of a pool 4 end under one content with it, 23 to 26 when reports and refused calls alone tell (virtual
// time, TestWorkThatCrashesServersIsNotSentOn).
func (b *Box) askServer(ctx context.Context, s suspects.Server) suspects.Presence {
	server := b.Config().BackendServer(s.ID)
	if server == nil {
		return suspects.Present
	}
	r, err := b.Backends.Load(ctx, server)
	if err == nil && serverLife(s.ID, r.Incarnation).Life != s.Life {
		return suspects.Absent
	}
	return suspects.PresenceOf(err)
}

// announceSuspects tells every box of a small fleet, a few of a large one, of contents that may crash servers.
func (b *Box) announceSuspects() {
	f := &b.fleet
	f.mu.Lock()
	to, self := f.core.Near(), f.core.Self
	if len(to) == 0 {
		to = f.core.Some(announceTo)
	}
	f.mu.Unlock()
	notes := b.suspects.Notes(true)
	for _, address := range to {
		b.Peers.Beat(address, core.Beat{From: self, News: true, Loads: b.loadNotes(b.now()), Suspects: notes})
	}
}

// announceTo is how many boxes of a large fleet hear of news at once; each tells as many in its turn.
const announceTo = 6

// contentOf names what a request asks, whatever its key.
func contentOf(workspace, pipeline string, input []byte) crasher.Content {
	return crasher.ContentOf(workspace, "", "", pipeline, input)
}

// barred is the refusal of a request whose content crashes the servers of a stage, nil when it may run there.
func (f *flight) barred(s *config.Stage) *code.Error {
	d := f.box.suspects.Judge(f.content.At(s.Pool()))
	if !d.Barred {
		return nil
	}
	return code.New(code.CrashesServers, "input", "%d servers of %s ended while they ran this content", d.Ends, s.Pool()).WithRetryAfter(d.Left)
}

// barredAnywhere looks at all stages of a request, before anything of it runs.
func (f *flight) barredAnywhere() *code.Error {
	for _, s := range f.req.Pipeline().Stages() {
		if err := f.barred(s); err != nil {
			return err.WithRan(code.RanNo)
		}
	}
	return nil
}

// noteCall tells what the end of a call says of its content.
func (f *flight) noteCall(server *config.BackendServer, stage *config.Stage, err *port.CallError) {
	b := f.box
	life := b.lifeOf(stage.Pool(), server.Name())
	switch {
	case err == nil:
		b.suspects.Good(f.content.At(stage.Pool()))
	case err.Refused:
		b.suspects.Ended(life, suspects.Refused)
	case err.Failure == core.Broken && !server.Leaving():
		b.suspects.Broke(life, f.content.At(stage.Pool()))
	}
}

// lifeOf names the life of a server that its last report told of.
func (b *Box) lifeOf(pool, server string) suspects.Server {
	var r core.Report
	if p := b.pools.get(pool); p != nil {
		p.locked(func(c *core.Pool) { r = c.LastReport(server) })
	}
	return serverLife(server, r.Incarnation)
}

func serverLife(server string, incarnation uint64) suspects.Server {
	return suspects.Server{ID: server, Life: crasher.LifeOf(server, int64(incarnation))}
}

// takeLife takes from a report that a server began a new life.
func (b *Box) takeLife(server string, before, now core.Report) {
	if before.Incarnation != 0 && now.Incarnation > before.Incarnation {
		b.suspects.Ended(serverLife(server, before.Incarnation), suspects.Report)
	}
}
