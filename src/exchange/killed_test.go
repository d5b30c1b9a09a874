package exchange

import (
	"errors"
	"io"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
)

// serverToCall names the server that the process of TestProcessThatIsKilled calls.
const serverToCall = "EXCHANGE_TEST_SERVER"

// TestProcessThatIsKilled is the process that TestServerIsToldThatItsCallerWasKilled kills.
func TestProcessThatIsKilled(t *testing.T) {
	address := os.Getenv(serverToCall)
	if address == "" {
		t.Skip("runs as a process of another test")
	}
	_, _ = (&Client{}).Do(t.Context(), address, post())
	select {}
}

// Guards against a server that works on for a process that has ended, while it does not read the rest of the request.
func TestServerIsToldThatItsCallerWasKilled(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	caller := exec.Command(os.Args[0], "-test.run=^TestProcessThatIsKilled$")
	caller.Env = append(os.Environ(), serverToCall+"="+l.Addr().String())
	if err := caller.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Process.Kill() }()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.ReadFull(c, make([]byte, 100))
	_ = caller.Process.Kill()
	_ = caller.Wait()
	if n, err := io.Copy(io.Discard, c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the server read %d bytes more, then %v", n, err)
	}
}
