package cli

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/proc"

	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/logging"
	"github.com/stilemast/stilemast/src/node"
	"github.com/stilemast/stilemast/src/signals"
)

// logFlushTimeout bounds how long an exiting process waits for its last log lines to be written.
const logFlushTimeout = 200 * time.Millisecond

// serveGateway runs a process that serves opaque requests until a signal stops it.
func serveGateway(path string, adapter node.Adapter) error {
	s, err := config.ReadGatewaySettings(path)
	if err != nil {
		return err
	}
	stream := logging.NewAsyncWriter(os.Stdout)
	defer stream.Close(logFlushTimeout)
	level := &slog.LevelVar{}
	setLevel(level, s.LogLevel)
	log := slog.New(slog.NewJSONHandler(stream, &slog.HandlerOptions{Level: level})).With("box", s.Box)
	log.Info("starting", "release", Release, "domain", s.FailureDomain, "callers", s.Listen.Callers, "peers", s.Listen.Peers, "store", s.Platform.Address, "seeds", s.Fleet.Seeds)
	stops, reloads := signals.Stops(), make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	n := &node.GatewayNode{Settings: s, Adapter: adapter, Log: log}
	if err := n.Start(); err != nil {
		log.Error("not started", "cause", err.Error())
		return err
	}
	// Without this go-zero would send the process a second SIGTERM 5.5 s after the first.
	proc.SetTimeToForceQuit(forceQuitDelay)
	log.Info("serving")
	for {
		select {
		case <-reloads:
			reload(path, s, level, log)
		case <-stops:
			return stopGateway(n, stops, log)
		}
	}
}

// reload applies the settings that can change at run time, which is only the log level; it logs whether others
// changed that need a restart. An invalid file changes nothing.
func reload(path string, old *config.GatewaySettings, level *slog.LevelVar, log *slog.Logger) {
	s, err := config.ReadGatewaySettings(path)
	if err != nil {
		log.Error("settings not reloaded, keeping the old ones", "cause", err.Error())
		return
	}
	setLevel(level, s.LogLevel)
	restart := s.Listen != old.Listen || s.Box != old.Box || s.Platform != old.Platform || s.Retry != old.Retry || s.Policy != old.Policy
	log.Info("settings reloaded", "log_level", s.LogLevel, "needs_restart", restart)
}

// setLevel sets the level by name; an unknown name is ignored.
func setLevel(level *slog.LevelVar, word string) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(word)); err == nil {
		level.Set(l)
	}
}

// stopGateway shuts the gateway down gracefully; a second signal aborts the shutdown.
func stopGateway(n *node.GatewayNode, stops <-chan os.Signal, log *slog.Logger) error {
	ended := make(chan int, 1)
	go func() { ended <- n.Stop() }()
	select {
	case cut := <-ended:
		log.Info("stopped", "cut", cut)
		if cut > 0 {
			return eris.Errorf("graceful shutdown timed out with %d requests running", cut)
		}
		return nil
	case <-stops:
		log.Warn("stopped immediately by a second signal")
		return eris.New("stopped immediately by a second signal; running requests were aborted")
	}
}
