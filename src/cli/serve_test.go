package cli

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/core/proc"
)

// Unless configured otherwise, go-zero sends a second SIGTERM 5.5 s after the first; it aborted every graceful shutdown
// that took longer.
func TestGoZeroSendsNoSecondSIGTERM(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seven seconds")
	}
	proc.SetTimeToForceQuit(forceQuitDelay)
	c := make(chan os.Signal, 4)
	signal.Notify(c, syscall.SIGTERM)
	defer signal.Stop(c)
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	<-c
	select {
	case s := <-c:
		t.Errorf("a second %s came by itself", s)
	case <-time.After(7 * time.Second):
	}
}
