// Package signals catches the signals that ask this process to stop, from before any other package is initialized.
//
// A library that the program uses subscribes to SIGTERM while packages are initialized, but does not act on it. A signal
// that arrived between that and our own signal.Notify would be lost and the process would keep running. Packages are
// initialized in the order of their import paths, those whose imports are initialized first, so this package imports only
// the standard library: before its initialization SIGTERM ends the process, afterwards the signal is queued.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// maxQueued is the number of signals that can be queued: one for a graceful shutdown and a second one to abort it.
const maxQueued = 2

var stops = make(chan os.Signal, maxQueued)

func init() { signal.Notify(stops, syscall.SIGTERM, os.Interrupt) }

// RestoreDefaults stops catching SIGTERM and SIGINT, for commands without a graceful shutdown. A signal that is already
// queued is sent to the process again.
func RestoreDefaults() {
	signal.Stop(stops)
	select {
	case s := <-stops:
		if p, err := os.FindProcess(os.Getpid()); err == nil {
			_ = p.Signal(s)
		}
	default:
	}
}

// Stops returns the channel of signals that ask for a shutdown, including those queued since the process started.
func Stops() <-chan os.Signal { return stops }
