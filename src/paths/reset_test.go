package paths

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/stilemast/stilemast/src/exchange"
)

// Guards against a carried connection whose abandoned requests end only behind their unsent bytes.
func TestCarriedConnectionsCanBeReset(t *testing.T) {
	for name, wrap := range map[string]func(net.Conn) net.Conn{
		"asker":   func(c net.Conn) net.Conn { return &carried{Conn: c} },
		"carrier": func(c net.Conn) net.Conn { return &counted{Conn: c, end: func() {}} },
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		raw, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		server, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c := wrap(raw)
		if err := exchange.SetLinger(c, 0); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		_ = c.Close()
		if _, err := server.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%s: the server's connection ended with %v", name, err)
		}
		_, _ = server.Close(), l.Close()
	}
}
