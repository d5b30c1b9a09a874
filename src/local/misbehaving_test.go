package local

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc/codes"

	pb "github.com/stilemast/stilemast/src/api/stilemast/v1"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/peer"
)

// A box and its misbehaving callers, each of which keeps a connection with many streams.
const (
	misbehavingConnections = 4
	streamsPerConnection   = 100
	unfinishedMessage      = 2_000_000 // bytes; callers send all but the last
	misbehavingPeers       = 150       // connections to the port for other boxes
	boxMemory              = 256 << 20 // bytes of its machine
)

// boxProcess is a box as a process.
type boxProcess struct {
	t       *testing.T
	callers string
	peers   string
	cmd     *exec.Cmd
}

// startProcess starts a box of a deployment as a process.
func startProcess(t *testing.T, s *Deployment) *boxProcess {
	t.Helper()
	dir := t.TempDir()
	binary, settings := filepath.Join(dir, "stilemast"), filepath.Join(dir, "box.toml")
	if out, err := exec.Command("go", "build", "-o", binary, "../..").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	b := &boxProcess{t: t, callers: unusedAddress(t), peers: unusedAddress(t)}
	text := fmt.Sprintf("box = \"box-1\"\nfailure_domain = %q\n[listen]\ncallers = %q\npeers = %q\n[platform]\naddresses = [%q]\npoll_every = \"500ms\"\n[at_most_once]\nlist_lag = \"1s\"\nfresh_within = \"3s\"\nclock_skew = \"250ms\"\n",
		s.Document.FailureDomains[0].Name, b.callers, b.peers, s.PlatformAddress())
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	b.cmd = exec.Command(binary, "serve", "--settings", settings)
	b.cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	if err := b.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = b.cmd.Process.Kill(); _ = b.cmd.Wait() })
	s.Platform.SetBoxes([]core.ListedBox{{Name: "box-1", Address: b.peers, FailureDomain: s.Document.FailureDomains[0].Name}})
	return b
}

// unusedAddress returns a loopback address that is free.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// peakMemory returns the most memory that the process has had, 0 if it has ended.
func (b *boxProcess) peakMemory() int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if peak, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, _ := strconv.ParseInt(strings.Fields(peak)[0], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// awaitServed sends ordinary requests until one is served.
func (b *boxProcess) awaitServed(when string) {
	b.t.Helper()
	client, last := pb.NewPipelinesClient(dial(b.t, b.callers, nil, goodToken)), error(nil)
	for range 200 {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		_, last = runOnce(ctx, client, &pb.RunRequest{Workspace: "lakeside", Pipeline: "caption", Input: []byte("a photo")})
		cancel()
		if last == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.t.Errorf("%s: 200 ordinary requests were not served; the last: %v", when, last)
}

// unfinished is a gRPC message that stops one byte short of its announced length until its caller leaves.
type unfinished struct {
	left    int
	prefix  []byte
	written *atomic.Int64
	leave   chan struct{}
}

func newUnfinished(written *atomic.Int64, leave chan struct{}) *unfinished {
	return &unfinished{left: unfinishedMessage - 1, prefix: binary.BigEndian.AppendUint32([]byte{0}, unfinishedMessage), written: written, leave: leave}
}

// Read implements io.Reader.
func (u *unfinished) Read(b []byte) (int, error) {
	if n := copy(b, u.prefix); n > 0 {
		u.prefix = u.prefix[n:]
		return n, nil
	}
	if u.left == 0 {
		<-u.leave
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(b), u.left)
	u.left -= n
	u.written.Add(int64(n))
	return n, nil
}

// Guards against callers that end a box by unfinished messages on many streams, with and without a token.
func TestMisbehavingCallersMessagesDoNotExhaustAProcess(t *testing.T) {
	for _, c := range []struct{ name, token string }{{"without a token", ""}, {"with a token", goodToken}} {
		t.Run(c.name, func(t *testing.T) {
			d, hash := config.ExamplePageworks(), sha256.Sum256([]byte(goodToken))
			for i := range d.Workspaces {
				d.Workspaces[i].TokensSHA256 = []string{hex.EncodeToString(hash[:])}
			}
			s := &Deployment{Document: d, Log: slog.New(slog.DiscardHandler), Release: "test"}
			t.Cleanup(func() { s.Close() })
			if err := s.Start(); err != nil {
				t.Fatal(err)
			}
			b := startProcess(t, s)
			b.awaitServed("at the start")
			leave, written := make(chan struct{}), &atomic.Int64{}
			var callers sync.WaitGroup
			for range misbehavingConnections {
				transport := &http.Transport{Protocols: &http.Protocols{}}
				transport.Protocols.SetUnencryptedHTTP2(true)
				for range streamsPerConnection {
					callers.Go(func() { _ = sendUnfinished(transport, b.callers, c.token, newUnfinished(written, leave)) })
				}
			}
			settle(written)
			b.awaitServed("beside them")
			close(leave)
			callers.Wait()
			b.awaitServed("afterwards")
			peak := b.peakMemory()
			t.Logf("%d MB sent, resident at most %d MB", written.Load()>>20, peak>>20)
			if peak == 0 || peak > boxMemory {
				t.Errorf("%d bytes held, the machine has %d", peak, boxMemory)
			}
		})
	}
}

// Guards against clients of the port for other boxes that end a box by unfinished messages.
func TestMisbehavingClientsOfThePeersPortDoNotExhaustAProcess(t *testing.T) {
	s := &Deployment{Document: config.ExamplePageworks(), Log: slog.New(slog.DiscardHandler), Release: "test"}
	t.Cleanup(func() { s.Close() })
	hash := sha256.Sum256([]byte(goodToken))
	for i := range s.Document.Workspaces {
		s.Document.Workspaces[i].TokensSHA256 = []string{hex.EncodeToString(hash[:])}
	}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	b := startProcess(t, s)
	b.awaitServed("at the start")
	written := &atomic.Int64{}
	var clients sync.WaitGroup
	leave := make(chan struct{})
	for range misbehavingPeers {
		clients.Go(func() {
			c, err := net.Dial("tcp", b.peers)
			if err != nil {
				return
			}
			defer func() { <-leave; _ = c.Close() }()
			_, _ = c.Write(binary.BigEndian.AppendUint32(nil, peer.MaxFrame))
			piece := make([]byte, 64<<10)
			for left := peer.MaxFrame - 1; left > 0; {
				n, err := c.Write(piece[:min(left, len(piece))])
				if err != nil {
					return
				}
				left -= n
				written.Add(int64(n))
			}
		})
	}
	settle(written)
	b.awaitServed("beside them")
	close(leave)
	clients.Wait()
	b.awaitServed("afterwards")
	peak := b.peakMemory()
	t.Logf("%d MB sent, resident at most %d MB", written.Load()>>20, peak>>20)
	if peak == 0 || peak > boxMemory {
		t.Errorf("%d bytes held, the machine has %d", peak, boxMemory)
	}
}

// sendUnfinished sends a call whose message does not end, and returns its gRPC status, "" if there is none.
func sendUnfinished(transport *http.Transport, address, token string, message io.Reader) string {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/stilemast.v1.Pipelines/Run", message)
	if err != nil {
		return ""
	}
	r.Header.Set("Content-Type", "application/grpc")
	r.Header.Set("Te", "trailers")
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return cmp.Or(resp.Trailer.Get("Grpc-Status"), resp.Header.Get("Grpc-Status"))
}

// Guards against a message that is waited for without an end, and against one that is read although its head decides.
func TestMessageThatDoesNotArriveIsRefused(t *testing.T) {
	s := startDeployment(t, func(b *config.Settings) { b.Callers.MessageTime = config.Duration(300 * time.Millisecond) })
	transport := &http.Transport{Protocols: &http.Protocols{}}
	transport.Protocols.SetUnencryptedHTTP2(true)
	for _, c := range []struct {
		token string
		want  codes.Code
	}{{"", codes.Unauthenticated}, {"guess", codes.Unauthenticated}, {goodToken, codes.DeadlineExceeded}} {
		leave := make(chan struct{})
		got := sendUnfinished(transport, s.Addresses()[0], c.token, newUnfinished(&atomic.Int64{}, leave))
		close(leave)
		if got != strconv.Itoa(int(c.want)) {
			t.Errorf("token %q: status %q, want %d", c.token, got, c.want)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := runOnce(ctx, pb.NewPipelinesClient(dial(t, s.Addresses()[0], nil, goodToken)), &pb.RunRequest{Workspace: "lakeside", Pipeline: "caption", Input: []byte("a photo")}); err != nil {
		t.Errorf("an ordinary request afterwards: %v", err)
	}
}

// settle waits until no more bytes are sent.
func settle(written *atomic.Int64) {
	last, since := int64(-1), 0
	for range 600 {
		if n := written.Load(); n != last {
			last, since = n, 0
		}
		if since++; since > 20 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
