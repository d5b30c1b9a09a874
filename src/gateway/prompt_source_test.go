package gateway

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/balance"
	"github.com/stilemast/stilemast/src/catalog"
)

// One box has a prompt processed away from its home server, which it takes for full. Another box sends the
// next such request to the home server and names the server that holds the prompt in its cache, which it
// knows from the first box alone.
func TestPromptSourceIsKnownToOtherBoxes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		var mu sync.Mutex
		var calls []*Call
		f.send = func(ctx context.Context, _ string, c *Call) (*Reply, error) {
			mu.Lock()
			calls = append(calls, c)
			mu.Unlock()
			return eventStream(ctx, 1, 1, time.Millisecond, io.EOF), nil
		}
		addressed := append([]catalog.Server(nil), f.servers...)
		for i := range addressed {
			addressed[i].Address = "at-" + addressed[i].ID
		}
		f.setStore(true, addressed)
		settle()
		prompt := func(id string) []balance.Part {
			return []balance.Part{{ID: "common", Tokens: 1000}, {ID: "book", Tokens: 4000}, {ID: id, Tokens: 100}}
		}
		ask := func(r *Request) { r.Pieces, r.Parts = []int{0}, prompt(r.ID) }
		first := f.box("box0")
		p := first.pools.get("model")
		p.mu.Lock()
		wish := balance.Request{Parts: prompt("none")}
		home, _, _ := p.picker.Pick(first.now(), &wish)
		p.picker.Ended(first.now(), home.ID, &wish, balance.Dropped)
		p.picker.SetBoxLoads(first.now(), "busy", []balance.LoadReport{{Server: catalog.Hash(home.ID), Load: balance.Load{Requests: 500}}})
		p.mu.Unlock()
		f.ask("box0", "/draft/x", "one", ask)
		time.Sleep(300 * time.Millisecond)
		f.ask("box1", "/draft/x", "two", ask)
		if len(calls) != 2 || calls[0].Server.ID == home.ID {
			t.Fatalf("%d calls, the first to the full server", len(calls))
		}
		if calls[1].Server.ID != home.ID || calls[1].Source != calls[0].Server.Address {
			t.Errorf("the second request went to %s with source %q, want %s and %q", calls[1].Server.ID, calls[1].Source, home.ID, calls[0].Server.Address)
		}
	})
}
