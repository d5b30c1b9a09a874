package core

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
)

// poolConfig returns a configuration with pools of six servers in three failure domains, some leaving, and
// workspaces with random boundaries.
func poolConfig(t *rapid.T) *config.Config {
	d := config.ExamplePageworks()
	d.FailureDomains = d.FailureDomains[:3]
	d.BackendServers = nil
	for _, pool := range []string{"engines", "proofing", "photo-archive", "order-accounts", "printer-handoff"} {
		for i := range 6 {
			s := config.BackendServerDoc{
				Name: fmt.Sprintf("%s-%d", pool, i), Address: "127.0.0.1:9", Pool: pool, Slots: 2,
				FailureDomain: d.FailureDomains[i%3].Name, Leaving: pool == "engines" && i > 3,
			}
			if pool == "engines" {
				s.Model = "layout-8b"
			}
			d.BackendServers = append(d.BackendServers, s)
		}
	}
	for i := range d.Workspaces {
		in := []string{d.FailureDomains[rapid.IntRange(0, 2).Draw(t, "domain")].Name, d.FailureDomains[rapid.IntRange(0, 2).Draw(t, "domain")].Name}
		d.Workspaces[i].RunIn, d.Workspaces[i].EntryIn, d.Workspaces[i].RestIn = in, in, in
	}
	raw, err := config.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	c, faults := config.Parse(raw)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return c
}

// With any history of pushes, answers and reports, every placement lies inside its boundary and on a server
// that takes work, each call is placed or dropped once, and must-finish work is never dropped.
func TestPoolHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := poolConfig(t)
		p := NewPool("engines")
		p.Self, p.Estimates, p.MaxWaiting = "b", NewEstimates(), 40
		p.SetServers(c.Pool("engines"))
		now := time.Unix(1_000_000, 0)
		type placed struct {
			call   *Call
			server string
		}
		var running []placed
		waiting := map[Attempt]*Call{}
		n := 0
		pump := func() {
			grants, drops := p.Next(now)
			for _, g := range grants {
				s := c.BackendServer(g.Server)
				if !config.MayRun(g.Call.Workspace, g.Call.Stage, s.Domain()) {
					t.Fatalf("%s was placed on %s, outside its boundary", g.Call.Workspace.Name(), g.Server)
				}
				if s.Leaving() {
					t.Fatalf("placed on leaving %s", g.Server)
				}
				if waiting[g.Call.Attempt] == nil {
					t.Fatal("placed twice, or never pushed")
				}
				delete(waiting, g.Call.Attempt)
				running = append(running, placed{g.Call, g.Server})
			}
			for _, x := range drops {
				if x.Call.Pipeline.MustFinish() {
					t.Fatal("must-finish work was dropped")
				}
				if waiting[x.Call.Attempt] == nil {
					t.Fatal("dropped twice, or never pushed")
				}
				delete(waiting, x.Call.Attempt)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				pipe := c.Pipeline(rapid.SampledFrom([]string{"caption", "spread-draft"}).Draw(t, "pipeline"))
				w := c.Workspace(rapid.SampledFrom([]string{"lakeside", "hillcrest", "riverview"}).Draw(t, "workspace"))
				n++
				call := &Call{
					Attempt: Attempt{Key: Key{ID: NewKeyID(now, [16]byte{9: byte(n), 10: byte(n >> 8)})}, Stage: 3}, Workspace: w, Pipeline: pipe,
					Stage: pipe.Stages()[3], Deadline: now.Add(pipe.Deadline()), Enqueued: now, PromptTokens: 100, MaxTokens: 40,
					Prefix: PrefixBlocks(w.Name(), make([]byte, 64*rapid.IntRange(0, 4).Draw(t, "blocks"))),
				}
				if err := p.Push(now, call); err == nil {
					waiting[call.Attempt] = call
				} else if err.Code != code.QueueFull && err.Code != code.NowhereToRun {
					t.Fatal(err)
				}
				pump()
			},
			"end": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				x := running[i]
				running = append(running[:i], running[i+1:]...)
				f := Failure(rapid.SampledFrom([]int{0, 0, 0, int(NotSent), int(Busy), int(Broken), int(TimedOut)}).Draw(t, "failure"))
				if !p.Done(now, x.call.Attempt, x.server, f, Use{GeneratedTokens: 30, ComputedTokens: 50}, f != 0) {
					t.Fatal("a placed call was not booked")
				}
				pump()
			},
			"report": func(t *rapid.T) {
				i := rapid.IntRange(0, 3).Draw(t, "server")
				p.Report(now, fmt.Sprintf("engines-%d", i), Report{Incarnation: 1, Seq: uint64(now.UnixNano()), Running: rapid.IntRange(0, 4).Draw(t, "running"), Slots: 2})
				pump()
			},
			"withdraw": func(t *rapid.T) {
				for id := range waiting {
					if !p.Withdraw(id) {
						t.Fatal("a waiting call could not be withdrawn")
					}
					delete(waiting, id)
					return
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				pump()
			},
			"": func(t *rapid.T) {
				if p.Waiting() != len(waiting) {
					t.Fatalf("%d wait, want %d", p.Waiting(), len(waiting))
				}
				if len(running) == 0 && len(waiting) == 0 && (p.backlog[0].sum != 0 || p.backlog[1].sum != 0 || p.busy != 0) {
					t.Fatalf("an idle pool counts backlog %v, busy %d", p.backlog, p.busy)
				}
			},
		})
	})
}

// Large workspaces must not starve a small one: its call is placed as if the others had little work.
func TestSmallWorkspaceIsNotStarved(t *testing.T) {
	c := benchConfig(t, 1, 3)
	p := benchPool(c)
	now := time.Unix(1_000_000, 0)
	push := func(n, w int) {
		call := benchCall(c, n, now)
		call.Workspace = c.Workspace(fmt.Sprintf("workspace-%04d", w))
		if err := p.Push(now, call); err != nil {
			t.Fatal(err)
		}
	}
	for n := range 400 {
		push(n, 1)
	}
	push(401, 3)
	for dispatched := 0; ; {
		grants, _ := p.Next(now)
		if len(grants) == 0 {
			t.Fatalf("the small workspace's call was not among the first %d", dispatched)
		}
		for _, g := range grants {
			dispatched++
			if g.Call.Workspace.Name() == "workspace-0003" {
				if dispatched > 150 {
					t.Errorf("the small workspace's call went as number %d of 401", dispatched)
				}
				return
			}
			p.Done(now, g.Call.Attempt, g.Server, 0, Use{GeneratedTokens: 100}, false)
		}
	}
}

func TestStaleReportDoesNotRevertLeaving(t *testing.T) {
	c := benchConfig(t, 2, 1)
	p := benchPool(c)
	now := time.Unix(1_000_000, 0)
	leaving := func() bool {
		for _, v := range p.View(now) {
			if v.Name == "engine-0" {
				return v.Leaving
			}
		}
		return false
	}
	p.Report(now, "engine-0", Report{Incarnation: 1, Seq: 10, Leaving: true})
	p.Report(now, "engine-0", Report{Incarnation: 1, Seq: 9})
	if !leaving() {
		t.Error("an older report reverted it")
	}
	p.Report(now, "engine-0", Report{Incarnation: 2, Seq: 1})
	if leaving() {
		t.Error("the server's next incarnation still counts as leaving")
	}
	p.PeerReportedLeaving(now, "engine-0", 2, 5)
	p.Report(now, "engine-0", Report{Incarnation: 2, Seq: 4})
	if !leaving() {
		t.Error("an older report reverted another box's report")
	}
}

// In a pool with only calls that must not be repeated, failed servers must be tried again by such calls
// after their backoff, because nothing else would find their recovery.
func TestOnceCallsProbeFailedServers(t *testing.T) {
	c := benchConfig(t, 2, 1)
	raw := config.ExamplePageworks()
	b, err := config.Marshal(raw)
	if err != nil {
		t.Fatal(err)
	}
	page, _ := config.Parse(b)
	stamp := page.Pipeline("tag-stamp")
	p := NewPool("photo-archive")
	p.Self, p.Estimates = "b", NewEstimates()
	p.SetServers(page.Pool("photo-archive"))
	now := time.Unix(1_000_000, 0)
	push := func(n int) *Call {
		call := benchCall(c, n, now)
		call.Workspace, call.Pipeline, call.Stage, call.MaxTokens = page.Workspace("lakeside"), stamp, stamp.Stages()[2], 0
		if err := p.Push(now, call); err != nil {
			t.Fatal(err)
		}
		return call
	}
	for _, name := range p.Servers() {
		for range failuresBeforeBackoff {
			p.ReportFailed(now, name)
		}
	}
	push(1)
	if grants, _ := p.Next(now); len(grants) > 0 {
		t.Fatal("a server in backoff got a call that must not be repeated")
	}
	now = now.Add(minServerBackoff + time.Millisecond)
	grants, _ := p.Next(now)
	if len(grants) != 1 {
		t.Fatal("no server is ever tried again")
	}
	p.Done(now, grants[0].Call.Attempt, grants[0].Server, 0, Use{Engine: time.Millisecond}, false)
	push(2)
	if again, _ := p.Next(now); len(again) != 1 || again[0].Server != grants[0].Server {
		t.Errorf("the next call went to %v, not to the recovered server", again)
	}
}
