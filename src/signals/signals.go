// Package signals holds the signals that ask this process to stop, from before any other code of it runs.
//
// A library that the program uses takes SIGTERM over while packages are initialized and does nothing with it; one that
// came between that and a later Notify of ours was lost, and the process ran on. Packages are initialized in the order of
// their import paths, those without imports of their own first, so this one imports nothing but the standard library:
// before its turn SIGTERM ends the process, and after it the signal waits in the channel.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// waiting is how many signals may come before somebody looks: a planned stop and the second signal that cuts it.
const waiting = 2

var stops = make(chan os.Signal, waiting)

func init() { signal.Notify(stops, syscall.SIGTERM, os.Interrupt) }

// Release leaves SIGTERM and SIGINT to whoever else takes them, for commands that know no planned stop. One that came
// before ends the process as if it had come later.
func Release() {
	signal.Stop(stops)
	select {
	case s := <-stops:
		if p, err := os.FindProcess(os.Getpid()); err == nil {
			_ = p.Signal(s)
		}
	default:
	}
}

// Stops gives the signals that ask for a stop, those that came since the process started among them.
func Stops() <-chan os.Signal { return stops }
