package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stilemast/stilemast/src/config"
)

// benchConfig returns a configuration with one pool of engines in five failure domains, and workspaces.
func benchConfig(tb testing.TB, engines, workspaces int) *config.Config {
	tb.Helper()
	d := config.ExampleTarget()
	d.BackendServers = nil
	for i := range engines {
		d.BackendServers = append(d.BackendServers, config.BackendServerDoc{
			Name: fmt.Sprintf("engine-%d", i), Address: "127.0.0.1:9", FailureDomain: d.FailureDomains[i%5].Name,
			Pool: "engines", Slots: 64, Model: "model-1",
		})
	}
	for _, p := range []string{"encoders", "retrievers", "rerankers"} {
		for i := range 5 {
			d.BackendServers = append(d.BackendServers, config.BackendServerDoc{
				Name: fmt.Sprintf("%s-%d", p, i), Address: "127.0.0.1:9", FailureDomain: d.FailureDomains[i].Name, Pool: p, Slots: 64,
			})
		}
	}
	d.Pipelines = d.Pipelines[:1]
	d.Pipelines[0].Stages[3].Pool = "engines"
	d.Workspaces = d.Workspaces[:workspaces]
	for i := range d.Workspaces {
		d.Workspaces[i].Pipelines = []string{d.Pipelines[0].Name}
	}
	raw, err := config.Marshal(d)
	if err != nil {
		tb.Fatal(err)
	}
	c, faults := config.Parse(raw)
	if len(faults) > 0 {
		tb.Fatal(faults)
	}
	return c
}

func benchPool(c *config.Config) *Pool {
	p := NewPool("engines")
	p.Self, p.Domain, p.Region, p.Estimates = "box-1", 0, "west", NewEstimates()
	p.SetServers(c.Pool("engines"))
	return p
}

func benchCall(c *config.Config, n int, now time.Time) *Call {
	p := c.Pipeline("pipeline-01")
	w := c.Workspace(fmt.Sprintf("workspace-%04d", 1+n%len(c.Workspaces())))
	id := Attempt{Key: Key{ID: NewKeyID(now, [16]byte{9: byte(n), 15: byte(n*32 + 1)})}, Stage: 3}
	return &Call{
		Attempt: id, Workspace: w, Pipeline: p, Stage: p.Stages()[3], Deadline: now.Add(10 * time.Second), Enqueued: now,
		PromptTokens: 400, MaxTokens: 200, Prefix: PrefixBlocks(w.Name(), make([]byte, 1024)),
	}
}

// BenchmarkPlacement measures one call through Push, Next and Done.
func BenchmarkPlacement(b *testing.B) {
	for _, n := range []int{18, 120, 600} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			c := benchConfig(b, n, 100)
			p := benchPool(c)
			now := time.Unix(1_000_000, 0)
			calls := make([]*Call, 256)
			for i := range calls {
				calls[i] = benchCall(c, i, now)
			}
			for i, s := range c.Pool("engines") {
				p.Report(now, s.Name(), Report{Incarnation: 1, Seq: 1, Running: i % 40, Slots: 64})
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				call := calls[i%len(calls)]
				i++
				if err := p.Push(now, call); err != nil {
					b.Fatal(err)
				}
				grants, _ := p.Next(now)
				if len(grants) != 1 {
					b.Fatal("not placed")
				}
				p.Done(now, call.Attempt, grants[0].Server, 0, Use{GeneratedTokens: 150, ComputedTokens: 400}, false)
			}
		})
	}
}

// BenchmarkPlace measures only the choice of a server.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{18, 120, 600} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			c := benchConfig(b, n, 100)
			p := benchPool(c)
			now := time.Unix(1_000_000, 0)
			call := benchCall(c, 2, now)
			b.ReportAllocs()
			for b.Loop() {
				p.markPrefix(call)
				if ExpectedFinish(p, now, call, p.readyFor(now, call)) == nil {
					b.Fatal("not placed")
				}
			}
		})
	}
}

// BenchmarkAdmission measures the admission of one request while many workspaces have requests.
func BenchmarkAdmission(b *testing.B) {
	for _, n := range []int{5, 1300} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			c := benchConfig(b, 18, n)
			p := benchPool(c)
			a := NewAdmission()
			a.Boxes = func() int { return 420 }
			now := time.Unix(1_000_000, 0)
			for i := range 600 {
				_ = p.Push(now, benchCall(c, i, now))
			}
			waits := func(_ *config.Stage, class config.Class, d time.Time) time.Duration { return p.WaitFor(now, class, d) }
			pipe := c.Pipeline("pipeline-01")
			for i := range n {
				_ = a.Admit(now, c.Workspace(fmt.Sprintf("workspace-%04d", 1+i)), pipe, now.Add(time.Hour), p.Estimates, waits)
			}
			w := c.Workspace("workspace-0001")
			b.ReportAllocs()
			for b.Loop() {
				if a.Admit(now, w, pipe, now.Add(time.Hour), p.Estimates, waits) == nil {
					a.Leave(w.Name())
				}
			}
		})
	}
}

// BenchmarkHeartbeat measures one heartbeat interval of a box: sending, and receiving as many heartbeats
// and answers.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{7, 420} {
		b.Run(fmt.Sprintf("boxes=%d", n), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			m := NewMembers(Rumour{ID: BoxID{Name: "box-0", Incarnation: 1}, Address: "a"}, rand.New(rand.NewPCG(1, 2)))
			var peers []Beat
			var list []ListedBox
			for i := 1; i < n; i++ {
				r := Rumour{ID: BoxID{Name: fmt.Sprintf("box-%d", i), Incarnation: 1}, Address: "a", Domain: "d", State: MemberAlive}
				peers = append(peers, Beat{From: r, Seq: uint64(i)})
				list = append(list, ListedBox{Name: r.ID.Name, Address: "a", FailureDomain: "d"})
			}
			m.SetList(now, list)
			for _, p := range peers {
				m.Receive(now, p)
			}
			for range 200 {
				m.Tick(now) // send the first rumours
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now = now.Add(HeartbeatEvery)
				for _, o := range m.Tick(now) {
					answer := peers[i%len(peers)]
					answer.Seq, answer.Answer = o.Beat.Seq, true
					m.Receive(now, answer)
				}
				for range heartbeatFanout {
					m.Receive(now, peers[i%len(peers)])
					i++
				}
			}
		})
	}
}

// BenchmarkSubsets measures what a change of membership or configuration costs one box.
func BenchmarkSubsets(b *testing.B) {
	for _, n := range []int{7, 420} {
		b.Run(fmt.Sprintf("boxes=%d", n), func(b *testing.B) {
			c := benchConfig(b, 600, 10)
			var boxes []string
			for i := range n {
				boxes = append(boxes, fmt.Sprintf("box-%d", i))
			}
			b.ReportAllocs()
			for b.Loop() {
				Subsets(c.Pool("engines"), boxes, 24)
			}
		})
	}
}

// BenchmarkJudge measures the decision on the home of a key.
func BenchmarkJudge(b *testing.B) {
	for _, n := range []int{7, 420} {
		b.Run(fmt.Sprintf("boxes=%d", n), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			v := NewHomeResolver(BoxID{Name: "box-0", Incarnation: 1})
			v.FreshFor, v.ListLag, v.ClockSkew, v.LedgerKeep = 3*time.Second, time.Second, time.Second, time.Minute
			var list []ListedBox
			for i := range n {
				list = append(list, ListedBox{Name: fmt.Sprintf("box-%d", i), FailureDomain: "d"})
			}
			v.Observe(now.Add(-time.Minute), list, func(string, string) bool { return true })
			v.Confirm(now, now)
			k := Key{ID: NewKeyID(now, [16]byte{9: 1})}
			b.ReportAllocs()
			for b.Loop() {
				v.Resolve(now, k, "w")
			}
		})
	}
}
