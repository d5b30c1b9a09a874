package box

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/pack"
	"github.com/stilemast/stilemast/src/port"
)

// isolatedBox returns a box without peers.
func isolatedBox(tb testing.TB) *Box {
	tb.Helper()
	s := config.DefaultSettings()
	s.Box, s.FailureDomain, s.Listen.Peers = "box-001", "west-1", "127.0.0.1:1"
	b := &Box{
		Settings: &s, ID: core.BoxID{Name: s.Box, Incarnation: 1},
		Peers: port.Peers{Beat: func(string, core.Beat) {}},
	}
	b.Init()
	return b
}

// documentPair returns a configuration of about 10 KB, or 1 MB if large, and the next version with the weight
// of one workspace changed.
func documentPair(tb testing.TB, large bool) (before, after []byte) {
	tb.Helper()
	d := config.ExamplePageworks()
	if large {
		d = config.ExampleTarget()
	}
	var err error
	if before, err = config.Marshal(d); err != nil {
		tb.Fatal(err)
	}
	d.Version++
	d.Workspaces[len(d.Workspaces)/2].Weight = 7
	if after, err = config.Marshal(d); err != nil {
		tb.Fatal(err)
	}
	return before, after
}

// BenchmarkConfigChange measures putting a new configuration in force.
func BenchmarkConfigChange(b *testing.B) {
	for _, large := range []bool{false, true} {
		before, _ := documentPair(b, large)
		b.Run(fmt.Sprintf("bytes=%d", len(before)), func(b *testing.B) {
			box := isolatedBox(b)
			raws := make([][]byte, 64)
			for i := range raws {
				raws[i] = bytes.Replace(before, []byte("version = 1\n"), []byte(fmt.Sprintf("version = %d\n", i+1)), 1)
			}
			i := 0
			for b.Loop() {
				if i == len(raws) {
					box, i = isolatedBox(b), 0
				}
				box.docs.offerConfig(raws[i], time.Now())
				i++
			}
		})
	}
}

// BenchmarkPack measures compressing a changed configuration for another box, whole and as a difference, and
// its size.
func BenchmarkPack(b *testing.B) {
	for _, large := range []bool{false, true} {
		before, after := documentPair(b, large)
		b.Run(fmt.Sprintf("whole/bytes=%d", len(after)), func(b *testing.B) {
			n := 0
			for b.Loop() {
				n = len(pack.Pack(after, nil))
			}
			b.ReportMetric(float64(n), "sent_bytes")
		})
		b.Run(fmt.Sprintf("difference/bytes=%d", len(after)), func(b *testing.B) {
			n := 0
			for b.Loop() {
				n = len(pack.Pack(after, before))
			}
			b.ReportMetric(float64(n), "sent_bytes")
		})
	}
}

func TestPackRoundTrip(t *testing.T) {
	before, after := documentPair(t, true)
	for _, base := range [][]byte{nil, before} {
		got, err := pack.Unpack(pack.Pack(after, base), base)
		if err != nil || !bytes.Equal(got, after) {
			t.Errorf("base %t: %d bytes, %v", base != nil, len(got), err)
		}
	}
	if _, err := pack.Unpack([]byte("hello"), nil); err == nil {
		t.Error("accepted data that is not packed")
	}
	if _, err := pack.Unpack(pack.Pack(after, before), bytes.ToUpper(before)); err == nil {
		t.Error("accepted a difference from another version")
	}
	if _, err := pack.Unpack(pack.Pack(after, before), nil); err == nil {
		t.Error("accepted a difference without its base")
	}
	if n := len(pack.Pack(after, before)); n > 2000 {
		t.Errorf("the difference of one changed weight has %d bytes", n)
	}
}

// BenchmarkBeatBytes reports the size of a heartbeat of a box that polls its whole subset of servers.
func BenchmarkBeatBytes(b *testing.B) {
	box := isolatedBox(b)
	_, after := documentPair(b, true)
	box.docs.offerConfig(after, time.Now())
	for i := range 419 {
		box.HandleBeat(core.Beat{From: core.Rumour{ID: core.BoxID{Name: fmt.Sprintf("box-%03d", i+2), Incarnation: uint64(time.Now().UnixNano())}, Address: "10.0.0.1:7001", Domain: "west-1", State: core.MemberAlive}})
	}
	fill := box.beatFiller(time.Now())
	n := 0
	for b.Loop() {
		m := core.Beat{From: core.Rumour{ID: box.ID, Address: "10.0.0.1:7001", Domain: "west-1", State: core.MemberAlive}, Seq: 9}
		box.fleet.mu.Lock()
		fill(&m)
		box.fleet.mu.Unlock()
		raw, err := msgpack.Marshal(&m)
		if err != nil {
			b.Fatal(err)
		}
		n = len(raw)
	}
	b.ReportMetric(float64(n), "beat_bytes")
}

// BenchmarkLedgerEntry measures the memory of a ledger entry without its answer.
func BenchmarkLedgerEntry(b *testing.B) {
	l := core.NewLedger()
	l.AnswerKeep, l.Keep = 0, time.Hour
	now := time.Unix(1_000_000, 0)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		k := core.Key{ID: core.NewKeyID(now, [16]byte{9: byte(i), 10: byte(i >> 8), 11: byte(i >> 16), 12: byte(i >> 24)})}
		i++
		if _, fresh, _ := l.Open(k, true, "w", "p", 1); fresh {
			l.Close(now, k, nil, nil, nil, false)
		}
	}
}

// Guards against a box without peers never becoming ready, and against becoming ready before it has the box
// list.
func TestLoneBoxBecomesReady(t *testing.T) {
	b := isolatedBox(t)
	before, _ := documentPair(t, false)
	list, err := msgpack.Marshal(port.BoxList{Revision: 1, Boxes: []core.ListedBox{{Name: "box-001", Address: "a", FailureDomain: "west-1"}}})
	if err != nil {
		t.Fatal(err)
	}
	b.docs.offerConfig(before, b.now())
	if b.docs.updateReadiness(b.now()); b.Ready() {
		t.Error("ready before the box list is known")
	}
	b.docs.offerList(list, b.now())
	if b.docs.updateReadiness(b.now()); !b.Ready() {
		t.Error("not ready with configuration, list and no other boxes")
	}
	if err := b.Serve(context.Background(), Request{Workspace: "x"}, func(e port.ForwardEvent) error { return nil }); err != nil {
		t.Error(err)
	}
}
