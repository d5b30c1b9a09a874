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

// initSuspects connects the tracker of contents that may crash servers to this box. Calls to servers and
// their reports show whether a server's process still runs.
func (b *Box) initSuspects() {
	u := &b.suspects
	u.Self, u.Now, u.Log = b.ID.Name, b.now, b.Log
	u.Probe = b.probeServer
	u.Boxes, u.Announce = b.fleet.usable, b.announceSuspects
	u.Exchange = func(ctx context.Context, box string, notes []crasher.Note) ([]crasher.Note, error) {
		a, err := b.Peers.Ask(ctx, b.fleet.addressOf(core.BoxID{Name: box}), port.Question{Suspects: &port.Suspects{From: b.ID.Name, Notes: notes}})
		if err == nil && a.Suspects == nil {
			err = suspects.ErrUnsupported
		}
		if err != nil {
			return nil, err
		}
		return a.Suspects.Notes, nil
	}
}

// probeServer requests a report from a server whose call broke off. If a new incarnation answers, the
// previous one has ended. With a pool of 24 servers, 4 crash on one content before it is barred; relying only
// on regular reports and refused calls, 23 to 26 crashes occur (virtual time, the test of crashing work in
// package faults).
func (b *Box) probeServer(ctx context.Context, s suspects.Server) suspects.Presence {
	server := b.Config().BackendServer(s.ID)
	if server == nil {
		return suspects.Present
	}
	r, err := b.Backends.Load(ctx, server)
	if err == nil && serverIncarnation(s.ID, r.Incarnation).Incarnation != s.Incarnation {
		return suspects.Absent
	}
	return suspects.PresenceOf(err)
}

// announceSuspects sends notes on contents that may crash servers to every box of a small fleet, or to a few
// boxes of a large one.
func (b *Box) announceSuspects() {
	f := &b.fleet
	f.mu.Lock()
	to, self := f.core.SmallFleetAddresses(), f.core.Self
	if len(to) == 0 {
		to = f.core.RandomAddresses(announceFanout)
	}
	f.mu.Unlock()
	notes := b.suspects.Notes(true)
	for _, address := range to {
		b.Peers.Beat(address, core.Beat{From: self, News: true, Loads: b.loadNotes(b.now()), Suspects: notes})
	}
}

// announceFanout is the number of boxes of a large fleet that get an announcement; each passes it on to as
// many.
const announceFanout = 6

// contentOf identifies the content of a request, independently of its key.
func contentOf(workspace, pipeline string, input []byte) crasher.Content {
	return crasher.ContentOf(workspace, "", "", pipeline, input)
}

// barred returns an error if the request's content crashes the servers of a stage, nil if it may run there.
func (f *flight) barred(s *config.Stage) *code.Error {
	d := f.box.suspects.Check(f.content.At(s.Pool()))
	if !d.Barred {
		return nil
	}
	return code.New(code.CrashesServers, "input", "%d servers of pool %s crashed while they ran this content", d.Ends, s.Pool()).WithRetryAfter(d.Left)
}

// barredAnywhere checks all stages of a request before any of them runs.
func (f *flight) barredAnywhere() *code.Error {
	for _, s := range f.req.Pipeline().Stages() {
		if err := f.barred(s); err != nil {
			return err.WithRan(code.RanNo)
		}
	}
	return nil
}

// recordCall reports the end of a call to the tracker of suspect contents.
func (f *flight) recordCall(server *config.BackendServer, stage *config.Stage, err *port.CallError) {
	b := f.box
	incarnation := b.reportedIncarnation(stage.Pool(), server.Name())
	switch {
	case err == nil:
		b.suspects.RecordGood(f.content.At(stage.Pool()))
	case err.ConnectionRefused:
		b.suspects.RecordCrash(incarnation, suspects.Refused)
	case err.Failure == core.Broken && !server.Leaving():
		b.suspects.RecordBroken(incarnation, f.content.At(stage.Pool()))
	}
}

// reportedIncarnation returns the incarnation of a server according to its last report.
func (b *Box) reportedIncarnation(pool, server string) suspects.Server {
	var r core.Report
	if p := b.pools.get(pool); p != nil {
		p.locked(func(c *core.Pool) { r = c.LastReport(server) })
	}
	return serverIncarnation(server, r.Incarnation)
}

// serverIncarnation returns the identity of one incarnation of a server.
func serverIncarnation(server string, incarnation uint64) suspects.Server {
	return suspects.Server{ID: server, Incarnation: crasher.NewIncarnation(server, int64(incarnation))}
}

// recordRestart records that the previous incarnation of a server ended, if its report shows a new one.
func (b *Box) recordRestart(server string, before, now core.Report) {
	if before.Incarnation != 0 && now.Incarnation > before.Incarnation {
		b.suspects.RecordCrash(serverIncarnation(server, before.Incarnation), suspects.Report)
	}
}
