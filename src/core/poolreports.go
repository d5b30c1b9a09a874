package core

import (
	"sort"
	"time"

	"github.com/stilemast/stilemast/src/config"
)

// State of the servers of a pool, as reported by the servers and by other boxes.

// Report takes a server's load report and returns whether it was newer than the last one.
func (p *Pool) Report(now time.Time, name string, r Report) bool {
	s := p.servers[name]
	return s != nil && s.acceptReport(now, r)
}

// LastReport returns the newest accepted report of a server, or the zero Report.
func (p *Pool) LastReport(name string) Report {
	if s := p.servers[name]; s != nil {
		return s.report
	}
	return Report{}
}

// ReportFailed records that a server did not answer a request for its report.
func (p *Pool) ReportFailed(now time.Time, name string) {
	if s := p.servers[name]; s != nil {
		s.failed(now)
		s.invalidateRates()
	}
}

// Events takes cache events of a server.
func (p *Pool) Events(name string, events []CacheEvent) {
	s := p.servers[name]
	if s == nil {
		return
	}
	for _, e := range events {
		p.prefix.event(s, e)
	}
}

// PeerLoad records how many calls another box has at a server.
func (p *Pool) PeerLoad(now time.Time, box, name string, n int) {
	if s := p.servers[name]; s != nil {
		s.peers[box] = peerLoad{n: n, at: now}
		s.invalidateRates()
	}
}

// ForgetPeer removes the load notes of a box that is gone.
func (p *Pool) ForgetPeer(box string) {
	for _, s := range p.order {
		delete(s.peers, box)
		s.invalidateRates()
	}
}

// PeerReportedLeaving records that another box reported a server as leaving, with the incarnation and sequence
// number of the server's report.
func (p *Pool) PeerReportedLeaving(now time.Time, name string, incarnation, seq uint64) {
	s := p.servers[name]
	if s == nil {
		return
	}
	r := s.report
	r.Incarnation, r.Seq, r.Leaving = incarnation, seq, true
	if s.reportAt.IsZero() || r.newer(s.report) {
		s.report.Incarnation, s.report.Seq, s.report.Leaving = incarnation, seq, true
		s.reportedLeaving = true
		s.leavingUntil = now.Add(leavingHold)
		s.invalidateRates()
	}
}

// Servers lists the names of the servers in use.
func (p *Pool) Servers() []string {
	out := make([]string, len(p.order))
	for i, s := range p.order {
		out[i] = s.cfg.Name()
	}
	return out
}

// LastEvent returns the sequence number of the last cache event of a server, or 0.
func (p *Pool) LastEvent(name string) uint64 {
	if s := p.servers[name]; s != nil {
		return s.lastEvent
	}
	return 0
}

// ServerView is the state of one server, for status pages and peers.
type ServerView struct {
	Name      string
	Config    *config.BackendServer
	Report    Report
	ReportAt  time.Time
	InFlight  int
	Others    int
	Window    int
	FailShare float64
	Leaving   bool
	Resting   bool
}

// View lists the servers sorted by name.
func (p *Pool) View(now time.Time) []ServerView {
	out := make([]ServerView, 0, len(p.order))
	for _, s := range p.order {
		out = append(out, ServerView{
			Name: s.cfg.Name(), Config: s.cfg, Report: s.report, ReportAt: s.reportAt,
			InFlight: len(s.inFlight), Others: s.peerCalls(now), Window: int(max(s.window, s.share())),
			FailShare: s.failureRate, Leaving: s.leaving(), Resting: s.backingOff(now),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
