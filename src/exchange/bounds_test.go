package exchange

import (
	"errors"

	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
)

// Guards against a box that runs out of memory since a server sends the head of a response without an end.
func TestHeadOfAResponseIsBounded(t *testing.T) {
	for name, start := range map[string]string{"status line": "", "header line": "HTTP/1.1 200 OK\r\nX: ", "interim responses": ""} {
		t.Run(name, func(t *testing.T) {
			address, _ := server(t, func(c net.Conn, _ *http.Request, _ int) {
				part := strings.Repeat("x", 64<<10)
				if name == "interim responses" {
					part = strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 2000)
				}
				for _, err := c.Write([]byte(start)); err == nil; {
					_, err = c.Write([]byte(part))
				}
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := do(t, &Client{}, address, get("a"))
			runtime.ReadMemStats(&after)
			if !errors.Is(err, ErrHeadTooLong) {
				t.Errorf("%v", err)
			}
			if n := after.TotalAlloc - before.TotalAlloc; n > 16<<20 {
				t.Errorf("%d MB allocated", n>>20)
			}
		})
	}
}
