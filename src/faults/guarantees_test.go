package faults

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/box"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
	"github.com/stilemast/stilemast/src/standin"
)

func TestPlannedStopCutsNoneOf500Streams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.shutdown()
		for i := range f.doc.BackendServers {
			f.doc.BackendServers[i].Slots = 300
		}
		for _, e := range f.engines {
			e.SetSlots(300)
		}
		for _, s := range f.services {
			s.SetSlots(300)
		}
		f.doc.Version++
		f.publishConfig()
		time.Sleep(3 * time.Second)
		var wg sync.WaitGroup
		got := make([]answer, 500)
		for i := range got {
			wg.Add(1)
			go func() {
				defer wg.Done()
				got[i] = f.send("b1", "review", f.newKey(), []byte(fmt.Sprint("stream ", i)))
			}()
		}
		time.Sleep(300 * time.Millisecond)
		running := f.boxes["b1"].Status().Running
		if running < 450 {
			t.Fatalf("only %d streams run when the drain starts", running)
		}
		if cut := f.boxes["b1"].Drain(context.Background()); cut != 0 {
			t.Errorf("the drain cut %d requests", cut)
		}
		wg.Wait()
		for i, a := range got {
			if a.code != code.OK || a.cut || f.violation(a) != "" {
				t.Errorf("stream %d: %s, cut %t %s", i, a.code, a.cut, f.violation(a))
			}
		}
		f.boxes["b1"].kill()
		time.Sleep(time.Second)
		a := got[0]
		if again := f.attach("b3", a, 0); again.code != code.OK || !bytes.Equal(again.data, a.data) {
			t.Errorf("a finished answer of the drained box: %s, %d of %d bytes", again.code, len(again.data), len(a.data))
		}
	})
}

func TestUnusedTicketOfStoppedBoxIsKnownNotToHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.shutdown()
		tickets, err := f.boxes["b1"].IssueTickets("ws", 2)
		if err != nil {
			t.Fatal(err)
		}
		used := f.send("b2", "receipt", tickets[0], []byte("used"))
		f.boxes["b1"].Drain(context.Background())
		f.boxes["b1"].kill()
		time.Sleep(time.Second)
		if again := f.send("b3", "receipt", tickets[0], []byte("used")); again.code != code.OK || !bytes.Equal(again.data, used.data) {
			t.Errorf("a used ticket after the drain: %s", again.code)
		}
		a := f.send("b3", "receipt", tickets[1], []byte("unused"))
		if a.code != code.TicketHolderGone || a.ran != code.RanNo {
			t.Errorf("an unused ticket after the drain: %s, ran %s", a.code, a.ran)
		}
	})
}

func TestConfigurationIsInForceEverywhereWithSlowService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		defer f.shutdown()
		f.platform.SetReadDelay(300 * time.Millisecond)
		time.Sleep(2 * time.Second)
		worst := time.Duration(0)
		for range 10 {
			f.doc.Version++
			f.publishConfig()
			published := time.Now()
			for !f.allAt(f.doc.Version) {
				time.Sleep(20 * time.Millisecond)
				if time.Since(published) > 10*time.Second {
					t.Fatal("not applied on all boxes after 10 s")
				}
			}
			worst = max(worst, time.Since(published))
			time.Sleep(time.Second)
		}
		t.Logf("applied on 7 boxes after at most %s", worst)
		if worst > 2*time.Second {
			t.Errorf("applied on all of 7 boxes only after %s", worst)
		}
	})
}

// allAt reports whether all running boxes use a version of the configuration.
func (f *fleet) allAt(version uint64) bool {
	for _, b := range f.boxes {
		if b.ctx.Err() == nil && (b.Config() == nil || b.Config().Version() != version) {
			return false
		}
	}
	return true
}

func TestFreshBoxTakesThePeersVersionOverAStaleService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.shutdown()
		old, _ := f.platform.Config(f.ctx)
		f.doc.Version++
		f.publishConfig()
		time.Sleep(3 * time.Second)
		f.platform.SetStale(old)
		b := f.startBox("b5", "d1")
		f.publishBoxes()
		for !b.Ready() {
			if c := b.Config(); c != nil && c.Version() < f.doc.Version && b.Ready() {
				t.Fatal("serves with the stale version")
			}
			time.Sleep(10 * time.Millisecond)
		}
		if v := b.Config().Version(); v != f.doc.Version {
			t.Errorf("ready with version %d, peers have %d", v, f.doc.Version)
		}
		for range 250 { // polls often: a box that reverts may recover between two checks
			time.Sleep(20 * time.Millisecond)
			if !f.allAt(f.doc.Version) {
				t.Fatal("a box reverted to the stale version")
			}
		}
	})
}

func TestSameVersionWithOtherContentIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.shutdown()
		before := f.boxes["b1"].Config().Digest()
		f.doc.Workspaces[0].Weight = 9
		f.publishConfig()
		time.Sleep(4 * time.Second)
		conflicts := 0
		for _, b := range f.boxes {
			if b.Config().Digest() != before {
				t.Errorf("%s accepted different content for version %d", b.name, b.Config().Version())
			}
			if b.Status().Conflict == f.doc.Version {
				conflicts++
			}
		}
		if conflicts == 0 {
			t.Error("no box reports the conflict")
		}
	})
}

func TestInvalidConfigurationLeavesTheLastGoodOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.shutdown()
		f.platform.Publish([]byte("version = 9\nbogus = 1\n"))
		time.Sleep(4 * time.Second)
		if !f.allAt(1) {
			t.Error("a box does not use version 1 any more")
		}
		refusals := 0
		for _, b := range f.boxes {
			if b.Status().Refusal != "" {
				refusals++
			}
		}
		if refusals == 0 {
			t.Error("no box reports that it rejected the configuration")
		}
	})
}

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.shutdown()
		f.services["encoders-1"].SetLeaving(true)
		time.Sleep(2 * time.Second)
		before := len(f.services["encoders-1"].Log.All())
		refusedBefore := f.services["encoders-1"].Refused()
		for i := range 40 {
			a := f.send(boxNames[i%4], "draft", f.newKey(), []byte{byte(i)})
			if a.code != code.OK {
				t.Errorf("%s", a.code)
			}
		}
		if n := len(f.services["encoders-1"].Log.All()) - before; n > 0 {
			t.Errorf("%d calls ran on a leaving server", n)
		}
		if n := f.services["encoders-1"].Refused() - refusedBefore; n > 0 {
			t.Errorf("%d calls were sent to a leaving server 2 s later", n)
		}
	})
}

func TestOrdersLoadModelsAndFencesHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.shutdown()
		f.doc.Version++
		f.doc.Models[0].Version = "2"
		f.publishConfig()
		time.Sleep(5 * time.Second)
		for n, e := range f.engines {
			if r := e.Report(); r.Version != "2" || r.Fence != f.doc.Version {
				t.Errorf("%s has version %q with fence %d", n, r.Version, r.Fence)
			}
		}
		// A late order of a paused box: the engine that checks fences rejects it, the other one accepts it
		// and must get the current order again.
		old := f.engines["engines-1"].Orders()[0]
		if f.engines["engines-1"].AcceptOrder(old) {
			t.Error("the engine that checks fences accepted an old order")
		}
		if !f.engines["engines-2"].AcceptOrder(old) {
			t.Error("the engine that checks no fences rejected an old order")
		}
		time.Sleep(5 * time.Second)
		if r := f.engines["engines-2"].Report(); r.Version != "2" {
			t.Errorf("the engine that checks no fences still has version %q", r.Version)
		}
	})
}

func TestBoundaryHoldsAtEveryStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.shutdown()
		inside := map[string]bool{}
		for _, s := range f.config.BackendServers() {
			inside[s.Name()] = s.FailureDomain() == "d1"
		}
		var mu sync.Mutex
		sent := 0
		f.hook = func(at string, b *fakeBox, server string, r port.CallRequest) {
			mu.Lock()
			defer mu.Unlock()
			if len(at) > 8 && at[:8] == "dispatch" && r.Salt == "fenced" {
				sent++
				if !inside[server] || b.domain != "d1" {
					t.Errorf("a call of the restricted workspace went from %s in %s to %s", b.name, b.domain, server)
				}
			}
			if at == "forward" && b.domain != "d1" {
				t.Errorf("a request was forwarded to %s in %s", b.name, b.domain)
			}
		}
		f.services["encoders-1"].Arm(standin.Fail, 3) // causes retries, which must stay inside the boundary as well
		for i := range 20 {
			name := []string{"b1", "b3"}[i%2]
			key := f.newKey()
			pipeline := []string{"draft", "receipt"}[i%2]
			a := f.receive(name, answer{key: key, input: inputOf(key), pipeline: pipeline}, func(ctx context.Context, b *fakeBox, emit box.Emit) error {
				return b.Serve(ctx, box.Request{Workspace: "fenced", Pipeline: pipeline, Key: key, Input: inputOf(key)}, emit)
			})
			if a.code != code.OK {
				t.Errorf("%s on %s: %s", pipeline, name, a.code)
			}
		}
		out := f.receive("b2", answer{key: f.newKey(), pipeline: "draft"}, func(ctx context.Context, b *fakeBox, emit box.Emit) error {
			return b.Serve(ctx, box.Request{Workspace: "fenced", Pipeline: "draft", Input: []byte("x")}, emit)
		})
		if out.code != code.BoxOutsideBoundary || out.ran != code.RanNo {
			t.Errorf("a box outside the boundary answered %s, ran %s", out.code, out.ran)
		}
		if sent == 0 {
			t.Error("no call was sent")
		}
	})
}

func TestNarrowedBoundaryHoldsForCallsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.shutdown()
		f.services["encoders-1"].SetSlowdown(200) // the first stage takes 2 s
		f.services["encoders-2"].SetSlowdown(200)
		done := make(chan answer)
		go func() { done <- f.send("b1", "draft", f.newKey(), []byte("x")) }()
		time.Sleep(200 * time.Millisecond)
		f.doc.Version++
		f.doc.Workspaces[0].RunIn = []string{"d1"}
		f.publishConfig()
		var mu sync.Mutex
		f.hook = func(at string, b *fakeBox, server string, r port.CallRequest) {
			mu.Lock()
			defer mu.Unlock()
			if b.Config().Version() == f.doc.Version && f.config.BackendServer(server) != nil && f.config.BackendServer(server).FailureDomain() != "d1" && at == "dispatch retrieve" {
				t.Errorf("%s to %s after the boundary was narrowed", at, server)
			}
		}
		if a := <-done; a.code != code.OK {
			t.Errorf("%s", a.code)
		}
	})
}

// Requests that may not be repeated are refused for a bounded time after a home box is lost; requests with
// tickets are not refused at all.
func TestOnceCallsDuringAHomesReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		defer f.shutdown()
		f.boxes["b3"].kill()
		killedAt := time.Now()
		time.AfterFunc(time.Second, f.publishBoxes)
		var lastRefusal time.Duration
		refused, ticketsOK, total := 0, 0, 0
		for time.Since(killedAt) < 30*time.Second {
			key := f.newKey()
			total++
			a := f.send("b1", "receipt", key, inputOf(key))
			if a.code != code.OK {
				refused++
				lastRefusal = time.Since(killedAt)
			}
			if why := f.violation(a); why != "" {
				t.Error(why)
			}
			ticket, err := f.boxes["b1"].IssueTickets("ws", 1)
			if err != nil {
				t.Fatal(err)
			}
			if a := f.send("b1", "receipt", ticket[0], inputOf(key)); a.code == code.OK {
				ticketsOK++
			}
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("keys: %d of %d refused, the last after %s; tickets: %d of %d answered", refused, total, lastRefusal, ticketsOK, total)
		window := testSettings("", "").AtMostOnce.Window()
		if lastRefusal > window+4*time.Second {
			t.Errorf("keys are still refused after %s", lastRefusal)
		}
		if ticketsOK != total {
			t.Errorf("%d of %d tickets were refused", total-ticketsOK, total)
		}
	})
}

func TestMisuseOfKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.shutdown()
		key := f.newKey()
		if a := f.send("b1", "receipt", key, []byte("one")); a.code != code.OK {
			t.Fatal(a.code)
		}
		if a := f.send("b2", "receipt", key, []byte("two")); a.code != code.KeyReused {
			t.Errorf("a key reused with another input: %s", a.code)
		}
		if a := f.send("b2", "receipt", "", []byte("x")); a.code != code.BadKey || a.ran != code.RanNo {
			t.Errorf("no key: %s", a.code)
		}
		time.Sleep(time.Duration(config.DefaultSettings().AtMostOnce.LedgerKeep) + time.Minute)
		if a := f.send("b1", "receipt", key, []byte("one")); a.code != code.KeyExpired {
			t.Errorf("an old key: %s", a.code)
		}
		if _, once := f.runs(key, f.boxes["b1"].ID); once > 1 {
			t.Error("the call ran again")
		}
	})
}

// A box that promised not to run a key knows nothing about other boxes: it must not answer "not run" for a key
// that its home ran.
func TestRenouncedEntryIsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.shutdown()
		key := f.newKey()
		if a := f.send("b1", "receipt", key, inputOf(key)); a.code != code.OK {
			t.Fatal(a.code)
		}
		parsed, _ := core.ParseKey(key)
		promised := 0
		for _, n := range boxNames {
			if f.boxes[n].HandleQuestion(context.Background(), port.Question{Renounce: &port.Renounce{Key: parsed}}).Renounced {
				promised++
			}
		}
		if promised != 3 {
			t.Errorf("%d boxes promised not to run a key that one of them ran, want 3", promised)
		}
		for _, n := range boxNames {
			a := f.send(n, "receipt", key, inputOf(key))
			if why := f.violation(a); why != "" {
				t.Errorf("%s: %s", n, why)
			}
		}
	})
}
